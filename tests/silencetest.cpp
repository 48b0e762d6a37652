#include "decision/silence.h"

#include "decision/proxying.h"
#include "fakes/proxyload.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace Plantainweir {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint Start{std::chrono::seconds(1000)};
constexpr milliseconds UsualTime{200};
constexpr double Factor = 2.0;
/** Sure to be later than Factor times the 95th percentile, and earlier than ten times the mean. */
constexpr milliseconds LongTime{500};

LatencyEstimate makeLatency()
{
    LatencyEstimate latency;
    for (int sample = 0; sample < 64; ++sample) {
        addSample(latency, UsualTime);
    }
    return latency;
}

UpstreamLoad idle()
{
    return {.running = 0, .slots = 2};
}

UpstreamLoad busy()
{
    return {.running = 1, .slots = 2};
}

TEST(Silence, AnAttemptThatNoLaterReportCountsIsSilent)
{
    AwaitedAnswer awaited{.sentAt = Start, .hadRoom = true};
    recordOtherAnswer(awaited, {.sentAt = Start + LongTime, .load = idle()}, Start + LongTime);
    EXPECT_EQ(silenceOf(awaited, makeLatency(), Factor, Start + LongTime), Silence::None) << "its answer may be on the way";
    EXPECT_EQ(silenceOf(awaited, makeLatency(), Factor, Start + LongTime + milliseconds(100)), Silence::Uncounted);
}

TEST(Silence, AReportSoonAfterTheAttemptProvesNothing)
{
    AwaitedAnswer awaited{.sentAt = Start, .hadRoom = true};
    recordOtherAnswer(awaited, {.sentAt = Start + milliseconds(100), .load = idle()}, Start + milliseconds(101));
    EXPECT_EQ(silenceOf(awaited, makeLatency(), Factor, Start + LongTime), Silence::None) << "the attempt may have been sent again after a lost packet";
}

TEST(Silence, AReportThatCountsTheAttemptTakesBackTheProof)
{
    AwaitedAnswer awaited{.sentAt = Start, .hadRoom = true};
    recordOtherAnswer(awaited, {.sentAt = Start + milliseconds(300), .load = idle()}, Start + milliseconds(300));
    recordOtherAnswer(awaited, {.sentAt = Start + milliseconds(400), .load = busy()}, Start + milliseconds(400));
    EXPECT_EQ(silenceOf(awaited, makeLatency(), Factor, Start + LongTime), Silence::None);
}

TEST(Silence, AnAttemptWithoutKnownRoomIsSilentOnceALaterRequestIsAnswered)
{
    AwaitedAnswer awaited{.sentAt = Start};
    EXPECT_EQ(silenceOf(awaited, makeLatency(), Factor, Start + LongTime), Silence::None);
    recordOtherAnswer(awaited, {.sentAt = Start - milliseconds(1), .load = busy()}, Start + LongTime);
    EXPECT_EQ(silenceOf(awaited, makeLatency(), Factor, Start + LongTime), Silence::None) << "the other request was sent earlier";
    recordOtherAnswer(awaited, {.sentAt = Start + milliseconds(1), .load = busy()}, Start + LongTime);
    EXPECT_EQ(silenceOf(awaited, makeLatency(), Factor, Start + LongTime), Silence::PassedOver);
    EXPECT_EQ(silenceOf(awaited, makeLatency(), Factor, Start + UsualTime), Silence::None) << "it does not take longer than others";
}

TEST(Silence, LongWorkAtAnUpstreamThatHadRoomIsNotSilent)
{
    AwaitedAnswer awaited{.sentAt = Start, .hadRoom = true};
    recordOtherAnswer(awaited, {.sentAt = Start + LongTime, .load = busy()}, Start + LongTime);
    EXPECT_EQ(silenceOf(awaited, makeLatency(), Factor, Start + 20 * UsualTime), Silence::None);
}

