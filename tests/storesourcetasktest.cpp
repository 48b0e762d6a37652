#include "tasks/storesourcetask.h"
#include "fakes/eventloop.h"
#include "fakes/fakestore.h"
#include "fakes/freeendpoint.h"
#include "observability/metrics.h"
#include "platform/platformcodec.h"
#include "rpc/storemessages.h"
#include "tasks/exchangeserver.h"

#include <grpcpp/generic/generic_stub.h>
#include <grpcpp/grpcpp.h>
#include <gtest/gtest.h>

#include <QJsonArray>

#include <algorithm>
#include <atomic>
#include <ctime>
#include <functional>
#include <future>
#include <set>

#include <malloc.h>

namespace Plantainweir {
namespace {

using namespace std::chrono_literals;

QJsonObject registration(const QString &state = "ready", int sequence = 1)
{
    return {{"service", "desk"},
            {"address", "10.0.0.1:80"},
            {"zone", "a"},
            {"version", "v1"},
            {"slots", 3},
            {"state", state},
            {"cold", "0ms"},
            {"sequence", sequence}};
}

QJsonObject configuration(int version)
{
    return {{"version", version}, {"resources", QJsonArray()}};
}

/** A configuration of @p count routes. */
QJsonObject largeConfiguration(int version, int count)
{
    QJsonArray resources;
    for (int index = 0; index < count; ++index) {
        const QString name = QString("route-%1").arg(index);
        const QJsonObject spec{{"host", "desk.example"},
                               {"pathPrefix", "/" + name + "/"},
                               {"kind", "safe"},
                               {"timeout", "800ms"},
                               {"targetLatency", "250ms"},
                               {"priority", 1},
                               {"maxAttempts", 2},
                               {"service", "desk"}};
        resources.append(QJsonObject{{"resourceKind", "routes"}, {"metadata", QJsonObject{{"name", name}}}, {"spec", spec}});
    }
    return {{"version", version}, {"resources", resources}};
}

/** Returns the bytes that the program has allocated and not freed. */
std::size_t allocatedBytes()
{
    const auto memory = ::mallinfo2();
    return memory.uordblks + memory.hblkhd;
}

/** One entry VM of the zone: its source, the gRPC server that feeds others, and what the source has reported. */
class Entry
{
public:
    Entry(const std::string &name,
          const Endpoint &store,
          std::size_t readersPerZone = 1,
          std::optional<Duration> evacuationBound = std::nullopt,
          Duration firstReadDelay = 1s)
        : m_source({.name = name,
                    .store = store,
                    .source = {.maximumAge = 1000ms, .startDelay = 1s, .firstReadDelay = firstReadDelay, .readersPerZone = readersPerZone, .minimumMembers = 2},
                    .evacuationBound = evacuationBound,
                    .seed = 1},
                   Platform::platformCodec(),
                   m_metrics)
        , m_server(std::make_unique<ExchangeServer>(m_metrics))
        , m_endpoint(freeEndpoint())
    {
        QObject::connect(&m_source, &StoreSourceTask::objectsChanged, &m_source, [this](StoreObjectKind kind, const std::vector<StoreObject> &objects) {
            for (const StoreObject &object : objects) {
                if (kind == StoreObjectKind::Evacuations) {
                    evacuated.erase(object.name);
                    if (!object.isDeleted) {
                        evacuated.insert(object.name);
                    }
                    continue;
                }
                if (const auto *table = std::get_if<RouteTable>(&object.value)) {
                    version = table->version;
                    routes = table->routes.size();
                }
                const auto *upstream = std::get_if<UpstreamRecord>(&object.value);
                upstreams[object.name] = object.isDeleted ? "gone" : upstream != nullptr && upstream->isDraining ? "draining" : "ready";
            }
        });
        using Objects = std::vector<StoreObject>;
        QObject::connect(&m_source, &StoreSourceTask::objectsChanged, &m_source, [this](StoreObjectKind kind, const Objects &, const KnowledgeOrigin &origin) {
            if (kind == StoreObjectKind::Configuration) {
                versionOrigin = origin;
            }
        });
        QObject::connect(&m_source, &StoreSourceTask::currentChanged, &m_source, [this](bool isNowCurrent) {
            isCurrent = isNowCurrent;
        });
        QObject::connect(&m_source, &StoreSourceTask::storeRecovered, &m_source, [this] {
            ++recoveries;
        });
        m_server->addService(m_source.feedService());
        EXPECT_TRUE(m_server->listen(m_endpoint));
        m_source.start();
    }

    ~Entry()
    {
        stopFeeding();
    }

    FeedMember member(const std::string &name, std::uint32_t capacity) const
    {
        return {.name = name, .feedEndpoint = m_endpoint, .capacity = capacity};
    }

    Endpoint feedEndpoint() const
    {
        return m_endpoint;
    }

    StoreSourceTask &source()
    {
        return m_source;
    }

    void stopFeeding()
    {
        m_source.closeFeeds();
        m_server.reset();
    }

    std::uint64_t version = 0;
    std::size_t routes = 0;
    KnowledgeOrigin versionOrigin;
    std::map<std::string, std::string> upstreams;
    std::set<std::string> evacuated;
    bool isCurrent = false;
    int recoveries = 0;

private:
    Metrics m_metrics;
    StoreSourceTask m_source;
    std::unique_ptr<ExchangeServer> m_server;
    Endpoint m_endpoint;
};

/** Feeds that leave the updates undecoded. Their callbacks run on gRPC threads. */
class UndecodedFeeds
{
public:
    UndecodedFeeds(const Endpoint &endpoint, std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            m_feeds.push_back(std::make_unique<Feed>(*this, endpoint, "f" + std::to_string(index)));
        }
    }

    ~UndecodedFeeds()
    {
        for (const auto &feed : m_feeds) {
            feed->cancel();
        }
        for (const auto &feed : m_feeds) {
            feed->waitUntilDone();
        }
    }

    void countUpdatesFrom(std::size_t bytes)
    {
        m_minimumBytes = bytes;
    }

    std::size_t countedUpdates() const
    {
        return m_countedUpdates;
    }

    std::size_t countedBytes() const
    {
        return m_countedBytes;
    }

