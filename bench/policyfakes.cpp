#include "policyfakes.h"

#include <algorithm>
#include <cmath>

namespace Plantainweir {
namespace {

constexpr double DoneNanoseconds = 1.0;
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

UpstreamFakes::UpstreamFakes(EventQueue &events, const DeploymentModel &model, std::size_t calls, Answered answered)
    : m_events(events)
    , m_answered(std::move(answered))
    , m_executions(calls, 0)
{
    for (const ServiceModel &service : model.services) {
        m_firstOfService.push_back(m_fakes.size());
        for (std::size_t upstream = 0; upstream < service.upstreams; ++upstream) {
            m_fakes.push_back({
                .availabilityZone = upstream % model.availabilityZones,
                .slots = service.slots,
                .connectionLimit = service.connectionLimit,
            });
        }
    }
}

std::size_t UpstreamFakes::indexOf(std::size_t service, std::size_t upstream) const
{
    return m_firstOfService[service] + upstream;
}

std::size_t UpstreamFakes::availabilityZoneOf(std::size_t upstream) const
{
    return m_fakes[upstream].availabilityZone;
}

double UpstreamFakes::speedOf(std::size_t upstream) const
{
    return m_fakes[upstream].isPaused ? 0.0 : m_fakes[upstream].speed;
}

std::uint32_t UpstreamFakes::slotsOf(std::size_t upstream) const
{
    const Fake &fake = m_fakes[upstream];
    return fake.slotLimit > 0 ? fake.slotLimit : fake.slots;
}

bool UpstreamFakes::isFaulty(std::size_t upstream) const
{
    return m_fakes[upstream].isFailing || m_fakes[upstream].isDraining || m_fakes[upstream].isStopped;
}

LoadReport UpstreamFakes::reportOf(std::size_t upstream) const
{
    const Fake &fake = m_fakes[upstream];
    return {
        .busySlots = static_cast<std::uint32_t>(fake.running.size()),
        .queuedCalls = static_cast<std::uint32_t>(fake.queue.size()),
        .isDraining = fake.isDraining,
    };
}

std::uint32_t UpstreamFakes::executionsOf(CallId call) const
{
    return m_executions[call];
}

void UpstreamFakes::receive(std::size_t upstream, const Request &request)
{
    Fake &fake = m_fakes[upstream];
    if (fake.isStopped) {
        m_answered(request.ticket, AttemptOutcome::NotSent, reportOf(upstream));
        return;
    }
    const std::size_t limit = fake.slotLimit > 0 ? fake.slotLimit : fake.connectionLimit;
    if (fake.running.size() + fake.queue.size() >= limit) {
        m_answered(request.ticket, AttemptOutcome::Shed, reportOf(upstream));
        return;
    }
    if (fake.isFailing) {
        ++m_executions[request.call];
        m_events.schedule(m_events.now() + FailureTime, [this, upstream, ticket = request.ticket] {
            m_answered(ticket, AttemptOutcome::ServerError, reportOf(upstream));
        });
        return;
    }
    advance(fake);
    fake.queue.push_back(request);
    runQueued(upstream);
}

void UpstreamFakes::cancel(std::size_t upstream, std::size_t ticket)
{
    if (speedOf(upstream) > 0.0) {
        withdraw(upstream, ticket);
    }
}

bool UpstreamFakes::withdraw(std::size_t upstream, std::size_t ticket)
{
    Fake &fake = m_fakes[upstream];
    advance(fake);
    const auto queued = std::erase_if(fake.queue, [ticket](const Request &request) {
        return request.ticket == ticket;
    });
    const auto running = std::erase_if(fake.running, [ticket](const Execution &execution) {
        return execution.request.ticket == ticket;
    });
    runQueued(upstream);
    return queued + running > 0;
}

void UpstreamFakes::apply(const UpstreamChange &change)
{
    const std::size_t upstream = indexOf(change.service, change.upstream);
    Fake &fake = m_fakes[upstream];
    const bool isOn = change.value > 0.0;
    advance(fake);
    switch (change.kind) {
    case ChangeKind::Speed:
        fake.speed = change.value;
        break;
    case ChangeKind::Pause:
        fake.isPaused = isOn;
        break;
    case ChangeKind::Failing:
        fake.isFailing = isOn;
        break;
    case ChangeKind::SlotLimit:
        fake.slotLimit = static_cast<std::uint32_t>(change.value);
        break;
    case ChangeKind::Draining:
        fake.isDraining = isOn;
        break;
    case ChangeKind::Stopped:
        fake.isStopped = isOn;
        break;
    case ChangeKind::LeavingAnnounced:
    case ChangeKind::Assigned:
        break;
    }
    runQueued(upstream);
}

/** Accounts for the work done since the last call. */
void UpstreamFakes::advance(Fake &fake)
{
    const double elapsed = static_cast<double>((m_events.now() - fake.advancedAt).count());
    const double done = fake.isPaused ? 0.0 : elapsed * fake.speed;
    fake.advancedAt = m_events.now();
    for (Execution &execution : fake.running) {
        execution.remaining -= done;
    }
}

/** Starts queued calls in free slots; those whose deadline has passed are answered as not run. */
void UpstreamFakes::runQueued(std::size_t upstream)
{
    Fake &fake = m_fakes[upstream];
    while (speedOf(upstream) > 0.0 && !fake.queue.empty() && fake.running.size() < slotsOf(upstream)) {
        const Request request = fake.queue.front();
        fake.queue.pop_front();
        if (request.deadline <= m_events.now()) {
            m_answered(request.ticket, AttemptOutcome::Shed, reportOf(upstream));
            continue;
        }
        ++m_executions[request.call];
        fake.running.push_back({.request = request, .remaining = static_cast<double>(request.work.count())});
    }
    scheduleNext(upstream);
}

void UpstreamFakes::scheduleNext(std::size_t upstream)
{
    Fake &fake = m_fakes[upstream];
    const std::uint64_t version = ++fake.version;
    if (fake.running.empty() || speedOf(upstream) == 0.0) {
        return;
    }
    const auto next = std::min_element(fake.running.begin(), fake.running.end(), [](const Execution &left, const Execution &right) {
        return left.remaining < right.remaining;
    });
    const auto left = std::chrono::nanoseconds(static_cast<std::int64_t>(std::ceil(std::max(next->remaining, 0.0) / fake.speed)));
    m_events.schedule(m_events.now() + left, [this, upstream, version] {
        if (m_fakes[upstream].version == version) {
            onDue(upstream);
        }
    });
}

void UpstreamFakes::onDue(std::size_t upstream)
{
    Fake &fake = m_fakes[upstream];
    advance(fake);
    std::vector<std::size_t> finished;
    std::erase_if(fake.running, [&finished](const Execution &execution) {
        const bool isDone = execution.remaining < DoneNanoseconds;
        if (isDone) {
            finished.push_back(execution.request.ticket);
        }
        return isDone;
    });
    runQueued(upstream);
    for (const std::size_t ticket : finished) {
        m_answered(ticket, AttemptOutcome::Succeeded, reportOf(upstream));
    }
}

}
