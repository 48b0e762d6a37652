#include "soak/soakhistory.h"

#include <fmt/core.h>

#include <algorithm>

namespace Plantainweir {
namespace {

/** Time without faults after which the time limits apply again ("stabilityWindow" in the users' requirements). */
constexpr std::chrono::seconds StabilisationPeriod{3};
/** Calls may reach an upstream for this long after the store has marked it as leaving ("drain" in the users' requirements). */
constexpr std::chrono::milliseconds DrainLimit{2000};
/** Calls may follow an older configuration for this long after a change is in the store ("config" in the users' requirements). */
constexpr std::chrono::milliseconds ConfigurationLimit{2000};
/** Calls may reach an empty availability zone for this long after the store has the wish ("evac" in the users' requirements). */
constexpr std::chrono::milliseconds EvacuationLimit{5000};
constexpr int StatusTooManyRequests = 429;
constexpr int StatusUnavailable = 503;

/** Returns whether no fault has been active since one StabilisationPeriod before @p since. */
bool isStableSince(const SoakHistory &history, TimePoint since)
{
    return history.faultsEndedAt != TimePoint::max() && history.faultsEndedAt + StabilisationPeriod <= since;
}

/** Checks that @p call does not reach an upstream of which its entry VM has passed on that it leaves, whatever the store says. */
void checkFarewell(SoakHistory &history, const std::string &id, const SoakCall &call, const std::string &upstream)
{
    const auto farewell = history.farewells.find({call.entry, upstream});
    if (farewell != history.farewells.end() && call.sentAt > farewell->second + DrainLimit) {
        history.violations.push_back(
            fmt::format("call {} was sent {:.0f} ms after entry VM {} passed on an answer in which {} said that it leaves, and reached it",
                        id,
                        toMilliseconds(call.sentAt - farewell->second),
                        call.entry,
                        upstream));
    }
}

bool reportsNotRun(int status)
{
    return status == StatusTooManyRequests || status == StatusUnavailable;
}

void checkExecutionCount(SoakHistory &history, const std::string &id, const SoakCall &call)
{
    if (call.repeatability == Repeatability::AtMostOnce && call.executedBy.size() > 1) {
        history.violations.push_back(fmt::format("at-most-once call {} was executed {} times", id, call.executedBy.size()));
    }
    if (call.repeatability == Repeatability::AtMostOnce && call.isReportedNotRun && !call.executedBy.empty()) {
        history.violations.push_back(fmt::format("call {} was reported as not run and was executed by {}", id, call.executedBy.front()));
    }
}

}

void recordFault(SoakHistory &history, bool hasEnded, TimePoint now)
{
    history.faultsEndedAt = hasEnded ? now : TimePoint::max();
}

void recordSent(SoakHistory &history, const std::string &id, const SoakCall &call)
{
    history.calls.emplace(id, call);
}

void recordExecution(SoakHistory &history, const std::string &id, const SoakExecutor &executor, TimePoint now)
{
    const auto &[upstream, service, availabilityZone, isLeaving] = executor;
    const auto call = history.calls.find(id);
    if (call == history.calls.end()) {
        history.violations.push_back(fmt::format("upstream {} executed call {}, which was never sent", upstream, id));
        return;
    }
    call->second.executedBy.push_back(upstream);
    call->second.isFarewell = isLeaving;
    checkFarewell(history, id, call->second, upstream);
    if (!history.isTimingChecked || !isStableSince(history, call->second.sentAt)) {
        return;
    }
    const auto leaving = history.leavingSince.find(upstream);
    const bool isLate = leaving != history.leavingSince.end() && now > leaving->second + DrainLimit;
    if (isLate && isStableSince(history, leaving->second)) {
        history.violations.push_back(
            fmt::format("call {} reached upstream {} {:.0f} ms after the store had marked it as leaving", id, upstream, toMilliseconds(now - leaving->second)));
    }
    const auto evacuated = history.evacuatedSince.find(availabilityZone);
    const bool isEvacuated = evacuated != history.evacuatedSince.end() && now > evacuated->second + EvacuationLimit;
    if (isEvacuated && isStableSince(history, evacuated->second)) {
        history.violations.push_back(fmt::format(
            "call {} reached upstream {} of an availability zone that is empty since {:.0f} ms", id, upstream, toMilliseconds(now - evacuated->second)));
    }
    const bool isAtFormerService
        = call->second.repeatability == Repeatability::Idempotent && !history.idempotentService.empty() && service != history.idempotentService;
    if (isAtFormerService && call->second.sentAt > history.idempotentServiceSince + ConfigurationLimit
        && isStableSince(history, history.idempotentServiceSince)) {
        history.violations.push_back(fmt::format(
            "call {} was executed by {} of service {} after its route had changed to service {}", id, upstream, service, history.idempotentService));
    }
}

void recordAnswer(SoakHistory &history, const std::string &id, int status, const std::string &answeredId, TimePoint now)
{
    SoakCall &call = history.calls.at(id);
    const bool isSuccess = status >= 200 && status < 300;
    if (isSuccess && answeredId != id) {
        history.violations.push_back(fmt::format("call {} received the answer to call \"{}\"", id, answeredId));
    }
    call.isReportedNotRun = reportsNotRun(status);
    // An idempotent call may have run at several upstreams, of which only one answered.
    if (isSuccess && call.executedBy.size() == 1 && call.isFarewell) {
        history.farewells.emplace(std::pair(call.entry, call.executedBy.front()), now);
    }
    ++(isSuccess ? history.answered : history.refused);
}

void recordNoAnswer(SoakHistory &history, const std::string &id, TimePoint now)
{
    ++history.unanswered;
    const SoakCall &call = history.calls.at(id);
    // A call that was sent while the entry VM closed the connection may be lost, but not one that an upstream has received.
    const bool isForwarded = !call.executedBy.empty();
    if (history.isTimingChecked && isForwarded && isStableSince(history, call.sentAt) && isStableSince(history, now)) {
        const bool isStopping = history.stoppingEntries.contains(call.entry);
        history.violations.push_back(fmt::format("call {} got no answer from entry VM {}{}", id, call.entry, isStopping ? " during its planned stop" : ""));
    }
}

void recordStart(SoakHistory &history, const std::string &entry)
{
    std::erase_if(history.farewells, [&entry](const auto &farewell) {
        return farewell.first.first == entry;
    });
}

void recordLeaving(SoakHistory &history, const std::string &upstream, TimePoint now)
{
    history.leavingSince.emplace(upstream, now);
}

void recordEvacuation(SoakHistory &history, const std::string &availabilityZone, bool isEvacuated, TimePoint now)
{
    history.evacuatedSince.erase(availabilityZone);
    if (isEvacuated) {
        history.evacuatedSince.emplace(availabilityZone, now);
    }
}

void recordRouteChange(SoakHistory &history, const std::string &service, TimePoint now)
{
    history.idempotentService = service;
    history.idempotentServiceSince = now;
}

void checkExecutionCounts(SoakHistory &history)
{
    for (const auto &[id, call] : history.calls) {
        checkExecutionCount(history, id, call);
    }
}

}
