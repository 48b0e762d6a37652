#include "core/suspendawareclock.h"
#include "fakes/eventloop.h"
#include "observability/metrics.h"
#include "tasks/proxytask.h"

#include <gtest/gtest.h>

#include <QCoreApplication>

#include <map>

namespace Plantainweir {
namespace {

using namespace std::chrono_literals;

const KeyDigest s_limitedKey{1};
const KeyDigest s_unlimitedKey{2};

RouteTable makeTable()
{
    RouteTable table;
    table.version = 1;
    table.routes.push_back({.name = "r", .host = "h", .pathPrefix = "/", .timeout = 2s, .target = 400ms, .targets = {{.service = "desk"}}});
    table.services["desk"] = {.name = "desk", .healthPath = "/health"};
    table.accounts["limited"] = {.name = "limited", .keys = {s_limitedKey}, .callsPerSecond = 2.0};
    table.accounts["unlimited"] = {.name = "unlimited", .keys = {s_unlimitedKey}};
    return table;
}

/** A ProxyTask with one upstream; the test decides about credit. */
class ProxyCreditTest : public testing::Test
{
protected:
    ProxyCreditTest()
    {
        QObject::connect(&task, &ProxyTask::replyReady, &task, [this](HttpExchangeId exchange, const std::string &, const CallReply &reply) {
            EXPECT_TRUE(replies.emplace(exchange, reply).second);
        });
        QObject::connect(&task, &ProxyTask::creditRequested, &task, [this](CreditRequestId id, const CreditLine &line, TimePoint) {
            requested.emplace_back(id, line);
        });
        QObject::connect(&task, &ProxyTask::creditCancelled, &task, [this](CreditRequestId id) {
            cancelled.push_back(id);
        });
        QObject::connect(&task, &ProxyTask::creditReturned, &task, [this](const CreditDecision &decision) {
            returned.push_back(decision.credit);
        });
        QObject::connect(&task, &ProxyTask::probeStarted, &task, [this](const OutgoingProbe &probe) {
            probes.push_back(probe.id);
        });
        QObject::connect(&task, &ProxyTask::attemptStarted, &task, [this](const OutgoingProxyAttempt &attempt) {
            attempts.push_back(attempt.id);
        });
        task.setRouteTable(makeTable());
        task.setRouteTableFresh(true);
        task.setUpstreams({{.key = 1, .id = "i-1", .service = "desk", .endpoint = {"127.0.0.1", 9}, .slots = 4}});
    }

    void admit(HttpExchangeId exchange, const KeyDigest &key, Duration timeLeft = 2s)
    {
        const RoutedCall call{.host = "h",
                              .path = "/x",
                              .requestId = "id",
                              .timeLeft = timeLeft,
                              .arrivedAt = Clock::now(),
                              .credential = {.kind = CredentialKind::Key, .digest = key}};
        task.admit({.exchange = exchange, .call = call, .message = std::make_shared<const RequestMessage>()});
    }

    static CreditDecision granted()
    {
        return {.outcome = CreditOutcome::Granted, .usableUntil = suspendAwareNow() + CreditTime, .credit = 77};
    }

    static constexpr std::chrono::milliseconds CreditTime{250};