TEST(Silence, NothingIsSilentWithoutTheSettingOrAnEstimate)
{
    AwaitedAnswer awaited{.sentAt = Start};
    recordOtherAnswer(awaited, {.sentAt = Start + LongTime, .load = idle()}, Start + LongTime);
    EXPECT_EQ(silenceOf(awaited, makeLatency(), 0.0, Start + std::chrono::seconds(10)), Silence::None);
    EXPECT_EQ(silenceOf(awaited, LatencyEstimate{}, Factor, Start + std::chrono::seconds(10)), Silence::None);
    EXPECT_FALSE(firstSilenceCheck(makeLatency(), 0.0, Start));
}

/** Plays single calls to two upstreams of which one may fall silent. */
class ProxySilenceTest : public testing::Test
{
protected:
    ProxySilenceTest()
    {
        state.settings = {.availabilityZone = "a", .retryShare = 0.2, .retrySlack = 100.0, .probesPerSecond = 1000.0, .silenceFactor = Factor};
        feed(UpstreamsReplaced{{makeUpstream(1), makeUpstream(2)}});
        service().latency = makeLatency();
        service().retryBudget = {.tokensPerCall = 0.0, .capacity = 10.0, .tokens = 10.0};
    }

    static RegisteredUpstream makeUpstream(UpstreamKey key)
    {
        return {.key = key, .id = "u" + std::to_string(key), .service = "desk", .availabilityZone = "a", .slots = 2};
    }

    ProxyService &service()
    {
        return state.services["desk"];
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
            } else if (const auto *silent = std::get_if<ReportSilence>(&action)) {
                silences.push_back(*silent);
            } else {
                cancelled.push_back(std::get<CancelProxyAttempt>(action).id);
            }
        }
    }

    void admit(Repeatability repeatability)
    {
        feed(ProxyCallAdmitted{.id = 1,
                               .service = "desk",
                               .repeatability = repeatability,
                               .maximumAttempts = 2,
                               .target = milliseconds(400),
                               .deadline = now + std::chrono::seconds(5)});
        answerProbes(idle());
        ASSERT_EQ(attempts.size(), 1U);
    }

    void answerProbes(const UpstreamLoad &load)
    {
        while (!probes.empty()) {
            const StartProbe probe = probes.back();
            probes.pop_back();
            feed(ProbeEnded{.id = probe.id, .outcome = ProbeOutcome::Answered, .load = load});
        }
    }

    /** Lets time pass; all probes are answered with @p load. */
    void advanceTime(Duration duration, const UpstreamLoad &load)
    {
        const TimePoint end = now + duration;
        while (nextWakeUp(state) && *nextWakeUp(state) <= end) {
            now = std::max(now, *nextWakeUp(state));
            feed(ProxyTimerFired{});
            answerProbes(load);
        }
        now = end;
    }

    std::uint32_t inFlight(UpstreamKey key)
    {
        return service().pool.upstreams.at(key).inFlight;
    }

    TimePoint now = Start;
    std::mt19937_64 random{7};
    ProxyState state;
    std::vector<StartProbe> probes;
    std::vector<StartProxyAttempt> attempts;
    std::vector<EndProxyCall> ends;
    std::vector<ReportSilence> silences;
    std::vector<ProxyAttemptId> cancelled;
};

TEST_F(ProxySilenceTest, ACallThatMayBeRepeatedGoesToAnotherUpstreamAndItsConnectionIsClosed)
{
    state.settings.retrySlack = 0.0;
    admit(Repeatability::Idempotent);
    service().retryBudget.tokens = 1.0;
    advanceTime(std::chrono::seconds(1), idle());
    ASSERT_EQ(attempts.size(), 2U);
    EXPECT_EQ(cancelled, std::vector<ProxyAttemptId>{attempts[0].id});
    EXPECT_NE(attempts[1].upstream.key, attempts[0].upstream.key);
    EXPECT_EQ(attempts[1].retry, RetryReason::UpstreamSilent);
    EXPECT_LT(service().retryBudget.tokens, 0.5);
    EXPECT_EQ(inFlight(attempts[0].upstream.key), 0U);
    EXPECT_EQ(silences.size(), 1U);
}

