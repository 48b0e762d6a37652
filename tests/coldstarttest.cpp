#include "decision/coldstart.h"
#include "decision/proxying.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>

namespace Plantainweir {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{std::chrono::seconds(1000)};

TEST(ColdStart, IsUnknownWithoutARecentAnswer)
{
    ColdStart start;
    EXPECT_EQ(coldnessOf(start, Start), Coldness::Unknown);
    recordRegistration(start, Start + 3s);
    EXPECT_EQ(coldnessOf(start, Start), Coldness::Unknown) << "a registration may be seconds old";
    recordAnswer(start, 0s, Start, Start);
    EXPECT_EQ(coldnessOf(start, Start + 150ms), Coldness::Warm) << "the answer is newer than the registration";
    EXPECT_EQ(coldnessOf(start, Start + 160ms), Coldness::Unknown) << "it may have become cold again";
}

TEST(ColdStart, EndsAtTheTimeThatTheLastAnswerTold)
{
    ColdStart start;
    recordAnswer(start, 50ms, Start, Start);
    EXPECT_EQ(coldnessOf(start, Start + 40ms), Coldness::Cold);
    EXPECT_EQ(coldnessOf(start, Start + 60ms), Coldness::Warm);
    recordRegistration(start, Start + 2s);
    EXPECT_EQ(coldnessOf(start, Start + 60ms), Coldness::Cold) << "a later registration says that it started again";
    recordAnswer(start, std::chrono::hours(9), Start + 700ms, Start + 700ms);
    EXPECT_LE(start.coldUntil, Start + 6min);
}

TEST(ColdStart, ChangesNameEachUpstreamThatBecameColdOrWarm)
{
    EXPECT_EQ(coldChanges({}, {}), ColdChanges{});
    EXPECT_EQ(coldChanges({"a", "b"}, {"b", "c", "d"}), (ColdChanges{.cold = {"c", "d"}, .warm = {"a"}}));
    EXPECT_EQ(coldChanges({"a"}, {"a"}), ColdChanges{});
}

TEST(ColdStart, AnAnswerIsAsOldAsItsProbe)
{
    ColdStart start;
    recordAnswer(start, 0s, Start, Start + 100ms);
    EXPECT_EQ(coldnessOf(start, Start + 150ms), Coldness::Warm);
    EXPECT_EQ(coldnessOf(start, Start + 160ms), Coldness::Unknown) << "it may have been given just after the probe was sent";
    recordAnswer(start, 3s, Start + 130ms, Start + 140ms);
    recordAnswer(start, 0s, Start + 20ms, Start + 145ms);
    EXPECT_EQ(coldnessOf(start, Start + 150ms), Coldness::Cold) << "the answer to the later probe holds";
}

RegisteredUpstream makeUpstream(UpstreamKey key, const std::string &zone = "a")
{
    return {.key = key,
            .id = "u" + std::to_string(key),
            .service = "desk",
            .endpoint = {.address = "10.0.0.1", .port = static_cast<std::uint16_t>(key)},
            .availabilityZone = zone,
            .slots = 3,
            .isColdLimited = true};
}

/** Feeds events to step(), with upstreams whose calls are limited while they are cold. */
class ColdProxyingTest : public testing::Test
{
protected:
    ColdProxyingTest()
    {
        state.settings = {.availabilityZone = "a", .retryShare = 0.2, .retrySlack = 10.0, .probesPerSecond = 1000.0};
    }

    void feed(const ProxyEvent &event)
    {
        for (const ProxyAction &action : step(state, event, now, random)) {
            if (const auto *probe = std::get_if<StartProbe>(&action)) {
                probes.push_back(*probe);
            } else if (const auto *attempt = std::get_if<StartProxyAttempt>(&action)) {
                attempts.push_back(*attempt);
            } else if (const auto *end = std::get_if<EndProxyCall>(&action)) {
                ends.push_back(*end);
            } else if (const auto *credit = std::get_if<RequestColdCredit>(&action)) {
                credits.push_back(*credit);
            } else if (const auto *cancelled = std::get_if<CancelColdCredit>(&action)) {
                cancelledCredits.push_back(cancelled->id);
            } else if (const auto *returned = std::get_if<ReturnColdCredit>(&action)) {
                returnedCredits.push_back(returned->id);
            }
        }
    }

    void admit(ProxyCallId id)
    {
        feed(ProxyCallAdmitted{
            .id = id, .service = "desk", .repeatability = Repeatability::Idempotent, .maximumAttempts = 2, .target = 400ms, .deadline = now + 2s});
    }

    void answerProbes()
    {
        while (!probes.empty()) {
            const StartProbe probe = probes.front();
            probes.pop_front();
            feed(ProbeEnded{.id = probe.id,
                            .outcome = ProbeOutcome::Answered,
                            .load = {.running = running, .waiting = 0, .slots = 3, .workTimeFactor = slowdowns[probe.upstream.key] + 1.0},
                            .coldTime = std::max(Duration(0), Duration(coldUntil[probe.upstream.key] - now))});
        }
    }

