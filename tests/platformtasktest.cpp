#include "tasks/platformtask.h"
#include "configuration/adoption.h"
#include "configuration/configurationjson.h"
#include "fakes/eventloop.h"
#include "fakes/fakeplatform.h"
#include "observability/metrics.h"

#include <QCoreApplication>

#include <gtest/gtest.h>

namespace Plantainweir {
namespace {

constexpr std::chrono::seconds CallTimeout{30};

Service makeService(const std::string &name, std::uint32_t slots)
{
    Service service;
    service.name = name;
    service.upstreams.push_back({.name = "upstream-1", .endpoint = {"127.0.0.1", 9000}, .availabilityZone = "regina", .slots = slots, .connectionLimit = 200});
    return service;
}

class PlatformTaskTest : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(m_platform.listen({"127.0.0.1", 0}));
        PlatformSettings settings;
        settings.endpoint = {"127.0.0.1", m_platform.port()};
        settings.scheduler = {.callsPerSecond = 100.0,
                              .burst = 20,
                              .maximumCallsInFlight = 4,
                              .queueLimit = 64,
                              .failuresToOpen = 3,
                              .minimumBackoff = std::chrono::milliseconds(2),
                              .maximumBackoff = std::chrono::milliseconds(20)};
        settings.callTimeout = std::chrono::milliseconds(500);
        settings.virtualMachineListPeriod = std::chrono::milliseconds(10);
        m_task = std::make_unique<PlatformTask>(settings, m_metrics);
        QObject::connect(m_task.get(), &PlatformTask::serviceObserved, m_task.get(), [this](const Service &service) {
            adopt(m_configuration, service);
        });
        QObject::connect(m_task.get(), &PlatformTask::rulesObserved, m_task.get(), [this](const Rules &rules) {
            adopt(m_configuration, rules);
        });
        QObject::connect(m_task.get(), &PlatformTask::snapshotObserved, m_task.get(), [this] {
            ++m_snapshots;
        });
        QObject::connect(m_task.get(), &PlatformTask::virtualMachinesObserved, m_task.get(), [this](const std::vector<VirtualMachine> &virtualMachines) {
            m_virtualMachines = virtualMachines;
        });
        QObject::connect(m_task.get(), &PlatformTask::written, m_task.get(), [this](PlatformCallId, const WriteResult &result) {
            m_written.push_back(result);
        });
    }

    std::uint32_t slotsInForce(const std::string &service) const
    {
        const auto entry = m_configuration.services.find(service);
        return entry == m_configuration.services.end() || entry->second.upstreams.empty() ? 0 : entry->second.upstreams.front().slots;
    }

    WriteResult write(const std::string &value, std::uint64_t base)
    {
        const std::size_t before = m_written.size();
        m_task->write("plantainweir/services/rinkdesk", value, base, Clock::now() + CallTimeout);
        EXPECT_TRUE(waitUntil([&] {
            return m_written.size() == before + 1;
        }));
        return m_written.empty() ? WriteResult{} : m_written.back();
    }

    FakePlatform m_platform;
    Metrics m_metrics;
    std::unique_ptr<PlatformTask> m_task;
    Configuration m_configuration;
    std::vector<VirtualMachine> m_virtualMachines;
    std::vector<WriteResult> m_written;
    int m_snapshots = 0;
};

TEST_F(PlatformTaskTest, ObservesSnapshotAndChanges)
{
    m_platform.put(serviceObjectName("rinkdesk"), encodeService(makeService("rinkdesk", 3)));
    m_task->startWatching();
    EXPECT_TRUE(waitUntil([&] {
        return m_snapshots == 1 && slotsInForce("rinkdesk") == 3;
    }));
    const std::uint64_t version = m_platform.put(serviceObjectName("rinkdesk"), encodeService(makeService("rinkdesk", 4)));
    EXPECT_TRUE(waitUntil([&] {
        return slotsInForce("rinkdesk") == 4;
    }));
    EXPECT_EQ(m_configuration.services.at("rinkdesk").version, version);
    EXPECT_EQ(m_task->status().state, PlatformState::Up);
}

