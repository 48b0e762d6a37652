#pragma once

#include "decision/serviceevents.h"
#include "policyscenarios.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

/** Stand-ins of the policy bench for time and upstreams. */
namespace Plantainweir {

/** Virtual time: runs what is scheduled in the order of time, then of scheduling. */
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

/** Upstreams that run calls in their slots, queue what their connections allow and count what they execute. */
class SimulatedUpstreams
{
public:
    /** One call sent to an upstream; @p ticket is the sender's own number for it. */
    struct Request {
        std::size_t requestId = 0;
        CallId call = 0;
        Duration serviceTime{};
        TimePoint deadline{};
    };
    /** Tells the end of a request at the upstream, before its way back. */
    using CompletionHandler = std::function<void(std::size_t requestId, AttemptOutcome outcome, const LoadReport &report)>;

    SimulatedUpstreams(EventQueue &events, const DeploymentModel &model, std::size_t calls, CompletionHandler onCompleted);

    /** Returns the number of the upstream among those of all services. */
    std::size_t indexOf(std::size_t service, std::size_t upstream) const;
    std::size_t availabilityZoneOf(std::size_t upstream) const;
    void receive(std::size_t upstream, const Request &request);
    /** Gives a request up, at its deadline or on the sender's word; no answer follows. A stalled upstream hears nothing. */
    void cancel(std::size_t upstream, std::size_t requestId);
    /** Takes a request away without a message. @return false if it is not there. */
    bool withdraw(std::size_t upstream, std::size_t requestId);
    void apply(const UpstreamChange &change);
    LoadReport reportOf(std::size_t upstream) const;
    double speedOf(std::size_t upstream) const;
    /** Returns the calls that the upstream runs at the same time. */
    std::uint32_t slotsOf(std::size_t upstream) const;
    /** Returns whether a call sent now would fail. */
    bool isFaulty(std::size_t upstream) const;
    std::uint32_t executionsOf(CallId call) const;

private:
    struct Execution {
        Request request;
        double remaining = 0.0; ///< Nanoseconds at full speed.
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
        std::uint64_t version = 0; ///< Of the schedule; outdated wake-ups are ignored.
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
