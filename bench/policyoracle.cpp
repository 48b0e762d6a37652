#include "policydriver.h"

#include <algorithm>
#include <deque>
#include <optional>

namespace Plantainweir {
namespace {

constexpr double MinimumUsableSpeed = 0.5;
/** A call with less time left is refused if others wait behind it; 99% of calls need less service time. */
constexpr std::chrono::milliseconds MinimumRemainingTime{75};

/** Share of the slots that each rank keeps while another one floods. */
constexpr double GuaranteedShare = 0.05;
constexpr double MaximumShareCredit = 2.0;

/** The queue of a service, best rank first except for the guaranteed shares. */
struct OracleQueue {
    std::array<double, enumCount<Rank>()> shareCredit{}; ///< Slots that a waiting rank has earned by its guaranteed share.
    std::array<std::deque<CallId>, enumCount<Rank>()> waiting;
    std::vector<std::uint32_t> assigned; ///< Number of calls assigned to each upstream, in transit or running.
};

/** Credits the ranks that wait with their guaranteed shares, and charges the rank that gets the slot. */
void updateShareCredits(OracleQueue &queue, std::size_t served)
{
    for (std::size_t rank = 0; rank < queue.shareCredit.size(); ++rank) {
        const double earned = queue.waiting[rank].empty() ? 0.0 : GuaranteedShare;
        const double spent = rank == served ? 1.0 : 0.0;
        queue.shareCredit[rank] = std::clamp(queue.shareCredit[rank] + earned - spent, 0.0, MaximumShareCredit);
    }
}

class Oracle
{
public:
    explicit Oracle(RunRecord &record);
    void run();

private:
    void scheduleArrival(CallId call);
    void receive(CallId call);
    void assignCalls(std::size_t service);
    std::optional<std::size_t> freeUpstream(std::size_t service) const;
    std::uint32_t freeSlots(std::size_t service, std::size_t upstream) const;
    std::optional<CallId> popNext(std::size_t service);
    std::optional<CallId> popAnswerable(std::deque<CallId> &waiting);
    void assign(CallId call, std::size_t upstream);
    void onCompleted(CallId call, AttemptOutcome outcome);
    void apply(const UpstreamChange &change);
    void withdrawIdempotentCalls(std::size_t service, std::size_t upstream);
    Duration delayTo(CallId call, std::size_t service, std::size_t upstream) const;

