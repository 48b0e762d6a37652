#pragma once

#include "decision/serviceevents.h"
#include "policyscenarios.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

/** Discrete event simulation of time and upstreams for the policy bench. */
namespace Plantainweir {

/** Virtual time: runs handlers in the order of their times, those of equal time in the order of scheduling. */
class EventQueue
{
public:
    using Handler = std::function<void()>;

    /** Schedules @p handler at @p at, or now if that has passed. */
    void schedule(TimePoint at, Handler handler);
    /** Runs the next handler. @return false if nothing is scheduled. */
    bool runNext();
    TimePoint now() const;

private:
    struct Entry {
        TimePoint at;
        std::uint64_t sequence = 0;
        Handler handler;
    };
    static bool isLater(const Entry &left, const Entry &right);

    std::vector<Entry> m_heap;
    std::uint64_t m_sequence = 0;
    TimePoint m_now{};
};

/** Simulated upstreams, which run calls in their slots, queue calls up to their connection limits and count executions. */
class SimulatedUpstreams
{
public:
    /** One call sent to an upstream; its sender chooses the request id. */
    struct Request {
        std::size_t requestId = 0;
        CallId call = 0;
        Duration serviceTime{};
        TimePoint deadline{};
    };
    /** Called at the end of a request at the upstream, before the network delay of its answer. */
    using CompletionHandler = std::function<void(std::size_t requestId, AttemptOutcome outcome, const LoadReport &report)>;

    SimulatedUpstreams(EventQueue &events, const DeploymentModel &model, std::size_t calls, CompletionHandler onCompleted);

    /** Returns the index of the upstream over all services. */
    std::size_t indexOf(std::size_t service, std::size_t upstream) const;
    std::size_t availabilityZoneOf(std::size_t upstream) const;
    void receive(std::size_t upstream, const Request &request);
    /** Cancels a request, at its deadline or for its sender; no answer follows. A stalled upstream ignores the cancellation. */
    void cancel(std::size_t upstream, std::size_t requestId);
    /** Removes a request at once, from a stalled upstream too. @return false if the upstream does not have it. */
    bool withdraw(std::size_t upstream, std::size_t requestId);
    void apply(const UpstreamChange &change);
    LoadReport reportOf(std::size_t upstream) const;
    double speedOf(std::size_t upstream) const;
    /** Returns the number of calls that the upstream runs at the same time. */
    std::uint32_t slotsOf(std::size_t upstream) const;
    /** Returns whether a call sent now would fail. */
    bool isFaulty(std::size_t upstream) const;
    std::uint32_t executionsOf(CallId call) const;

private:
    struct Execution {
        Request request;
        double remaining = 0.0; ///< Service time that is left, in nanoseconds at full speed.
    };
    struct SimulatedUpstream {
        std::size_t availabilityZone = 0;
        std::uint32_t slots = 1;
        std::uint32_t connectionLimit = 1;
        std::uint32_t slotLimit = 0;
        double speed = 1.0;
        bool isPaused = false;
        bool isFailing = false;
        bool isDraining = false;
        bool isStopped = false;
        TimePoint advancedAt{};
        std::uint64_t version = 0; ///< Version of the schedule; wake-ups of older versions are ignored.
        std::vector<Execution> running{};
        std::deque<Request> queue{};
    };
    void advance(SimulatedUpstream &upstreamState);
    void runQueued(std::size_t upstream);
    void scheduleNext(std::size_t upstream);
    void finishDue(std::size_t upstream);

    EventQueue &m_events;
    CompletionHandler m_onCompleted;
    std::vector<std::size_t> m_firstOfService;
    std::vector<SimulatedUpstream> m_states;
    std::vector<std::uint32_t> m_executions;
};

}
