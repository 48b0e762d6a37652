#include "decision/dispatch.h"

#include "decision/admission.h"
#include "decision/binding.h"
#include "decision/hedging.h"
#include "decision/upstreams.h"

#include <algorithm>

namespace Plantainweir {
namespace {

/** Limit on the attempts of one call, including those that did not run. */
constexpr std::uint32_t MaximumAttempts = 8;
constexpr std::chrono::milliseconds PeerLoadReportInterval{1};
constexpr std::chrono::milliseconds RetryAfterFailure{100};

std::optional<RetryReason> retryReasonOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::ServerError:
        return RetryReason::UpstreamError;
    case AttemptOutcome::Shed:
        return RetryReason::UpstreamShed;
    case AttemptOutcome::NotSent:
        return RetryReason::ConnectFailed;
    case AttemptOutcome::ConnectionLost:
        return RetryReason::ConnectionLost;
    case AttemptOutcome::Succeeded:
    case AttemptOutcome::DeadlinePassed:
        return std::nullopt;
    }
    return std::nullopt;
}

bool isCertainlyNotRun(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::Shed || outcome == AttemptOutcome::NotSent;
}

void removeRunningAttempt(CallState &call, AttemptId attempt)
{
    const auto begin = call.running.begin();
    const auto end = begin + call.runningCount;
    const auto found = std::find(begin, end, attempt);
    if (found != end) {
        *found = *(end - 1);
        --call.runningCount;
    }
}

/**
 * Returns whether the call is retried after a failed attempt.
 *
 * A retry withdraws a token from a budget, unless the failed attempt was a hand-over.
 */
bool tryRetry(StepContext &context, const CallState &call, const AttemptState &attempt, AttemptOutcome outcome)
{
    ServiceState &state = context.state;
    const bool isRepeatable = call.arrival.repeatability == Repeatability::Idempotent || isCertainlyNotRun(outcome);
    const bool hasTime = latestStart(state, call.arrival) > context.now;
    if (!retryReasonOf(outcome) || !isRepeatable || !hasTime || call.attempts >= MaximumAttempts || state.usableUpstreams == 0) {
        return false;
    }
    if (!attempt.upstream) {
        return true;
    }
    return withdraw(isCertainlyNotRun(outcome) ? state.notRunBudget : state.retryBudget);
}

void refuse(StepContext &context, const CallState &call, RefusalReason reason)
{
    const CallId id = call.arrival.call;
    context.actions.emplace_back(RefuseCall{.call = id, .reason = reason, .retryAt = context.now + RetryAfterFailure});
}

void reportUnknown(StepContext &context, const CallState &call, UnknownReason reason)
{
    context.actions.emplace_back(ReportUnknown{.call = call.arrival.call, .reason = reason});
}

/** Ends the call with the outcome of its last attempt. */
void finishCall(StepContext &context, const CallState &call, const AttemptState &attempt, const AttemptFinished &event)
{
    const CallId id = call.arrival.call;
    switch (event.outcome) {
    case AttemptOutcome::Succeeded:
    case AttemptOutcome::ServerError:
        context.actions.emplace_back(AnswerCall{.call = id, .attempt = event.attempt});
        break;
    case AttemptOutcome::Shed:
    case AttemptOutcome::NotSent:
        if (call.mayHaveRun) {
            reportUnknown(context, call, UnknownReason::ConnectionLost);
            break;
        }
        refuse(context, call, event.outcome == AttemptOutcome::Shed ? RefusalReason::UpstreamShed : RefusalReason::ConnectFailed);
        break;
    case AttemptOutcome::ConnectionLost:
        reportUnknown(context, call, attempt.upstream ? UnknownReason::ConnectionLost : UnknownReason::OwnerConnectionLost);
        break;
    case AttemptOutcome::DeadlinePassed:
        reportUnknown(context, call, UnknownReason::DeadlinePassed);
        break;
    }
    context.state.calls.erase(id);
}

void onSuccess(StepContext &context, CallState &call, const AttemptState &attempt, const AttemptFinished &event)
{
    if (attempt.isHedge && call.runningCount > 0) {
        refundHedge(context.state);
    }
    cancelAttempts(context, call, event.attempt);
    removeFromQueue(context.state, call);
    finishCall(context, call, attempt, event);
}

void onFailure(StepContext &context, CallState &call, const AttemptState &attempt, const AttemptFinished &event)
{
    call.mayHaveRun = call.mayHaveRun || !isCertainlyNotRun(event.outcome);
    const bool isPending = call.runningCount > 0 || call.entryId != 0;
    if (isPending) {
        return;
    }
    if (!tryRetry(context, call, attempt, event.outcome)) {
        finishCall(context, call, attempt, event);
        return;
    }
    if (attempt.upstream) {
        context.actions.emplace_back(CountRetry{.reason = *retryReasonOf(event.outcome)});
    }
    enqueue(context, call, true);
}

void recordServiceTime(ServiceState &state, const AttemptState &attempt, Duration elapsed)
{
    if (attempt.upstream && state.upstreams[*attempt.upstream].health.state == HealthState::Healthy) {
        addSample(state.latencies[static_cast<std::size_t>(attempt.rank)], elapsed);
    }
}

