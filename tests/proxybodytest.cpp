#include "observability/metrics.h"
#include "tasks/proxytask.h"

#include <gtest/gtest.h>

#include <QCoreApplication>

#include <map>

namespace Plantainweir {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t BodyLimit = 1000;
constexpr std::size_t LargeBody = 500; ///< Half of the limit, which is the most that one call may take.

RouteTable makeTable()
{
    RouteTable table;
    table.version = 1;
    const auto addRoute = [&table](const std::string &prefix, Repeatability repeatability) {
        table.routes.push_back({.name = prefix,
                                .host = "h",
                                .pathPrefix = prefix,
                                .repeatability = repeatability,
                                .timeout = 2s,
                                .target = 400ms,
                                .targets = {{.service = "desk"}}});
    };
    addRoute("/once/", Repeatability::AtMostOnce);
    addRoute("/again/", Repeatability::Idempotent);
    table.services["desk"] = {.name = "desk", .healthPath = "/health"};
    return table;
}

/** A ProxyTask whose calls may hold little memory, and one upstream that has room. */
class ProxyBodyTest : public testing::Test
{
protected:
    ProxyBodyTest()
    {
        QObject::connect(&task, &ProxyTask::replyReady, &task, [this](HttpExchangeId exchange, const std::string &, const CallReply &reply) {
            EXPECT_TRUE(replies.emplace(exchange, reply).second);
        });
        QObject::connect(&task, &ProxyTask::probeStarted, &task, [this](const OutgoingProbe &probe) {
            probes.push_back(probe.id);
        });
        QObject::connect(&task, &ProxyTask::attemptStarted, &task, [this](const OutgoingProxyAttempt &attempt) {
            attempts.push_back(attempt.id);
        });
        task.setBodyLimit(BodyLimit);
        task.setRouteTable(makeTable());
        task.setRouteTableFresh(true);
        task.setUpstreams({{.key = 1, .id = "i-1", .service = "desk", .endpoint = {"127.0.0.1", 9}, .slots = 4}});
    }

    void admit(HttpExchangeId exchange, const std::string &path)
    {
        const RoutedCall call{.host = "h", .path = path, .requestId = "id", .timeLeft = 2s, .arrivedAt = Clock::now(), .bodyBytes = LargeBody};
        task.admit({.exchange = exchange, .call = call, .message = std::make_shared<const RequestMessage>()});
    }

    /** Admits a call, and answers its probes until its attempt starts. */
    ProxyAttemptId start(HttpExchangeId exchange, const std::string &path)
    {
        const std::size_t before = attempts.size();
        admit(exchange, path);
        while (attempts.size() == before && !probes.empty()) {
            const ProbeId probe = probes.back();
            probes.pop_back();
            task.finishProbe({.id = probe, .outcome = ProbeOutcome::Answered, .load = {.running = 0, .waiting = 0, .slots = 4}});
        }
        EXPECT_EQ(attempts.size(), before + 1);
        return attempts.empty() ? 0 : attempts.back();
    }

    bool isRefused(HttpExchangeId exchange) const
    {
        const auto found = replies.find(exchange);
        return found != replies.end() && found->second.outcome == CallOutcome::NotRun && found->second.refusal == RefusalReason::MemoryFull;
    }

    Metrics metrics;
    ProxyTask task{{.probesPerSecond = 1000.0}, metrics, 1};
    std::map<HttpExchangeId, CallReply> replies;
    std::vector<ProbeId> probes;
    std::vector<ProxyAttemptId> attempts;
};

TEST_F(ProxyBodyTest, ABodyCountsUntilItsCallHasEnded)
{
    const ProxyAttemptId attempt = start(1, "/once/x");
    admit(2, "/once/x");
    EXPECT_TRUE(isRefused(2));
    task.finishAttempt({.ended = {.id = attempt, .outcome = ProxyAttemptOutcome::ConnectionLost}, .response = nullptr});
    EXPECT_TRUE(replies.contains(1));
    admit(3, "/once/x");
    EXPECT_FALSE(isRefused(3));
}

// Guards against callers that send large bodies and leave, while a slow upstream still reads them.
TEST_F(ProxyBodyTest, TheBodyOfACallThatRunsOnWithoutItsCallerStillCounts)
{
    const ProxyAttemptId attempt = start(1, "/once/x");
    task.abandon(1);
    EXPECT_EQ(task.openCallCount(), 0U);
    admit(2, "/once/x");
    EXPECT_TRUE(isRefused(2));
    task.finishAttempt({.ended = {.id = attempt, .outcome = ProxyAttemptOutcome::DeadlinePassed}, .response = nullptr});
    admit(3, "/once/x");
    EXPECT_FALSE(isRefused(3));
}

TEST_F(ProxyBodyTest, TheBodyOfACallThatEndsWithItsCallerIsFree)
{
    start(1, "/again/x");
    task.abandon(1);
    admit(2, "/again/x");
    EXPECT_FALSE(isRefused(2));
}

}
}

int main(int argc, char **argv)
{
    QCoreApplication application(argc, argv);
    testing::InitGoogleTest(&argc, argv);
    return RUN_ALL_TESTS();
}
