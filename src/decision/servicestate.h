#pragma once

#include "decision/callqueue.h"
#include "decision/concurrencylimit.h"
#include "decision/freeupstreams.h"
#include "decision/handover.h"
#include "decision/latencyestimate.h"
#include "decision/outlierdetection.h"
#include "decision/retrybudget.h"
#include "decision/serviceevents.h"
#include "decision/timerqueue.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

/** The state that an owner keeps for one service. Only step() changes it. */
namespace Plantainweir {

/** The state that an owner keeps for one of its upstreams. */
struct UpstreamState {
    Upstream upstream;
    std::uint32_t inFlight = 0;
    std::uint32_t overdueInFlight = 0; ///< Attempts in flight that take longer than expected.
    bool isAssigned = true; ///< Whether this owner may send new calls to it.
    bool isLeaving = false;
    ConcurrencyLimit limit;
    UpstreamHealth health{};
    TimePoint backoffUntil{}; ///< Set after a shed or failed call. The upstream has no free slots until then.
    std::uint32_t countedSlots = 0; ///< Slots of this upstream that ServiceState::slots includes.
    std::uint32_t countedFreeSlots = 0; ///< Free slots of this upstream that ServiceState::freeSlots includes.
};

/** Limit on the concurrent attempts of one call: the first attempt and a hedge. */
inline constexpr std::size_t MaximumRunningAttempts = 2;

/** A call that is queued, running, or both while it is hedged. */
struct CallState {
    CallArrived arrival;
    QueueEntryId entryId = 0; ///< Its entry in the queue, zero if it is not queued.
    std::uint32_t attempts = 0; ///< Attempts at upstreams so far, without hand-overs.
    std::array<AttemptId, MaximumRunningAttempts> running{};
    std::uint32_t runningCount = 0;
    std::optional<UpstreamIndex> lastUpstream{};
    bool mayHaveRun = false; ///< Whether an ended attempt may have executed the call.
    bool wasHandedOver = false;
};

struct AttemptState {
    CallId call = 0;
    std::optional<UpstreamIndex> upstream{}; ///< Not set for a hand-over.
    std::string peer{}; ///< The co-owner that the call was handed over to, empty otherwise.
    Rank rank = Rank::Low;
    TimePoint startedAt;
    bool isOverdue = false;
    bool isHedge = false;
    bool isTrial = false;
};

/** Slot time that a rank used recently, as an exponentially decaying sum. */
struct RankUsage {
    double nanoseconds = 0.0;
    TimePoint updatedAt;
};

/** The measured rate of completions while calls are queued, compared with slots / service time. */
struct Throughput {
    double efficiency = 1.0; ///< Measured rate divided by the ideal one. Below 1 for time lost between calls.
    double meanIntervalNanoseconds = 0.0; ///< Between completions while calls are queued. Exponentially weighted.
    TimePoint lastCompletionAt;
    bool isBacklogged = false; ///< Whether the queue has not been empty since the last completion.
};

/** The whole state that an owner keeps for one service. */
struct ServiceState {
    std::vector<UpstreamState> upstreams;
    std::unordered_map<std::string, UpstreamIndex> upstreamByName;
    std::unordered_set<std::string> leavingUpstreams; ///< Names of leaving upstreams, including those that are not assigned.
    FreeUpstreams freeUpstreams; ///< Upstreams with a free slot.
    std::vector<UpstreamIndex> awaitingTrial; ///< Ejected upstreams that wait for a trial call.
    std::uint32_t slots = 0; ///< Sum of the concurrency limits of the upstreams that receive calls.
    std::uint32_t freeSlots = 0;
    std::array<std::uint32_t, enumCount<Rank>()> running{}; ///< Attempts at upstreams, by rank.
    std::uint32_t usableUpstreams = 0; ///< Assigned and not leaving.
    std::uint32_t ejectedUpstreams = 0;
    OutlierBaseline baseline;

    CallQueue queue;
    std::unordered_map<CallId, CallState> calls;
    std::unordered_map<AttemptId, AttemptState> attempts;
    AttemptId lastAttempt = 0;

    std::array<LatencyEstimate, enumCount<Rank>()> latencies;
    std::array<RankUsage, enumCount<Rank>()> usageByRank;
    Throughput throughput;
    double refusalRate = 0.0; ///< Exponentially weighted share of the calls that were refused or expired in the queue.
    RetryBudget retryBudget; ///< For retries after an attempt that may have run.
    RetryBudget notRunBudget{.tokensPerCall = 1.0, .capacity = 200.0, .tokens = 200.0}; ///< For retries after an attempt that did not run.
    RetryBudget hedgeBudget{.tokensPerCall = 0.02, .capacity = 50.0, .tokens = 50.0};
    HandOverState handOver;
    TimerQueue timers;
};

/** The arguments of step(), which it passes on to the functions that it calls. */
struct StepContext {
    ServiceState &state;
    TimePoint now;
    RandomGenerator &random;
    ServiceActions &actions;
};

}
