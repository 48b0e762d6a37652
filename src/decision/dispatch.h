#pragma once

#include "configuration/configuration.h"
#include "core/outcome.h"
#include "core/time.h"
#include "core/work.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

/**
 * The decisions about the calls of one service at one of its owners: which call next, to which upstream, what to
 * retry and what to refuse.
 *
 * A pure step: `step()` takes the state, one event, the time and the random generator, changes the state and appends
 * actions. It reads no clock, opens no socket and knows no encoding; entryd and the policy bench run the same code.
 */
namespace Plantainweir {

using CallId = std::uint64_t;
using AttemptId = std::uint64_t;
using RandomGenerator = std::mt19937_64;

/** A call that has passed the filters and waits to be run. */
struct CallArrived {
    CallId call = 0;
    Rank rank = Rank::Low;
    Repeatability repeatability = Repeatability::AtMostOnce;
    double worth = 1.0;
    TimePoint deadline;
    std::uint64_t caller = 0; ///< Hash of the caller's name, for fairness.
};

/** The caller has gone; nobody waits for the call's answer. */
struct CallAbandoned {
    CallId call = 0;
};

/** How an attempt at an upstream ended. */
enum class AttemptOutcome {
    Succeeded, ///< A whole answer that is no server error.
    ServerError, ///< A whole answer with a server error; the call ran or may have run.
    Shed, ///< The upstream said that it did not run the call.
    NotSent, ///< No byte of the request left.
    Lost, ///< Sent, and the connection was lost before the whole answer.
    DeadlinePassed, ///< Sent, and no whole answer came in time.
};

constexpr std::array<EnumName<AttemptOutcome>, 6> enumNames(AttemptOutcome)
{
    return {{
        {AttemptOutcome::Succeeded, "succeeded"},
        {AttemptOutcome::ServerError, "server_error"},
        {AttemptOutcome::Shed, "shed"},
        {AttemptOutcome::NotSent, "not_sent"},
        {AttemptOutcome::Lost, "lost"},
        {AttemptOutcome::DeadlinePassed, "deadline_passed"},
    }};
}
static_assert(isEnumTableOrdered<AttemptOutcome>());

/** What an upstream told about itself in an answer or a probe; as old as its way here. */
struct LoadReport {
    std::uint32_t busySlots = 0;
    std::uint32_t queuedCalls = 0;
    bool isDraining = false;
};

struct AttemptFinished {
    AttemptId attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::Lost;
    std::optional<LoadReport> report;
};

/** The upstreams whose slots this owner holds, complete; those that are missing receive no new work. */
struct UpstreamsAssigned {
    std::vector<Upstream> upstreams;
};

/** An upstream leaves, from whichever source the news came first. */
struct UpstreamLeaving {
    std::string upstream;
};

/** Time has passed; sent when nextWakeUp() is reached. */
struct TimerFired {
};

using ServiceEvent = std::variant<CallArrived, CallAbandoned, AttemptFinished, UpstreamsAssigned, UpstreamLeaving, TimerFired>;

/** Sends the call to the upstream; exactly one AttemptFinished must follow unless the attempt is cancelled. */
struct StartAttempt {
    AttemptId attempt = 0;
    CallId call = 0;
    std::string upstream;
    TimePoint deadline;
};

/** Gives an attempt up at the upstream; no AttemptFinished follows. */
struct CancelAttempt {
    AttemptId attempt = 0;
};

/** Answers the call with the answer that the attempt brought. */
struct AnswerCall {
    CallId call = 0;
    AttemptId attempt = 0;
};

/** Tells the caller that the call was not run. */
struct RefuseCall {
    CallId call = 0;
    RefusalReason reason = RefusalReason::NoUpstream;
    TimePoint retryAt; ///< When to come again; not before now.
};

/** Tells the caller that the call may have run. */
struct ReportUnknown {
    CallId call = 0;
    UnknownReason reason = UnknownReason::ConnectionLost;
};

/** For counters: a call is sent once more. */
struct CountRetry {
    RetryReason reason = RetryReason::UpstreamShed;
};

/** For logs and counters: an upstream was ejected, or returned. */
struct EjectionChanged {
    std::string upstream;
    bool isEjected = false;
};

using ServiceAction = std::variant<StartAttempt, CancelAttempt, AnswerCall, RefuseCall, ReportUnknown, CountRetry, EjectionChanged>;
using ServiceActions = std::vector<ServiceAction>;

/** One upstream as its owner sees it. */
struct UpstreamState {
    Upstream upstream;
    std::uint32_t inFlight = 0;
    bool isAssigned = true; ///< Whether this owner may send new work to it.
    bool isLeaving = false;
};

/** A call that waits in the queue or runs. */
struct CallState {
    CallArrived arrival;
    std::uint32_t attempts = 0;
    std::uint32_t attemptsInFlight = 0;
};

struct AttemptState {
    CallId call = 0;
    std::size_t upstream = 0; ///< Index into ServiceState::upstreams.
};

/** All that an owner knows of one service. */
struct ServiceState {
    std::vector<UpstreamState> upstreams;
    std::array<std::deque<CallId>, enumCount<Rank>()> queues; ///< In order of arrival; finished calls are skipped.
    std::unordered_map<CallId, CallState> calls;
    std::unordered_map<AttemptId, AttemptState> attempts;
    AttemptId lastAttempt = 0;
    std::multimap<TimePoint, CallId> deadlines; ///< Of queued calls.
};

/** Handles @p event at @p now and appends what has to be done to @p actions. */
void step(ServiceState &state, const ServiceEvent &event, TimePoint now, RandomGenerator &random, ServiceActions &actions);

/** Returns when TimerFired is due next, or nothing. */
std::optional<TimePoint> nextWakeUp(const ServiceState &state);

}
