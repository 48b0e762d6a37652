#include "controllers/platformcallscheduler.h"

#include <algorithm>
#include <optional>

namespace Plantainweir {
namespace {

using Actions = std::vector<PlatformCallSchedulerAction>;

/** Inputs and results of one step. */
struct Step {
    PlatformCallScheduler &scheduler;
    const PlatformCallSchedulerSettings &settings;
    TimePoint now;
    std::mt19937_64 &random;
    Actions actions;
};

Duration tokenPeriod(const PlatformCallSchedulerSettings &settings)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1.0 / settings.callsPerSecond));
}

/** Returns when the token bucket allows the next call. */
TimePoint nextTokenAt(const Step &step)
{
    return step.scheduler.bucketFullAt - tokenPeriod(step.settings) * (step.settings.burst - 1);
}

void takeToken(Step &step)
{
    step.scheduler.bucketFullAt = std::max(step.scheduler.bucketFullAt, step.now) + tokenPeriod(step.settings);
}

/** Draws a backoff with jitter, uniformly from half the minimum up to a bound that doubles with each consecutive failure. */
Duration drawBackoff(Step &step)
{
    constexpr std::uint32_t MaximumDoublings = 20;
    const std::uint32_t doublings = std::min(step.scheduler.failuresInRow - 1, MaximumDoublings);
    const Duration bound = std::min(step.settings.maximumBackoff, step.settings.minimumBackoff * (1 << doublings));
    std::uniform_int_distribution<Duration::rep> pauses(step.settings.minimumBackoff.count() / 2, bound.count());
    return Duration(pauses(step.random));
}

void enqueue(Step &step, const PlatformCallSubmitted &call)
{
    if (waitingCount(step.scheduler) >= step.settings.queueLimit) {
        step.actions.emplace_back(RejectPlatformCall{.id = call.id, .reason = PlatformRejection::QueueFull});
        return;
    }
    step.scheduler.waiting[static_cast<std::size_t>(call.kind)].push_back({.id = call.id, .deadline = call.deadline});
}

void finish(Step &step, const PlatformCallFinished &call)
{
    step.scheduler.inFlight.erase(call.id);
    const bool isTrial = step.scheduler.trial == call.id;
    if (isTrial) {
        step.scheduler.trial.reset();
    }
    if (call.isAnswered) {
        step.scheduler.failuresInRow = 0;
        step.scheduler.breaker = BreakerState::Closed;
        step.scheduler.backoffUntil = step.now;
        return;
    }
    ++step.scheduler.failuresInRow;
    step.scheduler.backoffUntil = std::max(step.scheduler.backoffUntil, step.now + drawBackoff(step));
    const bool hasFailedTooOften = step.scheduler.breaker == BreakerState::Closed && step.scheduler.failuresInRow >= step.settings.failuresToOpen;
    if (isTrial || hasFailedTooOften) {
        step.scheduler.breaker = BreakerState::Open;
    }
}

void rejectExpired(Step &step)
{
    for (auto &queue : step.scheduler.waiting) {
        const auto isExpired = [&step](const WaitingPlatformCall &call) {
            if (call.deadline > step.now) {
                return false;
            }
            step.actions.emplace_back(RejectPlatformCall{.id = call.id, .reason = PlatformRejection::DeadlinePassed});
            return true;
        };
        std::erase_if(queue, isExpired);
    }
}

bool hasRoomInFlight(const Step &step)
{
    // A half-open breaker sends its trial call even if calls from before it opened fill the limit of calls in flight.
    return step.scheduler.breaker == BreakerState::HalfOpen ? !step.scheduler.trial : step.scheduler.inFlight.size() < step.settings.maximumCallsInFlight;
}

void maybeHalfOpenBreaker(Step &step)
{
    if (step.scheduler.breaker == BreakerState::Open && step.now >= step.scheduler.backoffUntil) {
        step.scheduler.breaker = BreakerState::HalfOpen;
    }
}

bool maySend(const Step &step)
{
    return step.now >= step.scheduler.backoffUntil && step.now >= nextTokenAt(step) && hasRoomInFlight(step);
}

void sendAllowed(Step &step)
{
    for (const auto &row : enumNames(PlatformCallKind{})) {
        auto &queue = step.scheduler.waiting[static_cast<std::size_t>(row.value)];
        while (!queue.empty() && maySend(step)) {
            step.scheduler.inFlight.emplace(queue.front().id, row.value);
            if (step.scheduler.breaker == BreakerState::HalfOpen) {
                step.scheduler.trial = queue.front().id;
            }
            step.actions.emplace_back(SendPlatformCall{queue.front().id});
            queue.pop_front();
            takeToken(step);
        }
    }
}

std::optional<TimePoint> nextTimer(const Step &step)
{
    std::optional<TimePoint> next;
    for (const auto &queue : step.scheduler.waiting) {
        for (const WaitingPlatformCall &call : queue) {
            next = std::min(next.value_or(call.deadline), call.deadline);
        }
    }
    if (next && hasRoomInFlight(step)) {
        next = std::min(*next, std::max(step.scheduler.backoffUntil, nextTokenAt(step)));
    }
    return next;
}

}

std::size_t waitingCount(const PlatformCallScheduler &scheduler)
{
    std::size_t count = 0;
    for (const auto &queue : scheduler.waiting) {
        count += queue.size();
    }
    return count;
}

std::vector<PlatformCallSchedulerAction> step(PlatformCallScheduler &scheduler,
                                              const PlatformCallSchedulerSettings &settings,
                                              const PlatformCallSchedulerEvent &event,
                                              TimePoint now,
                                              std::mt19937_64 &random)
{
    Step step{.scheduler = scheduler, .settings = settings, .now = now, .random = random, .actions = {}};
    if (const auto *submitted = std::get_if<PlatformCallSubmitted>(&event)) {
        enqueue(step, *submitted);
    }
    if (const auto *finished = std::get_if<PlatformCallFinished>(&event)) {
        finish(step, *finished);
    }
    rejectExpired(step);
    maybeHalfOpenBreaker(step);
    sendAllowed(step);
    if (const auto timer = nextTimer(step)) {
        step.actions.emplace_back(SchedulePlatformTimer{*timer});
    }
    return step.actions;
}

}
