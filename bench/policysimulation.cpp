#include "policysimulation.h"

#include <algorithm>
#include <cmath>

namespace Plantainweir {
namespace {

constexpr double FinishedToleranceNanoseconds = 1.0;
constexpr std::chrono::milliseconds FailureTime{1};

}

bool EventQueue::isLater(const Entry &left, const Entry &right)
{
    return left.at != right.at ? left.at > right.at : left.sequence > right.sequence;
}

void EventQueue::schedule(TimePoint at, Handler handler)
{
    m_heap.push_back({.at = std::max(at, m_now), .sequence = ++m_sequence, .handler = std::move(handler)});
    std::push_heap(m_heap.begin(), m_heap.end(), isLater);
}

bool EventQueue::runNext()
{
    if (m_heap.empty()) {
        return false;
    }
    std::pop_heap(m_heap.begin(), m_heap.end(), isLater);
    const Entry entry = std::move(m_heap.back());
    m_heap.pop_back();
    m_now = entry.at;
    entry.handler();
    return true;
}

TimePoint EventQueue::now() const
{
    return m_now;
}

SimulatedUpstreams::SimulatedUpstreams(EventQueue &events, const DeploymentModel &model, std::size_t calls, CompletionHandler onCompleted)
    : m_events(events)
    , m_onCompleted(std::move(onCompleted))
    , m_executions(calls, 0)
{
    for (const ServiceModel &service : model.services) {
        m_firstOfService.push_back(m_states.size());
        for (std::size_t upstream = 0; upstream < service.upstreams; ++upstream) {
            m_states.push_back({
                .availabilityZone = upstream % model.availabilityZones,
                .slots = service.slots,
                .connectionLimit = service.connectionLimit,
            });
        }
    }
}

std::size_t SimulatedUpstreams::indexOf(std::size_t service, std::size_t upstream) const
{
    return m_firstOfService[service] + upstream;
}

std::size_t SimulatedUpstreams::availabilityZoneOf(std::size_t upstream) const
{
    return m_states[upstream].availabilityZone;
}

double SimulatedUpstreams::speedOf(std::size_t upstream) const
{
    return m_states[upstream].isPaused ? 0.0 : m_states[upstream].speed;
}

std::uint32_t SimulatedUpstreams::slotsOf(std::size_t upstream) const
{
    const SimulatedUpstream &upstreamState = m_states[upstream];
    return upstreamState.slotLimit > 0 ? upstreamState.slotLimit : upstreamState.slots;
}

bool SimulatedUpstreams::isFaulty(std::size_t upstream) const
{
    return m_states[upstream].isFailing || m_states[upstream].isDraining || m_states[upstream].isStopped;
}

LoadReport SimulatedUpstreams::reportOf(std::size_t upstream) const
{
    const SimulatedUpstream &upstreamState = m_states[upstream];
    return {
        .busySlots = static_cast<std::uint32_t>(upstreamState.running.size()),
        .queuedCalls = static_cast<std::uint32_t>(upstreamState.queue.size()),
        .isDraining = upstreamState.isDraining,
    };
}

std::uint32_t SimulatedUpstreams::executionsOf(CallId call) const
{
    return m_executions[call];
}

void SimulatedUpstreams::receive(std::size_t upstream, const Request &request)
{
    SimulatedUpstream &upstreamState = m_states[upstream];
    if (upstreamState.isStopped) {
        m_onCompleted(request.requestId, AttemptOutcome::NotSent, reportOf(upstream));
        return;
    }
    const std::size_t limit = upstreamState.slotLimit > 0 ? upstreamState.slotLimit : upstreamState.connectionLimit;
    if (upstreamState.running.size() + upstreamState.queue.size() >= limit) {
        m_onCompleted(request.requestId, AttemptOutcome::Shed, reportOf(upstream));
        return;
    }
    if (upstreamState.isFailing) {
        ++m_executions[request.call];
        m_events.schedule(m_events.now() + FailureTime, [this, upstream, requestId = request.requestId] {
            m_onCompleted(requestId, AttemptOutcome::ServerError, reportOf(upstream));
        });
        return;
    }
    advance(upstreamState);
    upstreamState.queue.push_back(request);
    runQueued(upstream);
}

void SimulatedUpstreams::cancel(std::size_t upstream, std::size_t requestId)
{
    if (speedOf(upstream) > 0.0) {
        withdraw(upstream, requestId);
    }
}

bool SimulatedUpstreams::withdraw(std::size_t upstream, std::size_t requestId)
{
    SimulatedUpstream &upstreamState = m_states[upstream];
    advance(upstreamState);
    const auto queued = std::erase_if(upstreamState.queue, [requestId](const Request &request) {
        return request.requestId == requestId;
    });
    const auto running = std::erase_if(upstreamState.running, [requestId](const Execution &execution) {
        return execution.request.requestId == requestId;
    });
    runQueued(upstream);
    return queued + running > 0;
}

void SimulatedUpstreams::apply(const UpstreamChange &change)
{
    const std::size_t upstream = indexOf(change.service, change.upstream);
    SimulatedUpstream &upstreamState = m_states[upstream];
    const bool isOn = change.value > 0.0;
    advance(upstreamState);
    switch (change.kind) {
    case ChangeKind::Speed:
        upstreamState.speed = change.value;
        break;
    case ChangeKind::Pause:
        upstreamState.isPaused = isOn;
        break;
    case ChangeKind::Failing:
        upstreamState.isFailing = isOn;
        break;
    case ChangeKind::SlotLimit:
        upstreamState.slotLimit = static_cast<std::uint32_t>(change.value);
        break;
    case ChangeKind::Draining:
        upstreamState.isDraining = isOn;
        break;
    case ChangeKind::Stopped:
        upstreamState.isStopped = isOn;
        break;
    case ChangeKind::LeavingAnnounced:
    case ChangeKind::Assigned:
        break;
    }
    runQueued(upstream);
}

/** Subtracts the work done since the last call of this function from the running executions. */
void SimulatedUpstreams::advance(SimulatedUpstream &upstreamState)
{
    const double elapsed = static_cast<double>((m_events.now() - upstreamState.advancedAt).count());
    const double done = upstreamState.isPaused ? 0.0 : elapsed * upstreamState.speed;
    upstreamState.advancedAt = m_events.now();
    for (Execution &execution : upstreamState.running) {
        execution.remaining -= done;
    }
}

/** Starts queued calls in free slots; those whose deadline has passed are answered as not run. */
void SimulatedUpstreams::runQueued(std::size_t upstream)
{
    SimulatedUpstream &upstreamState = m_states[upstream];
    while (speedOf(upstream) > 0.0 && !upstreamState.queue.empty() && upstreamState.running.size() < slotsOf(upstream)) {
        const Request request = upstreamState.queue.front();
        upstreamState.queue.pop_front();
        if (request.deadline <= m_events.now()) {
            m_onCompleted(request.requestId, AttemptOutcome::Shed, reportOf(upstream));
            continue;
        }
        ++m_executions[request.call];
        upstreamState.running.push_back({.request = request, .remaining = static_cast<double>(request.serviceTime.count())});
    }
    scheduleNext(upstream);
}

void SimulatedUpstreams::scheduleNext(std::size_t upstream)
{
    SimulatedUpstream &upstreamState = m_states[upstream];
    const std::uint64_t version = ++upstreamState.version;
    if (upstreamState.running.empty() || speedOf(upstream) == 0.0) {
        return;
    }
    const auto next = std::min_element(upstreamState.running.begin(), upstreamState.running.end(), [](const Execution &left, const Execution &right) {
        return left.remaining < right.remaining;
    });
    const auto left = std::chrono::nanoseconds(static_cast<std::int64_t>(std::ceil(std::max(next->remaining, 0.0) / upstreamState.speed)));
    m_events.schedule(m_events.now() + left, [this, upstream, version] {
        if (m_states[upstream].version == version) {
            finishDue(upstream);
        }
    });
}

void SimulatedUpstreams::finishDue(std::size_t upstream)
{
    SimulatedUpstream &upstreamState = m_states[upstream];
    advance(upstreamState);
    std::vector<std::size_t> finished;
    std::erase_if(upstreamState.running, [&finished](const Execution &execution) {
        const bool isDone = execution.remaining < FinishedToleranceNanoseconds;
        if (isDone) {
            finished.push_back(execution.request.requestId);
        }
        return isDone;
    });
    runQueued(upstream);
    for (const std::size_t requestId : finished) {
        m_onCompleted(requestId, AttemptOutcome::Succeeded, reportOf(upstream));
    }
}

}
