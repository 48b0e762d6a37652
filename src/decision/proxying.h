#pragma once

#include "core/outcome.h"
#include "core/time.h"
#include "core/work.h"
#include "decision/fairshare.h"
#include "decision/fullness.h"
#include "decision/otherzones.h"
#include "decision/proxyhedging.h"
#include "decision/retrybudget.h"
#include "decision/subset.h"
#include "decision/upstreampool.h"
#include "decision/urgency.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

/**
 * Schedules the routed calls of one entry VM: probes, choice of upstream, retries and refusals.
 *
 * Before a call is sent, a few upstreams are probed for their load, those in the same availability zone first, and the
 * first available one gets the call: synchronous probing as in "Load is not what you should balance" (Wydra et al., NSDI
 * 2024). As in dispatch.h, step() is deterministic. ProxyTask carries out its actions.
 */
namespace Plantainweir {

using ProxyCallId = std::uint64_t;
using ProbeId = std::uint64_t;
using ProxyAttemptId = std::uint64_t;
using ColdCreditId = std::uint64_t;

struct ProxySettings {
    std::string name; ///< Of this entry VM.
    std::string availabilityZone; ///< Of this entry VM.
    double retryShare = 0.1; ///< Retries allowed per call, on average.
    double retrySlack = 10.0; ///< Further retries that this entry VM may make in each window.
    Duration retryWindow = std::chrono::seconds(10);
    double hedgeShare = 0.0; ///< Share of the idempotent calls that may get a second attempt while the first one is slow.
    double probesPerSecond = 100.0; ///< Limit on the probes of this entry VM to all upstreams.
    std::size_t subsetSize = 0; ///< Least number of preferred upstreams in an availability zone. Zero: all are preferred alike.
    FullRefusalSettings fullRefusal; ///< When calls that may not probe are refused.
    Duration zoneMemory{}; ///< Time for which it remembers that another availability zone was full. Zero: one share for all of them.
};

/** A call passed the filters. */
struct ProxyCallAdmitted {
    ProxyCallId id = 0;
    std::string service;
    Repeatability repeatability = Repeatability::AtMostOnce;
    std::uint32_t priority = 0; ///< Zero is the highest.
    std::string account; ///< Name of the client account; empty if the call belongs to none.
    double accountWeight = 1.0; ///< What the account may have relative to the others of its priority.
    std::uint32_t maximumAttempts = 1;
    Duration target{}; ///< Time after its admission in which the call should be answered.
    TimePoint deadline; ///< Time at which the call is ended in any case.
};
/** The caller closed its connection before the call ended. */
struct ProxyCallAbandoned {
    ProxyCallId id = 0;
};
/** The result of a load probe. */
enum class ProbeOutcome {
    Answered,
    Unhealthy, ///< The upstream answered that it accepts no work.
    Replaced, ///< Another upstream answered at the address.
    Unreachable, ///< No valid answer arrived.
};
struct ProbeEnded {
    ProbeId id = 0;
    ProbeOutcome outcome = ProbeOutcome::Unreachable;
    UpstreamLoad load;
    UpstreamNotice notice;
    Duration coldTime{}; ///< How long the upstream stays cold; zero if it is warm.
};
/** The outcome of an attempt at an upstream. */
enum class ProxyAttemptOutcome {
    Succeeded, ///< A complete answer that is not a server error.
    ServerError, ///< A complete answer with a server error.
    Shed, ///< The upstream answered that it did not run the call.
    Replaced, ///< Another upstream uses the address. The call did not run.
    NotSent, ///< No byte of the request was sent.
    ConnectionLost, ///< The connection was lost after the request was sent. The call may have run.
    DeadlinePassed, ///< No complete answer arrived before the deadline. The call may have run.
};
constexpr std::array<EnumName<ProxyAttemptOutcome>, 7> enumNames(ProxyAttemptOutcome)
{
    return {{
        {ProxyAttemptOutcome::Succeeded, "succeeded"},
        {ProxyAttemptOutcome::ServerError, "server_error"},
        {ProxyAttemptOutcome::Shed, "shed"},
        {ProxyAttemptOutcome::Replaced, "replaced"},
        {ProxyAttemptOutcome::NotSent, "not_sent"},
        {ProxyAttemptOutcome::ConnectionLost, "lost"},
        {ProxyAttemptOutcome::DeadlinePassed, "deadline_passed"},
    }};
}
static_assert(isEnumTableOrdered<ProxyAttemptOutcome>());

struct ProxyAttemptEnded {
    ProxyAttemptId id = 0;
    ProxyAttemptOutcome outcome = ProxyAttemptOutcome::ConnectionLost;
    std::optional<UpstreamLoad> load;
    UpstreamNotice notice;
    bool isOutOfConnections = false; ///< Whether it was not sent because this process has no connection left, whatever the upstream.
};
struct ProxyTimerFired {
};
/** The complete list of the upstreams of all services, which replaces the previous one. */
struct UpstreamsReplaced {
    std::vector<RegisteredUpstream> upstreams;
};
/** The availability zones that get no calls have changed. */
struct EvacuationsReplaced {
    std::set<std::string> availabilityZones;
};
/** The request for credit of a cold upstream has been decided. */
struct ColdCreditDecided {
    ColdCreditId id = 0;
    bool isGranted = false;
    TimePoint retryAt; ///< When to ask for credit of this upstream again. Valid if not granted.
};
/** The share of the fleet-wide retry and probe limits that this entry VM may use has changed. */
struct FleetShareChanged {
    double retrySlack = 0.0;
    double probesPerSecond = 0.0;
};
using ProxyEvent = std::variant<ProxyCallAdmitted,
                                ProxyCallAbandoned,
                                ProbeEnded,
                                ProxyAttemptEnded,
                                ProxyTimerFired,
                                UpstreamsReplaced,
                                EvacuationsReplaced,
                                ColdCreditDecided,
                                FleetShareChanged>;

struct StartProbe {
    ProbeId id = 0;
    RegisteredUpstream upstream;
    TimePoint deadline;
};
struct StartProxyAttempt {
    ProxyAttemptId id = 0;
    ProxyCallId call = 0;
    RegisteredUpstream upstream;
    TimePoint deadline;
    std::optional<RetryReason> retry; ///< Set for attempts after the first one.
    UpstreamLoad load; ///< The load report that the upstream was chosen by.
    Duration loadAge{};
};
struct CancelProxyAttempt {
    ProxyAttemptId id = 0;
};
/** Requests credit for one call to a cold upstream. Exactly one ColdCreditDecided follows, unless the request is cancelled. */
struct RequestColdCredit {
    ColdCreditId id = 0;
    std::string service;
    std::string upstream; ///< Its id.
    TimePoint deadline;
};
struct CancelColdCredit {
    ColdCreditId id = 0;
};
/** Gives back a credit that was granted and is not used. Follows ColdCreditDecided at once. */
struct ReturnColdCredit {
    ColdCreditId id = 0;
};
/** Ends a call. Exactly one is returned for each call that was not abandoned. */
struct EndProxyCall {
    ProxyCallId call = 0;
    CallOutcome outcome = CallOutcome::NotRun;
    std::optional<ProxyAttemptId> answer; ///< The attempt whose response is the answer. Set if answered.
    RefusalReason refusal = RefusalReason::NoUpstream;
    UnknownReason unknown = UnknownReason::ConnectionLost;
    Duration retryAfter{}; ///< Time after which the caller should retry. Valid if not run.
};
using ProxyAction = std::variant<StartProbe, StartProxyAttempt, CancelProxyAttempt, RequestColdCredit, CancelColdCredit, ReturnColdCredit, EndProxyCall>;

/** The state of one call. */
struct ProxyCall {
    ProxyCallAdmitted admitted;
    TimePoint queueingDeadline; ///< The call waits for an available upstream until then.
    std::set<UpstreamKey> tried;
    std::set<UpstreamKey> probed; ///< Upstreams probed in the current round.
    std::uint32_t sameZoneProbes = 0; ///< Probes of the current round in the availability zone of this entry VM.
    std::uint32_t otherZoneProbes = 0; ///< Probes of the current round in other availability zones.
    std::uint32_t otherZoneProbeLimit = 0; ///< Limit on @ref otherZoneProbes in the current round.
    std::uint32_t openProbes = 0;
    std::uint32_t probeRounds = 0; ///< Rounds that have begun.
    std::uint32_t attempts = 0; ///< Attempts so far, without those whose request was not sent.
    std::uint32_t failedConnects = 0;
    std::optional<ColdCreditId> openCredit; ///< The request for credit that the call waits for.
    std::uint32_t creditRequests = 0;
    std::optional<ProxyAttemptId> running;
    std::optional<ProxyAttemptId> hedge; ///< A second running attempt; only set together with @ref running.
    TimePoint hedgeAt; ///< When to hedge the running attempt. The epoch if it is not to be hedged, or the hedge has begun.
    bool isHedgeProbing = false; ///< Whether open probes look for an upstream for a hedge.
    std::optional<ProxyAttemptId> fallbackAnswer; ///< Attempt whose server error is the answer if no retry succeeds.
    std::optional<RetryReason> retry; ///< Reason for the next attempt if it is a retry.
    bool isProbeLimited = false; ///< Whether the current round lacks a probe because of the rate limit.
    bool wasShedWithFreeSlot = false; ///< Whether the last upstream shed the call although it reported a free slot.
    bool isAboveShare = false; ///< Whether room is scarce and its account sends more than its share: the call does not wait for room.
    bool mayHaveRun = false;
    bool isAbandoned = false;
    TimePoint nextRoundAt; ///< Start of the next probe round. The epoch during a round.
};

struct ProxyAttempt {
    ProxyCallId call = 0;
    std::string service;
    UpstreamKey upstream = 0;
    TimePoint startedAt;
    bool isUnprobed = false; ///< Whether the load of the upstream was not known because of the limit on probes.
};

struct ProxyProbe {
    ProxyCallId call = 0;
    std::string service;
    UpstreamKey upstream = 0;
    TimePoint startedAt;
    TimePoint deadline; ///< After an answer that is read later, the call may probe the upstream again.
};

/** A request for credit of a cold upstream. */
struct ColdCredit {
    ProxyCallId call = 0;
    std::string service;
    UpstreamKey upstream = 0;
};

struct ProxyService {
    UpstreamPool pool;
    RetryBudget retryBudget;
    TimePoint budgetRefilledAt;
    ProxyHedging hedging;
    std::set<ProxyCallId> waiting; ///< Calls without a running attempt.
    Fullness fullness;
    Urgency urgency; ///< Of calls without a client account.
    RecentCount calls; ///< That were admitted.
    FairShares shares; ///< Empty if no call belongs to a client account.
    double otherZoneAvailableRate = 1.0; ///< Share of available upstreams among those probed in other availability zones.
    OtherZones otherZones; ///< Empty without ProxySettings::zoneMemory.
};

struct ProxyState {
    ProxySettings settings;
    std::map<std::string, ProxyService, std::less<>> services;
    std::map<ProxyCallId, ProxyCall> calls;
    std::map<ProxyAttemptId, ProxyAttempt> attempts;
    std::map<ProbeId, ProxyProbe> probes;
    std::map<ColdCreditId, ColdCredit> credits;
    std::set<std::pair<TimePoint, ProxyCallId>> timers;
    std::set<std::string> evacuatedZones; ///< Availability zones that get no calls.
    std::uint64_t lastId = 0;
    double probeTokens = 0.0; ///< Token bucket of the probe rate limit.
    TimePoint probeTokensRefilledAt;
};

/** Handles @p event at the time @p now and returns the resulting actions in the order to carry them out. */
std::vector<ProxyAction> step(ProxyState &state, const ProxyEvent &event, TimePoint now, std::mt19937_64 &random);

/** Returns when the next ProxyTimerFired event is due, or nothing if there is no timer. */
std::optional<TimePoint> nextWakeUp(const ProxyState &state);

}
