#include "decision/proxyhedging.h"
#include "decision/proxying.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <utility>

/** Plays loads with slow upstreams against the decisions about hedges, in virtual time and without a network. */
namespace Plantainweir {
namespace {

constexpr TimePoint Start{std::chrono::seconds(1000)};
constexpr std::chrono::milliseconds UsualTime{50};
constexpr std::uint32_t Slots = 4;

RegisteredUpstream makeUpstream(UpstreamKey key)
{
    return {.key = key,
            .id = "u" + std::to_string(key),
            .service = "desk",
            .endpoint = {.address = "10.0.0.1", .port = static_cast<std::uint16_t>(key)},
            .availabilityZone = "a",
            .slots = Slots};
}

std::vector<RegisteredUpstream> makeUpstreams(UpstreamKey count)
{
    std::vector<RegisteredUpstream> upstreams;
    for (UpstreamKey key = 1; key <= count; ++key) {
        upstreams.push_back(makeUpstream(key));
    }
    return upstreams;
}

class ProxyHedgingTest : public testing::Test
{
protected:
    ProxyHedgingTest()
    {
        state.settings = {.availabilityZone = "a", .retryShare = 0.2, .retrySlack = 100.0, .hedgeShare = 1.0, .probesPerSecond = 1000.0};
    }

    /** Sets up @p count upstreams, a known latency and full budgets. */
    void prepare(UpstreamKey count = 3)
    {
        feed(UpstreamsReplaced{makeUpstreams(count)});
        for (int sample = 0; sample < 64; ++sample) {
            recordLatency(hedging(), UsualTime);
        }
        hedging().budget.tokens = hedging().budget.capacity;
        service().retryBudget.tokens = 10.0;
        service().retryBudget.capacity = 10.0;
    }

    ProxyService &service()
    {
        return state.services["desk"];
    }

    ProxyHedging &hedging()
    {
        return service().hedging;
    }

    void feed(const ProxyEvent &event)
    {
        actions = step(state, event, now, random);
        for (const ProxyAction &action : actions) {
            if (const auto *probe = std::get_if<StartProbe>(&action)) {
                probes.push_back(*probe);
            } else if (const auto *attempt = std::get_if<StartProxyAttempt>(&action)) {
                attempts.push_back(*attempt);
            } else if (const auto *end = std::get_if<EndProxyCall>(&action)) {
                ends.push_back(*end);
            } else {
                cancelled.push_back(std::get<CancelProxyAttempt>(action).id);
            }
        }
    }

    void admit(ProxyCallId id, Repeatability repeatability = Repeatability::Idempotent, std::uint32_t maximumAttempts = 2)
    {
        feed(ProxyCallAdmitted{.id = id,
                               .service = "desk",
                               .repeatability = repeatability,
                               .maximumAttempts = maximumAttempts,
                               .target = std::chrono::milliseconds(400),
                               .deadline = now + std::chrono::seconds(2)});
        answerProbes({.slots = Slots});
    }

    void answerProbes(const UpstreamLoad &load)
    {
        while (!probes.empty()) {
            const StartProbe probe = probes.back();
            probes.pop_back();
            feed(ProbeEnded{.id = probe.id, .outcome = ProbeOutcome::Answered, .load = load});
        }
    }

    void advanceTime(Duration duration)
    {
        const TimePoint end = now + duration;
        while (nextWakeUp(state) && *nextWakeUp(state) <= end) {
            now = std::max(now, *nextWakeUp(state));
            feed(ProxyTimerFired{});
        }
        now = end;
    }

    /** Lets the first attempt of call 1 take long, and starts a hedge. */
    void startHedge()
    {
        prepare();
        admit(1);
        ASSERT_EQ(attempts.size(), 1U);
        advanceTime(2 * UsualTime);
        answerProbes({.slots = Slots});
        ASSERT_EQ(attempts.size(), 2U);
        ASSERT_EQ(attempts[1].retry, RetryReason::Hedge);
    }

    /** Hedges call @p id when it is due, and lets the hedge succeed. */
    void overtake(ProxyCallId id)
    {
        hedging().budget.tokens = hedging().budget.capacity;
        service().retryBudget.tokens = 10.0;
        advanceTime(std::max(Duration(0), Duration(state.calls.at(id).hedgeAt - now)));
        answerProbes({.slots = Slots});
        ASSERT_EQ(attempts.back().call, id);
        ASSERT_EQ(attempts.back().retry, RetryReason::Hedge);
        end(attempts.back(), ProxyAttemptOutcome::Succeeded);
    }

