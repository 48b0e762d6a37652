#include "fakes/fakeupstream.h"
#include "http/headers.h"
#include "http/httpclient.h"

#include <gtest/gtest.h>

#include <QCoreApplication>
#include <QEventLoop>

namespace Plantainweir {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t Seed = 3;

FakeWork work(WorkId id, TimePoint deadline = TimePoint::max())
{
    return {.id = id, .key = "key-" + std::to_string(id), .workKind = "sale", .deadline = deadline};
}

/** A model with one slot and a queue of one call, in virtual time. */
class FakeUpstreamModelTest : public testing::Test
{
protected:
    FakeUpstreamModelTest()
    {
        state.settings.slots = 1;
        state.settings.queueLength = 1;
        state.startedAt = now;
    }

    FakeReplies receiveNow(WorkId id, TimePoint deadline = TimePoint::max())
    {
        FakeReplies replies;
        receiveWork(state, work(id, deadline), now, random, replies);
        return replies;
    }

    FakeReplies advanceToNextWakeUp()
    {
        now = nextWakeUp(state).value_or(now);
        FakeReplies replies;
        advance(state, now, random, replies);
        return replies;
    }

    TimePoint now{std::chrono::seconds(1000)};
    std::mt19937_64 random{Seed};
    FakeUpstreamState state;
};

TEST_F(FakeUpstreamModelTest, RunsThenQueuesThenSheds)
{
    EXPECT_TRUE(receiveNow(1).empty());
    EXPECT_TRUE(receiveNow(2).empty());
    const FakeReplies refused = receiveNow(3);
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].kind, FakeReplyKind::ShedNotRun);
    EXPECT_EQ(state.counts.started, 1U);
    const FakeReplies first = advanceToNextWakeUp();
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first[0].id, 1U);
    EXPECT_EQ(advanceToNextWakeUp().size(), 1U);
    EXPECT_EQ(state.counts.completed, 2U);
    EXPECT_EQ(state.executions.count("key-3"), 0U);
    EXPECT_EQ(nextWakeUp(state), std::nullopt);
}

TEST_F(FakeUpstreamModelTest, RefusesQueuedWorkWhoseDeadlinePassed)
{
    receiveNow(1);
    receiveNow(2, now);
    const FakeReplies replies = advanceToNextWakeUp();
    ASSERT_EQ(replies.size(), 2U);
    EXPECT_EQ(replies[1].kind, FakeReplyKind::ExpiredNotRun);
    EXPECT_EQ(state.counts.started, 1U);
}

TEST_F(FakeUpstreamModelTest, CancelsQueuedWorkWithoutRunningIt)
{
    receiveNow(1);
    receiveNow(2);
    cancel(state, 2);
    EXPECT_EQ(advanceToNextWakeUp().size(), 1U);
    EXPECT_EQ(state.counts.started, 1U);
    EXPECT_EQ(state.counts.cancelled, 1U);
}

TEST_F(FakeUpstreamModelTest, StallDelaysWorkUntilItEnds)
{
    state.fault = FakeFault::Stall;
    receiveNow(1);
    EXPECT_EQ(nextWakeUp(state), std::nullopt);
    now += std::chrono::hours(1);
    EXPECT_TRUE(advanceToNextWakeUp().empty());
    state.fault = FakeFault::None;
    EXPECT_EQ(advanceToNextWakeUp().size(), 1U);
}

TEST_F(FakeUpstreamModelTest, ColdStartAndSlowFactorLengthenWork)
{
    state.settings.slots = 1000;
    state.settings.coldStart = std::chrono::seconds(1);
    const auto meanOfRuns = [this] {
        Duration sum{};
        for (WorkId id = 1; id <= 1000; ++id) {
            FakeReplies replies;
            receiveWork(state, work(id), now, random, replies);
        }
        for (const auto &[id, run] : state.running) {
            sum += run.finishAt - now;
        }
        state.running.clear();
        return toMilliseconds(sum) / 1000;
    };
    EXPECT_NEAR(meanOfRuns(), 25.0, 5.0);
    now += std::chrono::seconds(2);
    EXPECT_NEAR(meanOfRuns(), 5.0, 1.0);
    state.slowFactor = 10;
    EXPECT_NEAR(meanOfRuns(), 50.0, 10.0);
}