    /** Lets time pass until the queueing deadline of calls admitted now, answering all probes. */
    void passQueueingTime()
    {
        const TimePoint end = now + 60ms;
        answerProbes();
        while (nextWakeUp(state) && *nextWakeUp(state) <= end) {
            now = std::max(now, *nextWakeUp(state));
            feed(ProxyTimerFired{});
            answerProbes();
        }
        now = end;
    }

    void decide(bool isGranted)
    {
        const RequestColdCredit credit = credits.back();
        feed(ColdCreditDecided{.id = credit.id, .isGranted = isGranted, .retryAt = now + 300ms});
    }

    TimePoint now = Start;
    std::mt19937_64 random{7};
    ProxyState state;
    std::map<UpstreamKey, TimePoint> coldUntil;
    std::map<UpstreamKey, double> slowdowns; ///< Beyond the usual work time.
    std::uint32_t running = 0;
    std::deque<StartProbe> probes;
    std::vector<StartProxyAttempt> attempts;
    std::vector<EndProxyCall> ends;
    std::vector<RequestColdCredit> credits;
    std::vector<ColdCreditId> cancelledCredits;
    std::vector<ColdCreditId> returnedCredits;
};

TEST_F(ColdProxyingTest, AColdUpstreamGetsACallOnlyWithCredit)
{
    feed(UpstreamsReplaced{{makeUpstream(1)}});
    coldUntil[1] = now + 3s;
    admit(1);
    passQueueingTime();
    EXPECT_TRUE(attempts.empty());
    ASSERT_EQ(credits.size(), 1U);
    EXPECT_EQ(credits[0].service, "desk");
    EXPECT_EQ(credits[0].upstream, "u1");
    decide(true);
    ASSERT_EQ(attempts.size(), 1U);
    EXPECT_EQ(attempts[0].upstream.id, "u1");
    admit(2);
    passQueueingTime();
    EXPECT_EQ(attempts.size(), 1U) << "each call needs a credit of its own";
    EXPECT_EQ(credits.size(), 2U);
}

TEST_F(ColdProxyingTest, WithoutCreditACallIsRefusedAsNotRunAndLaterOnesDoNotAsk)
{
    feed(UpstreamsReplaced{{makeUpstream(1)}});
    coldUntil[1] = now + 3s;
    admit(1);
    passQueueingTime();
    decide(false);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, CallOutcome::NotRun);
    EXPECT_EQ(ends[0].refusal, RefusalReason::QueueFull);
    admit(2);
    passQueueingTime();
    EXPECT_EQ(credits.size(), 1U) << "credit is expected to return only later";
    EXPECT_EQ(ends.size(), 2U);
    now += 300ms;
    admit(3);
    passQueueingTime();
    EXPECT_EQ(credits.size(), 2U) << "it is not starved for good";
    EXPECT_TRUE(attempts.empty());
}

TEST_F(ColdProxyingTest, WarmUpstreamsArePreferred)
{
    feed(UpstreamsReplaced{{makeUpstream(1), makeUpstream(2, "b")}});
    coldUntil[1] = now + 3s;
    admit(1);
    answerProbes();
    ASSERT_EQ(attempts.size(), 1U);
    EXPECT_EQ(attempts[0].upstream.id, "u2") << "although it is in another availability zone";
    EXPECT_TRUE(credits.empty());
}

TEST_F(ColdProxyingTest, AWarmUpstreamThatIsSlowerThanAColdOneIsTheSecondChoice)
{
    feed(UpstreamsReplaced{{makeUpstream(1), makeUpstream(2)}});
    coldUntil[1] = now + 3s;
    slowdowns[2] = 4.0;
    admit(1);
    passQueueingTime();
    ASSERT_EQ(credits.size(), 1U);
    decide(false);
    ASSERT_EQ(attempts.size(), 1U);
    EXPECT_EQ(attempts[0].upstream.id, "u2");
}

TEST_F(ColdProxyingTest, ARequestIsCancelledWhenAWarmUpstreamIsFreeOrTheCallEnds)
{
    feed(UpstreamsReplaced{{makeUpstream(1)}});
    coldUntil[1] = now + 3s;
    admit(1);
    passQueueingTime();
    ASSERT_EQ(credits.size(), 1U);
    feed(ProxyCallAbandoned{1});
    EXPECT_EQ(cancelledCredits, std::vector<ColdCreditId>{credits[0].id});
    decide(true);
    EXPECT_TRUE(attempts.empty());
    admit(2);
    passQueueingTime();
    ASSERT_EQ(credits.size(), 2U);
    feed(UpstreamsReplaced{{makeUpstream(1), makeUpstream(2)}});
    admit(3);
    answerProbes();
    EXPECT_EQ(attempts.back().upstream.id, "u2");
    now += 5s;
    feed(ProxyTimerFired{});
    EXPECT_EQ(cancelledCredits.size(), 2U) << "the call that waited has ended at its deadline";
    EXPECT_TRUE(state.credits.empty());
}

