#include "soak/ledger.h"

#include <fmt/core.h>

#include <algorithm>

namespace Plantainweir {
namespace {

/** Time without faults after which the bounds of the users' pages hold again ("stabilityWindow"). */
constexpr std::chrono::seconds StabilityTime{3};
/** After an upstream's leaving is in the store, no call may reach it ("drain"). */
constexpr std::chrono::milliseconds DrainTime{2000};
/** After a change is in the store, no call may follow an older configuration ("config"). */
constexpr std::chrono::milliseconds ChangeTime{2000};
constexpr int StatusTooManyRequests = 429;
constexpr int StatusUnavailable = 503;

/** Returns whether no fault lasted within the stability time before @p since, or later. */
bool isCalmSince(const Ledger &ledger, TimePoint since)
{
    return ledger.disturbedUntil != TimePoint::max() && ledger.disturbedUntil + StabilityTime <= since;
}

bool promisesNotRun(int status)
{
    return status == StatusTooManyRequests || status == StatusUnavailable;
}

void judgeRuns(Ledger &ledger, const std::string &id, const LedgerCall &call)
{
    if (call.repeatability == Repeatability::AtMostOnce && call.ranAt.size() > 1) {
        ledger.violations.push_back(fmt::format("call {} may run once and ran {} times", id, call.ranAt.size()));
    }
    if (call.repeatability == Repeatability::AtMostOnce && call.isPromisedNotRun && !call.ranAt.empty()) {
        ledger.violations.push_back(fmt::format("call {} was said not to run and ran at {}", id, call.ranAt.front()));
    }
}

}

void noteDisturbance(Ledger &ledger, bool isOver, TimePoint now)
{
    ledger.disturbedUntil = isOver ? now : TimePoint::max();
}

void noteSent(Ledger &ledger, const std::string &id, const LedgerCall &call)
{
    ledger.calls.emplace(id, call);
}

void noteRun(Ledger &ledger, const std::string &id, const std::string &upstream, const std::string &service, TimePoint now)
{
    const auto call = ledger.calls.find(id);
    if (call == ledger.calls.end()) {
        ledger.violations.push_back(fmt::format("upstream {} ran call {}, which nobody sent", upstream, id));
        return;
    }
    call->second.ranAt.push_back(upstream);
    if (!ledger.isTimed || !isCalmSince(ledger, call->second.sentAt)) {
        return;
    }
    const auto leaving = ledger.leavingSince.find(upstream);
    const bool isLate = leaving != ledger.leavingSince.end() && now > leaving->second + DrainTime;
    if (isLate && isCalmSince(ledger, leaving->second)) {
        ledger.violations.push_back(fmt::format("call {} reached {} {:.0f} ms after it began to leave", id, upstream, toMilliseconds(now - leaving->second)));
    }
    const bool hasMoved = call->second.repeatability == Repeatability::Idempotent && !ledger.movedTo.empty() && service != ledger.movedTo;
    if (hasMoved && call->second.sentAt > ledger.movedAt + ChangeTime && isCalmSince(ledger, ledger.movedAt)) {
        ledger.violations.push_back(fmt::format("call {} ran at {} of {} after it had moved to {}", id, upstream, service, ledger.movedTo));
    }
}

void noteAnswer(Ledger &ledger, const std::string &id, int status, const std::string &runOf)
{
    LedgerCall &call = ledger.calls.at(id);
    const bool isSuccess = status >= 200 && status < 300;
    if (isSuccess && runOf != id) {
        ledger.violations.push_back(fmt::format("call {} got the answer of \"{}\"", id, runOf));
    }
    call.isPromisedNotRun = promisesNotRun(status);
    ++(isSuccess ? ledger.answered : ledger.refused);
}

void noteNoAnswer(Ledger &ledger, const std::string &id, TimePoint now)
{
    ++ledger.lost;
    const LedgerCall &call = ledger.calls.at(id);
    // What a caller sent while the entry VM closed the connection may be lost, but not a call that was passed on.
    const bool isPassedOn = !call.ranAt.empty();
    if (ledger.isTimed && isPassedOn && isCalmSince(ledger, call.sentAt) && isCalmSince(ledger, now)) {
        const bool isStopping = ledger.stopping.contains(call.entry);
        ledger.violations.push_back(fmt::format("call {} was cut off at {}{}", id, call.entry, isStopping ? " during its planned stop" : ""));
    }
}

void noteLeaving(Ledger &ledger, const std::string &upstream, TimePoint now)
{
    ledger.leavingSince.emplace(upstream, now);
}

void noteMoved(Ledger &ledger, const std::string &service, TimePoint now)
{
    ledger.movedTo = service;
    ledger.movedAt = now;
}

void judgeEnd(Ledger &ledger)
{
    for (const auto &[id, call] : ledger.calls) {
        judgeRuns(ledger, id, call);
    }
}

}
