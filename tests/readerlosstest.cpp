#include "fakes/eventloop.h"
#include "fakes/fakestore.h"
#include "fakes/freeendpoint.h"
#include "observability/metrics.h"
#include "platform/platformcodec.h"
#include "tasks/exchangeserver.h"
#include "tasks/storesourcetask.h"

#include <gtest/gtest.h>

#include <QJsonArray>

namespace Plantainweir {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds ChangeBound{3000};

QJsonObject configuration(int version)
{
    return {{"version", version}, {"resources", QJsonArray()}};
}

StoreSourceSettings sourceSettings()
{
    return {.maximumAge = maximumKnowledgeAge(ChangeBound), .readersPerZone = 1, .minimumMembers = 2};
}

/** An entry VM of a zone with one reader: its source, and the gRPC server that feeds the others. */
class Member
{
public:
    Member(const std::string &name, const Endpoint &store)
        : m_source({.name = name, .store = store, .source = sourceSettings(), .evacuationBound = std::nullopt, .seed = 1}, Platform::platformCodec(), m_metrics)
        , m_server(std::make_unique<ExchangeServer>(m_metrics))
        , m_endpoint(freeEndpoint())
    {
        QObject::connect(&m_source, &StoreSourceTask::objectsChanged, &m_source, [this](StoreObjectKind, const std::vector<StoreObject> &objects) {
            for (const StoreObject &object : objects) {
                const auto *table = std::get_if<RouteTable>(&object.value);
                version = table != nullptr ? table->version : version;
            }
        });
        QObject::connect(&m_source, &StoreSourceTask::currentChanged, &m_source, [this](bool isNowCurrent) {
            isCurrent = isNowCurrent;
        });
        m_server->addService(m_source.feedService());
        EXPECT_TRUE(m_server->listen(m_endpoint));
        m_source.start();
    }

    ~Member()
    {
        stopFeeding();
    }

    void stopFeeding()
    {
        m_source.closeFeeds();
        m_server.reset();
    }

    FeedMember feedMember(const std::string &name, std::uint32_t capacity) const
    {
        return {.name = name, .feedEndpoint = m_endpoint, .capacity = capacity};
    }

    void setMembers(const std::vector<FeedMember> &members)
    {
        m_source.setMembers(members, true);
    }

    std::uint64_t version = 0;
    bool isCurrent = false;

private:
    Metrics m_metrics;
    StoreSourceTask m_source;
    std::unique_ptr<ExchangeServer> m_server;
    Endpoint m_endpoint;
};

// Guards against followers that serve an older version for longer than the bound, because stale answers made their knowledge seem young.
TEST(ReaderLoss, AFollowerWhoseReaderGotStaleAnswersLearnsOfAChangeWithinTheBound)
{
    FakeStore store;
    store.put("config", "main", configuration(3));
    Member reader("reader", store.endpoint());
    Member follower("follower", store.endpoint());
    const std::vector<FeedMember> members{reader.feedMember("reader", 500), follower.feedMember("follower", 100)};
    reader.setMembers(members);
    follower.setMembers(members);
    ASSERT_TRUE(waitUntil([&] {
        return reader.isCurrent && follower.isCurrent;
    }));
    const auto wait = [](Duration duration) {
        const TimePoint end = Clock::now() + duration;
        EXPECT_TRUE(waitUntil([end] {
            return Clock::now() >= end;
        }));
    };
    wait(500ms);
    store.setFaults({.isStaleReadFrozen = true, .answerDelay = 50ms});
    store.silenceWatches();
    const int calls = store.callCount();
    ASSERT_TRUE(waitUntil([&] {
        return store.callCount() > calls;
    })) << "a consistent check";
    wait(5ms);
    store.put("config", "main", configuration(7));
    const TimePoint changedAt = Clock::now();
    // The reader ends shortly before its next consistent check.
    wait(readingPace({.settings = sourceSettings()}).checks.verificationPeriod * 4 / 5);
    reader.stopFeeding();
    EXPECT_EQ(follower.version, 3U);
    EXPECT_TRUE(waitUntil([&follower] {
        return follower.version == 7;
    }));
    EXPECT_LT(Clock::now() - changedAt, ChangeBound);
}

}
}

int main(int argc, char **argv)
{
    testing::InitGoogleTest(&argc, argv);
    QCoreApplication application(argc, argv);
    return RUN_ALL_TESTS();
}