    /** Returns the largest value of allocatedBytes() when a counted update arrived. */
    std::size_t largestAllocation() const
    {
        return m_largestAllocation;
    }

private:
    class Feed final : public grpc::ClientBidiReactor<grpc::ByteBuffer, grpc::ByteBuffer>
    {
    public:
        Feed(UndecodedFeeds &feeds, const Endpoint &endpoint, const std::string &name)
            : m_feeds(feeds)
            , m_stub(grpc::CreateChannel(toString(endpoint), grpc::InsecureChannelCredentials()))
        {
            const grpc::Slice request(toMessage(FeedRequest{.sender = name}).SerializeAsString());
            m_request = grpc::ByteBuffer(&request, 1);
            m_stub.PrepareBidiStreamingCall(&m_context, "/plantainweir.store.v1.StoreFeed/Follow", {}, this);
            StartWrite(&m_request);
            StartRead(&m_update);
            StartCall();
        }

        void OnReadDone(bool isOk) override
        {
            if (isOk) {
                m_feeds.handleUpdate(m_update.Length());
                StartRead(&m_update);
            }
        }

        void OnDone(const grpc::Status &) override
        {
            m_done.set_value();
        }

        void cancel()
        {
            m_context.TryCancel();
        }

        void waitUntilDone()
        {
            m_done.get_future().wait();
        }

    private:
        UndecodedFeeds &m_feeds;
        grpc::GenericStub m_stub;
        grpc::ClientContext m_context;
        grpc::ByteBuffer m_request;
        grpc::ByteBuffer m_update;
        std::promise<void> m_done;
    };

    void handleUpdate(std::size_t bytes)
    {
        const std::size_t minimum = m_minimumBytes;
        if (minimum == 0 || bytes < minimum) {
            return;
        }
        const std::size_t allocated = allocatedBytes();
        std::size_t largest = m_largestAllocation;
        while (allocated > largest && !m_largestAllocation.compare_exchange_weak(largest, allocated)) {
        }
        m_countedBytes += bytes;
        ++m_countedUpdates;
    }

    std::vector<std::unique_ptr<Feed>> m_feeds;
    std::atomic<std::size_t> m_minimumBytes = 0;
    std::atomic<std::size_t> m_countedUpdates = 0;
    std::atomic<std::size_t> m_countedBytes = 0;
    std::atomic<std::size_t> m_largestAllocation = 0;
};

void wait(Duration duration)
{
    const TimePoint end = Clock::now() + duration;
    EXPECT_TRUE(waitUntil([end] {
        return Clock::now() >= end;
    }));
}

class StoreSourceTaskTest : public testing::Test
{
protected:
    StoreSourceTaskTest()
    {
        store.put("config", "main", configuration(3));
        store.put("servers", "i-1", registration());
        const std::vector<FeedMember> members{reader.member("reader", 500), follower.member("follower", 100)};
        reader.source().setMembers(members, true);
        follower.source().setMembers(members, true);
    }