    RunRecord &m_record;
    EventQueue m_events;
    SimulatedUpstreams m_upstreams;
    std::vector<OracleQueue> m_queues;
    std::vector<std::optional<std::size_t>> m_assignedUpstream; ///< Upstream of each call.
};

Oracle::Oracle(RunRecord &record)
    : m_record(record)
    , m_upstreams(m_events,
                  record.model,
                  record.arrivals.size(),
                  [this](std::size_t call, AttemptOutcome outcome, const LoadReport &) {
                      onCompleted(call, outcome);
                  })
    , m_queues(record.model.services.size())
    , m_assignedUpstream(record.arrivals.size())
{
    for (std::size_t service = 0; service < m_queues.size(); ++service) {
        m_queues[service].assigned.assign(record.model.services[service].upstreams, 0);
    }
}

void Oracle::run()
{
    for (const UpstreamChange &change : m_record.plan.changes) {
        m_events.schedule(TimePoint{} + change.at, [this, change] {
            apply(change);
        });
    }
    scheduleArrival(0);
    while (m_events.runNext()) {
    }
    for (CallId call = 0; call < m_record.arrivals.size(); ++call) {
        m_record.executions.push_back(m_upstreams.executionsOf(call));
    }
}

/** Schedules the arrival of one call, which schedules the next, to keep the event queue short. */
void Oracle::scheduleArrival(CallId call)
{
    if (call >= m_record.arrivals.size()) {
        return;
    }
    const Arrival &arrival = m_record.arrivals[call];
    m_record.results[call].contactedEntry = arrival.caller % m_record.model.entries;
    m_events.schedule(arrival.sentAt + m_record.model.toCaller, [this, call] {
        receive(call);
        scheduleArrival(call + 1);
    });
}

void Oracle::receive(CallId call)
{
    const Arrival &arrival = m_record.arrivals[call];
    m_queues[arrival.service].waiting[static_cast<std::size_t>(arrival.rank)].push_back(call);
    assignCalls(arrival.service);
}

/** Returns the number of slots that are neither busy nor assigned to a call in transit; 0 for a faulty or slow upstream. */
std::uint32_t Oracle::freeSlots(std::size_t service, std::size_t upstream) const
{
    const std::size_t index = m_upstreams.indexOf(service, upstream);
    const std::uint32_t slots = m_upstreams.slotsOf(index);
    const std::uint32_t assigned = m_queues[service].assigned[upstream];
    const bool isUsable = !m_upstreams.isFaulty(index) && m_upstreams.speedOf(index) >= MinimumUsableSpeed;
    return isUsable && assigned < slots ? slots - assigned : 0;
}

std::optional<std::size_t> Oracle::freeUpstream(std::size_t service) const
{
    std::optional<std::size_t> best;
    std::uint32_t bestFree = 0;
    for (std::size_t upstream = 0; upstream < m_queues[service].assigned.size(); ++upstream) {
        const std::uint32_t free = freeSlots(service, upstream);
        if (free > bestFree) {
            best = upstream;
            bestFree = free;
        }
    }
    return best;
}

/** Removes and returns the first call of a rank that can be answered in time, and refuses the calls before it. */
std::optional<CallId> Oracle::popAnswerable(std::deque<CallId> &waiting)
{
    while (!waiting.empty()) {
        const CallId call = waiting.front();
        waiting.pop_front();
        const Duration left = deadlineAtEntry(m_record.model, m_record.arrivals[call]) - m_events.now();
        if (left > MinimumRemainingTime || (waiting.empty() && left > Duration::zero())) {
            return call;
        }
        m_record.results[call].end = CallEnd::NotRun;
        m_record.results[call].refusal = RefusalReason::DeadlineUnreachable;
        m_record.results[call].endedAt = m_events.now() + m_record.model.toCaller;
    }
    return std::nullopt;
}

/** Removes and returns the next call of a rank that has earned a slot, else of the best rank. */
std::optional<CallId> Oracle::popNext(std::size_t service)
{
    OracleQueue &queue = m_queues[service];
    for (const double requiredCredit : {1.0, -MaximumShareCredit}) {
        for (std::size_t rank = 0; rank < queue.waiting.size(); ++rank) {
            const auto call = queue.shareCredit[rank] >= requiredCredit ? popAnswerable(queue.waiting[rank]) : std::nullopt;
            if (call) {
                updateShareCredits(queue, rank);
                return call;
            }
        }
    }
    return std::nullopt;
}

void Oracle::assignCalls(std::size_t service)
{
    while (const auto upstream = freeUpstream(service)) {
        const auto call = popNext(service);
        if (!call) {
            return;
        }
        assign(*call, *upstream);
    }
}

/** Sends the call to the upstream; a call that has waited longer than its network delay to the upstream starts at once. */
void Oracle::assign(CallId call, std::size_t upstream)
{
    const Arrival &arrival = m_record.arrivals[call];
    const std::size_t index = m_upstreams.indexOf(arrival.service, upstream);
    const TimePoint reachesUpstream = arrival.sentAt + m_record.model.toCaller + delayTo(call, arrival.service, upstream);
    ++m_queues[arrival.service].assigned[upstream];
    m_assignedUpstream[call] = upstream;
    m_events.schedule(reachesUpstream, [this, call, index] {
        m_upstreams.receive(index, {.requestId = call, .call = call, .serviceTime = m_record.arrivals[call].serviceTime, .deadline = TimePoint::max()});
    });
}

void Oracle::onCompleted(CallId call, AttemptOutcome outcome)
{
    const Arrival &arrival = m_record.arrivals[call];
    const std::size_t upstream = *m_assignedUpstream[call];
    const Duration networkDelay = delayTo(call, arrival.service, upstream);
    CallResult &result = m_record.results[call];
    result.end = outcome == AttemptOutcome::Succeeded ? CallEnd::Answered : CallEnd::ServerError;
    result.upstream = m_upstreams.indexOf(arrival.service, upstream);
    result.endedAt = m_events.now() + networkDelay + m_record.model.toCaller;
    result.networkTime = 2 * (networkDelay + m_record.model.toCaller);
    --m_queues[arrival.service].assigned[upstream];
    m_assignedUpstream[call].reset();
    assignCalls(arrival.service);
}

void Oracle::apply(const UpstreamChange &change)
{
    m_upstreams.apply(change);
    if (change.kind == ChangeKind::Speed && change.value < MinimumUsableSpeed) {
        withdrawIdempotentCalls(change.service, change.upstream);
    }
    assignCalls(change.service);
}

/** Withdraws idempotent calls from an upstream that has just become slow and puts them at the head of the queue. */
void Oracle::withdrawIdempotentCalls(std::size_t service, std::size_t upstream)
{
    for (CallId call = 0; call < m_assignedUpstream.size(); ++call) {
        const Arrival &arrival = m_record.arrivals[call];
        const bool isHere = m_assignedUpstream[call] == upstream && arrival.service == service;
        const auto rank = static_cast<std::size_t>(arrival.rank);
        if (isHere && m_record.model.workKinds[rank].repeatability == Repeatability::Idempotent
            && m_upstreams.withdraw(m_upstreams.indexOf(service, upstream), call)) {
            --m_queues[service].assigned[upstream];
            m_assignedUpstream[call].reset();
            m_queues[service].waiting[rank].push_front(call);
        }
    }
}

Duration Oracle::delayTo(CallId call, std::size_t service, std::size_t upstream) const
{
    const std::size_t entryZone = availabilityZoneOfEntry(m_record.model, m_record.results[call].contactedEntry);
    return delayBetween(m_record.model, entryZone, m_upstreams.availabilityZoneOf(m_upstreams.indexOf(service, upstream)));
}

}

void runOracle(RunRecord &record)
{
    Oracle(record).run();
}

}
