#include "fakes/fakeupstreammodel.h"

#include <algorithm>

namespace Plantainweir {
namespace {

Duration sampleServiceTime(const FakeUpstreamState &state, TimePoint now, std::mt19937_64 &random)
{
    const bool isCold = now < state.startedAt + state.settings.coldStart;
    const double factor = state.slowFactor * (isCold ? state.settings.coldStartFactor : 1.0);
    std::exponential_distribution<double> distribution(1.0);
    return fromMilliseconds(toMilliseconds(state.settings.serviceTime) * factor * distribution(random));
}

void countStart(FakeUpstreamState &state, const FakeWork &work)
{
    ++state.counts.started;
    FakeExecutions &executions = state.executions[work.key];
    executions.workKind = work.workKind;
    ++executions.started;
}

void countCompletion(FakeUpstreamState &state, const FakeWork &work)
{
    ++state.counts.completed;
    ++state.executions[work.key].completed;
}

/** Counts the execution at once, so that the count is final before the connection closes. */
void executeAtOnce(FakeUpstreamState &state, const FakeWork &work)
{
    countStart(state, work);
    countCompletion(state, work);
}

/** Returns the reply of a fault that answers work on arrival, or nothing. */
std::optional<FakeReplyKind> replyAtArrival(FakeUpstreamState &state, const FakeWork &work)
{
    switch (state.fault) {
    case FakeFault::Shed:
        ++state.counts.shed;
        return FakeReplyKind::ShedNotRun;
    case FakeFault::FailFast:
        executeAtOnce(state, work);
        return FakeReplyKind::ServerError;
    case FakeFault::CloseBeforeRun:
        return FakeReplyKind::Close;
    case FakeFault::CloseAfterRun:
        executeAtOnce(state, work);
        return FakeReplyKind::Close;
    case FakeFault::CloseInAnswer:
        executeAtOnce(state, work);
        return FakeReplyKind::CloseInAnswer;
    case FakeFault::None:
    case FakeFault::Stall:
    case FakeFault::FalseLoad:
        return std::nullopt;
    }
    return std::nullopt;
}

void start(FakeUpstreamState &state, const FakeWork &work, TimePoint now, std::mt19937_64 &random)
{
    countStart(state, work);
    state.running.emplace(work.id, FakeExecution{.work = work, .finishAt = now + sampleServiceTime(state, now, random)});
}

void finishRuns(FakeUpstreamState &state, TimePoint now, FakeReplies &replies)
{
    if (state.fault == FakeFault::Stall) {
        return;
    }
    for (auto run = state.running.begin(); run != state.running.end();) {
        if (run->second.finishAt > now) {
            ++run;
            continue;
        }
        countCompletion(state, run->second.work);
        replies.push_back({.id = run->first, .kind = FakeReplyKind::Answer});
        run = state.running.erase(run);
    }
}

void startQueued(FakeUpstreamState &state, TimePoint now, std::mt19937_64 &random, FakeReplies &replies)
{
    while (!state.queue.empty() && state.running.size() < state.settings.slots) {
        const FakeWork work = state.queue.front();
        state.queue.pop_front();
        if (work.deadline <= now) {
            ++state.counts.expired;
            replies.push_back({.id = work.id, .kind = FakeReplyKind::ExpiredNotRun});
            continue;
        }
        start(state, work, now, random);
    }
}

void countArrival(FakeUpstreamState &state, TimePoint now)
{
    ++state.counts.arrived;
    if (state.drainingSince) {
        ++state.counts.arrivedWhileDraining;
        state.counts.lastArrivalAfterDrain = now - *state.drainingSince;
    }
}

}

void receiveWork(FakeUpstreamState &state, const FakeWork &work, TimePoint now, std::mt19937_64 &random, FakeReplies &replies)
{
    advance(state, now, random, replies);
    countArrival(state, now);
    if (const auto reply = replyAtArrival(state, work)) {
        replies.push_back({.id = work.id, .kind = *reply});
        return;
    }
    const bool isFull = state.running.size() >= state.settings.slots && state.queue.size() >= state.settings.queueLength;
    if (isFull) {
        ++state.counts.shed;
        replies.push_back({.id = work.id, .kind = FakeReplyKind::ShedNotRun});
        return;
    }
    state.queue.push_back(work);
    startQueued(state, now, random, replies);
}

void advance(FakeUpstreamState &state, TimePoint now, std::mt19937_64 &random, FakeReplies &replies)
{
    finishRuns(state, now, replies);
    startQueued(state, now, random, replies);
}

void cancel(FakeUpstreamState &state, WorkId id)
{
    const auto queued = std::find_if(state.queue.begin(), state.queue.end(), [id](const FakeWork &work) {
        return work.id == id;
    });
    if (queued != state.queue.end()) {
        state.queue.erase(queued);
        ++state.counts.cancelled;
        return;
    }
    state.counts.cancelled += state.running.erase(id);
}

void setDraining(FakeUpstreamState &state, bool isDraining, TimePoint now)
{
    if (!isDraining) {
        state.drainingSince.reset();
        return;
    }
    if (!state.drainingSince) {
        state.drainingSince = now;
    }
}

std::optional<TimePoint> nextWakeUp(const FakeUpstreamState &state)
{
    if (state.fault == FakeFault::Stall) {
        return std::nullopt;
    }
    if (state.running.empty()) {
        return state.queue.empty() ? std::nullopt : std::optional(TimePoint::min());
    }
    const auto earliest = std::min_element(state.running.begin(), state.running.end(), [](const auto &left, const auto &right) {
        return left.second.finishAt < right.second.finishAt;
    });
    return earliest->second.finishAt;
}

}