    FakeStore store;
    Entry reader{"reader", store.endpoint()};
    Entry follower{"follower", store.endpoint()};
};

TEST_F(StoreSourceTaskTest, AFollowerCostsTheStoreNoCalls)
{
    EXPECT_TRUE(waitUntil([this] {
        return reader.isCurrent && follower.isCurrent;
    }));
    EXPECT_EQ(follower.version, 3U);
    const int before = store.callCount();
    EXPECT_LE(before, 5) << "two lists and two watches of the reader";
    store.put("config", "main", configuration(5));
    EXPECT_TRUE(waitUntil([this] {
        return follower.version == 5;
    }));
    store.put("servers", "i-1", registration("draining"));
    EXPECT_TRUE(waitUntil([this] {
        return follower.upstreams["i-1"] == "draining";
    }));
    store.remove("servers", "i-1");
    EXPECT_TRUE(waitUntil([this] {
        return follower.upstreams["i-1"] == "gone";
    }));
    EXPECT_LE(store.callCount() - before, 8);
    EXPECT_TRUE(follower.isCurrent);
}

TEST_F(StoreSourceTaskTest, TellsFromWhomAVersionCame)
{
    EXPECT_TRUE(waitUntil([this] {
        return reader.isCurrent && follower.isCurrent;
    }));
    EXPECT_EQ(reader.versionOrigin.source, KnowledgeSource::StoreList);
    wait(1500ms);
    store.put("config", "main", configuration(5));
    EXPECT_TRUE(waitUntil([this] {
        return follower.version == 5;
    }));
    const StoreRevision revision{.era = 1, .number = store.revision()};
    EXPECT_EQ(reader.versionOrigin, (KnowledgeOrigin{.source = KnowledgeSource::StoreWatch, .member = {}, .revision = revision}));
    EXPECT_EQ(follower.versionOrigin, (KnowledgeOrigin{.source = KnowledgeSource::Feed, .member = "reader", .revision = revision}));
}

// Guards against a copy of a large configuration for each feed while it is sent.
TEST_F(StoreSourceTaskTest, ALargeConfigurationIsNotCopiedForEachFeed)
{
    constexpr std::size_t Followers = 40;
    constexpr std::size_t LargeUpdateBytes = 64 * 1024;
    EXPECT_TRUE(waitUntil([this] {
        return reader.isCurrent && follower.isCurrent;
    }));
    UndecodedFeeds feeds(reader.feedEndpoint(), Followers);
    wait(500ms);
    const std::size_t before = allocatedBytes();
    feeds.countUpdatesFrom(LargeUpdateBytes);
    store.put("config", "main", largeConfiguration(5, 1600));
    EXPECT_TRUE(waitUntil([&feeds] {
        return feeds.countedUpdates() >= Followers;
    }));
    // A copy for each feed would take 40 MB.
    constexpr std::size_t Allowance = 25 * 1024 * 1024;
    EXPECT_LT(feeds.largestAllocation(), before + Allowance);
}

TEST_F(StoreSourceTaskTest, AFollowerThatLosesItsReaderReadsTheStore)
{
    EXPECT_TRUE(waitUntil([this] {
        return follower.isCurrent;
    }));
    reader.stopFeeding();
    store.put("config", "main", configuration(7));
    const TimePoint changedAt = Clock::now();
    EXPECT_TRUE(waitUntil([this] {
        return follower.version == 7;
    }));
    EXPECT_LT(Clock::now() - changedAt, 1750ms) << "the maximum age and the time to read the store";
}

TEST_F(StoreSourceTaskTest, KnowledgeIsNotCurrentWhileTheStoreIsDown)
{
    EXPECT_TRUE(waitUntil([this] {
        return reader.isCurrent && follower.isCurrent;
    }));
    store.setFaults({.isUnresponsive = true});
    EXPECT_TRUE(waitUntil([this] {
        return !reader.isCurrent && !follower.isCurrent;
    }));
    EXPECT_EQ(follower.version, 3U) << "the last objects stay in use";
    store.setFaults({});
    store.put("config", "main", configuration(9));
    EXPECT_TRUE(waitUntil([this] {
        return reader.version == 9 && follower.version == 9 && follower.isCurrent;
    }));
}

// All entry VMs may lose their processes right after the store acknowledged a change.
TEST(StoreSourceTask, AMemberThatStartsAfterAnAcknowledgementKnowsTheConfigurationThatWasAcknowledged)
{
    FakeStore store;
    store.put("config", "main", configuration(3));
    store.put("servers", "i-1", registration());
    store.setFaults({.isStaleReadFrozen = true});
    store.put("config", "main", configuration(4));
    Entry restarted("restarted", store.endpoint(), 1, std::nullopt, 50ms);
    std::uint64_t versionWhenListed = 0;
    QObject::connect(&restarted.source(), &StoreSourceTask::listed, &restarted.source(), [&] {
        versionWhenListed = restarted.version;
    });
    restarted.source().setMembers({restarted.member("restarted", 100)}, true);
    EXPECT_TRUE(waitUntil([&] {
        return restarted.source().isListed();
    }));
    EXPECT_EQ(versionWhenListed, 4U) << "a stale read does not show the last change yet";
    EXPECT_EQ(restarted.versionOrigin.source, KnowledgeSource::FirstRead);
}

TEST_F(StoreSourceTaskTest, KnowledgeStaysCurrentWhileTheStoreIsSlow)
{
    EXPECT_TRUE(waitUntil([this] {
        return reader.isCurrent && follower.isCurrent;
    }));
    store.setFaults({.answerDelay = 300ms});
    int losses = 0;
    for (Entry *entry : {&reader, &follower}) {
        QObject::connect(&entry->source(), &StoreSourceTask::currentChanged, &entry->source(), [&losses](bool isCurrent) {
            losses += isCurrent ? 0 : 1;
        });
    }
    const TimePoint end = Clock::now() + 4s;
    EXPECT_TRUE(waitUntil([end] {
        return Clock::now() >= end;
    }));
    EXPECT_EQ(losses, 0);
    const TimePoint changedAt = Clock::now();
    store.put("config", "main", configuration(5));
    EXPECT_TRUE(waitUntil([this] {
        return follower.version == 5;
    }));
    EXPECT_LT(Clock::now() - changedAt, 2s);
}

TEST_F(StoreSourceTaskTest, AConfigurationOfTheLargestSizeReachesFollowers)
{
    constexpr int Routes = 3600; // About one megabyte, the largest object of the store.
    QJsonArray resources;
    for (int route = 0; route < Routes; ++route) {
        const QJsonObject spec{{"host", "rink.example"},
                               {"pathPrefix", QStringLiteral("/area/%1/").arg(route)},
                               {"kind", "unsafe"},
                               {"timeout", "2s"},
                               {"targetLatency", "400ms"},
                               {"service", "desk"},
                               {"maxAttempts", 2},
                               {"priority", 1},
                               {"notes", QString(40, 'x')}};
        resources.append(QJsonObject{{"resourceKind", "routes"}, {"metadata", QJsonObject{{"name", QStringLiteral("r%1").arg(route)}}}, {"spec", spec}});
    }
    EXPECT_TRUE(waitUntil([this] {
        return follower.isCurrent;
    }));
    store.put("config", "main", {{"version", 6}, {"resources", resources}});
    EXPECT_TRUE(waitUntil([this] {
        return follower.version == 6;
    }));
    EXPECT_EQ(follower.routes, static_cast<std::size_t>(Routes));
    EXPECT_TRUE(follower.isCurrent);
}

/** What a member knew when it began to serve, and what it got from a reader that had lost the store before the last changes. */
class OlderReaderTest : public testing::Test
{
protected:
    OlderReaderTest()
    {
        for (FakeStore *store : {&lostStore, &currentStore}) {
            store->put("config", "main", configuration(3));
            store->put("servers", "i-1", registration());
        }
        reader.source().setMembers({reader.member("reader", 500)}, true);
        EXPECT_TRUE(waitUntil([this] {
            return reader.isCurrent;
        }));
        lostStore.setFaults({.isUnresponsive = true});
        EXPECT_TRUE(waitUntil([this] {
            return !reader.isCurrent;
        }));
        // A key is withdrawn, and an upstream leaves.
        currentStore.put("config", "main", configuration(4));
        currentStore.remove("servers", "i-1");
    }

    void startMember(Duration firstReadDelay = 1s, int callsBefore = 0)
    {
        member = std::make_unique<Entry>("restarted", currentStore.endpoint(), 1, std::nullopt, firstReadDelay);
        QObject::connect(&member->source(), &StoreSourceTask::listed, &member->source(), [this] {
            listedAt = Clock::now();
            versionWhenListed = member->version;
            upstreamWhenListed = member->upstreams["i-1"];
        });
        startedAt = Clock::now();
        if (firstReadDelay < 1s) {
            // The feed begins only after the first read has begun.
            EXPECT_TRUE(waitUntil([this, callsBefore] {
                return currentStore.callCountOf("config") > callsBefore;
            }));
        }
        member->source().setMembers({reader.member("reader", 500), member->member("restarted", 100)}, true);
    }

    bool isListed()
    {
        return waitUntil([this] {
            return listedAt.has_value();
        });
    }

