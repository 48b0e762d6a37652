#include "decision/hedging.h"

#include "decision/binding.h"
#include "decision/upstreams.h"

#include <algorithm>

namespace Plantainweir {
namespace {

/** Delay of the first check while there are too few samples of the service time. */
constexpr std::chrono::milliseconds InitialCheckDelay{100};
constexpr std::chrono::milliseconds MinimumCheckInterval{1};
/** Age at which an attempt is overdue, as a multiple of the 95th percentile. */
constexpr double OverdueFactor = 1.5;
/** Age at which a call is hedged although its upstream is not suspect, as a multiple of the 95th percentile. */
constexpr double HedgingThresholdFactor = 3.0;
/** Hedges leave 1 + slots / SlotsPerReservedSlot slots free for new calls. */
constexpr std::uint32_t SlotsPerReservedSlot = 10;
constexpr std::uint32_t MaximumAttemptsWithHedge = 3;

const LatencyEstimate &estimateOf(const ServiceState &state, Rank rank)
{
    return state.latencies[static_cast<std::size_t>(rank)];
}

bool isSuspect(const ServiceState &state, const AttemptState &attempt)
{
    if (!attempt.upstream) {
        return false;
    }
    const UpstreamState &upstream = state.upstreams[*attempt.upstream];
    return attempt.isTrial || isStalled(upstream) || upstream.health.state != HealthState::Healthy;
}

bool isHedgeDue(const StepContext &context, const AttemptState &attempt)
{
    const Duration p95 = estimateOf(context.state, attempt.rank).quantiles.p95;
    const Duration age = context.now - attempt.startedAt;
    return isSuspect(context.state, attempt) || toMilliseconds(age) >= HedgingThresholdFactor * toMilliseconds(p95);
}

bool canHedge(const CallState &call)
{
    const bool isIdempotent = call.arrival.repeatability == Repeatability::Idempotent;
    return isIdempotent && call.runningCount == 1 && call.entryId == 0 && call.attempts < MaximumAttemptsWithHedge;
}

void countHedge(StepContext &context)
{
    context.actions.emplace_back(CountRetry{.reason = RetryReason::Hedge});
}

/** Starts a hedge in an idle slot. Without idle slots, only calls at a suspect upstream are queued for a second attempt. */
void hedge(StepContext &context, const AttemptState &attempt, CallState &call)
{
    ServiceState &state = context.state;
    const std::uint32_t reserved = 1 + state.slots / SlotsPerReservedSlot;
    const bool hasIdleSlots = state.queue.size == 0 && state.freeSlots > reserved;
    const auto upstream = hasIdleSlots ? lowestCost(state.freeUpstreams, attempt.upstream) : std::nullopt;
    const bool isUrgent = isSuspect(state, attempt);
    if ((!upstream && !isUrgent) || !withdraw(state.hedgeBudget)) {
        return;
    }
    countHedge(context);
    if (upstream) {
        startAttempt(context, call, *upstream).isHedge = true;
        return;
    }
    enqueue(context, call, true);
}

}

void scheduleCheck(StepContext &context, AttemptId id, const AttemptState &attempt)
{
    const LatencyEstimate &estimate = estimateOf(context.state, attempt.rank);
    const Duration p95 = hasQuantiles(estimate) ? estimate.quantiles.p95 : Duration{InitialCheckDelay};
    const TimePoint first = attempt.startedAt + p95;
    const TimePoint next = context.now + std::max<Duration>(p95 / 2, MinimumCheckInterval);
    schedule(context.state.timers, {.due = first > context.now ? first : next, .kind = TimerKind::Attempt, .id = id});
}

void checkAttempt(StepContext &context, AttemptId id)
{
    ServiceState &state = context.state;
    const auto found = state.attempts.find(id);
    if (found == state.attempts.end()) {
        return;
    }
    AttemptState &attempt = found->second;
    const LatencyEstimate &estimate = estimateOf(state, attempt.rank);
    const Duration age = context.now - attempt.startedAt;
    if (attempt.upstream && toMilliseconds(age) >= OverdueFactor * toMilliseconds(estimate.quantiles.p95)) {
        recordOverdue(context, attempt);
    }
    const auto call = state.calls.find(attempt.call);
    const bool shouldHedge = hasQuantiles(estimate) && call != state.calls.end() && canHedge(call->second) && isHedgeDue(context, attempt);
    scheduleCheck(context, id, attempt);
    if (shouldHedge) {
        hedge(context, AttemptState{attempt}, call->second);
    }
}

void refundHedge(ServiceState &state)
{
    state.hedgeBudget.tokens = std::min(state.hedgeBudget.capacity, state.hedgeBudget.tokens + 1.0);
}

}
