#pragma once

#include "decision/proxying.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

/** Plays a load in virtual time: many entry VMs, each with a step() of its own, and upstreams with few slots. */
namespace Plantainweir {

/** Calls that arrive at random times, spread evenly over the entry VMs. */
struct PlayedCalls {
    std::string account;
    std::uint32_t priority = 0;
    std::string service = "desk"; ///< One of PlayedLoad::services.
    double weight = 1.0; ///< Of the account.
    double perSecond = 100.0;
    Repeatability repeatability = Repeatability::Idempotent;
};

struct PlayedLoad {
    std::size_t zones = 4;
    std::size_t entriesPerZone = 50;
    std::size_t upstreamsPerZone = 25;
    std::vector<std::string> services = {"desk"}; ///< They share the upstreams of each availability zone evenly.
    std::uint32_t slots = 2;
    std::uint32_t queuePlaces = 4;
    bool isSilentWhenFull = true; ///< Whether an upstream never answers a call that it cannot queue; otherwise it sheds it.
    double noisyShare = 0.3; ///< Share of the time in which other work on its VM slows an upstream down.
    double noisySlowdown = 5.0;
    double swing = 0.0; ///< Amplitude of the waves of the load, which reach the zones one after the other.
    Duration workTime = std::chrono::milliseconds(76);
    Duration target = std::chrono::milliseconds(250);
    Duration timeout = std::chrono::milliseconds(800);
    Duration idleTime = std::chrono::milliseconds(8500); ///< Time after which an idle connection is closed.
    Duration duration = std::chrono::seconds(20);
    Duration fullFrom{}; ///< Time after the start at which work of others takes all room at the upstreams.
    Duration fullUntil{}; ///< Time after the start at which it ends.
    Duration countedFrom{}; ///< Calls that arrive earlier after the start are not part of the outcomes.
    double probesPerSecond = 47.0; ///< Limit of each entry VM.
    std::size_t subsetSize = 4; ///< As in ProxySettings.
    FullRefusalSettings fullRefusal{.share = 0.5, .slots = 2.0};
    Duration zoneMemory{}; ///< As in ProxySettings.
    std::vector<PlayedCalls> calls;
    std::uint64_t seed = 1;
};

/** What the callers of one PlayedCalls got. */
struct PlayedOutcome {
    int calls = 0;
    int inTime = 0; ///< Answered within the target.
    int answered = 0;
    int refused = 0;
    int unknown = 0; ///< May have run, without an answer.
    double servedShare() const
    {
        return static_cast<double>(answered) / calls;
    }
    double inTimeShare() const
    {
        return static_cast<double>(inTime) / calls;
    }
};

struct PlayedResult {
    std::vector<PlayedOutcome> outcomes; ///< In the order of PlayedLoad::calls.
    int probes = 0;
    int attempts = 0;
    int otherZoneProbes = 0; ///< Probes of upstreams in another availability zone than the entry VM.
    int otherZoneAttempts = 0; ///< Attempts at upstreams in another availability zone than the entry VM.
    int connections = 0; ///< Opened connections.
    int neverAnswered = 0; ///< Attempts that an upstream could not queue.
    std::vector<int> attemptsByUpstream;
};

class ProxyLoadPlayer
{
public:
    explicit ProxyLoadPlayer(const PlayedLoad &load);
    PlayedResult play();

private:
    struct Entry {
        std::size_t zone = 0;
        ProxyState state;
        TimePoint wakeUp;
        std::map<std::size_t, std::vector<TimePoint>> idleConnections; ///< By upstream: when each is closed.
    };
    struct Work {
        std::size_t entry = 0;
        ProxyAttemptId attempt = 0;
    };
    struct Upstream {
        std::size_t zone = 0;
        std::vector<ProxyAttemptId> running;
        std::deque<Work> queue;
    };
    struct Call {
        std::size_t kind = 0;
        TimePoint admittedAt;
    };

    void schedule(TimePoint at, std::function<void()> handler);
    void scheduleArrival(std::size_t kind, TimePoint after);
    void feed(std::size_t entry, const ProxyEvent &event);
    void execute(std::size_t entry, const StartProbe &action);
    void execute(std::size_t entry, const StartProxyAttempt &action);
    void execute(std::size_t entry, const CancelProxyAttempt &action);
    void execute(std::size_t entry, const RequestColdCredit &action);
    void execute(std::size_t entry, const CancelColdCredit &action);
    void execute(std::size_t entry, const ReturnColdCredit &action);
    void execute(std::size_t entry, const EndProxyCall &action);
    /** Returns the delay until a request of @p entry reaches @p upstream, on an idle or a new connection. */
    Duration connect(std::size_t entry, std::size_t upstream);
    Duration delay(std::size_t entry, std::size_t upstream) const;
    bool isSameZone(std::size_t entry, std::size_t upstream) const;
    void keepConnection(std::size_t entry, std::size_t upstream);
    void receive(std::size_t upstream, const Work &work);
    void run(std::size_t upstream, const Work &work);
    void finish(std::size_t upstream, const Work &work);
    void remove(std::size_t upstream, ProxyAttemptId attempt);
    void runQueued(std::size_t upstream);
    double slowdownAt(std::size_t upstream, TimePoint at) const;
    /** Returns whether work of others takes all room at the upstreams now. */
    bool isFull() const;
    UpstreamLoad loadOf(std::size_t upstream) const;

    PlayedLoad m_load;
    PlayedResult m_result;
    std::mt19937_64 m_random;
    TimePoint m_now{std::chrono::seconds(1000)};
    TimePoint m_fullFrom;
    TimePoint m_fullUntil;
    TimePoint m_countedFrom;
    TimePoint m_end;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<Entry> m_entries;
    std::vector<Upstream> m_upstreams;
    std::map<ProxyCallId, Call> m_calls;
    std::map<ProxyAttemptId, std::size_t> m_attempts; ///< Upstreams of the open attempts. The ids differ between entry VMs.
    ProxyCallId m_lastCall = 0;
};

}