void handle(StepContext &context, const CallArrived &event)
{
    ServiceState &state = context.state;
    if (!event.handedOverBy.empty()) {
        recordReceivedHandOver(state.handOver, event.handedOverBy);
    }
    const auto reason = checkAdmission(state, event, context.now);
    if (reason) {
        CallState refused{.arrival = event};
        endQueuedCall(context, refused, *reason);
        return;
    }
    recordAdmission(state, false);
    deposit(state.retryBudget);
    deposit(state.notRunBudget);
    deposit(state.hedgeBudget);
    const auto [added, isNew] = state.calls.try_emplace(event.call, CallState{.arrival = event});
    if (isNew) {
        enqueue(context, added->second, false);
    }
}

void handle(StepContext &context, const CallAbandoned &event)
{
    ServiceState &state = context.state;
    const auto found = state.calls.find(event.call);
    if (found == state.calls.end()) {
        return;
    }
    CallState &call = found->second;
    const bool mustFinish = call.arrival.repeatability == Repeatability::AtMostOnce && call.runningCount > 0;
    if (mustFinish) {
        return;
    }
    removeFromQueue(state, call);
    cancelAttempts(context, call, 0);
    state.calls.erase(found);
}

void handle(StepContext &context, const AttemptFinished &event)
{
    ServiceState &state = context.state;
    const auto found = state.attempts.find(event.attempt);
    if (found == state.attempts.end()) {
        return;
    }
    const AttemptState attempt = found->second;
    state.attempts.erase(found);
    if (attempt.upstream) {
        if (event.outcome == AttemptOutcome::Succeeded) {
            recordServiceTime(state, attempt, context.now - attempt.startedAt);
        }
        recordAttemptEnd(context, attempt, event.outcome);
        recordCompletion(state, context.now);
        if (event.report && event.report->isDraining) {
            changeLeaving(context, {.upstream = state.upstreams[*attempt.upstream].upstream.name});
        }
    }
    const auto call = state.calls.find(attempt.call);
    if (call == state.calls.end()) {
        return;
    }
    removeRunningAttempt(call->second, event.attempt);
    if (event.outcome == AttemptOutcome::Succeeded) {
        onSuccess(context, call->second, attempt, event);
        return;
    }
    onFailure(context, call->second, attempt, event);
}

void handle(StepContext &context, const UpstreamsAssigned &event)
{
    assignUpstreams(context, event);
}

void handle(StepContext &context, const UpstreamLeaving &event)
{
    changeLeaving(context, event);
}

void handle(StepContext &context, const PeersAssigned &event)
{
    assignPeers(context.state.handOver, event);
}

void handle(StepContext &context, const PeerLoadReport &event)
{
    recordReport(context.state.handOver, event);
}

void handle(StepContext &, const TimerFired &)
{
    // step() handles due timers after every event.
}

void onQueuedCallTimer(StepContext &context, const Timer &timer)
{
    const auto call = context.state.calls.find(timer.id);
    if (call != context.state.calls.end() && call->second.entryId == timer.entryId) {
        endQueuedCall(context, call->second, RefusalReason::DeadlinePassed);
    }
}

/** Handles the due timers. Returns whether there was one. */
bool handleTimers(StepContext &context)
{
    bool wasDue = false;
    while (const auto timer = popDue(context.state.timers, context.now)) {
        wasDue = true;
        switch (timer->kind) {
        case TimerKind::QueuedCall:
            onQueuedCallTimer(context, *timer);
            break;
        case TimerKind::Attempt:
            checkAttempt(context, timer->id);
            break;
        case TimerKind::Upstream:
            onUpstreamTimer(context, static_cast<UpstreamIndex>(timer->id));
            break;
        case TimerKind::PeerLoadReport:
            context.state.handOver.isReportScheduled = false;
            break;
        }
    }
    return wasDue;
}

SlotUse currentSlotUse(const ServiceState &state)
{
    SlotUse use{.freeSlots = state.freeSlots, .running = state.running};
    for (std::size_t rank = 0; rank < use.queued.size(); ++rank) {
        use.queued[rank] = state.queue.ranks[rank].size;
    }
    return use;
}

/**
 * Sends load reports to the co-owners if the open slots have changed or calls were received from a co-owner.
 *
 * There is at most one report per PeerLoadReportInterval.
 */
void reportToPeers(StepContext &context)
{
    HandOverState &handOver = context.state.handOver;
    const OpenSlots slots = openSlotsOf(currentSlotUse(context.state));
    const bool hasChanged = slots != handOver.reportedSlots || handOver.hasUnreportedHandOvers;
    if (handOver.peers.empty() || handOver.isReportScheduled || !hasChanged) {
        return;
    }
    if (context.now < handOver.nextReportAt) {
        handOver.isReportScheduled = true;
        schedule(context.state.timers, {.due = handOver.nextReportAt, .kind = TimerKind::PeerLoadReport});
        return;
    }
    handOver.nextReportAt = context.now + PeerLoadReportInterval;
    reportToPeers(handOver, slots, context.state.queue.size, context.actions);
}

}

void step(ServiceState &state, const ServiceEvent &event, TimePoint now, RandomGenerator &random, ServiceActions &actions)
{
    StepContext context{.state = state, .now = now, .random = random, .actions = actions};
    std::visit(
        [&context](const auto &specific) {
            handle(context, specific);
        },
        event);
    bindCalls(context);
    if (handleTimers(context)) {
        bindCalls(context);
    }
    handOverCalls(context);
    state.throughput.isBacklogged = state.throughput.isBacklogged && state.queue.size > 0;
    reportToPeers(context);
}

std::optional<TimePoint> nextWakeUp(const ServiceState &state)
{
    if (state.timers.timers.empty()) {
        return std::nullopt;
    }
    return state.timers.timers.front().due;
}

}
