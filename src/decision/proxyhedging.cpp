#include "decision/proxyhedging.h"

namespace Plantainweir {
namespace {

/** Weight of the newest load report in ProxyHedging::availableShare. */
constexpr double AvailabilityWeight = 0.05;
/** With a smaller share of available upstreams, further attempts would delay other calls. */
constexpr double MinimumAvailableShare = 0.5;

bool hasToken(const RetryBudget &budget)
{
    return budget.tokens >= 1.0;
}

bool isHedgeable(const ProxyHedging &hedging, const HedgedCall &call)
{
    const bool isRepeatable = call.repeatability == Repeatability::Idempotent && call.attempts < call.maximumAttempts;
    return isRepeatable && hedging.budget.tokensPerCall > 0.0 && hasQuantiles(hedging.latency);
}

/** Returns whether a hedge that starts now would usually be answered before the deadline of the call. */
bool isWorthwhile(const ProxyHedging &hedging, const HedgedCall &call, TimePoint now)
{
    return now + hedging.latency.quantiles.p50 < call.deadline;
}

}

void recordLatency(ProxyHedging &hedging, Duration latency)
{
    addSample(hedging.latency, latency);
}

bool isOverdue(const ProxyHedging &hedging, Duration age)
{
    return hasQuantiles(hedging.latency) && age >= hedging.latency.quantiles.p95;
}

void recordCancelled(ProxyHedging &hedging, Duration age)
{
    // Without these, the estimate would forget the attempts that hedges overtake, and hedges would start ever earlier.
    if (isOverdue(hedging, age)) {
        addSample(hedging.latency, age);
    }
}

void recordAvailability(ProxyHedging &hedging, bool isAvailable)
{
    hedging.availableShare += AvailabilityWeight * ((isAvailable ? 1.0 : 0.0) - hedging.availableShare);
}

std::optional<TimePoint> hedgeTime(const ProxyHedging &hedging, const HedgedCall &call, TimePoint startedAt)
{
    if (!isHedgeable(hedging, call)) {
        return std::nullopt;
    }
    const TimePoint due = startedAt + hedging.latency.quantiles.p95;
    return isWorthwhile(hedging, call, due) ? std::optional(due) : std::nullopt;
}

bool canHedge(const ProxyHedging &hedging, const HedgedCall &call, const HedgeLimits &limits, TimePoint now)
{
    const bool isScarce = hedging.availableShare < MinimumAvailableShare || limits.hasQueuedCalls;
    return isHedgeable(hedging, call) && isWorthwhile(hedging, call, now) && !isScarce && hasToken(hedging.budget) && hasToken(limits.retries);
}

void withdrawHedge(ProxyHedging &hedging, RetryBudget &retries)
{
    withdraw(hedging.budget);
    withdraw(retries);
}

void returnHedge(ProxyHedging &hedging, RetryBudget &retries)
{
    deposit(hedging.budget, 1.0);
    deposit(retries, 1.0);
}

}