    PooledUpstream &upstream(UpstreamKey key)
    {
        return service().pool.upstreams.at(key);
    }

    void end(const StartProxyAttempt &attempt, ProxyAttemptOutcome outcome)
    {
        feed(ProxyAttemptEnded{.id = attempt.id, .outcome = outcome, .load = std::nullopt});
    }

    TimePoint now = Start;
    std::mt19937_64 random{7};
    ProxyState state;
    std::vector<ProxyAction> actions; ///< Of the last step.
    std::vector<StartProbe> probes;
    std::vector<StartProxyAttempt> attempts;
    std::vector<EndProxyCall> ends;
    std::vector<ProxyAttemptId> cancelled;
};

TEST_F(ProxyHedgingTest, ASlowCallIsSentToAnotherAvailableUpstreamThatWasProbed)
{
    prepare();
    admit(1);
    advanceTime(UsualTime / 2);
    EXPECT_TRUE(probes.empty()) << "most calls are answered later than this";
    advanceTime(UsualTime);
    EXPECT_EQ(attempts.size(), 1U) << "the load of the other upstreams is not known any more";
    ASSERT_FALSE(probes.empty());
    for (const StartProbe &probe : probes) {
        EXPECT_NE(probe.upstream.key, attempts[0].upstream.key);
    }
    answerProbes({.slots = Slots});
    ASSERT_EQ(attempts.size(), 2U) << "one hedge, although two upstreams are available";
    EXPECT_NE(attempts[1].upstream.key, attempts[0].upstream.key);
    advanceTime(4 * UsualTime);
    EXPECT_TRUE(probes.empty());
}

TEST_F(ProxyHedgingTest, TheFirstAnswerEndsTheCallAndCancelsTheOtherAttemptAtOnce)
{
    for (const std::size_t winner : {0U, 1U}) {
        state = ProxyState{.settings = state.settings};
        attempts.clear();
        ends.clear();
        cancelled.clear();
        startHedge();
        end(attempts[winner], ProxyAttemptOutcome::Succeeded);
        EXPECT_EQ(actions.size(), 2U) << "in the same step";
        EXPECT_EQ(cancelled, std::vector<ProxyAttemptId>{attempts[1 - winner].id});
        ASSERT_EQ(ends.size(), 1U);
        EXPECT_EQ(ends[0].answer, attempts[winner].id);
        end(attempts[1 - winner], ProxyAttemptOutcome::Succeeded);
        EXPECT_EQ(ends.size(), 1U) << "a late answer is ignored";
        EXPECT_TRUE(state.attempts.empty());
        for (const auto &[key, upstream] : service().pool.upstreams) {
            EXPECT_EQ(upstream.inFlight, 0U);
        }
    }
}

TEST_F(ProxyHedgingTest, OnlyCallsThatMayBeSentAgainAreHedged)
{
    const auto hedgesOf = [this](Repeatability repeatability, std::uint32_t maximumAttempts, double share) {
        state = ProxyState{.settings = state.settings};
        state.settings.hedgeShare = share;
        attempts.clear();
        prepare();
        admit(1, repeatability, maximumAttempts);
        advanceTime(4 * UsualTime);
        answerProbes({.slots = Slots});
        return attempts.size() - 1;
    };
    EXPECT_EQ(hedgesOf(Repeatability::Idempotent, 2, 1.0), 1U);
    EXPECT_EQ(hedgesOf(Repeatability::AtMostOnce, 2, 1.0), 0U);
    EXPECT_EQ(hedgesOf(Repeatability::Idempotent, 1, 1.0), 0U) << "the hedge counts as an attempt";
    EXPECT_EQ(hedgesOf(Repeatability::Idempotent, 2, 0.0), 0U) << "operators have not switched it on";
}

TEST_F(ProxyHedgingTest, NoHedgeBeforeTheLatencyIsKnown)
{
    feed(UpstreamsReplaced{makeUpstreams(3)});
    service().retryBudget.tokens = 10.0;
    hedging().budget.tokens = 2.0;
    admit(1);
    advanceTime(std::chrono::seconds(1));
    EXPECT_TRUE(probes.empty());
}

TEST_F(ProxyHedgingTest, NoHedgeWhileUpstreamsAreScarce)
{
    const UpstreamLoad full{.running = Slots, .waiting = 1, .slots = Slots};
    const UpstreamLoad slow{.slots = Slots, .workTimeFactor = 5.0};
    for (const UpstreamLoad &load : {full, slow}) {
        state = ProxyState{.settings = state.settings};
        attempts.clear();
        prepare();
        admit(1);
        advanceTime(2 * UsualTime);
        EXPECT_FALSE(probes.empty());
        answerProbes(load);
        advanceTime(4 * UsualTime);
        EXPECT_TRUE(probes.empty()) << "the upstreams are not asked again and again";
        EXPECT_EQ(attempts.size(), 1U);
    }
    // Most load reports of other calls said that the upstreams are full.
    state = ProxyState{.settings = state.settings};
    attempts.clear();
    prepare();
    admit(1);
    for (int report = 0; report < 50; ++report) {
        recordAvailability(hedging(), report % 3 == 0);
    }
    advanceTime(2 * UsualTime);
    EXPECT_TRUE(probes.empty());
    EXPECT_EQ(attempts.size(), 1U);
}

// An entry VM without processor time reads the answers to its probes too late.
TEST_F(ProxyHedgingTest, AHedgeWhoseProbesAreLostIsTriedAgain)
{
    prepare();
    admit(1);
    advanceTime(2 * UsualTime);
    ASSERT_FALSE(probes.empty());
    for (const StartProbe &probe : std::exchange(probes, {})) {
        feed(ProbeEnded{.id = probe.id, .outcome = ProbeOutcome::Unhealthy, .load = {}});
    }
    EXPECT_TRUE(probes.empty()) << "not at once";
    advanceTime(std::chrono::seconds(1));
    ASSERT_FALSE(probes.empty());
    answerProbes({.slots = Slots});
    ASSERT_EQ(attempts.size(), 2U);
    EXPECT_EQ(attempts[1].retry, RetryReason::Hedge);
}

TEST_F(ProxyHedgingTest, ASlotThatBecomesFreeGoesToACallThatWaitsBeforeAHedge)
{
    prepare();
    admit(1);
    advanceTime(2 * UsualTime);
    ASSERT_FALSE(probes.empty());
    const StartProbe hedgeProbe = probes.back();
    probes.clear();
    feed(ProxyCallAdmitted{
        .id = 2, .service = "desk", .repeatability = Repeatability::AtMostOnce, .target = std::chrono::seconds(1), .deadline = now + std::chrono::seconds(2)});
    answerProbes({.running = Slots, .waiting = 1, .slots = Slots});
    ASSERT_EQ(attempts.size(), 1U);
    feed(ProbeEnded{.id = hedgeProbe.id, .outcome = ProbeOutcome::Answered, .load = {.slots = Slots}});
    EXPECT_EQ(attempts.size(), 1U);
    advanceTime(std::chrono::milliseconds(20));
    ASSERT_EQ(attempts.size(), 2U);
    EXPECT_EQ(attempts[1].call, 2U);
}

// Guards against an estimate that forgets the slow attempts, because hedges overtake them, and makes hedges start ever earlier.
TEST_F(ProxyHedgingTest, OvertakenAttemptsKeepTheEstimateOfSlowOnes)
{
    ProxyHedging overtaken;
    std::uniform_real_distribution<double> milliseconds(35.0, 65.0);
    for (int attempt = 0; attempt < 20'000; ++attempt) {
        const Duration latency = fromMilliseconds(milliseconds(random));
        const Duration p95 = overtaken.latency.quantiles.p95;
        if (hasQuantiles(overtaken.latency) && latency > p95) {
            recordCancelled(overtaken, p95 + fromMilliseconds(35.0));
        } else {
            recordLatency(overtaken, latency);
        }
    }
    EXPECT_GT(overtaken.latency.quantiles.p95, fromMilliseconds(60.0));
}

// Answers an upstream that answers probes and hangs on calls.
TEST_F(ProxyHedgingTest, AnUpstreamThatHedgesOvertakeAgainAndAgainIsEjected)
{
    prepare();
    int overtaken = 0;
    for (ProxyCallId id = 1; id <= 200 && upstream(1).ejectedUntil <= now; ++id) {
        admit(id);
        ASSERT_EQ(attempts.back().call, id);
        if (attempts.back().upstream.key != 1) {
            advanceTime(UsualTime / 2);
            end(attempts.back(), ProxyAttemptOutcome::Succeeded);
            continue;
        }
        overtake(id);
        ++overtaken;
    }
    EXPECT_GT(upstream(1).ejectedUntil, now);
    EXPECT_GT(overtaken, 3);
    EXPECT_LE(overtaken, 10);
    EXPECT_EQ(upstream(2).failureRate, 0.0);
    EXPECT_EQ(upstream(3).failureRate, 0.0);
}

TEST_F(ProxyHedgingTest, ThreeLossesWithinAMomentDoNotEjectAnUpstream)
{
    prepare();
    for (const UpstreamKey other : {2U, 3U}) {
        recordLoadReport(upstream(other), {.running = Slots, .waiting = 1, .slots = Slots}, now);
    }
    recordLoadReport(upstream(1), {.running = 1, .slots = Slots}, now);
    for (const ProxyCallId id : {1U, 2U, 3U}) {
        admit(id);
        ASSERT_EQ(attempts.back().upstream.key, 1U);
    }
    hedging().budget.tokens = 3.0;
    advanceTime(2 * UsualTime);
    answerProbes({.slots = Slots});
    ASSERT_EQ(attempts.size(), 6U);
    for (std::size_t hedge = 3; hedge < 6; ++hedge) {
        end(attempts[hedge], ProxyAttemptOutcome::Succeeded);
        now += std::chrono::milliseconds(5);
    }
    EXPECT_EQ(cancelled.size(), 3U);
    EXPECT_LE(upstream(1).ejectedUntil, now);
    EXPECT_GT(upstream(1).failureRate, 0.0);
    EXPECT_EQ(upstream(1).inFlight, 0U);
}

TEST_F(ProxyHedgingTest, AnAttemptThatIsOvertakenEarlyIsNoFailure)
{
    startHedge();
    end(attempts[0], ProxyAttemptOutcome::Succeeded);
    EXPECT_EQ(cancelled, std::vector<ProxyAttemptId>{attempts[1].id});
    EXPECT_EQ(upstream(attempts[1].upstream.key).failureRate, 0.0) << "the hedge had just begun";
}

TEST_F(ProxyHedgingTest, AnAbandonedCallCancelsBothAttempts)
{
    startHedge();
    feed(ProxyCallAbandoned{1});
    EXPECT_EQ(cancelled.size(), 2U);
    EXPECT_TRUE(ends.empty());
    EXPECT_TRUE(state.attempts.empty());
    EXPECT_TRUE(state.calls.empty());
}

TEST_F(ProxyHedgingTest, TheDeadlineCancelsBothAttempts)
{
    startHedge();
    advanceTime(std::chrono::seconds(3));
    EXPECT_EQ(cancelled.size(), 2U);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, CallOutcome::Unknown);
}

TEST_F(ProxyHedgingTest, IfOneAttemptFailsTheOtherDecides)
{
    for (const std::size_t failing : {0U, 1U}) {
        for (const auto outcome : {ProxyAttemptOutcome::ServerError,
                                   ProxyAttemptOutcome::Shed,
                                   ProxyAttemptOutcome::Replaced,
                                   ProxyAttemptOutcome::NotSent,
                                   ProxyAttemptOutcome::ConnectionLost}) {
            SCOPED_TRACE(nameOf(outcome));
            state = ProxyState{.settings = state.settings};
            attempts.clear();
            ends.clear();
            cancelled.clear();
            startHedge();
            end(attempts[failing], outcome);
            EXPECT_TRUE(ends.empty());
            EXPECT_EQ(attempts.size(), 2U) << "the other attempt is running";
            end(attempts[1 - failing], ProxyAttemptOutcome::Succeeded);
            ASSERT_EQ(ends.size(), 1U);
            EXPECT_EQ(ends[0].outcome, CallOutcome::Answered);
            EXPECT_EQ(ends[0].answer, attempts[1 - failing].id);
            EXPECT_TRUE(cancelled.empty());
        }
    }
}

TEST_F(ProxyHedgingTest, IfBothAttemptsFailTheOutcomeTellsWhetherTheCallMayHaveRun)
{
    const auto endOf = [this](ProxyAttemptOutcome first, ProxyAttemptOutcome second) {
        state = ProxyState{.settings = state.settings};
        attempts.clear();
        ends.clear();
        startHedge();
        end(attempts[0], first);
        end(attempts[1], second);
        EXPECT_EQ(attempts.size(), 2U) << "no attempt is left";
        return ends.empty() ? EndProxyCall{} : ends.back();
    };
    EXPECT_EQ(endOf(ProxyAttemptOutcome::ConnectionLost, ProxyAttemptOutcome::Shed).outcome, CallOutcome::Unknown);
    EXPECT_EQ(endOf(ProxyAttemptOutcome::Shed, ProxyAttemptOutcome::ConnectionLost).outcome, CallOutcome::Unknown);
    EXPECT_EQ(endOf(ProxyAttemptOutcome::Shed, ProxyAttemptOutcome::Shed).outcome, CallOutcome::NotRun);
    const EndProxyCall error = endOf(ProxyAttemptOutcome::ServerError, ProxyAttemptOutcome::Shed);
    EXPECT_EQ(error.outcome, CallOutcome::Answered) << "the server error is the only answer";
    EXPECT_EQ(error.answer, attempts[0].id);
}

TEST_F(ProxyHedgingTest, OnlyAHedgeOfWhichNothingWasSentIsGivenBack)
{
    for (const auto &row : enumNames(ProxyAttemptOutcome{})) {
        SCOPED_TRACE(row.name);
        state = ProxyState{.settings = state.settings};
        attempts.clear();
        startHedge();
        const double hedges = hedging().budget.tokens;
        const double retries = service().retryBudget.tokens;
        end(attempts[1], row.value);
        const double returned = row.value == ProxyAttemptOutcome::NotSent ? 1.0 : 0.0;
        EXPECT_NEAR(hedging().budget.tokens, hedges + returned, 1e-6);
        EXPECT_NEAR(service().retryBudget.tokens, retries + returned, 1e-6);
    }
}

TEST_F(ProxyHedgingTest, AHedgeNeedsBothBudgets)
{
    for (const bool isRetryBudgetEmpty : {false, true}) {
        state = ProxyState{.settings = state.settings};
        state.settings.retrySlack = 0.0;
        attempts.clear();
        prepare();
        admit(1);
        (isRetryBudgetEmpty ? service().retryBudget : hedging().budget).tokens = 0.5;
        advanceTime(2 * UsualTime);
        answerProbes({.slots = Slots});
        EXPECT_EQ(attempts.size(), 1U);
    }
}

/** What callers got in a simulated load. */
struct LoadResult {
    std::vector<Duration> latencies;
    std::size_t hedges = 0;
    std::size_t retries = 0;
    std::size_t calls = 0;

