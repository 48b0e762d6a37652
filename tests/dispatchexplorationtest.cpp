#include "decision/dispatch.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

/** Feeds random events in virtual time and checks invariants after each one. A failure prints its seed. */
namespace Plantainweir {
namespace {

constexpr std::uint64_t Seeds = 60;
constexpr int EventsPerSeed = 3000;
constexpr std::uint32_t UpstreamCount = 6;

struct ObservedCall {
    Repeatability repeatability = Repeatability::AtMostOnce;
    bool isAbandoned = false;
    bool mayHaveRun = false;
    std::uint32_t running = 0;
    std::uint32_t handOvers = 0;
    bool arrivedByHandOver = false;
    std::uint32_t finalActions = 0;
};

struct ObservedAttempt {
    CallId call = 0;
    std::string upstream; ///< Empty for a hand-over.
    TimePoint deadline;
};

class InvariantChecker
{
public:
    explicit InvariantChecker(std::uint64_t seed)
        : m_random(seed)
        , m_decisionRandom(seed + 1)
    {
        send(assignment());
        send(PeersAssigned{.peers = {"peer-1", "peer-2"}});
    }

    void run()
    {
        for (int event = 0; event < EventsPerSeed && !::testing::Test::HasFatalFailure(); ++event) {
            m_now += std::chrono::microseconds(below(2000));
            fireTimers();
            sendRandomEvent();
        }
        finishAll();
        for (const auto &[id, call] : m_calls) {
            const bool mayStayOpen = call.isAbandoned;
            EXPECT_TRUE(call.finalActions == 1 || (mayStayOpen && call.finalActions == 0)) << "call " << id << ", final actions " << call.finalActions;
        }
        EXPECT_EQ(m_state.queue.size, 0U);
        EXPECT_TRUE(m_state.calls.empty());
        EXPECT_TRUE(m_state.attempts.empty());
    }

private:
    std::uint64_t below(std::uint64_t limit)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, limit - 1)(m_random);
    }

    UpstreamsAssigned assignment()
    {
        UpstreamsAssigned event;
        m_usable.clear();
        m_assigned.clear();
        for (std::uint32_t index = 0; index < UpstreamCount; ++index) {
            if (below(6) == 0) {
                continue;
            }
            const std::string name = "upstream-" + std::to_string(index);
            const bool isDraining = below(8) == 0;
            Upstream upstream;
            upstream.name = name;
            upstream.slots = SlotsPerUpstream;
            upstream.isDraining = isDraining;
            event.upstreams.push_back(upstream);
            if (isDraining) {
                continue;
            }
            m_assigned.insert(name);
            if (!m_leaving.contains(name)) {
                m_usable.insert(name);
            }
        }
        return event;
    }

    void sendRandomEvent()
    {
        const std::uint64_t kind = below(100);
        if (kind < 45) {
            arrive();
        } else if (kind < 90) {
            finishRandomAttempt();
        } else if (kind < 93) {
            abandonRandomCall();
        } else if (kind < 95) {
            send(PeerLoadReport{.peer = "peer-1",
                                .openSlots = {static_cast<std::uint32_t>(below(4)), static_cast<std::uint32_t>(below(4)), static_cast<std::uint32_t>(below(4))},
                                .handOversReceived = m_handOversToPeer});
        } else if (kind < 97) {
            changeLeaving();
        } else if (kind == 97) {
            send(assignment());
        }
    }

    void arrive()
    {
        const CallId id = ++m_lastCall;
        CallArrived arrival{.call = id, .rank = static_cast<Rank>(below(3)), .deadline = m_now + std::chrono::milliseconds(below(200)), .caller = below(5)};
        arrival.repeatability = below(2) == 0 ? Repeatability::Idempotent : Repeatability::AtMostOnce;
        if (below(10) == 0) {
            arrival.handedOverBy = "peer-2";
        }
        m_calls[id] = {.repeatability = arrival.repeatability, .arrivedByHandOver = !arrival.handedOverBy.empty()};
        send(arrival);
    }

    void finishRandomAttempt()
    {
        if (m_attempts.empty()) {
            return;
        }
        auto attempt = m_attempts.begin();
        std::advance(attempt, static_cast<std::ptrdiff_t>(below(m_attempts.size())));
        const std::uint64_t draw = below(20);
        finish(attempt->first, draw < 15 ? AttemptOutcome::Succeeded : static_cast<AttemptOutcome>(below(enumCount<AttemptOutcome>())));
    }

    void finish(AttemptId id, AttemptOutcome outcome)
    {
        const ObservedAttempt attempt = m_attempts.at(id);
        ObservedCall &call = m_calls.at(attempt.call);
        m_attempts.erase(id);
        --call.running;
        call.mayHaveRun = call.mayHaveRun || (outcome != AttemptOutcome::Shed && outcome != AttemptOutcome::NotSent);
        m_finishing = id;
        send(AttemptFinished{.attempt = id, .outcome = outcome});
    }

    void abandonRandomCall()
    {
        const CallId id = 1 + below(m_lastCall + 1);
        if (const auto call = m_calls.find(id); call != m_calls.end() && call->second.finalActions == 0) {
            call->second.isAbandoned = true;
            send(CallAbandoned{.call = id});
        }
    }

