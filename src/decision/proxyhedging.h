#pragma once

#include "core/enumnames.h"
#include "core/time.h"
#include "core/work.h"
#include "decision/latencyestimate.h"
#include "decision/retrybudget.h"

#include <cstdint>
#include <optional>

/**
 * Hedging of routed calls: a second attempt at another upstream while the first one is slow.
 *
 * The delay is the 95th percentile of the service's own latency, as in "The Tail at Scale" (Dean and Barroso, 2013). Hedges take
 * from a budget of their own and from the retry budget. There are none while upstreams are scarce, since a second attempt would then
 * delay other calls.
 */
namespace Plantainweir {

/** How a hedge ended. */
enum class HedgeOutcome {
    Won, ///< It answered the call before the first attempt did.
    Cancelled, ///< The first attempt answered before it, or the call ended otherwise.
    Failed, ///< It ended without an answer that could be used.
};

constexpr std::array<EnumName<HedgeOutcome>, 3> enumNames(HedgeOutcome)
{
    return {{
        {HedgeOutcome::Won, "won"},
        {HedgeOutcome::Cancelled, "cancelled"},
        {HedgeOutcome::Failed, "failed"},
    }};
}
static_assert(isEnumTableOrdered<HedgeOutcome>());

/** What is known about the hedges of one service's calls. */
struct ProxyHedging {
    LatencyEstimate latency; ///< Of attempts to run idempotent calls.
    RetryBudget budget{.tokensPerCall = 0.0, .capacity = 2.0, .tokens = 0.0}; ///< tokensPerCall is the share of calls that may be hedged.
    double availableShare = 1.0; ///< Of the load reports, exponentially weighted.
};

/** The properties of a running call that decide whether it may be hedged. */
struct HedgedCall {
    Repeatability repeatability = Repeatability::AtMostOnce;
    std::uint32_t attempts = 0; ///< So far, including the running one.
    std::uint32_t maximumAttempts = 1;
    TimePoint deadline;
};

/** What limits the hedges of a service besides its own budget. */
struct HedgeLimits {
    const RetryBudget &retries;
    bool hasQueuedCalls = false; ///< Whether calls of the service wait because all upstreams were full.
};

/** Records how long an attempt took that was answered. */
void recordLatency(ProxyHedging &hedging, Duration latency);

/** Returns whether an attempt that has run for @p age takes longer than most. */
bool isOverdue(const ProxyHedging &hedging, Duration age);

/** Records an attempt that was cancelled after @p age; it counts as one of the slowest if it had taken longer than most. */
void recordCancelled(ProxyHedging &hedging, Duration age);

/** Records whether a load report showed that an upstream was available. */
void recordAvailability(ProxyHedging &hedging, bool isAvailable);

/** Returns when to hedge an attempt that started at @p startedAt; nothing if it will not be hedged. */
std::optional<TimePoint> hedgeTime(const ProxyHedging &hedging, const HedgedCall &call, TimePoint startedAt);

/** Returns whether the call may be hedged now, provided that an upstream is available. */
bool canHedge(const ProxyHedging &hedging, const HedgedCall &call, const HedgeLimits &limits, TimePoint now);

/** Takes one hedge from both budgets. To be called only if canHedge(). */
void withdrawHedge(ProxyHedging &hedging, RetryBudget &retries);

/** Gives back what withdrawHedge() took for a hedge of which nothing was sent. */
void returnHedge(ProxyHedging &hedging, RetryBudget &retries);

}
