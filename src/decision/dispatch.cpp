#include "decision/dispatch.h"

#include <algorithm>

namespace Plantainweir {
namespace {

constexpr std::chrono::milliseconds RetryAfterRefusal{100};
constexpr std::uint32_t MaximumAttempts = 3;

/** The arguments that every handler of an event shares. */
struct StepContext {
    ServiceState &state;
    TimePoint now;
    ServiceActions &actions;
};

bool isUsable(const UpstreamState &upstream)
{
    return upstream.isAssigned && !upstream.isLeaving && !upstream.upstream.isDraining;
}

/** Returns the index of a usable upstream with the most free slots, or nothing. */
std::optional<std::size_t> findFreeUpstream(const ServiceState &state)
{
    std::optional<std::size_t> best;
    std::uint32_t bestFree = 0;
    for (std::size_t index = 0; index < state.upstreams.size(); ++index) {
        const UpstreamState &upstream = state.upstreams[index];
        const bool hasFreeSlot = isUsable(upstream) && upstream.inFlight < upstream.upstream.slots;
        const std::uint32_t free = hasFreeSlot ? upstream.upstream.slots - upstream.inFlight : 0;
        if (free > bestFree) {
            best = index;
            bestFree = free;
        }
    }
    return best;
}

void refuse(StepContext &context, CallId call, RefusalReason reason)
{
    context.actions.emplace_back(RefuseCall{.call = call, .reason = reason, .retryAt = context.now + RetryAfterRefusal});
    context.state.calls.erase(call);
}

void enqueue(StepContext &context, const CallArrived &arrival)
{
    context.state.queues[static_cast<std::size_t>(arrival.rank)].push_back(arrival.call);
    context.state.deadlines.emplace(arrival.deadline, arrival.call);
}

std::optional<CallId> takeNextCall(ServiceState &state)
{
    for (auto &queue : state.queues) {
        while (!queue.empty()) {
            const CallId call = queue.front();
            queue.pop_front();
            const auto found = state.calls.find(call);
            if (found != state.calls.end() && found->second.attemptsInFlight == 0) {
                return call;
            }
        }
    }
    return std::nullopt;
}

void startAttempt(StepContext &context, CallId call, std::size_t upstreamIndex)
{
    ServiceState &state = context.state;
    UpstreamState &upstream = state.upstreams[upstreamIndex];
    CallState &callState = state.calls.at(call);
    const AttemptId attempt = ++state.lastAttempt;
    ++upstream.inFlight;
    ++callState.attempts;
    ++callState.attemptsInFlight;
    state.attempts.emplace(attempt, AttemptState{.call = call, .upstream = upstreamIndex});
    context.actions.emplace_back(StartAttempt{
        .attempt = attempt,
        .call = call,
        .upstream = upstream.upstream.name,
        .deadline = callState.arrival.deadline,
    });
}

/** Binds queued calls to free slots, best rank first. */
void bindCalls(StepContext &context)
{
    while (const auto upstream = findFreeUpstream(context.state)) {
        const auto call = takeNextCall(context.state);
        if (!call) {
            return;
        }
        startAttempt(context, *call, *upstream);
    }
}

void handle(StepContext &context, const CallArrived &event)
{
    context.state.calls.emplace(event.call, CallState{.arrival = event});
    const bool hasUpstream = std::any_of(context.state.upstreams.begin(), context.state.upstreams.end(), isUsable);
    if (!hasUpstream) {
        refuse(context, event.call, RefusalReason::NoUpstream);
        return;
    }
    enqueue(context, event);
}

void handle(StepContext &context, const CallAbandoned &event)
{
    const auto found = context.state.calls.find(event.call);
    if (found != context.state.calls.end() && found->second.attemptsInFlight == 0) {
        context.state.calls.erase(found);
    }
}

std::optional<RetryReason> retryReasonOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::ServerError:
        return RetryReason::UpstreamError;
    case AttemptOutcome::Shed:
        return RetryReason::UpstreamShed;
    case AttemptOutcome::NotSent:
        return RetryReason::ConnectFailed;
    case AttemptOutcome::Lost:
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

void finishCall(StepContext &context, CallId call, const AttemptFinished &event)
{
    switch (event.outcome) {
    case AttemptOutcome::Succeeded:
    case AttemptOutcome::ServerError:
        context.actions.emplace_back(AnswerCall{.call = call, .attempt = event.attempt});
        break;
    case AttemptOutcome::Shed:
        refuse(context, call, RefusalReason::UpstreamShed);
        return;
    case AttemptOutcome::NotSent:
        refuse(context, call, RefusalReason::ConnectFailed);
        return;
    case AttemptOutcome::Lost:
        context.actions.emplace_back(ReportUnknown{.call = call, .reason = UnknownReason::ConnectionLost});
        break;
    case AttemptOutcome::DeadlinePassed:
        context.actions.emplace_back(ReportUnknown{.call = call, .reason = UnknownReason::DeadlinePassed});
        break;
    }
    context.state.calls.erase(call);
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
    UpstreamState &upstream = state.upstreams[attempt.upstream];
    --upstream.inFlight;
    if (event.report && event.report->isDraining) {
        upstream.isLeaving = true;
    }
    const auto call = state.calls.find(attempt.call);
    if (call == state.calls.end()) {
        return;
    }
    --call->second.attemptsInFlight;
    const auto reason = retryReasonOf(event.outcome);
    const bool isRepeatable = call->second.arrival.repeatability == Repeatability::Idempotent || isCertainlyNotRun(event.outcome);
    const bool hasTime = call->second.arrival.deadline > context.now;
    if (reason && isRepeatable && hasTime && call->second.attempts < MaximumAttempts) {
        context.actions.emplace_back(CountRetry{.reason = *reason});
        enqueue(context, call->second.arrival);
        return;
    }
    finishCall(context, attempt.call, event);
}

void handle(StepContext &context, const UpstreamsAssigned &event)
{
    for (UpstreamState &upstream : context.state.upstreams) {
        upstream.isAssigned = false;
    }
    for (const Upstream &assigned : event.upstreams) {
        const auto found = std::find_if(context.state.upstreams.begin(), context.state.upstreams.end(), [&assigned](const UpstreamState &known) {
            return known.upstream.name == assigned.name;
        });
        if (found == context.state.upstreams.end()) {
            context.state.upstreams.push_back({.upstream = assigned});
            continue;
        }
        found->upstream = assigned;
        found->isAssigned = true;
    }
}

void handle(StepContext &context, const UpstreamLeaving &event)
{
    for (UpstreamState &upstream : context.state.upstreams) {
        if (upstream.upstream.name == event.upstream) {
            upstream.isLeaving = event.isLeaving;
        }
    }
}

void handle(StepContext &, const PeersAssigned &) { }

void handle(StepContext &, const PeerReport &) { }

void handle(StepContext &context, const TimerFired &)
{
    auto &deadlines = context.state.deadlines;
    while (!deadlines.empty() && deadlines.begin()->first <= context.now) {
        const CallId call = deadlines.begin()->second;
        deadlines.erase(deadlines.begin());
        const auto found = context.state.calls.find(call);
        if (found != context.state.calls.end() && found->second.attemptsInFlight == 0) {
            refuse(context, call, RefusalReason::DeadlinePassed);
        }
    }
}

}

void step(ServiceState &state, const ServiceEvent &event, TimePoint now, RandomGenerator &random, ServiceActions &actions)
{
    static_cast<void>(random);
    StepContext context{.state = state, .now = now, .actions = actions};
    std::visit(
        [&context](const auto &specific) {
            handle(context, specific);
        },
        event);
    bindCalls(context);
}

std::optional<TimePoint> nextWakeUp(const ServiceState &state)
{
    if (state.deadlines.empty()) {
        return std::nullopt;
    }
    return state.deadlines.begin()->first;
}

}
