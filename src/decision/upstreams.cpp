#include "decision/upstreams.h"

#include "decision/admission.h"

#include <algorithm>
#include <cmath>

namespace Plantainweir {
namespace {

constexpr std::uint32_t OverdueAttemptsToStall = 3;
constexpr std::uint32_t OverdueAttemptsToEject = 5;
constexpr std::uint32_t MaximumBackoffDoublings = 4;
constexpr std::uint32_t CompletionsBetweenBaselines = 32;
constexpr std::chrono::milliseconds MinimumBackoff{5};
/** Delay of a trial that was due while all slots of the upstream were busy. */
constexpr std::chrono::milliseconds TrialRetryInterval{100};
/** Weight of the share of busy slots in the cost of an upstream, as a multiple of the mean service time. */
constexpr double BusyShareWeight = 0.1;

bool isUsable(const UpstreamState &upstream)
{
    return upstream.isAssigned && !upstream.isLeaving && !upstream.upstream.isDraining;
}

/** Returns the cost of sending the next call to the upstream. The upstream with the lowest cost is used first. */
double costOf(const ServiceState &state, const UpstreamState &upstream)
{
    const double service = meanServiceNanoseconds(state);
    const double network = static_cast<double>(upstream.health.shortestLatency.count());
    const double busy = static_cast<double>(upstream.inFlight) / std::max(upstream.upstream.slots, 1U);
    const double ratio = isSlow(upstream.health, state.baseline) ? latencyRatio(upstream.health, state.baseline) : 0.0;
    return network + service * (BusyShareWeight * busy + ratio + upstream.health.consecutiveOverdue);
}

void updateSlotCounts(ServiceState &state, UpstreamState &upstream, std::uint32_t slots, std::uint32_t freeSlots)
{
    state.slots += slots - upstream.countedSlots;
    state.freeSlots += freeSlots - upstream.countedFreeSlots;
    upstream.countedSlots = slots;
    upstream.countedFreeSlots = freeSlots;
}

void backOff(StepContext &context, UpstreamIndex index, Duration duration)
{
    UpstreamState &upstream = context.state.upstreams[index];
    upstream.backoffUntil = std::max(upstream.backoffUntil, context.now + duration);
    schedule(context.state.timers, {.due = upstream.backoffUntil, .kind = TimerKind::Upstream, .id = index});
}

/**
 * Backs off for the rest of the time that an ordinary call would have taken, longer after consecutive failures.
 *
 * Otherwise an upstream that fails fast would look idle and attract more calls.
 */
void backOffAfterFailure(StepContext &context, UpstreamIndex index, Duration elapsed)
{
    const UpstreamHealth &health = context.state.upstreams[index].health;
    const Duration service{static_cast<std::int64_t>(meanServiceNanoseconds(context.state))};
    const std::uint32_t doublings = std::min(std::max(health.consecutiveFailures, 1U) - 1, MaximumBackoffDoublings);
    const Duration duration = std::max<Duration>(service, MinimumBackoff) * (1U << doublings) - elapsed;
    if (duration > Duration::zero()) {
        backOff(context, index, duration);
    }
}

void refreshBaseline(ServiceState &state)
{
    if (state.baseline.updatesUntilRefresh > 0) {
        --state.baseline.updatesUntilRefresh;
        return;
    }
    std::vector<const UpstreamHealth *> healths;
    for (const UpstreamState &upstream : state.upstreams) {
        if (isUsable(upstream) && upstream.health.state == HealthState::Healthy) {
            healths.push_back(&upstream.health);
        }
    }
    state.baseline = computeBaseline(healths);
    state.baseline.updatesUntilRefresh = std::max(CompletionsBetweenBaselines, static_cast<std::uint32_t>(state.upstreams.size()));
}

void returnToService(StepContext &context, UpstreamIndex index)
{
    UpstreamState &upstream = context.state.upstreams[index];
    upstream.limit = slowStart(upstream.upstream.slots);
    --context.state.ejectedUpstreams;
    context.actions.emplace_back(EjectionChanged{.upstream = upstream.upstream.name, .isEjected = false});
}

void scheduleTrial(StepContext &context, UpstreamIndex index)
{
    schedule(context.state.timers, {.due = context.state.upstreams[index].health.ejectedUntil, .kind = TimerKind::Upstream, .id = index});
}

void ejectAndScheduleTrial(StepContext &context, UpstreamIndex index)
{
    eject(context.state.upstreams[index].health, context.now, context.random);
    scheduleTrial(context, index);
}

void recordTrialEnd(StepContext &context, UpstreamIndex index, bool hasSucceeded)
{
    UpstreamState &upstream = context.state.upstreams[index];
    if (upstream.health.state != HealthState::Trial) {
        return;
    }
    if (!hasSucceeded) {
        ejectAndScheduleTrial(context, index);
        return;
    }
    if (recordTrialSuccess(upstream.health, context.state.baseline, context.now)) {
        returnToService(context, index);
        return;
    }
    context.state.awaitingTrial.push_back(index);
}

void recordSuccessOf(StepContext &context, const AttemptState &attempt, Duration elapsed)
{
    ServiceState &state = context.state;
    const UpstreamIndex index = *attempt.upstream;
    UpstreamState &upstream = state.upstreams[index];
    recordLatency(upstream.health, elapsed);
    recordResult(upstream.health, false);
    refreshBaseline(state);
    if (!attempt.isOverdue) {
        upstream.health.consecutiveOverdue = 0;
    }
    recordSuccess(upstream.limit, isSlow(upstream.health, state.baseline));
    const Duration trialLatencyLimit = state.latencies[static_cast<std::size_t>(attempt.rank)].quantiles.p90;
    recordTrialEnd(context, index, elapsed <= trialLatencyLimit);
}

void recordFailureOf(StepContext &context, UpstreamIndex index, Duration elapsed)
{
    recordResult(context.state.upstreams[index].health, true);
    backOffAfterFailure(context, index, elapsed);
    recordTrialEnd(context, index, false);
}

void recordShedOf(StepContext &context, UpstreamIndex index)
{
    UpstreamState &upstream = context.state.upstreams[index];
    recordShed(upstream.limit, upstream.inFlight);
    if (upstream.inFlight == 0) {
        const Duration service{static_cast<std::int64_t>(meanServiceNanoseconds(context.state))};
        backOff(context, index, std::max<Duration>(service, MinimumBackoff));
    }
    recordTrialEnd(context, index, false);
}

/** Removes an attempt that ended or was cancelled from the counts. */
void endAttempt(ServiceState &state, UpstreamState &upstream, const AttemptState &attempt)
{
    --state.running[static_cast<std::size_t>(attempt.rank)];
    --upstream.inFlight;
    if (attempt.isOverdue) {
        --upstream.overdueInFlight;
    }
}

/** Resets the health and the limit of an upstream that receives no calls for now. It returns with a slow start. */
void resetHealth(ServiceState &state, UpstreamState &upstream)
{
    if (upstream.health.state != HealthState::Healthy) {
        --state.ejectedUpstreams;
    }
    upstream.health = {};
    upstream.limit = slowStart(upstream.upstream.slots);
}

UpstreamIndex addUpstream(ServiceState &state, const Upstream &upstream, bool isWarm)
{
    const auto unused = std::find_if(state.upstreams.begin(), state.upstreams.end(), [](const UpstreamState &known) {
        return !known.isAssigned && known.inFlight == 0;
    });
    const auto index = static_cast<UpstreamIndex>(unused - state.upstreams.begin());
    if (unused == state.upstreams.end()) {
        state.upstreams.emplace_back();
    } else {
        state.upstreamByName.erase(unused->upstream.name);
    }
    UpstreamState &added = state.upstreams[index];
    updateSlotCounts(state, added, 0, 0);
    added = UpstreamState{.upstream = upstream, .limit = isWarm ? fullLimit(upstream.slots) : slowStart(upstream.slots)};
    added.isLeaving = state.leavingUpstreams.contains(upstream.name);
    state.upstreamByName[upstream.name] = index;
    return index;
}

void refreshAllUpstreams(ServiceState &state, TimePoint now)
{
    state.usableUpstreams = 0;
    for (std::size_t index = 0; index < state.upstreams.size(); ++index) {
        UpstreamState &upstream = state.upstreams[index];
        if (isUsable(upstream)) {
            ++state.usableUpstreams;
        } else {
            resetHealth(state, upstream);
        }
        refreshUpstream(state, static_cast<UpstreamIndex>(index), now);
    }
}

}

bool isStalled(const UpstreamState &upstream)
{
    const std::uint32_t threshold = std::min(OverdueAttemptsToStall, std::max(upstream.limit.slots, 1U));
    return upstream.overdueInFlight >= threshold;
}

void refreshUpstream(ServiceState &state, UpstreamIndex index, TimePoint now)
{
    UpstreamState &upstream = state.upstreams[index];
    const bool receivesCalls = isUsable(upstream) && upstream.health.state == HealthState::Healthy && !isStalled(upstream);
    const std::uint32_t slots = receivesCalls ? allowedCalls(upstream.limit) : 0;
    const bool isBackingOff = now < upstream.backoffUntil;
    const std::uint32_t freeSlots = !isBackingOff && slots > upstream.inFlight ? slots - upstream.inFlight : 0;
    updateSlotCounts(state, upstream, slots, freeSlots);
    if (freeSlots > 0) {
        insertOrUpdate(state.freeUpstreams, index, costOf(state, upstream));
    } else {
        remove(state.freeUpstreams, index);
    }
}

void assignUpstreams(StepContext &context, const UpstreamsAssigned &event)
{
    ServiceState &state = context.state;
    const bool isFirst = state.upstreams.empty();
    for (UpstreamState &upstream : state.upstreams) {
        upstream.isAssigned = false;
    }
    std::vector<const Upstream *> added;
    for (const Upstream &upstream : event.upstreams) {
        const auto known = state.upstreamByName.find(upstream.name);
        if (known == state.upstreamByName.end()) {
            added.push_back(&upstream);
            continue;
        }
        UpstreamState &assigned = state.upstreams[known->second];
        assigned.upstream = upstream;
        assigned.isAssigned = true;
        changeSlots(assigned.limit, upstream.slots);
    }
    for (const Upstream *upstream : added) {
        addUpstream(state, *upstream, isFirst);
    }
    refreshAllUpstreams(state, context.now);
}

void changeLeaving(StepContext &context, const UpstreamLeaving &event)
{
    ServiceState &state = context.state;
    if (event.isLeaving) {
        state.leavingUpstreams.insert(event.upstream);
    } else {
        state.leavingUpstreams.erase(event.upstream);
    }
    const auto found = state.upstreamByName.find(event.upstream);
    if (found == state.upstreamByName.end() || state.upstreams[found->second].isLeaving == event.isLeaving) {
        return;
    }
    UpstreamState &upstream = state.upstreams[found->second];
    const bool wasUsable = isUsable(upstream);
    upstream.isLeaving = event.isLeaving;
    if (event.isLeaving) {
        resetHealth(state, upstream);
    }
    state.usableUpstreams += static_cast<std::uint32_t>(isUsable(upstream)) - static_cast<std::uint32_t>(wasUsable);
    refreshUpstream(state, found->second, context.now);
}

void recordAttemptEnd(StepContext &context, const AttemptState &attempt, AttemptOutcome outcome)
{
    const UpstreamIndex index = *attempt.upstream;
    UpstreamState &upstream = context.state.upstreams[index];
    const Duration elapsed = context.now - attempt.startedAt;
    endAttempt(context.state, upstream, attempt);
    switch (outcome) {
    case AttemptOutcome::Succeeded:
        recordSuccessOf(context, attempt, elapsed);
        break;
    case AttemptOutcome::Shed:
        recordShedOf(context, index);
        break;
    case AttemptOutcome::DeadlinePassed:
        recordLatency(upstream.health, elapsed);
        recordTrialEnd(context, index, false);
        break;
    case AttemptOutcome::ServerError:
    case AttemptOutcome::NotSent:
    case AttemptOutcome::ConnectionLost:
        recordFailureOf(context, index, elapsed);
        break;
    }
    if (isOutlier(upstream.health, context.state.baseline)) {
        tryEject(context, index);
    }
    refreshUpstream(context.state, index, context.now);
}

void recordCancellation(StepContext &context, const AttemptState &attempt)
{
    const UpstreamIndex index = *attempt.upstream;
    UpstreamState &upstream = context.state.upstreams[index];
    endAttempt(context.state, upstream, attempt);
    if (attempt.isOverdue) {
        recordLatency(upstream.health, context.now - attempt.startedAt);
    }
    if (attempt.isTrial) {
        recordTrialEnd(context, index, false);
    }
    if (isOutlier(upstream.health, context.state.baseline)) {
        tryEject(context, index);
    }
    refreshUpstream(context.state, index, context.now);
}

void recordOverdue(StepContext &context, AttemptState &attempt)
{
    UpstreamState &upstream = context.state.upstreams[*attempt.upstream];
    if (!attempt.isOverdue) {
        attempt.isOverdue = true;
        ++upstream.overdueInFlight;
        ++upstream.health.consecutiveOverdue;
    }
    if (upstream.health.consecutiveOverdue >= OverdueAttemptsToEject) {
        tryEject(context, *attempt.upstream);
    }
    refreshUpstream(context.state, *attempt.upstream, context.now);
}

void tryEject(StepContext &context, UpstreamIndex index)
{
    ServiceState &state = context.state;
    UpstreamState &upstream = state.upstreams[index];
    const bool isAllowed = state.ejectedUpstreams < maximumEjected(state.usableUpstreams);
    if (upstream.health.state != HealthState::Healthy || !isUsable(upstream) || !isAllowed) {
        return;
    }
    ++state.ejectedUpstreams;
    ejectAndScheduleTrial(context, index);
    context.actions.emplace_back(EjectionChanged{.upstream = upstream.upstream.name, .isEjected = true});
    refreshUpstream(state, index, context.now);
}

void onUpstreamTimer(StepContext &context, UpstreamIndex index)
{
    ServiceState &state = context.state;
    UpstreamState &upstream = state.upstreams[index];
    const bool isTrialDue = upstream.health.state == HealthState::Ejected && context.now >= upstream.health.ejectedUntil;
    const bool hasFreeSlot = upstream.inFlight < upstream.upstream.slots;
    if (isTrialDue && !hasFreeSlot) {
        schedule(state.timers, {.due = context.now + TrialRetryInterval, .kind = TimerKind::Upstream, .id = index});
        return;
    }
    if (isTrialDue) {
        upstream.health.state = HealthState::Trial;
        state.awaitingTrial.push_back(index);
    }
    refreshUpstream(state, index, context.now);
}

}