TEST_F(FakeUpstreamModelTest, CountsArrivalsWhileDraining)
{
    setDraining(state, true, now);
    now += milliseconds(1500);
    setDraining(state, true, now);
    receiveNow(1);
    EXPECT_EQ(state.counts.arrivedWhileDraining, 1U);
    EXPECT_EQ(state.counts.lastArrivalAfterDrain, milliseconds(1500));
}

/** A fake upstream that is called through its HTTP port. */
class FakeUpstreamPortTest : public testing::Test
{
protected:
    FakeUpstreamPortTest()
        : upstream({.name = "rink-1", .serviceTime = milliseconds(1)}, Seed)
    {
        EXPECT_TRUE(upstream.listen({.address = "127.0.0.1", .port = 0}));
        QObject::connect(&client, &HttpClient::finished, &loop, [this](HttpRequestId, const HttpRequestResult &sent) {
            result = sent;
            loop.quit();
        });
    }

    HttpRequestResult call(const std::string &key)
    {
        const HttpRequest request{.method = "POST", .target = "/sale", .fields = {{Headers::IdempotencyKey, key}, {Headers::WorkKind, "sale"}}, .body = "{}"};
        client.send(upstream.endpoint(), request, Clock::now() + std::chrono::seconds(30));
        loop.exec();
        return result;
    }

    int argumentCount = 1;
    char programName[5] = "test";
    char *arguments[2] = {programName, nullptr};
    QCoreApplication application{argumentCount, arguments};
    QEventLoop loop;
    FakeUpstream upstream;
    HttpClient client{HttpLimits{}};
    HttpRequestResult result;
};

TEST_F(FakeUpstreamPortTest, AnswersWithTheCallsKeyAndItsLoad)
{
    const HttpRequestResult answered = call("k1");
    ASSERT_EQ(answered.outcome, HttpRequestOutcome::Answered);
    EXPECT_EQ(answered.response.status, 200);
    EXPECT_EQ(answered.response.body, "{\"upstream\":\"rink-1\",\"call\":\"k1\"}\n");
    EXPECT_EQ(fieldValue(answered.response.fields, Headers::Load), "busy=0;queued=0");
    EXPECT_EQ(fieldValue(answered.response.fields, Headers::UpstreamState), "");
    EXPECT_EQ(upstream.executions("k1"), 1U);
}

TEST_F(FakeUpstreamPortTest, ReportsDrainingAndWorkNotRun)
{
    upstream.setDraining(true);
    EXPECT_EQ(fieldValue(call("k1").response.fields, Headers::UpstreamState), "draining");
    upstream.setFault(FakeFault::Shed);
    const HttpRequestResult refused = call("k2");
    EXPECT_EQ(refused.response.status, 503);
    EXPECT_EQ(fieldValue(refused.response.fields, Headers::NotRun), "shed");
    EXPECT_EQ(upstream.executions("k2"), 0U);
}

TEST_F(FakeUpstreamPortTest, CountsExecutionsOfClosedConnections)
{
    upstream.setFault(FakeFault::CloseBeforeRun);
    EXPECT_EQ(call("before").outcome, HttpRequestOutcome::ConnectionLost);
    EXPECT_EQ(upstream.executions("before"), 0U);
    upstream.setFault(FakeFault::CloseAfterRun);
    EXPECT_EQ(call("after").outcome, HttpRequestOutcome::ConnectionLost);
    EXPECT_EQ(upstream.executions("after"), 1U);
    upstream.setFault(FakeFault::CloseInAnswer);
    EXPECT_EQ(call("middle").outcome, HttpRequestOutcome::ConnectionLost);
    EXPECT_EQ(upstream.executions("middle"), 1U);
    upstream.setFault(FakeFault::FailFast);
    EXPECT_EQ(call("failed").response.status, 500);
    EXPECT_EQ(upstream.executions("failed"), 1U);
}

TEST_F(FakeUpstreamPortTest, CountsACallWithoutKeyByItsTarget)
{
    client.send(upstream.endpoint(), {.method = "GET", .target = "/lookup?call=c7", .fields = {}, .body = {}}, Clock::now() + std::chrono::seconds(30));
    loop.exec();
    EXPECT_EQ(upstream.executions("c7"), 1U);
}

}
}