TEST_F(PlatformTaskTest, FaultyObjectLeavesLastGoodOneInForce)
{
    m_platform.put(serviceObjectName("rinkdesk"), encodeService(makeService("rinkdesk", 3)));
    m_task->startWatching();
    ASSERT_TRUE(waitUntil([&] {
        return slotsInForce("rinkdesk") == 3;
    }));
    m_platform.put(serviceObjectName("rinkdesk"), encodeService(makeService("rinkdesk", 0)));
    EXPECT_TRUE(waitUntil([&] {
        return m_task->status().rejected.size() == 1;
    }));
    EXPECT_EQ(slotsInForce("rinkdesk"), 3U);
    EXPECT_NE(encodePlatformStatus(m_task->status()).find("slots is 0"), std::string::npos);
    EXPECT_NE(m_metrics.toText().find("plantainweir_configuration_rejections_total 1"), std::string::npos);
    m_platform.put(serviceObjectName("rinkdesk"), R"({"name":"rinkdesk","removed":"perhaps"})");
    EXPECT_TRUE(waitUntil([&] {
        return encodePlatformStatus(m_task->status()).find("perhaps") != std::string::npos;
    }));
    m_platform.put(serviceObjectName("rinkdesk"), encodeService(makeService("rinkdesk", 5)));
    EXPECT_TRUE(waitUntil([&] {
        return slotsInForce("rinkdesk") == 5;
    }));
    EXPECT_TRUE(m_task->status().rejected.empty());
}

TEST_F(PlatformTaskTest, ServiceUnderAnotherNameIsRejected)
{
    m_platform.put(serviceObjectName("tillside"), encodeService(makeService("rinkdesk", 3)));
    m_task->startWatching();
    EXPECT_TRUE(waitUntil([&] {
        return m_task->status().rejected.size() == 1 && m_snapshots == 1;
    }));
    EXPECT_TRUE(m_configuration.services.empty());
}

TEST_F(PlatformTaskTest, RecoversFromAnOutage)
{
    m_platform.setFaults({.mode = FakePlatformMode::Down});
    m_task->startWatching();
    EXPECT_TRUE(waitUntil([&] {
        return m_task->status().state == PlatformState::Down;
    }));
    m_platform.put(serviceObjectName("rinkdesk"), encodeService(makeService("rinkdesk", 3)));
    m_platform.setFaults({});
    EXPECT_TRUE(waitUntil([&] {
        return m_task->status().state == PlatformState::Up && slotsInForce("rinkdesk") == 3;
    }));
}

TEST_F(PlatformTaskTest, PlatformSlowerThanTheCallTimeoutCountsAsDown)
{
    m_platform.setFaults({.mode = FakePlatformMode::Slow, .delayMs = 60'000});
    m_task->startWatching();
    EXPECT_TRUE(waitUntil([&] {
        return m_task->status().state == PlatformState::Down;
    }));
    m_platform.put(serviceObjectName("rinkdesk"), encodeService(makeService("rinkdesk", 3)));
    m_platform.setFaults({.mode = FakePlatformMode::Slow, .delayMs = 50});
    EXPECT_TRUE(waitUntil([&] {
        return slotsInForce("rinkdesk") == 3;
    }));
}

TEST_F(PlatformTaskTest, PlatformMayEndWhileAWatchWaits)
{
    for (int round = 0; round < 20; ++round) {
        auto platform = std::make_unique<FakePlatform>();
        ASSERT_TRUE(platform->listen({"127.0.0.1", 0}));
        PlatformSettings settings;
        settings.endpoint = {"127.0.0.1", platform->port()};
        PlatformTask task(settings, m_metrics);
        task.startWatching();
        ASSERT_TRUE(waitUntil([&] {
            return platform->counts().watches == 1;
        }));
        platform.reset();
    }
}

TEST_F(PlatformTaskTest, ConditionalWritesReportTheirOutcome)
{
    const std::string value = encodeService(makeService("rinkdesk", 3));
    const WriteResult created = write(value, 0);
    EXPECT_EQ(created.outcome, WriteOutcome::Accepted);
    EXPECT_EQ(write(value, 0).outcome, WriteOutcome::Conflict);
    EXPECT_EQ(write(value, created.version + 7).outcome, WriteOutcome::Conflict);
    m_platform.setFaults({.loseWriteAnswers = 1});
    EXPECT_EQ(write(value, created.version).outcome, WriteOutcome::AnswerLost);
    EXPECT_GT(m_platform.version(serviceObjectName("rinkdesk")), created.version);
}

TEST_F(PlatformTaskTest, ListsVirtualMachines)
{
    m_platform.setVirtualMachines({{.address = "127.0.0.1", .availabilityZone = "regina", .state = VirtualMachineState::Live}});
    m_task->startListingVirtualMachines();
    EXPECT_TRUE(waitUntil([&] {
        return m_virtualMachines.size() == 1;
    }));
    m_platform.setVirtualMachines({{.address = "127.0.0.1", .availabilityZone = "regina", .state = VirtualMachineState::Leaving}});
    EXPECT_TRUE(waitUntil([&] {
        return m_virtualMachines.front().state == VirtualMachineState::Leaving;
    }));
}

}
}

int main(int argc, char **argv)
{
    testing::InitGoogleTest(&argc, argv);
    QCoreApplication application(argc, argv);
    return RUN_ALL_TESTS();
}