    Duration quantile(double share)
    {
        std::sort(latencies.begin(), latencies.end());
        return latencies[static_cast<std::size_t>(share * static_cast<double>(latencies.size() - 1))];
    }
};

/** A load on 20 upstreams, of which @p slowShare of all attempts take twenty times as long as usual. */
struct Load {
    double hedgeShare = 0.0;
    double slowShare = 0.03;
    Duration interval = std::chrono::milliseconds(5); ///< Between two calls.
    double retrySlack = 100.0;
};

LoadResult play(const Load &load)
{
    constexpr std::size_t Calls = 6000;
    constexpr std::size_t WarmUp = 500;
    std::mt19937_64 random{11};
    std::mt19937_64 work{12};
    ProxyState state;
    state.settings = {.availabilityZone = "a", .retryShare = 0.2, .retrySlack = load.retrySlack, .hedgeShare = load.hedgeShare, .probesPerSecond = 10'000.0};
    std::multimap<TimePoint, ProxyEvent> events;
    std::map<ProxyAttemptId, UpstreamKey> running;
    std::map<UpstreamKey, std::uint32_t> runningAt;
    std::map<ProxyCallId, TimePoint> admittedAt;
    LoadResult result{.calls = Calls};
    TimePoint now = Start;
    const auto loadOf = [&](UpstreamKey key) {
        return UpstreamLoad{.running = std::min(runningAt[key], Slots), .waiting = runningAt[key] > Slots ? runningAt[key] - Slots : 0, .slots = Slots};
    };
    const auto finish = [&](ProxyAttemptId id) {
        const auto found = running.find(id);
        const UpstreamKey key = found->second;
        running.erase(found);
        --runningAt[key];
        return key;
    };
    const auto feed = [&](const ProxyEvent &event) {
        for (const ProxyAction &action : step(state, event, now, random)) {
            if (const auto *probe = std::get_if<StartProbe>(&action)) {
                events.emplace(now + std::chrono::milliseconds(1),
                               ProbeEnded{.id = probe->id, .outcome = ProbeOutcome::Answered, .load = loadOf(probe->upstream.key)});
            } else if (const auto *attempt = std::get_if<StartProxyAttempt>(&action)) {
                running.emplace(attempt->id, attempt->upstream.key);
                ++runningAt[attempt->upstream.key];
                result.hedges += attempt->retry == RetryReason::Hedge ? 1 : 0;
                result.retries += attempt->retry ? 1 : 0;
                const double usual = std::uniform_real_distribution<double>(0.7, 1.3)(work);
                const bool isSlow = std::bernoulli_distribution(load.slowShare)(work);
                events.emplace(now + std::chrono::duration_cast<Duration>(UsualTime * usual * (isSlow ? 20.0 : 1.0)),
                               ProxyAttemptEnded{.id = attempt->id, .outcome = ProxyAttemptOutcome::Succeeded, .load = std::nullopt});
            } else if (const auto *end = std::get_if<EndProxyCall>(&action)) {
                if (end->outcome == CallOutcome::Answered && end->call > WarmUp) {
                    result.latencies.push_back(now - admittedAt.at(end->call));
                }
            } else {
                finish(std::get<CancelProxyAttempt>(action).id);
            }
        }
    };
    feed(UpstreamsReplaced{makeUpstreams(20)});
    for (ProxyCallId id = 1; id <= Calls; ++id) {
        const TimePoint at = Start + id * load.interval;
        admittedAt.emplace(id, at);
        events.emplace(at,
                       ProxyCallAdmitted{.id = id,
                                         .service = "desk",
                                         .repeatability = Repeatability::Idempotent,
                                         .maximumAttempts = 2,
                                         .target = std::chrono::milliseconds(400),
                                         .deadline = at + std::chrono::seconds(3)});
    }
    while (!events.empty()) {
        if (const auto timer = nextWakeUp(state); timer && *timer <= events.begin()->first) {
            now = std::max(now, *timer);
            feed(ProxyTimerFired{});
            continue;
        }
        now = std::max(now, events.begin()->first);
        ProxyEvent event = events.begin()->second;
        events.erase(events.begin());
        if (auto *ended = std::get_if<ProxyAttemptEnded>(&event)) {
            if (!running.contains(ended->id)) {
                continue; // It was cancelled.
            }
            ended->load = loadOf(finish(ended->id));
        }
        feed(event);
    }
    return result;
}

// Answers a calm load in which some attempts take long for reasons that another upstream does not share.
TEST(ProxyHedgingLoad, CutsTheTailOfACalmLoad)
{
    LoadResult without = play({.hedgeShare = 0.0});
    LoadResult with = play({.hedgeShare = 0.1});
    EXPECT_EQ(without.hedges, 0U);
    EXPECT_EQ(with.latencies.size(), without.latencies.size()) << "every call is answered";
    EXPECT_GT(without.quantile(0.99), 10 * UsualTime);
    EXPECT_LT(with.quantile(0.99), 4 * UsualTime);
    EXPECT_LT(with.quantile(0.5), without.quantile(0.5) + std::chrono::milliseconds(2)) << "the usual call does not wait longer";
}

TEST(ProxyHedgingLoad, KeepsTheLimits)
{
    for (const double share : {0.01, 0.05, 0.2}) {
        const LoadResult result = play({.hedgeShare = share, .slowShare = 0.3});
        EXPECT_GT(result.hedges, 0U) << share;
        EXPECT_LE(static_cast<double>(result.hedges), share * static_cast<double>(result.calls)) << share;
    }
    const LoadResult scarceRetries = play({.hedgeShare = 1.0, .slowShare = 0.3, .retrySlack = 1.0});
    EXPECT_LE(static_cast<double>(scarceRetries.retries), 0.2 * static_cast<double>(scarceRetries.calls) + 1.0 * 4.0)
        << "hedges are retries, within the share and the slack of each window";
}

// Answers an overload: a second attempt would take a slot from a first one.
TEST(ProxyHedgingLoad, SendsFewHedgesUnderOverload)
{
    const Load overload{.hedgeShare = 0.0, .slowShare = 0.03, .interval = std::chrono::microseconds(600)};
    Load hedged = overload;
    hedged.hedgeShare = 0.2;
    const LoadResult without = play(overload);
    const LoadResult with = play(hedged);
    EXPECT_LT(without.latencies.size(), without.calls * 9 / 10) << "the load must be an overload";
    EXPECT_LT(with.hedges, with.calls / 200);
    EXPECT_GT(with.latencies.size(), without.latencies.size() * 99 / 100);
}

}
}