    FakeStore lostStore;
    FakeStore currentStore;
    Entry reader{"reader", lostStore.endpoint()};
    std::unique_ptr<Entry> member;
    TimePoint startedAt;
    std::optional<TimePoint> listedAt;
    std::uint64_t versionWhenListed = 0;
    std::string upstreamWhenListed;
};

TEST_F(OlderReaderTest, AMemberThatStartsServesWithTheStoresKnowledgeAndNotWithAnOlderOne)
{
    startMember();
    ASSERT_TRUE(isListed());
    EXPECT_EQ(versionWhenListed, 4U) << "a withdrawn key is in use again";
    EXPECT_NE(upstreamWhenListed, "ready") << "an upstream that left is in use again";
    EXPECT_LT(*listedAt - startedAt, 3s);
}

// Between the two answers of the first read, the older objects of the feed stand in for the one that is missing.
TEST_F(OlderReaderTest, AMemberThatStartsServesOnlyAfterTheStoreHasAnsweredItsWholeFirstRead)
{
    for (const char *late : {"config", "servers"}) {
        SCOPED_TRACE(late);
        FakeStoreFaults faults{.listDelays = {{"config", 200ms}, {"servers", 200ms}}};
        faults.listDelays[late] = 400ms;
        currentStore.setFaults(faults);
        const int callsBefore = currentStore.callCountOf("config");
        listedAt.reset();
        startMember(10ms, callsBefore);
        ASSERT_TRUE(isListed());
        EXPECT_EQ(versionWhenListed, 4U) << "a withdrawn key is in use again";
        EXPECT_NE(upstreamWhenListed, "ready") << "an upstream that left is in use again";
    }
}

TEST_F(OlderReaderTest, WithoutTheStoreAMemberThatStartsTakesWhatOthersKnow)
{
    currentStore.setFaults({.isUnresponsive = true});
    startMember();
    ASSERT_TRUE(isListed());
    EXPECT_EQ(versionWhenListed, 3U);
    EXPECT_FALSE(member->isCurrent);
    currentStore.setFaults({});
    EXPECT_TRUE(waitUntil([this] {
        return member->version == 4 && member->upstreams["i-1"] == "gone" && member->isCurrent;
    }));
}

// The readers have objects, and no confirmation of their own that they could pass on, since they stopped reading.
TEST_F(OlderReaderTest, WithoutTheStoreAMemberThatStartsTakesWhatOthersKnowEvenIfNobodyConfirmsIt)
{
    FeedMember former = reader.member("reader", 500);
    former.isStoreUnreachable = true;
    reader.source().setMembers({former, {.name = "other", .feedEndpoint = freeEndpoint(), .capacity = 100}}, true);
    currentStore.setFaults({.isUnresponsive = true});
    startMember();
    ASSERT_TRUE(isListed());
    EXPECT_LT(*listedAt - startedAt, 6s);
    EXPECT_EQ(versionWhenListed, 3U);
    EXPECT_FALSE(member->isCurrent);
    currentStore.setFaults({});
    EXPECT_TRUE(waitUntil([this] {
        return member->version == 4 && member->upstreams["i-1"] == "gone" && member->isCurrent;
    }));
}

// Guards against a refusal of calls to a route that was added while the member did not follow.
TEST_F(StoreSourceTaskTest, AMemberThatBeginsToReadIsCurrentOnlyOnceTheStoreHasAnswered)
{
    EXPECT_TRUE(waitUntil([this] {
        return follower.isCurrent;
    }));
    std::vector<std::uint64_t> versions;
    QObject::connect(&follower.source(), &StoreSourceTask::currentChanged, &follower.source(), [&](bool isCurrent) {
        if (isCurrent) {
            versions.push_back(follower.version);
        }
    });
    store.setFaults({.listDelays = {{"config", 900ms}}});
    reader.stopFeeding();
    store.put("config", "main", configuration(7));
    EXPECT_TRUE(waitUntil([this] {
        return follower.version == 7 && follower.isCurrent;
    }));
    EXPECT_EQ(versions, std::vector<std::uint64_t>{7});
}

/** The second reader has a store of its own, which answers no request for upstreams, while the first one keeps both informed. */
TEST(StoreSourceTask, AReaderThatCannotReadOneKindReportsIt)
{
    FakeStore store;
    FakeStore halfStore;
    for (FakeStore *each : {&store, &halfStore}) {
        each->put("config", "main", configuration(3));
        each->put("servers", "i-1", registration());
    }
    Entry one("one", store.endpoint(), 2);
    Entry two("two", halfStore.endpoint(), 2);
    Entry follower("follower", store.endpoint(), 2);
    int reports = 0;
    QObject::connect(&two.source(), &StoreSourceTask::reachabilityChanged, &two.source(), [&reports](bool isUnreachable) {
        reports += isUnreachable ? 1 : 0;
    });
    const std::vector<FeedMember> members{one.member("one", 500), two.member("two", 500), follower.member("follower", 100)};
    for (Entry *entry : {&one, &two, &follower}) {
        entry->source().setMembers(members, true);
    }
    EXPECT_TRUE(waitUntil([&] {
        return one.isCurrent && two.isCurrent && follower.isCurrent;
    }));
    wait(4s);
    EXPECT_EQ(reports, 0);
    halfStore.setFaults({.unansweredKind = "servers"});
    // Without a change of the store, the answers about the configuration show that the upstreams have not changed either.
    for (FakeStore *each : {&store, &halfStore}) {
        each->put("config", "main", configuration(4));
    }
    wait(6s);
    EXPECT_EQ(reports, 1);
    EXPECT_TRUE(two.isCurrent) << "the other reader feeds it";
}

TEST_F(StoreSourceTaskTest, ReadersPassNoReportOfAnOutageBackToEachOther)
{
    Entry one("one", store.endpoint(), 2);
    Entry two("two", store.endpoint(), 2);
    const std::vector<FeedMember> members{one.member("one", 500), two.member("two", 500)};
    one.source().setMembers(members, true);
    two.source().setMembers(members, true);
    EXPECT_TRUE(waitUntil([&] {
        return one.isCurrent && two.isCurrent;
    }));
    store.setFaults({.isUnresponsive = true});
    EXPECT_TRUE(waitUntil([&] {
        return !one.isCurrent && !two.isCurrent;
    }));
    store.setFaults({});
    EXPECT_TRUE(waitUntil([&] {
        return one.isCurrent && two.isCurrent && one.recoveries > 0 && two.recoveries > 0;
    }));
    const int before = one.recoveries;
    const TimePoint end = Clock::now() + 1s;
    EXPECT_TRUE(waitUntil([end] {
        return Clock::now() >= end;
    }));
    // Each of two readers may lose the store again with each check, four times a second, for each of two kinds of object.
    constexpr int MaximumReports = 2 * 4 * 2;
    EXPECT_LE(one.recoveries - before, MaximumReports);
}

/** What stale reads show after a change whose answer was lost. */
enum class StaleReads {
    Current,
    Old, ///< The objects as they were before the change.
    KnownToBeOld, ///< The same, and an earlier change that a watch has reported shows it.
};

/** Answers of the store are lost while an object changes; then the store answers again, on new connections. */
struct LostAnswers {
    std::chrono::milliseconds silence{};
    StoreObjectKind changed = StoreObjectKind::Configuration;
    StaleReads staleReads = StaleReads::Current;
    std::size_t members = 12; ///< A zone of twelve has two readers; in a smaller one, each member reads the store.
};

/** With a maximum age of 1 s for the other kinds, evacuations may be older by 0.75 s. */
constexpr std::chrono::milliseconds EvacuationBound{2500};

class LostAnswersTest : public testing::TestWithParam<LostAnswers>
{
protected:
    LostAnswersTest()
    {
        store.put("config", "main", configuration(3));
        store.put("servers", "i-1", registration());
        std::vector<FeedMember> members;
        for (std::size_t index = 0; index < GetParam().members; ++index) {
            entries.push_back(std::make_unique<Entry>("e" + std::to_string(index), store.endpoint(), 2, evacuationBound()));
            members.push_back(entries.back()->member("e" + std::to_string(index), index < 2 ? 500 : 100));
        }
        for (const auto &entry : entries) {
            entry->source().setMembers(members, true);
        }
    }

