#include "decision/dispatch.h"

#include <gmock/gmock.h>

#include <algorithm>
#include <set>

namespace Plantainweir {
namespace {

using std::chrono::milliseconds;

class DispatchTest : public ::testing::Test
{
protected:
    void assign(std::uint32_t upstreams, std::uint32_t slots)
    {
        UpstreamsAssigned event;
        for (std::uint32_t index = 0; index < upstreams; ++index) {
            Upstream upstream;
            upstream.name = "upstream-" + std::to_string(index);
            upstream.slots = slots;
            event.upstreams.push_back(upstream);
        }
        send(event);
    }

    void send(const ServiceEvent &event)
    {
        m_actions.clear();
        step(m_state, event, m_now, m_random, m_actions);
    }

    CallId arrive(Rank rank, milliseconds target, Repeatability repeatability = Repeatability::Idempotent, std::uint64_t caller = 1)
    {
        CallArrived event;
        event.call = ++m_lastCall;
        event.rank = rank;
        event.repeatability = repeatability;
        event.deadline = m_now + target;
        event.caller = caller;
        send(event);
        return event.call;
    }

    void finish(AttemptId attempt, AttemptOutcome outcome = AttemptOutcome::Succeeded)
    {
        AttemptFinished event;
        event.attempt = attempt;
        event.outcome = outcome;
        send(event);
    }

    /** Runs calls of 10 ms one after the other until there are enough samples of the service time. */
    void recordServiceTimes(Rank rank)
    {
        for (int call = 0; call < 200; ++call) {
            arrive(rank, milliseconds(1000));
            const AttemptId attempt = only<StartAttempt>().attempt;
            m_now += milliseconds(10);
            finish(attempt);
        }
    }

    template<typename Action>
    std::vector<Action> all() const
    {
        std::vector<Action> found;
        for (const ServiceAction &action : m_actions) {
            if (const auto *specific = std::get_if<Action>(&action)) {
                found.push_back(*specific);
            }
        }
        return found;
    }

    template<typename Action>
    Action only() const
    {
        const auto found = all<Action>();
        EXPECT_EQ(found.size(), 1U);
        return found.empty() ? Action{} : found.front();
    }