    Metrics metrics;
    ProxyTask task{{.probesPerSecond = 1000.0}, metrics, 1};
    std::map<HttpExchangeId, CallReply> replies;
    std::vector<std::pair<CreditRequestId, CreditLine>> requested;
    std::vector<CreditRequestId> cancelled;
    std::vector<std::uint64_t> returned;
    std::vector<ProbeId> probes;
    std::vector<ProxyAttemptId> attempts;
};

TEST_F(ProxyCreditTest, ACallOfALimitedAccountWaitsForItsCredit)
{
    admit(1, s_limitedKey);
    ASSERT_EQ(requested.size(), 1U);
    EXPECT_EQ(requested[0].second, (CreditLine{.kind = CreditKind::Account, .scope = "limited", .upstream = {}}));
    EXPECT_TRUE(probes.empty());
    EXPECT_EQ(task.openCallCount(), 1U);
    task.finishCredit(requested[0].first, granted());
    EXPECT_FALSE(probes.empty());
    EXPECT_TRUE(replies.empty());
}

TEST_F(ProxyCreditTest, TheEndOfACallNamesTheVersionThatAdmittedIt)
{
    testing::internal::CaptureStderr();
    admit(1, s_limitedKey);
    RouteTable next = makeTable();
    next.version = 2;
    EXPECT_TRUE(task.setRouteTable(next));
    task.finishCredit(requested.at(0).first, {.outcome = CreditOutcome::Denied});
    const std::string log = testing::internal::GetCapturedStderr();
    EXPECT_NE(log.find("call_ended"), std::string::npos);
    EXPECT_NE(log.find(" routes=1 "), std::string::npos) << log;
}

TEST_F(ProxyCreditTest, ACallOfAnUnlimitedAccountNeedsNone)
{
    admit(1, s_unlimitedKey);
    EXPECT_TRUE(requested.empty());
    EXPECT_FALSE(probes.empty());
}

TEST_F(ProxyCreditTest, WithoutCreditTheCallIsRefusedWithTheTimeAtWhichItReturns)
{
    admit(1, s_limitedKey);
    admit(2, s_limitedKey);
    const TimePoint before = Clock::now();
    task.finishCredit(requested[0].first, {.outcome = CreditOutcome::Denied, .retryAt = suspendAwareNow() + 700ms});
    task.finishCredit(requested[1].first, {.outcome = CreditOutcome::Unavailable, .retryAt = suspendAwareNow() + 3s});
    ASSERT_EQ(replies.size(), 2U);
    EXPECT_EQ(replies[1].outcome, CallOutcome::NotRun);
    EXPECT_EQ(replies[1].refusal, RefusalReason::QuotaExceeded);
    EXPECT_GE(replies[1].retryAt, before + 690ms);
    EXPECT_LE(replies[1].retryAt, Clock::now() + 700ms);
    EXPECT_EQ(replies[2].refusal, RefusalReason::CreditUnavailable);
    EXPECT_GE(replies[2].retryAt, before + 2900ms);
    EXPECT_TRUE(probes.empty());
    EXPECT_EQ(task.openCallCount(), 0U);
}

TEST_F(ProxyCreditTest, ExpiredCreditIsNotUsed)
{
    admit(1, s_limitedKey);
    task.finishCredit(requested[0].first, {.outcome = CreditOutcome::Granted, .usableUntil = suspendAwareNow() - 1ms, .credit = 77});
    EXPECT_EQ(replies.at(1).refusal, RefusalReason::CreditUnavailable);
    EXPECT_TRUE(probes.empty());
}

TEST_F(ProxyCreditTest, ACallWhoseDeadlinePassesMeanwhileIsRefusedAndItsCreditGivenBack)
{
    admit(1, s_limitedKey, 1ms);
    const TimePoint end = Clock::now() + 2ms;
    EXPECT_TRUE(waitUntil([end] {
        return Clock::now() >= end;
    }));
    task.finishCredit(requested.at(0).first, granted());
    EXPECT_EQ(replies.at(1).refusal, RefusalReason::DeadlinePassed);
    EXPECT_EQ(returned, std::vector<std::uint64_t>{77});
}

TEST_F(ProxyCreditTest, AWaitingCallCanBeAbandoned)
{
    admit(1, s_limitedKey);
    task.abandon(1);
    EXPECT_EQ(cancelled, std::vector<CreditRequestId>{requested[0].first});
    EXPECT_EQ(task.openCallCount(), 0U);
    task.finishCredit(requested[0].first, granted());
    EXPECT_TRUE(replies.empty());
}

TEST_F(ProxyCreditTest, TheCreditOfACallThatIsNotRunIsGivenBack)
{
    admit(1, s_limitedKey);
    task.finishCredit(requested[0].first, granted());
    task.finishProbe({.id = probes.at(0), .outcome = ProbeOutcome::Answered, .load = {.slots = 4, .workTimeFactor = 1.0}});
    ASSERT_EQ(attempts.size(), 1U);
    task.finishAttempt({.ended = {.id = attempts[0], .outcome = ProxyAttemptOutcome::Shed}, .response = nullptr});
    EXPECT_EQ(replies.at(1).outcome, CallOutcome::NotRun);
    EXPECT_EQ(returned, std::vector<std::uint64_t>{77});
}

TEST_F(ProxyCreditTest, TheCreditOfACallThatMayHaveRunIsKept)
{
    admit(1, s_limitedKey);
    task.finishCredit(requested[0].first, granted());
    task.finishProbe({.id = probes.at(0), .outcome = ProbeOutcome::Answered, .load = {.slots = 4, .workTimeFactor = 1.0}});
    task.finishAttempt({.ended = {.id = attempts.at(0), .outcome = ProxyAttemptOutcome::ConnectionLost}, .response = nullptr});
    EXPECT_EQ(replies.at(1).outcome, CallOutcome::Unknown);
    EXPECT_TRUE(returned.empty());
}

}
}

int main(int argc, char **argv)
{
    testing::InitGoogleTest(&argc, argv);
    QCoreApplication application(argc, argv);
    return RUN_ALL_TESTS();
}