    static std::optional<Duration> evacuationBound()
    {
        return GetParam().changed == StoreObjectKind::Evacuations ? std::optional<Duration>(EvacuationBound) : std::nullopt;
    }

    bool all(const std::function<bool(const Entry &)> &condition) const
    {
        return std::all_of(entries.begin(), entries.end(), [&condition](const auto &entry) {
            return condition(*entry);
        });
    }

    /** Loses the answers for the time of the parameter, and changes an object after a third of it. */
    void loseAnswersDuringAChange()
    {
        const LostAnswers &lost = GetParam();
        const bool isStaleReadOld = lost.staleReads != StaleReads::Current;
        if (lost.staleReads == StaleReads::KnownToBeOld) {
            store.setFaults({.isStaleReadFrozen = true});
            store.put("servers", "i-2", registration());
            wait(2500ms);
        }
        store.setFaults({.isLosingAnswers = true, .isStaleReadFrozen = isStaleReadOld});
        wait(lost.silence / 3);
        switch (lost.changed) {
        case StoreObjectKind::Configuration:
            store.put("config", "main", configuration(5));
            break;
        case StoreObjectKind::Evacuations:
            store.put("evacuations", "a", {});
            break;
        default:
            store.put("servers", "i-1", registration("draining"));
        }
        wait(lost.silence * 2 / 3);
        store.setFaults({.isStaleReadFrozen = isStaleReadOld});
    }

    bool isChangeKnown() const
    {
        return all([](const Entry &entry) {
            switch (GetParam().changed) {
            case StoreObjectKind::Configuration:
                return entry.version == 5;
            case StoreObjectKind::Evacuations:
                return entry.evacuated.contains("a");
            default:
                return entry.upstreams.at("i-1") == "draining";
            }
        });
    }

    FakeStore store;
    std::vector<std::unique_ptr<Entry>> entries;
};

// Guards against a watch whose answer was lost, and which a check on another connection took for current.
TEST_P(LostAnswersTest, AllMembersLearnOfTheChangeWithinTheRecoveryBound)
{
    ASSERT_TRUE(waitUntil([this] {
        return all([](const Entry &entry) {
            return entry.isCurrent;
        });
    }));
    loseAnswersDuringAChange();
    const TimePoint calmAt = Clock::now();
    EXPECT_TRUE(waitUntil([this] {
        return isChangeKnown();
    }));
    // The knowledge of evacuations may be older by the difference of the bounds.
    EXPECT_LT(Clock::now() - calmAt, evacuationBound() ? 3750ms : 3000ms);
}

std::vector<LostAnswers> lostAnswers()
{
    std::vector<LostAnswers> cases;
    for (const std::size_t members : {std::size_t(12), std::size_t(1)}) {
        for (const StoreObjectKind changed : {StoreObjectKind::Configuration, StoreObjectKind::Upstreams, StoreObjectKind::Evacuations}) {
            for (const std::chrono::milliseconds silence : {150ms, 600ms, 2500ms}) {
                cases.push_back({.silence = silence, .changed = changed, .members = members});
            }
            for (const StaleReads staleReads : {StaleReads::Old, StaleReads::KnownToBeOld}) {
                cases.push_back({.silence = 150ms, .changed = changed, .staleReads = staleReads, .members = members});
            }
        }
    }
    return cases;
}

INSTANTIATE_TEST_SUITE_P(Silences, LostAnswersTest, testing::ValuesIn(lostAnswers()));

TEST_F(StoreSourceTaskTest, WithoutABoundEvacuationsAreNotRead)
{
    store.put("evacuations", "a", {});
    EXPECT_TRUE(waitUntil([this] {
        return reader.isCurrent && follower.isCurrent;
    }));
    const TimePoint end = Clock::now() + 3s;
    EXPECT_TRUE(waitUntil([end] {
        return Clock::now() >= end;
    }));
    EXPECT_EQ(store.callCountOf("evacuations"), 0);
    EXPECT_TRUE(reader.evacuated.empty());
    EXPECT_TRUE(follower.evacuated.empty());
}

/** A reader and a follower that read evacuations. */
class EvacuationTest : public testing::Test
{
protected:
    EvacuationTest()
    {
        store.put("config", "main", configuration(3));
        store.put("servers", "i-1", registration());
        connectMembers();
        EXPECT_TRUE(waitUntil([this] {
            return reader->isCurrent && follower.isCurrent;
        }));
    }

    void connectMembers()
    {
        const std::vector<FeedMember> members{reader->member("reader", 500), follower.member("follower", 100)};
        reader->source().setMembers(members, true);
        follower.source().setMembers(members, true);
    }

    bool bothKnow(const std::set<std::string> &zones)
    {
        return waitUntil([&] {
            return reader->evacuated == zones && follower.evacuated == zones;
        });
    }