TEST_F(ProxySilenceTest, AtMostOnceWorkWaitsForTheTruthButHoldsNoSlot)
{
    admit(Repeatability::AtMostOnce);
    advanceTime(std::chrono::seconds(1), idle());
    EXPECT_EQ(attempts.size(), 1U);
    EXPECT_TRUE(cancelled.empty());
    EXPECT_EQ(silences.size(), 1U);
    EXPECT_EQ(inFlight(attempts[0].upstream.key), 0U);
    feed(ProxyAttemptEnded{.id = attempts[0].id, .outcome = ProxyAttemptOutcome::Succeeded, .load = idle()});
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, CallOutcome::Answered);
    EXPECT_EQ(inFlight(attempts[0].upstream.key), 0U);
}

TEST_F(ProxySilenceTest, AtMostOnceWorkThatIsNeverAnsweredEndsAsUnknownAtItsDeadline)
{
    admit(Repeatability::AtMostOnce);
    advanceTime(std::chrono::seconds(6), idle());
    EXPECT_EQ(attempts.size(), 1U);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, CallOutcome::Unknown);
    EXPECT_EQ(ends[0].unknown, UnknownReason::DeadlinePassed);
    EXPECT_EQ(inFlight(attempts[0].upstream.key), 0U);
}

TEST_F(ProxySilenceTest, ACallThatTheUpstreamCountsIsNotRepeated)
{
    admit(Repeatability::Idempotent);
    advanceTime(std::chrono::seconds(1), busy());
    EXPECT_EQ(attempts.size(), 1U);
    EXPECT_TRUE(silences.empty());
}

TEST_F(ProxySilenceTest, WithoutRetryBudgetACallWaits)
{
    admit(Repeatability::Idempotent);
    service().retryBudget.tokens = 0.0;
    state.settings.retrySlack = 0.0;
    advanceTime(std::chrono::seconds(1), idle());
    EXPECT_EQ(silences.size(), 1U);
    EXPECT_EQ(attempts.size(), 1U);
    EXPECT_TRUE(cancelled.empty());
    feed(ProxyAttemptEnded{.id = attempts[0].id, .outcome = ProxyAttemptOutcome::Succeeded, .load = idle()});
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, CallOutcome::Answered);
}

TEST_F(ProxySilenceTest, AnUpstreamThatCountsTheCallIsAskedRarely)
{
    admit(Repeatability::Idempotent);
    std::size_t asked = 0;
    const TimePoint end = now + std::chrono::seconds(2);
    while (nextWakeUp(state) && *nextWakeUp(state) <= end) {
        now = *nextWakeUp(state);
        feed(ProxyTimerFired{});
        asked += probes.size();
        answerProbes(busy());
    }
    EXPECT_GE(asked, 1U);
    EXPECT_LE(asked, 5U);
}

TEST_F(ProxySilenceTest, WithoutTheSettingNoUpstreamIsAsked)
{
    state.settings.silenceFactor = 0.0;
    admit(Repeatability::Idempotent);
    advanceTime(std::chrono::seconds(4), idle());
    EXPECT_EQ(attempts.size(), 1U);
    EXPECT_TRUE(silences.empty());
}

TEST_F(ProxySilenceTest, OfTwoRunningAttemptsOnlyTheSilentOneIsGivenUp)
{
    state.settings.hedgeShare = 1.0;
    for (int sample = 0; sample < 64; ++sample) {
        recordLatency(service().hedging, UsualTime);
    }
    service().hedging.budget.tokens = 2.0;
    admit(Repeatability::Idempotent);
    advanceTime(milliseconds(300), idle());
    ASSERT_EQ(attempts.size(), 2U);
    ASSERT_EQ(attempts[1].retry, RetryReason::Hedge);
    advanceTime(milliseconds(350), idle());
    EXPECT_EQ(cancelled, std::vector<ProxyAttemptId>{attempts[0].id});
    EXPECT_EQ(attempts.size(), 2U);
    feed(ProxyAttemptEnded{.id = attempts[1].id, .outcome = ProxyAttemptOutcome::Succeeded, .load = idle()});
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].answer, attempts[1].id);
}

