#include "decision/subset.h"

#include "decision/recentcount.h"

#include "fakes/proxyload.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace Plantainweir {
namespace {

constexpr TimePoint Start{std::chrono::seconds(1000)};

UpstreamPool makePool(std::size_t upstreams)
{
    std::vector<RegisteredUpstream> registered;
    for (UpstreamKey key = 1; key <= upstreams; ++key) {
        registered.push_back({.key = key, .id = "upstream-" + std::to_string(key)});
    }
    UpstreamPool pool;
    replaceUpstreams(pool, registered);
    return pool;
}

constexpr std::size_t Size = 4;

/** Returns the keys of the first @p count candidates after the subset was moved to the front. */
std::set<UpstreamKey> firstCandidates(UpstreamPool &pool, const std::string &entryVm, std::size_t count = Size)
{
    assignPreferences(pool, entryVm);
    std::vector<PooledUpstream *> candidates = usableUpstreams(pool, Start);
    moveSubsetToFront(candidates, Size, Start);
    std::set<UpstreamKey> subset;
    std::for_each_n(candidates.begin(), std::min(count, candidates.size()), [&subset](const PooledUpstream *upstream) {
        subset.insert(upstream->registration.key);
    });
    return subset;
}

TEST(Subset, OnlyItsLostMemberIsReplaced)
{
    UpstreamPool pool = makePool(25);
    const std::set<UpstreamKey> before = firstCandidates(pool, "entry");
    pool.upstreams.at(*before.begin()).ejectedUntil = Start + std::chrono::seconds(1);
    const std::set<UpstreamKey> after = firstCandidates(pool, "entry");
    std::set<UpstreamKey> kept;
    std::set_intersection(before.begin(), before.end(), after.begin(), after.end(), std::inserter(kept, kept.end()));
    EXPECT_EQ(after.size(), 4U);
    EXPECT_EQ(kept.size(), 3U);
}

TEST(Subset, AColdMemberIsAnAdditionalOne)
{
    UpstreamPool pool = makePool(25);
    const std::set<UpstreamKey> before = firstCandidates(pool, "entry");
    const UpstreamKey cold = *before.begin();
    pool.upstreams.at(cold).registration.coldUntil = Start + std::chrono::seconds(1);
    const std::set<UpstreamKey> withCold = firstCandidates(pool, "entry", Size + 1);
    EXPECT_TRUE(std::includes(withCold.begin(), withCold.end(), before.begin(), before.end()));
}

TEST(Subset, EntryVmsShareTheUpstreams)
{
    UpstreamPool pool = makePool(25);
    std::map<UpstreamKey, int> members;
    for (int entry = 0; entry < 200; ++entry) {
        for (const UpstreamKey key : firstCandidates(pool, "entry-" + std::to_string(entry))) {
            ++members[key];
        }
    }
    EXPECT_EQ(members.size(), 25U);
    for (const auto &[key, count] : members) {
        EXPECT_GT(count, 32 / 2) << key;
        EXPECT_LT(count, 32 * 2) << key;
    }
}

TEST(Subset, GrowsWithTheCallsThatKeepConnectionsOpen)
{
    RecentCount rate;
    EXPECT_EQ(subsetSize(perSecondAt(rate, Start), Size), 4U);
    for (int call = 0; call < 1200; ++call) {
        add(rate, Start + call * std::chrono::milliseconds(50));
    }
    const TimePoint end = Start + std::chrono::seconds(60);
    EXPECT_NEAR(perSecondAt(rate, end), 20.0, 1.0);
    EXPECT_GT(subsetSize(perSecondAt(rate, end), Size), 40U);
    EXPECT_EQ(subsetSize(perSecondAt(rate, end + std::chrono::minutes(1)), Size), 4U);
}

/** Two calls a second at each of 200 entry VMs, in waves, for 100 upstreams with two slots and noisy neighbours. */
PlayedLoad fewCallsAtManyEntryVms()
{
    PlayedLoad load;
    load.swing = 0.55;
    load.calls = {{.perSecond = 473.0}};
    return load;
}

TEST(SubsetLoad, CallsFindOpenConnectionsAndStayInTime)
{
    PlayedLoad load = fewCallsAtManyEntryVms();
    load.subsetSize = 0;
    const PlayedResult spread = ProxyLoadPlayer(load).play();
    load.subsetSize = Size;
    const PlayedResult subsets = ProxyLoadPlayer(load).play();
    RecordProperty("connections_spread", spread.connections);
    RecordProperty("connections_subsets", subsets.connections);
    EXPECT_LT(subsets.connections, spread.connections / 2);
    EXPECT_GT(subsets.outcomes[0].inTimeShare(), spread.outcomes[0].inTimeShare() - 0.01);
    EXPECT_GT(subsets.outcomes[0].servedShare(), 0.999);
    const double mean = static_cast<double>(subsets.attempts) / static_cast<double>(subsets.attemptsByUpstream.size());
    EXPECT_LT(*std::max_element(subsets.attemptsByUpstream.begin(), subsets.attemptsByUpstream.end()), 1.6 * mean);
}

}
}