    FakeStore store;
    std::unique_ptr<Entry> reader = std::make_unique<Entry>("reader", store.endpoint(), 1, 5s);
    Entry follower{"follower", store.endpoint(), 1, 5s};
};

TEST_F(EvacuationTest, ReaderAndFollowerLearnOfEvacuationsAndTheirEndAtOnce)
{
    TimePoint changedAt = Clock::now();
    store.put("evacuations", "a", {});
    EXPECT_TRUE(bothKnow({"a"}));
    EXPECT_LT(Clock::now() - changedAt, 1s);
    store.put("evacuations", "no-such-zone", {});
    EXPECT_TRUE(bothKnow({"a", "no-such-zone"}));
    EXPECT_LT(Clock::now() - changedAt, 5s);
    changedAt = Clock::now();
    store.remove("evacuations", "a");
    EXPECT_TRUE(bothKnow({"no-such-zone"}));
    EXPECT_LT(Clock::now() - changedAt, 5s);
}

// Changes of other kinds make each check ask about evacuations too, unless their knowledge is young enough.
TEST_F(EvacuationTest, ReadingThemCostsFewCalls)
{
    const int before = store.callCountOf("evacuations");
    EXPECT_LE(before, 3) << "one list, one watch and at most one check";
    const TimePoint end = Clock::now() + 6s;
    int version = 3;
    while (Clock::now() < end) {
        store.put("config", "main", configuration(++version));
        const TimePoint next = Clock::now() + 500ms;
        EXPECT_TRUE(waitUntil([next] {
            return Clock::now() >= next;
        }));
    }
    EXPECT_LE(store.callCountOf("evacuations") - before, 6) << "about one in two seconds, some of them twice";
    EXPECT_TRUE(follower.isCurrent);
}

// The calls in 5 s of calm, stale ones included, are counted before the wishes and while they are in force.
TEST_F(EvacuationTest, EvacuationsInForceCostNoFurtherCalls)
{
    const auto callsInCalm = [this] {
        wait(1500ms);
        const auto calls = [this] {
            return store.callCountOf("config") + store.callCountOf("servers") + store.callCountOf("evacuations");
        };
        const int before = calls();
        wait(5s);
        return calls() - before;
    };
    const int without = callsInCalm();
    store.put("evacuations", "a", {});
    store.put("evacuations", "b", {});
    EXPECT_TRUE(bothKnow({"a", "b"}));
    const int with = callsInCalm();
    EXPECT_NEAR(with, without, 3) << "checks are timed, and one more or less may fall into the time";
    RecordProperty("callsWithout", without);
    RecordProperty("callsWith", with);
}

TEST_F(EvacuationTest, AnEvacuationThatEndsWhileTheStoreIsDownEndsWhenItReturns)
{
    store.put("evacuations", "a", {});
    EXPECT_TRUE(bothKnow({"a"}));
    store.setFaults({.isUnresponsive = true});
    EXPECT_TRUE(waitUntil([this] {
        return !reader->isCurrent && !follower.isCurrent;
    }));
    EXPECT_EQ(follower.evacuated, std::set<std::string>{"a"}) << "the last state stays in force";
    store.remove("evacuations", "a");
    store.put("evacuations", "b", {});
    store.setFaults({});
    const TimePoint returnedAt = Clock::now();
    EXPECT_TRUE(bothKnow({"b"}));
    EXPECT_LT(Clock::now() - returnedAt, 5s);
}

TEST_F(EvacuationTest, TheyHoldAtTheStoresReturnFromACopyUntilTheyAreWrittenAgain)
{
    store.takeCopy();
    store.put("evacuations", "a", {});
    store.put("evacuations", "b", {});
    ASSERT_TRUE(bothKnow({"a", "b"}));
    store.returnFromCopy();
    const TimePoint returnedAt = Clock::now();
    while (Clock::now() < returnedAt + 1800ms) {
        wait(20ms);
        ASSERT_EQ(reader->evacuated, (std::set<std::string>{"a", "b"}));
        ASSERT_EQ(follower.evacuated, (std::set<std::string>{"a", "b"}));
    }
    store.put("evacuations", "a", {});
    store.put("evacuations", "c", {});
    EXPECT_TRUE(bothKnow({"a", "c"})) << "nobody wished for b again";
    EXPECT_LT(Clock::now() - returnedAt, 5s);
    store.remove("evacuations", "a");
    EXPECT_TRUE(bothKnow({"c"}));
}

TEST_F(EvacuationTest, AMemberThatStartsLearnsOfThemBeforeItServes)
{
    store.put("evacuations", "a", {});
    EXPECT_TRUE(bothKnow({"a"}));
    Entry restarted("restarted", store.endpoint(), 1, 5s);
    bool knewWhenListed = false;
    QObject::connect(&restarted.source(), &StoreSourceTask::listed, &restarted.source(), [&] {
        knewWhenListed = restarted.evacuated.contains("a");
    });
    const std::vector<FeedMember> members{reader->member("reader", 500), follower.member("follower", 100), restarted.member("restarted", 100)};
    restarted.source().setMembers(members, true);
    EXPECT_TRUE(waitUntil([&] {
        return restarted.source().isListed();
    }));
    EXPECT_TRUE(knewWhenListed);
}

TEST_F(EvacuationTest, AFollowerWhoseReaderIsGoneLearnsOfThemWithinTheBound)
{
    reader.reset();
    const TimePoint changedAt = Clock::now();
    store.put("evacuations", "a", {});
    EXPECT_TRUE(waitUntil([this] {
        return follower.evacuated.contains("a");
    }));
    EXPECT_LT(Clock::now() - changedAt, 5s);
}

/** A reader and a follower of a store that returns from a copy. */
class StoreReturnTest : public StoreSourceTaskTest
{
protected:
    StoreReturnTest()
    {
        EXPECT_TRUE(waitUntil([this] {
            return reader.isCurrent && follower.isCurrent;
        }));
    }

    /** Writes versions @p from to @p to of the configuration, so that the revision rises. */
    void configure(int from, int to)
    {
        for (int version = from; version <= to; ++version) {
            store.put("config", "main", configuration(version));
        }
    }

    bool bothHaveVersion(std::uint64_t version)
    {
        return waitUntil([this, version] {
            return reader.version == version && follower.version == version;
        });
    }

    bool bothKnow(const std::string &upstream, const std::string &state)
    {
        return waitUntil([&] {
            return reader.upstreams[upstream] == state && follower.upstreams[upstream] == state;
        });
    }

