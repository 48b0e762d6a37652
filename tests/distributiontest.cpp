#include "controllers/distribution.h"

#include <gtest/gtest.h>

namespace Plantainweir {
namespace {

using namespace std::chrono_literals;

Endpoint peer()
{
    return {"127.0.0.1", 7000};
}

/** The distribution of one member, fed with events from its peers. */
class DistributionTest : public testing::Test
{
protected:
    DistributionActions feed(const DistributionEvent &event)
    {
        return step(m_distribution, event, m_now, m_random);
    }

    static Service makeService(std::uint64_t version)
    {
        return {.name = "s", .version = version, .isRemoved = false, .upstreams = {}};
    }

    std::mt19937_64 m_random{1};
    TimePoint m_now{1h};
    Distribution m_distribution{.settings = {}, .self = "a", .configuration = {}, .statuses = {}, .pendingObjects = {}, .missingVersions = {}};
};

TEST_F(DistributionTest, PullsAnAnnouncedVersionAndAnnouncesIt)
{
    feed(PlatformSnapshotReceived{});
    const DistributionActions announced = feed(PeerDigestReceived{peer(), 0, {{serviceKey("s"), 2}}});
    ASSERT_EQ(announced.pulls.size(), 1U);
    EXPECT_EQ(announced.pulls[0].keys, std::vector<std::string>{serviceKey("s")});
    const DistributionActions pulled = feed(ObjectsPulled{peer(), {serviceKey("s")}, ObjectSet{.rules = {}, .services = {makeService(2)}, .statuses = {}}});
    EXPECT_EQ(pulled.changedServices, std::set<std::string>{"s"});
    EXPECT_EQ(pulled.announcedVersions, (std::vector<ObjectVersion>{{serviceKey("s"), 2}}));
    EXPECT_TRUE(feed(PeerDigestReceived{peer(), 0, {{serviceKey("s"), 1}}}).pulls.empty());
}

TEST_F(DistributionTest, PullsObjectsOnceThatItCannotAdopt)
{
    const UpstreamStatus status{.service = "other", .upstream = "u", .isLeaving = true};
    feed(PeerDigestReceived{peer(), 0, {{statusKey(status), 5}, {serviceKey("s"), 3}}});
    const ObjectSet answer{.rules = {}, .services = {makeService(2)}, .statuses = {{.version = 5, .status = status}}};
    const DistributionActions pulled = feed(ObjectsPulled{peer(), {statusKey(status), serviceKey("s")}, answer});
    EXPECT_TRUE(pulled.pulls.empty());
    EXPECT_TRUE(m_distribution.pendingObjects.empty());
}

TEST_F(DistributionTest, PullsAgainWhatDidNotFitIntoTheResponse)
{
    feed(PeerDigestReceived{peer(), 0, {{serviceKey("s"), 2}, {rulesKey(), 4}}});
    const DistributionActions pulled
        = feed(ObjectsPulled{peer(), {serviceKey("s"), rulesKey()}, ObjectSet{.rules = {}, .services = {makeService(2)}, .statuses = {}}});
    ASSERT_EQ(pulled.pulls.size(), 1U);
    EXPECT_EQ(pulled.pulls[0].keys, std::vector<std::string>{rulesKey()});
}

TEST_F(DistributionTest, IsCompleteOnlyAfterACompletePeerOrThePlatform)
{
    const DistributionActions announced = feed(PeerDigestReceived{peer(), 0, {}});
    EXPECT_EQ(announced.compareWith, peer());
    EXPECT_FALSE(feed(VersionsCompared{peer(), VersionList{.isComplete = false, .versions = {}}}).hasBecomeComplete);
    m_now += 2s;
    feed(PeerDigestReceived{peer(), 0, {}});
    feed(VersionsCompared{peer(), VersionList{.isComplete = true, .versions = {{serviceKey("s"), 2}}}});
    EXPECT_FALSE(m_distribution.isComplete);
    EXPECT_TRUE(feed(ObjectsPulled{peer(), {serviceKey("s")}, ObjectSet{.rules = {}, .services = {makeService(2)}, .statuses = {}}}).hasBecomeComplete);
}

TEST_F(DistributionTest, ReplacesWatchersWithoutMovingTheOthers)
{
    const std::vector<std::string> candidates{"a", "b", "c", "d", "e", "f"};
    const auto watchers = chooseWatchers(candidates, 3);
    ASSERT_EQ(watchers.size(), 3U);
    std::vector<std::string> rest = candidates;
    std::erase(rest, watchers.front());
    const auto next = chooseWatchers(rest, 3);
    EXPECT_EQ(next[0], watchers[1]);
    EXPECT_EQ(next[1], watchers[2]);
}

}
}
