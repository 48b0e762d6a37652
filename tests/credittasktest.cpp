#include "tasks/credittask.h"
#include "core/suspendawareclock.h"
#include "fakes/eventloop.h"
#include "fakes/freeendpoint.h"
#include "observability/metrics.h"

#include <gtest/gtest.h>

#include <QUdpSocket>

#include <map>

namespace Plantainweir {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t FleetSize = 4;
const CreditLine s_line{.kind = CreditKind::Account, .scope = "a", .upstream = {}};

void processEventsFor(Duration duration)
{
    const TimePoint end = Clock::now() + duration;
    EXPECT_TRUE(waitUntil([end] {
        return Clock::now() >= end;
    }));
}

RouteTable limitedTable()
{
    RouteTable table;
    table.version = 1;
    table.accounts["a"] = {.name = "a", .callsPerSecond = 20.0, .burst = 10.0};
    return table;
}

/** Four tasks on loopback. */
class CreditTaskTest : public testing::Test
{
protected:
    CreditTaskTest()
    {
        for (std::size_t index = 0; index < FleetSize; ++index) {
            const CreditTaskSettings settings{
                .name = "vm-" + std::to_string(index), .availabilityZone = "a", .endpoint = freeEndpoint(), .tolerance = {}, .seed = index + 1};
            tasks.push_back(std::make_unique<CreditTask>(settings, metrics));
            members.push_back({.name = settings.name, .availabilityZone = "a", .creditEndpoint = settings.endpoint, .capacity = 100});
            endpoints.push_back(settings.endpoint);
            EXPECT_TRUE(tasks.back()->listen());
            QObject::connect(tasks.back().get(), &CreditTask::decided, tasks.back().get(), [this](CreditRequestId id, const CreditDecision &decision) {
                EXPECT_TRUE(decisions.emplace(id, decision).second) << "one decision for each request";
            });
        }
        for (const auto &task : tasks) {
            task->setMembers(members, FleetKnowledge::Converged);
        }
    }

    void setTables(const RouteTable &table)
    {
        for (const auto &task : tasks) {
            task->setTable(table);
        }
    }

    CreditDecision decisionOf(std::size_t task, CreditRequestId id)
    {
        tasks[task]->request(id, s_line, TimePoint::max());
        EXPECT_EQ(decisions.count(id), 0U) << "a request is not decided while it is made";
        EXPECT_TRUE(waitUntil([&] {
            return decisions.contains(id);
        }));
        return decisions[id];
    }

    bool waitForCredit()
    {
        return waitUntil([this] {
            ++lastId;
            return decisionOf(lastId % FleetSize, lastId).outcome == CreditOutcome::Granted;
        });
    }

    Metrics metrics;
    std::vector<CreditMember> members;
    std::vector<Endpoint> endpoints;
    std::vector<std::unique_ptr<CreditTask>> tasks;
    std::map<CreditRequestId, CreditDecision> decisions;
    CreditRequestId lastId = 1000;
};

TEST_F(CreditTaskTest, GrantsCreditUpToTheLimit)
{
    setTables(limitedTable());
    ASSERT_TRUE(waitForCredit());
    processEventsFor(1s);
    std::size_t granted = 0;
    for (CreditRequestId id = 1; id <= 100; ++id) {
        const CreditDecision decision = decisionOf(id % FleetSize, id);
        granted += decision.outcome == CreditOutcome::Granted ? 1 : 0;
        if (decision.outcome == CreditOutcome::Granted) {
            EXPECT_GT(decision.usableUntil, suspendAwareNow());
        } else {
            EXPECT_GT(decision.retryAt, suspendAwareNow() - 1s);
        }
    }
    EXPECT_GE(granted, 8U);
    EXPECT_LE(granted, 60U);
}

TEST_F(CreditTaskTest, SendsNothingWithoutLimits)
{
    setTables({});
    processEventsFor(700ms);
    EXPECT_EQ(metrics.toText().find("plantainweir_credit_sent_total"), std::string::npos);
}

TEST_F(CreditTaskTest, ACancelledRequestIsNotDecided)
{
    setTables(limitedTable());
    ASSERT_TRUE(waitForCredit());
    tasks[0]->request(1, s_line, TimePoint::max());
    tasks[0]->cancel(1);
    processEventsFor(400ms);
    EXPECT_EQ(decisions.count(1), 0U);
}

TEST_F(CreditTaskTest, MalformedAndOversizedDatagramsAreDropped)
{
    setTables(limitedTable());
    QUdpSocket socket;
    const QHostAddress address(QString::fromStdString(endpoints[0].address));
    socket.writeDatagram(QByteArray(9000, 'x'), address, endpoints[0].port);
    socket.writeDatagram(QByteArray("\xff\xff\xff"), address, endpoints[0].port);
    EXPECT_TRUE(waitUntil([this] {
        return metrics.toText().find("plantainweir_credit_dropped_total 2") != std::string::npos;
    }));
    EXPECT_TRUE(waitForCredit());
}

TEST_F(CreditTaskTest, CreditIsGrantedAfterAMemberHasLeft)
{
    setTables(limitedTable());
    ASSERT_TRUE(waitForCredit());
    tasks[0]->leave();
    processEventsFor(300ms);
    EXPECT_TRUE(waitForCredit());
}

}
}

int main(int argc, char **argv)
{
    testing::InitGoogleTest(&argc, argv);
    QCoreApplication application(argc, argv);
    return RUN_ALL_TESTS();
}