/** More calls than the upstreams can run. They never answer what they cannot queue, and calls without a probe are sent to them. */
PlayedLoad moreCallsThanRoom(double callsPerSecond)
{
    PlayedLoad load;
    load.duration = std::chrono::seconds(10);
    load.timeout = milliseconds(1500);
    load.fullRefusalShare = 0.0;
    load.calls = {{.perSecond = callsPerSecond}};
    return load;
}

class SilenceLoad : public testing::TestWithParam<std::uint64_t>
{
protected:
    static PlayedResult play(PlayedLoad load, double silenceFactor)
    {
        load.seed = GetParam();
        load.silenceFactor = silenceFactor;
        return ProxyLoadPlayer(load).play();
    }
};

TEST_P(SilenceLoad, CallsThatAreNotAnsweredFindRoomElsewhere)
{
    const PlayedResult without = play(moreCallsThanRoom(1300.0), 0.0);
    const PlayedResult with = play(moreCallsThanRoom(1300.0), Factor);
    EXPECT_LT(with.outcomes[0].unknown, 0.85 * without.outcomes[0].unknown);
    EXPECT_GT(with.outcomes[0].servedShare(), without.outcomes[0].servedShare());
    EXPECT_LT(with.outcomes[0].unknownWait / with.outcomes[0].unknown, 0.85 * milliseconds(1500));
    EXPECT_LT(with.wronglySilent, with.attempts / 100);
}

TEST_P(SilenceLoad, SilenceLetsCallsBeRefusedWhereUpstreamsHaveManySlots)
{
    PlayedLoad load = moreCallsThanRoom(2200.0);
    load.upstreamsPerZone = 8;
    load.slots = 6;
    load.queuePlaces = 12;
    load.fullRefusalShare = 0.5;
    const PlayedResult without = play(load, 0.0);
    const PlayedResult with = play(load, Factor);
    EXPECT_LT(with.outcomes[0].unknown, without.outcomes[0].unknown / 2);
    EXPECT_GT(with.outcomes[0].inTimeShare(), without.outcomes[0].inTimeShare() + 0.02);
}

TEST_P(SilenceLoad, WhereCallsAreRefusedBeforeLittleChanges)
{
    PlayedLoad load = moreCallsThanRoom(1600.0);
    load.fullRefusalShare = 0.5;
    load.duration = std::chrono::seconds(6);
    const PlayedResult without = play(load, 0.0);
    const PlayedResult with = play(load, Factor);
    EXPECT_GT(with.outcomes[0].inTimeShare(), without.outcomes[0].inTimeShare() - 0.02);
    EXPECT_LT(with.wronglySilent, with.attempts / 500);
}

TEST_P(SilenceLoad, LongWorkInCalmIsNotTakenForSilence)
{
    for (const double noise : {0.0, 0.3}) {
        PlayedLoad load;
        load.duration = std::chrono::seconds(20);
        load.timeout = std::chrono::seconds(3);
        load.noisyShare = noise;
        // With these, long work takes ten times the mean.
        load.longShare = 0.02;
        load.longFactor = 12.25;
        load.calls = {{.perSecond = 473.0}};
        const PlayedResult result = play(load, Factor);
        RecordProperty("calls", result.outcomes[0].calls);
        RecordProperty("silent", result.silent);
        EXPECT_LT(result.silent, result.outcomes[0].calls / 1000);
        EXPECT_LT(result.attempts, result.outcomes[0].calls * 1.001);
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, SilenceLoad, testing::Values(1));

}
}