    void changeLeaving()
    {
        const std::string name = "upstream-" + std::to_string(below(UpstreamCount));
        const bool isLeaving = below(2) == 0;
        if (isLeaving) {
            m_leaving.insert(name);
            m_usable.erase(name);
        } else {
            m_leaving.erase(name);
            if (m_assigned.contains(name)) {
                m_usable.insert(name);
            }
        }
        send(UpstreamLeaving{.upstream = name, .isLeaving = isLeaving});
    }

    void fireTimers()
    {
        for (const auto due = nextWakeUp(m_state); due && *due <= m_now;) {
            send(TimerFired{});
            break;
        }
        std::vector<AttemptId> late;
        for (const auto &[id, attempt] : m_attempts) {
            if (attempt.deadline <= m_now) {
                late.push_back(id);
            }
        }
        for (const AttemptId id : late) {
            if (m_attempts.contains(id)) {
                finish(id, AttemptOutcome::DeadlinePassed);
            }
        }
    }

    void finishAll()
    {
        while (!m_attempts.empty()) {
            finish(m_attempts.begin()->first, AttemptOutcome::Succeeded);
        }
        m_now += std::chrono::seconds(1);
        send(TimerFired{});
        while (!m_attempts.empty()) {
            finish(m_attempts.begin()->first, AttemptOutcome::Succeeded);
        }
    }

    void send(const ServiceEvent &event)
    {
        ServiceActions actions;
        step(m_state, event, m_now, m_decisionRandom, actions);
        for (const ServiceAction &action : actions) {
            std::visit(
                [this](const auto &specific) {
                    observe(specific);
                },
                action);
        }
        checkSlots();
    }

    void checkSlots()
    {
        std::map<std::string, std::uint32_t> inFlight;
        for (const auto &[id, attempt] : m_attempts) {
            ++inFlight[attempt.upstream];
        }
        for (const auto &[upstream, count] : inFlight) {
            if (!upstream.empty()) {
                EXPECT_LE(count, SlotsPerUpstream) << upstream;
            }
        }
    }

    void observeStart(CallId id)
    {
        ObservedCall &call = m_calls.at(id);
        EXPECT_EQ(call.finalActions, 0U) << "call " << id << " started after it ended";
        if (call.repeatability == Repeatability::AtMostOnce) {
            EXPECT_FALSE(call.mayHaveRun) << "at-most-once call " << id << " started again after it may have run";
            EXPECT_EQ(call.running, 0U) << "at-most-once call " << id << " started twice";
        }
        ++call.running;
    }

    void observe(const StartAttempt &action)
    {
        observeStart(action.call);
        EXPECT_TRUE(m_usable.contains(action.upstream)) << action.upstream << " is leaving or not assigned";
        m_attempts[action.attempt] = {.call = action.call, .upstream = action.upstream, .deadline = action.deadline};
    }

    void observe(const HandOverCall &action)
    {
        observeStart(action.call);
        ObservedCall &call = m_calls.at(action.call);
        EXPECT_FALSE(call.arrivedByHandOver);
        EXPECT_EQ(++call.handOvers, 1U);
        ++m_handOversToPeer;
        m_attempts[action.attempt] = {.call = action.call, .upstream = {}, .deadline = action.deadline};
    }

    void observe(const CancelAttempt &action)
    {
        ObservedCall &call = m_calls.at(m_attempts.at(action.attempt).call);
        EXPECT_EQ(call.repeatability, Repeatability::Idempotent);
        --call.running;
        call.mayHaveRun = true;
        m_attempts.erase(action.attempt);
    }

    void observeEnd(CallId id)
    {
        EXPECT_EQ(++m_calls.at(id).finalActions, 1U) << "call " << id;
    }

    void observe(const AnswerCall &action)
    {
        EXPECT_EQ(action.attempt, m_finishing);
        observeEnd(action.call);
    }

    void observe(const RefuseCall &action)
    {
        const ObservedCall &call = m_calls.at(action.call);
        EXPECT_FALSE(call.mayHaveRun) << "call " << action.call << " refused though it may have run";
        EXPECT_EQ(call.running, 0U) << "call " << action.call << " refused while it is running";
        EXPECT_GE(action.retryAt, m_now);
        observeEnd(action.call);
    }

    void observe(const ReportUnknown &action)
    {
        EXPECT_TRUE(m_calls.at(action.call).mayHaveRun);
        observeEnd(action.call);
    }

    void observe(const CountRetry &) {}

    void observe(const EjectionChanged &) {}

    void observe(const SendPeerLoadReport &) {}

    static constexpr std::uint32_t SlotsPerUpstream = 2;

    std::mt19937_64 m_random;
    RandomGenerator m_decisionRandom;
    ServiceState m_state;
    TimePoint m_now{std::chrono::seconds(1)};
    CallId m_lastCall = 0;
    AttemptId m_finishing = 0;
    std::uint64_t m_handOversToPeer = 0;
    std::map<CallId, ObservedCall> m_calls;
    std::map<AttemptId, ObservedAttempt> m_attempts;
    std::set<std::string> m_assigned; ///< Assigned upstreams that are not draining.
    std::set<std::string> m_usable; ///< Upstreams of m_assigned that are not leaving.
    std::set<std::string> m_leaving;
};

TEST(DispatchExplorationTest, keepsInvariantsUnderRandomEvents)
{
    for (std::uint64_t seed = 1; seed <= Seeds && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        InvariantChecker(seed).run();
    }
}

}
}