TEST_F(ColdProxyingTest, CreditOfAnUpstreamThatGetsNoCallsAnyMoreIsReturned)
{
    feed(UpstreamsReplaced{{makeUpstream(1)}});
    coldUntil[1] = now + 3s;
    admit(1);
    passQueueingTime();
    ASSERT_EQ(credits.size(), 1U);
    feed(EvacuationsReplaced{{"a"}});
    decide(true);
    EXPECT_TRUE(attempts.empty());
    EXPECT_EQ(returnedCredits, std::vector<ColdCreditId>{credits[0].id});
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, CallOutcome::NotRun);
}

TEST_F(ColdProxyingTest, ALoadReportOfACallDoesNotTellThatAnUpstreamIsWarm)
{
    feed(UpstreamsReplaced{{makeUpstream(1)}});
    admit(1);
    answerProbes();
    ASSERT_EQ(attempts.size(), 1U);
    now += 1500ms;
    coldUntil[1] = now + 3s; // It became cold again without a new registration.
    feed(ProxyAttemptEnded{.id = attempts[0].id, .outcome = ProxyAttemptOutcome::Succeeded, .load = UpstreamLoad{.running = 0, .slots = 3}});
    admit(2);
    EXPECT_EQ(attempts.size(), 1U);
    passQueueingTime();
    EXPECT_EQ(attempts.size(), 1U);
    EXPECT_EQ(credits.size(), 1U);
}

TEST_F(ColdProxyingTest, TheTimeOfAProbeCountsForTheAgeOfItsAnswer)
{
    feed(UpstreamsReplaced{{makeUpstream(1)}});
    admit(1);
    now += 100ms;
    answerProbes();
    EXPECT_EQ(attempts.size(), 1U);
    const PooledUpstream &upstream = state.services.at("desk").pool.upstreams.at(1);
    EXPECT_EQ(coldnessOf(upstream, now), Coldness::Warm);
    EXPECT_EQ(coldnessOf(upstream, now + 60ms), Coldness::Unknown);
}

// Answers a VM that is stopped for a moment and reads the answer before its timers fire.
TEST_F(ColdProxyingTest, AnAnswerThatIsReadAfterTheDeadlineOfItsProbeDoesNotTellThatAnUpstreamIsWarm)
{
    feed(UpstreamsReplaced{{makeUpstream(1)}});
    admit(1);
    ASSERT_EQ(probes.size(), 1U);
    const StartProbe late = probes.front();
    probes.clear();
    now += 1s;
    feed(ProbeEnded{.id = late.id, .outcome = ProbeOutcome::Answered, .load = {.slots = 3}});
    EXPECT_TRUE(attempts.empty());
    EXPECT_EQ(coldnessOf(state.services.at("desk").pool.upstreams.at(1), now), Coldness::Unknown);
    EXPECT_TRUE(ends.empty());
    ASSERT_EQ(probes.size(), 1U) << "the call probes the upstream again";
    answerProbes();
    EXPECT_EQ(attempts.size(), 1U);
}

TEST_F(ColdProxyingTest, WithoutProbesOnlyUpstreamsThatAreKnownToBeWarmGetCalls)
{
    state.settings.probesPerSecond = 0.25; // The token bucket holds two.
    now += 20s;
    feed(UpstreamsReplaced{{makeUpstream(1)}});
    admit(1);
    answerProbes();
    ASSERT_EQ(attempts.size(), 1U);
    now += 100ms;
    state.probeTokens = 0.0;
    state.probeTokensRefilledAt = now;
    admit(2);
    EXPECT_EQ(attempts.size(), 2U) << "it was warm a tenth of a second ago";
    now += 1s;
    state.probeTokens = 0.0;
    state.probeTokensRefilledAt = now;
    admit(3);
    passQueueingTime();
    EXPECT_EQ(attempts.size(), 2U);
    EXPECT_EQ(ends.back().outcome, CallOutcome::NotRun);
}

TEST_F(ColdProxyingTest, ARegistrationThatSaysColdIsOutdatedByAnAnswer)
{
    RegisteredUpstream upstream = makeUpstream(1);
    upstream.coldUntil = now + 3s;
    feed(UpstreamsReplaced{{upstream}});
    admit(1);
    answerProbes(); // It says that it is warm.
    ASSERT_EQ(attempts.size(), 1U);
    EXPECT_EQ(attempts[0].upstream.id, "u1");
    feed(UpstreamsReplaced{{upstream, makeUpstream(2)}});
    EXPECT_EQ(coldnessOf(state.services.at("desk").pool.upstreams.at(1), now), Coldness::Warm) << "the same registration tells nothing new";
}

TEST_F(ColdProxyingTest, WithoutALimitAColdUpstreamNeedsNoCredit)
{
    RegisteredUpstream upstream = makeUpstream(1);
    upstream.isColdLimited = false;
    feed(UpstreamsReplaced{{upstream}});
    coldUntil[1] = now + 3s;
    admit(1);
    answerProbes();
    EXPECT_EQ(attempts.size(), 1U);
    EXPECT_TRUE(credits.empty());
}

}
}