    ServiceState m_state;
    TimePoint m_now{std::chrono::seconds(1)};
    RandomGenerator m_random{1};
    ServiceActions m_actions;
    CallId m_lastCall = 0;
};

TEST_F(DispatchTest, bindsACallOnlyWhenASlotIsFree)
{
    assign(1, 1);
    arrive(Rank::Low, milliseconds(100));
    const AttemptId first = only<StartAttempt>().attempt;
    const CallId second = arrive(Rank::Low, milliseconds(100));
    EXPECT_TRUE(all<StartAttempt>().empty());
    finish(first);
    EXPECT_EQ(only<StartAttempt>().call, second);
}

TEST_F(DispatchTest, servesTheHigherRankFirstUnlessItCanYieldToAnEarlierDeadline)
{
    assign(1, 1);
    arrive(Rank::Low, milliseconds(100));
    AttemptId running = only<StartAttempt>().attempt;
    const CallId low = arrive(Rank::Low, milliseconds(100));
    const CallId sameDeadline = arrive(Rank::Top, milliseconds(100));
    const CallId farDeadline = arrive(Rank::Top, milliseconds(3000));
    for (const CallId expected : {sameDeadline, low, farDeadline}) {
        finish(running);
        EXPECT_EQ(only<StartAttempt>().call, expected);
        running = only<StartAttempt>().attempt;
    }
}

TEST_F(DispatchTest, refusesCallsThatCannotBeServedInTime)
{
    assign(1, 1);
    recordServiceTimes(Rank::Low);
    std::size_t refused = 0;
    for (int call = 0; call < 100; ++call) {
        arrive(Rank::Low, milliseconds(200));
        refused += all<RefuseCall>().size();
    }
    EXPECT_GE(refused, 80U); // 20 calls of 10 ms fit into 200 ms.
    EXPECT_LT(refused, 95U);
}

TEST_F(DispatchTest, refusesAQueuedCallAtItsDeadline)
{
    assign(1, 1);
    arrive(Rank::Low, milliseconds(500));
    const CallId queued = arrive(Rank::Low, milliseconds(100));
    ASSERT_TRUE(nextWakeUp(m_state).has_value());
    m_now += milliseconds(100);
    send(TimerFired{});
    EXPECT_EQ(only<RefuseCall>().call, queued);
    EXPECT_EQ(only<RefuseCall>().reason, RefusalReason::DeadlinePassed);
}

TEST_F(DispatchTest, retriesAtMostOnceCallsOnlyIfTheyDidNotRun)
{
    assign(2, 1);
    const CallId call = arrive(Rank::Top, milliseconds(1000), Repeatability::AtMostOnce);
    const StartAttempt first = only<StartAttempt>();
    finish(first.attempt, AttemptOutcome::Shed);
    const StartAttempt second = only<StartAttempt>();
    EXPECT_NE(second.upstream, first.upstream);
    EXPECT_EQ(only<CountRetry>().reason, RetryReason::UpstreamShed);
    finish(second.attempt, AttemptOutcome::ConnectionLost);
    EXPECT_TRUE(all<StartAttempt>().empty());
    EXPECT_EQ(only<ReportUnknown>().call, call);
}

TEST_F(DispatchTest, ejectsAnUpstreamThatFailsFast)
{
    assign(4, 2);
    bool isEjected = false;
    std::size_t callsAtFailing = 0;
    for (int call = 0; call < 200; ++call) {
        arrive(Rank::Low, milliseconds(1000));
        const StartAttempt start = only<StartAttempt>();
        const bool isFailing = start.upstream == "upstream-0";
        callsAtFailing += isFailing ? 1 : 0;
        m_now += milliseconds(isFailing ? 0 : 2);
        finish(start.attempt, isFailing ? AttemptOutcome::ServerError : AttemptOutcome::Succeeded);
        isEjected = isEjected || !all<EjectionChanged>().empty();
        for (const StartAttempt &retry : all<StartAttempt>()) {
            EXPECT_NE(retry.upstream, "upstream-0");
            finish(retry.attempt);
        }
    }
    EXPECT_TRUE(isEjected);
    EXPECT_LE(callsAtFailing, 6U); // Three failures, then trial calls after half a second.
}

TEST_F(DispatchTest, hedgesACallAtASilentUpstreamAndCancelsTheSlowerAttempt)
{
    assign(4, 4);
    recordServiceTimes(Rank::Low);
    arrive(Rank::Low, milliseconds(1000));
    const StartAttempt first = only<StartAttempt>();
    std::optional<StartAttempt> hedge;
    while (!hedge && m_now < TimePoint(std::chrono::seconds(10))) {
        m_now += milliseconds(5);
        send(TimerFired{});
        if (!all<StartAttempt>().empty()) {
            hedge = only<StartAttempt>();
        }
    }
    ASSERT_TRUE(hedge.has_value());
    EXPECT_NE(hedge->upstream, first.upstream);
    finish(hedge->attempt);
    EXPECT_EQ(only<CancelAttempt>().attempt, first.attempt);
    EXPECT_EQ(only<AnswerCall>().attempt, hedge->attempt);
}

TEST_F(DispatchTest, handsACallOverOnceToACoOwnerWithOpenSlots)
{
    assign(1, 1);
    send(PeersAssigned{.peers = {"peer"}});
    recordServiceTimes(Rank::Low);
    for (int call = 0; call < 4; ++call) {
        arrive(Rank::Low, milliseconds(500));
    }
    send(PeerLoadReport{.peer = "peer", .openSlots = {1, 1, 1}});
    const HandOverCall handOver = only<HandOverCall>();
    EXPECT_EQ(handOver.peer, "peer");
    send(PeerLoadReport{.peer = "peer", .openSlots = {1, 1, 1}});
    EXPECT_TRUE(all<HandOverCall>().empty()) << "the report does not include the hand-over in transit";
    finish(handOver.attempt);
    EXPECT_EQ(only<AnswerCall>().call, handOver.call);
}

TEST_F(DispatchTest, reportsOpenSlotsForHigherRanksWhileLowerRanksUseAllSlots)
{
    assign(1, 2);
    send(PeersAssigned{.peers = {"peer"}});
    m_now += milliseconds(5);
    for (int call = 0; call < 6; ++call) {
        arrive(Rank::Low, milliseconds(5000));
    }
    m_now += milliseconds(5);
    send(TimerFired{});
    ASSERT_FALSE(all<SendPeerLoadReport>().empty());
    const SendPeerLoadReport report = all<SendPeerLoadReport>().back();
    EXPECT_EQ(report.openSlots, (OpenSlots{2, 2, 0})) << "a call of a higher rank from a co-owner would be the next to start";
}

TEST_F(DispatchTest, handsOverCallsOfTheRankThatTheCoOwnerHasSlotsFor)
{
    assign(1, 1);
    send(PeersAssigned{.peers = {"peer"}});
    recordServiceTimes(Rank::Low);
    recordServiceTimes(Rank::Middle);
    std::set<CallId> middleCalls;
    for (int call = 0; call < 4; ++call) {
        arrive(Rank::Low, milliseconds(5000));
        middleCalls.insert(arrive(Rank::Middle, milliseconds(5000)));
    }
    send(PeerLoadReport{.peer = "peer", .openSlots = {1, 1, 0}});
    const HandOverCall handOver = only<HandOverCall>();
    EXPECT_TRUE(middleCalls.contains(handOver.call));
}

TEST_F(DispatchTest, aCallerWithManyCallsDoesNotDelayAnother)
{
    assign(1, 1);
    arrive(Rank::Low, milliseconds(1000));
    AttemptId running = only<StartAttempt>().attempt;
    for (int call = 0; call < 50; ++call) {
        arrive(Rank::Low, milliseconds(1000), Repeatability::Idempotent, 1);
    }
    m_now += milliseconds(1);
    const CallId other = arrive(Rank::Low, milliseconds(1000), Repeatability::Idempotent, 2);
    int served = 0;
    for (CallId started = 0; started != other; ++served) {
        finish(running);
        started = only<StartAttempt>().call;
        running = only<StartAttempt>().attempt;
    }
    EXPECT_LE(served, 5);
}

TEST_F(DispatchTest, sendsNoNewCallsToALeavingUpstream)
{
    assign(1, 1);
    arrive(Rank::Low, milliseconds(500));
    const AttemptId running = only<StartAttempt>().attempt;
    send(UpstreamLeaving{.upstream = "upstream-0"});
    finish(running);
    EXPECT_EQ(all<AnswerCall>().size(), 1U);
    arrive(Rank::Low, milliseconds(500));
    EXPECT_EQ(only<RefuseCall>().reason, RefusalReason::NoUpstream);
}

}
}