    static constexpr std::array AllWatches{FakeStoreWatches::Closed, FakeStoreWatches::Silent};
    int lastVersion = 3;
};

// Guards against review/12: a version that came after the store's return from a copy was never in force.
TEST_F(StoreReturnTest, WhatComesAfterItsReturnFromACopyIsKnownWithinTheBound)
{
    int version = 3;
    int sequence = 1; // Of the upstreams' reports, which rises with each.
    for (const FakeStoreWatches watches : AllWatches) {
        store.takeCopy();
        configure(version + 1, version + 20);
        ASSERT_TRUE(bothHaveVersion(static_cast<std::uint64_t>(version) + 20));
        store.returnFromCopy(watches);
        configure(version + 20, version + 21);
        store.put("servers", "new", registration("ready", ++sequence));
        store.put("servers", "i-1", registration("draining", ++sequence));
        const TimePoint changedAt = Clock::now();
        version += 21;
        EXPECT_TRUE(bothHaveVersion(static_cast<std::uint64_t>(version)));
        EXPECT_TRUE(bothKnow("new", "ready"));
        EXPECT_TRUE(bothKnow("i-1", "draining"));
        EXPECT_LT(Clock::now() - changedAt, 2s) << "the change bound";
        store.remove("servers", "new");
        EXPECT_TRUE(bothKnow("new", "gone"));
        store.put("servers", "i-1", registration("ready", ++sequence));
        EXPECT_TRUE(bothKnow("i-1", "ready"));
    }
}

TEST_F(StoreReturnTest, EachKindIsListedOnceByTheReader)
{
    for (const FakeStoreWatches watches : AllWatches) {
        const auto lists = [this] {
            return std::pair(store.listCountOf("config"), store.listCountOf("servers"));
        };
        const auto before = lists();
        store.takeCopy();
        store.returnFromCopy(watches);
        store.put("config", "main", configuration(++lastVersion));
        EXPECT_TRUE(bothHaveVersion(static_cast<std::uint64_t>(lastVersion)));
        wait(2500ms);
        EXPECT_EQ(lists(), std::pair(before.first + 1, before.second + 1)) << "the follower gets them from the reader";
    }
}

TEST_F(StoreReturnTest, LateAnswersOfTheEarlierEraReplaceNothing)
{
    store.takeCopy();
    configure(4, 8);
    store.put("servers", "lost", registration());
    ASSERT_TRUE(bothHaveVersion(8));
    testing::internal::CaptureStderr();
    // Lists that were asked for before the return are answered after it.
    store.setFaults({.answerDelay = 700ms});
    store.dropWatchesAndHistory();
    wait(300ms);
    store.setFaults({});
    store.returnFromCopy();
    configure(8, 9);
    EXPECT_TRUE(bothHaveVersion(9));
    EXPECT_TRUE(bothKnow("lost", "gone"));
    wait(1500ms);
    EXPECT_EQ(testing::internal::GetCapturedStderr().find("store_answer_contradictory"), std::string::npos);
    EXPECT_EQ(reader.version, 9U);
    EXPECT_EQ(follower.version, 9U);
    EXPECT_TRUE(bothKnow("lost", "gone"));
}

// Guards against withdrawn keys that work again, and calls to upstreams that drain or have left, because the copy has them.
TEST_F(StoreReturnTest, WhatWasInForceHoldsUntilItIsWrittenAgain)
{
    store.put("servers", "drains", registration());
    store.put("servers", "left", registration());
    ASSERT_TRUE(bothKnow("left", "ready"));
    store.takeCopy();
    configure(4, 8);
    store.put("servers", "drains", registration("draining", 2));
    store.put("servers", "registered", registration());
    store.put("servers", "vanished", registration());
    store.remove("servers", "left");
    ASSERT_TRUE(bothHaveVersion(8));
    ASSERT_TRUE(bothKnow("drains", "draining") && bothKnow("left", "gone") && bothKnow("vanished", "ready"));
    store.returnFromCopy();
    const TimePoint returnedAt = Clock::now();
    // One that starts in the meantime reads the copy first.
    Entry started("started", store.endpoint(), 1, std::nullopt, 0ms);
    started.source().setMembers({reader.member("reader", 500), follower.member("follower", 100), started.member("started", 100)}, true);
    const auto isHeldBy = [](Entry &entry) {
        return entry.version == 8 && entry.upstreams["drains"] == "draining" && entry.upstreams["left"] != "ready" && entry.upstreams["registered"] == "ready"
               && entry.upstreams["vanished"] == "ready";
    };
    EXPECT_TRUE(waitUntil([&] {
        return isHeldBy(started);
    }));
    EXPECT_LT(Clock::now() - returnedAt, 1500ms);
    while (Clock::now() < returnedAt + 1800ms) {
        wait(20ms);
        ASSERT_TRUE(isHeldBy(reader));
        ASSERT_TRUE(isHeldBy(follower));
    }
    store.put("servers", "registered", registration("ready", 3));
    store.put("servers", "drains", registration("draining", 4));
    EXPECT_TRUE(bothKnow("vanished", "gone") && waitUntil([&] {
                    return started.upstreams["vanished"] == "gone";
                }));
    EXPECT_GT(Clock::now() - returnedAt, 2s) << "it may still have registered again";
    EXPECT_LT(Clock::now() - returnedAt, 4s);
    EXPECT_TRUE(bothKnow("registered", "ready"));
    configure(8, 9);
    EXPECT_TRUE(bothHaveVersion(9));
    EXPECT_TRUE(bothKnow("left", "ready")) << "its entry is still there when those without heartbeats have lapsed";
    EXPECT_GT(Clock::now() - returnedAt, 7s);
}

TEST_F(StoreReturnTest, TwoReturnsInQuickSuccessionAreFollowed)
{
    store.takeCopy();
    configure(4, 30);
    ASSERT_TRUE(bothHaveVersion(30));
    store.returnFromCopy();
    configure(30, 31);
    wait(300ms);
    store.returnFromCopy(FakeStoreWatches::Silent);
    configure(31, 32);
    EXPECT_TRUE(bothHaveVersion(32));
}

TEST_F(StoreReturnTest, AnOddEraCostsOnlyItsAnswers)
{
    for (const char *odd : {"", "x", "1, 1", "-1"}) {
        const int version = ++lastVersion;
        store.setFaults({.eraField = odd});
        store.put("config", "main", configuration(version));
        wait(300ms);
        store.setFaults({});
        EXPECT_TRUE(bothHaveVersion(static_cast<std::uint64_t>(version))) << odd;
        EXPECT_TRUE(bothKnow("i-1", "ready"));
    }
}

// Guards against lists of each reader for what the other one has listed already, or of the follower.
TEST(StoreReturn, EachKindIsListedOnceByEachOfTwoReaders)
{
    FakeStore store;
    store.put("config", "main", configuration(3));
    store.put("servers", "i-1", registration());
    Entry first("first", store.endpoint(), 2);
    Entry second("second", store.endpoint(), 2);
    Entry follower("follower", store.endpoint(), 2);
    const std::vector<FeedMember> members{first.member("first", 500), second.member("second", 400), follower.member("follower", 100)};
    const std::array entries{&first, &second, &follower};
    for (Entry *entry : entries) {
        entry->source().setMembers(members, true);
    }
    const auto allHave = [&](std::uint64_t version) {
        return waitUntil([&] {
            return std::all_of(entries.begin(), entries.end(), [version](const Entry *entry) {
                return entry->isCurrent && entry->version == version;
            });
        });
    };
    ASSERT_TRUE(allHave(3));
    wait(2500ms);
    const int configurations = store.listCountOf("config");
    const int upstreams = store.listCountOf("servers");
    store.takeCopy();
    store.returnFromCopy(FakeStoreWatches::Silent);
    store.put("config", "main", configuration(4));
    EXPECT_TRUE(allHave(4));
    wait(2500ms);
    EXPECT_EQ(store.listCountOf("config"), configurations + 2);
    EXPECT_EQ(store.listCountOf("servers"), upstreams + 2);
}

TEST(StoreWithoutEras, IsFollowed)
{
    FakeStore store;
    store.setFaults({.eraField = ""});
    store.put("config", "main", configuration(3));
    store.put("servers", "i-1", registration());
    Entry reader("reader", store.endpoint());
    Entry follower("follower", store.endpoint());
    const std::vector<FeedMember> members{reader.member("reader", 500), follower.member("follower", 100)};
    reader.source().setMembers(members, true);
    follower.source().setMembers(members, true);
    EXPECT_TRUE(waitUntil([&] {
        return reader.isCurrent && follower.isCurrent && follower.version == 3;
    }));
    store.dropWatchesAndHistory();
    store.put("config", "main", configuration(4));
    EXPECT_TRUE(waitUntil([&] {
        return follower.version == 4 && follower.upstreams["i-1"] == "ready";
    }));
}

TEST(StoreWithoutEras, AnAnswerThatContradictsWhatWasKnownIsAWarning)
{
    FakeStore store;
    store.setFaults({.eraField = ""});
    store.put("config", "main", configuration(3));
    store.put("servers", "i-1", registration());
    store.takeCopy();
    store.put("config", "main", configuration(4));
    Entry reader("reader", store.endpoint());
    reader.source().setMembers({reader.member("reader", 500)}, true);
    EXPECT_TRUE(waitUntil([&] {
        return reader.isCurrent && reader.version == 4;
    }));
    testing::internal::CaptureStderr();
    store.returnFromCopy();
    wait(1500ms);
    const std::string log = testing::internal::GetCapturedStderr();
    EXPECT_NE(log.find("warning store_answer_contradictory kind=configuration source=store_list"), std::string::npos) << log;
}

// Guards against review/12 where no answer tells the store's return: a version that came after it was never in force.
TEST(StoreWithoutEras, AVersionAfterItsReturnFromACopyIsKnown)
{
    FakeStore store;
    store.setFaults({.eraField = ""});
    store.put("config", "main", configuration(3));
    store.put("servers", "i-1", registration());
    Entry entry("e1", store.endpoint());
    entry.source().setMembers({entry.member("e1", 500)}, true);
    ASSERT_TRUE(waitUntil([&entry] {
        return entry.isCurrent && entry.version == 3;
    }));
    store.takeCopy();
    for (int version = 4; version < 20; ++version) {
        store.put("config", "main", configuration(version));
        store.put("servers", "lost", registration("ready", version));
    }
    ASSERT_TRUE(waitUntil([&entry] {
        return entry.version == 19 && entry.upstreams["lost"] == "ready";
    }));
    store.returnFromCopy();
    wait(1500ms);
    store.put("config", "main", configuration(21));
    const TimePoint changedAt = Clock::now();
    EXPECT_TRUE(waitUntil([&entry] {
        return entry.version == 21;
    }));
    EXPECT_LT(Clock::now() - changedAt, 2s) << "the change bound";
    EXPECT_EQ(entry.upstreams["lost"], "gone");
}

// Guards against calls to upstreams that drain: a stale answer told the new era with a revision of the old one, and later changes were ignored.
TEST(StoreSourceTask, AMemberThatStartsWithStaleObjectsOfBeforeTheStoresReturnFollowsTheStore)
{
    FakeStore store;
    store.put("config", "main", configuration(3));
    store.put("servers", "i-1", registration());
    store.takeCopy();
    for (int sequence = 2; sequence < 20; ++sequence) {
        store.put("servers", "lost", registration("ready", sequence));
    }
    store.setFaults({.isStaleReadFrozen = true});
    store.returnFromCopy();
    Entry entry("e1", store.endpoint(), 1, std::nullopt, 0ms);
    entry.source().setMembers({entry.member("e1", 500)}, true);
    ASSERT_TRUE(waitUntil([&entry] {
        return entry.isCurrent && entry.upstreams["i-1"] == "ready";
    }));
    wait(1500ms);
    store.put("servers", "i-1", registration("draining", 2));
    const TimePoint changedAt = Clock::now();
    EXPECT_TRUE(waitUntil([&entry] {
        return entry.upstreams["i-1"] == "draining";
    }));
    EXPECT_LT(Clock::now() - changedAt, 2s) << "the drain bound";
    EXPECT_EQ(entry.upstreams["lost"], "gone");
}

TEST_F(StoreSourceTaskTest, WaitsWithoutSpinning)
{
    EXPECT_TRUE(waitUntil([this] {
        return reader.isCurrent && follower.isCurrent;
    }));
    // In a small zone, regular checks are further apart than the maximum age.
    reader.source().setMembers({reader.member("reader", 500)}, true);
    const auto cpuTime = [] {
        return std::chrono::milliseconds(std::clock() * 1000 / CLOCKS_PER_SEC);
    };
    const auto before = cpuTime();
    const TimePoint end = Clock::now() + 4s;
    EXPECT_TRUE(waitUntil([end] {
        return Clock::now() >= end;
    }));
    EXPECT_LT(cpuTime() - before, 800ms);
}

}
}

int main(int argc, char **argv)
{
    testing::InitGoogleTest(&argc, argv);
    QCoreApplication application(argc, argv);
    return RUN_ALL_TESTS();
}
