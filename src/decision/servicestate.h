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

/** What an owner knows of one service; changed by step() only. */
namespace Plantainweir {

/** One upstream as its owner sees it. */
struct UpstreamState {
    Upstream upstream;
    std::uint32_t inFlight = 0;
    std::uint32_t overdueInFlight = 0; ///< Of those in flight, the ones that should have ended.
    bool isAssigned = true; ///< Whether this owner may send new work to it.
    bool isLeaving = false;
    ConcurrencyLimit limit;
    UpstreamHealth health{};
    TimePoint backoffUntil{}; ///< After a shed or failed call, until an ordinary call would have ended.
    std::uint32_t countedSlots = 0; ///< Its share of ServiceState::slots.
    std::uint32_t countedFreeSlots = 0; ///< Its share of ServiceState::freeSlots.
};

/** Attempts of one call that may run at the same time: the first and a hedge. */
inline constexpr std::size_t MaximumRunningAttempts = 2;

/** A call that waits in the queue, runs, or both. */
struct CallState {
    CallArrived arrival;
    QueueEntryId entryId = 0; ///< Of its stay in the queue, zero if it does not wait.
    std::uint32_t attempts = 0; ///< At upstreams of this owner.
    std::array<AttemptId, MaximumRunningAttempts> running{};
    std::uint32_t runningCount = 0;
    std::optional<UpstreamIndex> lastUpstream{};
    bool mayHaveRun = false; ///< An attempt has ended, or was cancelled, that may have executed the call.
    bool wasHandedOver = false;
};

struct AttemptState {
    CallId call = 0;
    std::optional<UpstreamIndex> upstream{}; ///< Nothing for a call that was handed over.
    std::string peer{}; ///< The co-owner of a call that was handed over.
    Rank rank = Rank::Low;
    TimePoint startedAt;
    bool isOverdue = false;
    bool isHedge = false;
    bool isTrial = false;
};

/** Slot time that a rank used lately, as an exponentially decaying sum. */
struct RankUsage {
    double nanoseconds = 0.0;
    TimePoint updatedAt;
};

/** How fast the slots work a queue off, compared with slots times service time. */
struct Throughput {
    double efficiency = 1.0; ///< Below 1 for time lost on the way.
    double meanInterval = 0.0; ///< Between completions behind a queue, in nanoseconds.
    TimePoint lastCompletionAt;
    bool isBacklogged = false; ///< A call has waited ever since the last completion.
};

/** All that an owner knows of one service. */
struct ServiceState {
    std::vector<UpstreamState> upstreams;
    std::unordered_map<std::string, UpstreamIndex> upstreamByName;
    std::unordered_set<std::string> leavingUpstreams; ///< By name, also of those that are not assigned.
    FreeUpstreams freeUpstreams; ///< Upstreams with a free slot.
    std::vector<UpstreamIndex> awaitingTrial; ///< Ejected upstreams that wait for a trial call.
    std::uint32_t slots = 0; ///< Calls that the usable upstreams run well at the same time.
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
    std::array<RankUsage, enumCount<Rank>()> usages;
    Throughput throughput;
    double refusalRate = 0.0; ///< Of the calls, those refused for want of slots; exponentially weighted.
    RetryBudget retryBudget; ///< For attempts after one that may have run.
    RetryBudget notRunBudget{.tokensPerCall = 1.0, .capacity = 200.0, .tokens = 200.0}; ///< For attempts after one that has not run.
    RetryBudget hedgeBudget{.tokensPerCall = 0.02, .capacity = 50.0, .tokens = 50.0};
    HandOverState handOver;
    TimerQueue timers;
};

/** The arguments of step() that its parts share. */
struct StepContext {
    ServiceState &state;
    TimePoint now;
    RandomGenerator &random;
    ServiceActions &actions;
};

}
