#include "decision/binding.h"

#include "decision/admission.h"
#include "decision/hedging.h"
#include "decision/upstreams.h"

#include <algorithm>

namespace Plantainweir {
namespace {

/** Bounds on the time after which a refused caller is asked to retry. */
constexpr std::chrono::milliseconds MinimumRetryAfter{10};
constexpr std::chrono::milliseconds MaximumRetryAfter{1000};
/** Time that a hand-over adds to a call, to the co-owner and back. */
constexpr std::chrono::microseconds HandOverRoundTrip{2500};

RankQueue &queueOf(ServiceState &state, Rank rank)
{
    return state.queue.ranks[static_cast<std::size_t>(rank)];
}

/** Returns the queued call of the entry, or null if the call was removed from the queue. */
CallState *queuedCall(ServiceState &state, const QueueEntry &entry)
{
    const auto found = state.calls.find(entry.call);
    const bool isQueued = found != state.calls.end() && found->second.entryId == entry.entryId;
    return isQueued ? &found->second : nullptr;
}

/** Removes and returns the next queued call that can still be started, or returns null. */
CallState *popNextCall(StepContext &context)
{
    ServiceState &state = context.state;
    const RankSelectionInput input = rankSelectionInput(state, context.now);
    while (const auto rank = nextRank(state.queue, input)) {
        const QueueEntry entry = popFirst(queueOf(state, *rank));
        CallState *call = queuedCall(state, entry);
        if (call == nullptr) {
            continue;
        }
        const bool isTooLate = latestStart(state, call->arrival) < context.now && state.queue.size > 1;
        if (isTooLate) {
            endQueuedCall(context, *call, RefusalReason::DeadlinePassed);
            continue;
        }
        removeFromQueue(state, *call);
        return call;
    }
    return nullptr;
}

/** Removes and returns an upstream that awaits a trial if @p call is suitable as a trial call. */
std::optional<UpstreamIndex> popTrialUpstream(ServiceState &state, const CallState &call)
{
    const bool isSuitable = call.arrival.repeatability == Repeatability::Idempotent && call.attempts == 0 && call.runningCount == 0;
    while (isSuitable && !state.awaitingTrial.empty()) {
        const UpstreamIndex upstream = state.awaitingTrial.back();
        state.awaitingTrial.pop_back();
        if (state.upstreams[upstream].health.state == HealthState::Trial) {
            return upstream;
        }
    }
    return std::nullopt;
}

std::optional<UpstreamIndex> selectUpstream(ServiceState &state, const CallState &call)
{
    if (const auto trial = popTrialUpstream(state, call)) {
        return trial;
    }
    const auto other = lowestCost(state.freeUpstreams, call.lastUpstream);
    return other || call.runningCount > 0 ? other : lowestCost(state.freeUpstreams);
}

void startHandOver(StepContext &context, CallState &call, PeerState &peer)
{
    ServiceState &state = context.state;
    const AttemptId attempt = ++state.lastAttempt;
    ++peer.handOversSent;
    call.wasHandedOver = true;
    call.running[call.runningCount++] = attempt;
    state.attempts.emplace(attempt, AttemptState{.call = call.arrival.call, .peer = peer.name, .rank = call.arrival.rank, .startedAt = context.now});
    context.actions.emplace_back(HandOverCall{
        .attempt = attempt,
        .call = call.arrival.call,
        .peer = peer.name,
        .deadline = call.arrival.deadline,
    });
}

bool mayBeHandedOver(const CallState &call)
{
    return call.arrival.handedOverBy.empty() && !call.wasHandedOver && call.runningCount == 0;
}

/** Returns whether the queued calls of @p rank and higher ranks take longer than a hand-over adds. */
bool isWaitLongerThanHandOver(const ServiceState &state, std::size_t rank)
{
    double queuedSlotTime = 0.0;
    for (std::size_t index = 0; index <= rank; ++index) {
        queuedSlotTime += state.latencies[index].meanNanoseconds * state.queue.ranks[index].size;
    }
    return queuedSlotTime > static_cast<double>(Duration{HandOverRoundTrip}.count()) * state.slots;
}

/** Removes and returns one of the last queued calls of @p rank if it may be handed over, or returns null. */
CallState *popLastCall(ServiceState &state, RankQueue &rank)
{
    while (rank.size > 0) {
        const QueueEntry entry = rank.entries.back();
        CallState *call = queuedCall(state, entry);
        if (call != nullptr && !mayBeHandedOver(*call)) {
            return nullptr;
        }
        popLast(rank);
        if (call != nullptr) {
            removeFromQueue(state, *call);
            return call;
        }
    }
    return nullptr;
}

/** Hands over calls of one rank while the wait is longer than a hand-over and a co-owner has open slots for them. */
void handOverCallsOf(StepContext &context, std::size_t rank)
{
    ServiceState &state = context.state;
    while (isWaitLongerThanHandOver(state, rank)) {
        PeerState *peer = selectPeer(state.handOver, static_cast<Rank>(rank));
        CallState *call = peer != nullptr ? popLastCall(state, state.queue.ranks[rank]) : nullptr;
        if (call == nullptr) {
            return;
        }
        startHandOver(context, *call, *peer);
    }
}

}

void enqueue(StepContext &context, CallState &call, bool isRequeued)
{
    call.entryId = push(context.state.queue, call.arrival, isRequeued);
    schedule(context.state.timers,
             {
                 .due = std::max(latestStart(context.state, call.arrival), context.now),
                 .kind = TimerKind::QueuedCall,
                 .id = call.arrival.call,
                 .entryId = call.entryId,
             });
}

void removeFromQueue(ServiceState &state, CallState &call)
{
    if (call.entryId == 0) {
        return;
    }
    call.entryId = 0;
    markRemoved(state.queue, call.arrival);
}

AttemptState &startAttempt(StepContext &context, CallState &call, UpstreamIndex upstream)
{
    ServiceState &state = context.state;
    const Duration service = meanServiceTime(state.latencies[static_cast<std::size_t>(call.arrival.rank)]);
    const AttemptId attempt = ++state.lastAttempt;
    ++state.upstreams[upstream].inFlight;
    ++state.running[static_cast<std::size_t>(call.arrival.rank)];
    ++call.attempts;
    call.running[call.runningCount++] = attempt;
    call.lastUpstream = upstream;
    recordUsage(state, call.arrival.rank, service, context.now);
    chargeSlotTime(state.queue, call.arrival.rank, service);
    refreshUpstream(state, upstream, context.now);
    context.actions.emplace_back(StartAttempt{
        .attempt = attempt,
        .call = call.arrival.call,
        .upstream = state.upstreams[upstream].upstream.name,
        .deadline = call.arrival.deadline,
    });
    AttemptState &added = state.attempts[attempt];
    added = {.call = call.arrival.call, .upstream = upstream, .rank = call.arrival.rank, .startedAt = context.now};
    added.isTrial = state.upstreams[upstream].health.state == HealthState::Trial;
    scheduleCheck(context, attempt, added);
    return added;
}

void bindCalls(StepContext &context)
{
    ServiceState &state = context.state;
    while (state.queue.size > 0 && !state.freeUpstreams.heap.empty()) {
        CallState *call = popNextCall(context);
        if (call == nullptr) {
            return;
        }
        const auto upstream = selectUpstream(state, *call);
        if (!upstream) {
            enqueue(context, *call, true);
            return;
        }
        startAttempt(context, *call, *upstream);
    }
}

void cancelAttempts(StepContext &context, CallState &call, AttemptId exceptAttempt)
{
    ServiceState &state = context.state;
    for (std::uint32_t index = 0; index < call.runningCount; ++index) {
        const AttemptId attempt = call.running[index];
        const auto found = state.attempts.find(attempt);
        if (attempt == exceptAttempt || found == state.attempts.end()) {
            continue;
        }
        const AttemptState cancelled = found->second;
        state.attempts.erase(found);
        context.actions.emplace_back(CancelAttempt{.attempt = attempt});
        if (cancelled.upstream) {
            recordCancellation(context, cancelled);
        }
    }
    call.runningCount = 0;
}

void endQueuedCall(StepContext &context, CallState &call, RefusalReason reason)
{
    const CallId id = call.arrival.call;
    recordAdmission(context.state, true);
    const Duration wait = expectedWait(context.state, call.arrival.rank, call.arrival.caller, context.now);
    removeFromQueue(context.state, call);
    if (call.runningCount > 0) {
        return;
    }
    if (call.mayHaveRun) {
        context.actions.emplace_back(ReportUnknown{.call = id, .reason = UnknownReason::DeadlinePassed});
    } else {
        const Duration retryAfter = std::clamp<Duration>(wait, MinimumRetryAfter, MaximumRetryAfter);
        context.actions.emplace_back(RefuseCall{.call = id, .reason = reason, .retryAt = context.now + retryAfter});
    }
    context.state.calls.erase(id);
}

void handOverCalls(StepContext &context)
{
    for (std::size_t rank = context.state.queue.ranks.size(); rank-- > 0 && context.state.queue.size > 0;) {
        handOverCallsOf(context, rank);
    }
}

}
