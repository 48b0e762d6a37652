#include "controllers/storewatch.h"
#include "controllers/storemirror.h"
#include "controllers/upstreamregistry.h"

#include <gtest/gtest.h>

#include <set>

namespace Plantainweir {
namespace {

constexpr TimePoint Start{std::chrono::seconds(1000)};

class StoreWatchTest : public testing::Test
{
protected:
    std::vector<StoreWatchAction> feed(const StoreWatchEvent &event)
    {
        return step(watch, event, now, random);
    }

    std::vector<StoreWatchAction> fireTimer()
    {
        now = std::max(now, watch.resumeAt);
        return feed(StoreTimerFired{});
    }

    void listUpTo(std::uint64_t revision)
    {
        fireTimer();
        feed(StorePageReceived{.revision = {.number = revision}, .lastName = "z", .hasMore = false});
    }

    TimePoint now = Start;
    std::mt19937_64 random{1};
    StoreWatch watch;
};

TEST_F(StoreWatchTest, ListsAllPagesThenWatches)
{
    EXPECT_EQ(std::get<SendStoreList>(fireTimer().at(0)).afterName, "");
    EXPECT_EQ(std::get<SendStoreList>(feed(StorePageReceived{.revision = {.number = 7}, .lastName = "m", .hasMore = true}).at(0)).afterName, "m");
    EXPECT_FALSE(watch.isListed);
    const auto actions = feed(StorePageReceived{.revision = {.number = 8}, .lastName = "z", .hasMore = false});
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_EQ(std::get<CompleteStoreList>(actions[0]).revision.number, 7U);
    EXPECT_EQ(std::get<SendStoreWatch>(actions[1]).revision.number, 7U) << "an object of the first page may have changed since it was read";
}

TEST_F(StoreWatchTest, ListsAgainAfterAnInterruptedWatch)
{
    listUpTo(8);
    feed(StoreCallFailed{});
    const auto actions = fireTimer();
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<SendStoreList>(actions[0])) << "a watch from the old revision may miss changes";
}

TEST_F(StoreWatchTest, ListsAgainWhenTheHistoryIsCompacted)
{
    listUpTo(8);
    EXPECT_TRUE(std::holds_alternative<SendStoreList>(feed(StoreHistoryCompacted{}).at(0)));
}

// Guards against a backoff while the store answers, and against a watch from a revision after which changes were lost.
TEST_F(StoreWatchTest, ListsAtOnceAfterMissedChanges)
{
    listUpTo(8);
    const auto actions = feed(StoreChangesMissed{});
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<SendStoreList>(actions[0]));
    EXPECT_EQ(watch.failures, 0U);
}

/** Answers each call after 5 ms for @p time, lists completely and watches with @p watchAnswer; returns the times of the lists. */
std::vector<TimePoint> listsWith(StoreWatch &watch, const StoreWatchEvent &watchAnswer, Duration time)
{
    std::mt19937_64 random{3};
    TimePoint now = Start;
    const TimePoint end = now + time;
    std::vector<TimePoint> lists;
    while (now < end) {
        if (watch.phase == StoreWatchPhase::Pausing) {
            now = std::max(now, watch.resumeAt);
            step(watch, StoreTimerFired{}, now, random);
            continue;
        }
        now += std::chrono::milliseconds(5);
        if (watch.phase == StoreWatchPhase::Listing) {
            lists.push_back(now);
            step(watch, StorePageReceived{.revision = {.number = 7}, .lastName = "z", .hasMore = false}, now, random);
        } else {
            step(watch, watchAnswer, now, random);
        }
    }
    return lists;
}

// Guards against a loop of lists without a pause while the store drops its history, or while changes come whose answers are lost.
TEST_F(StoreWatchTest, ListsThatFollowEachOtherArePacedWithinTheIntervalOfChanges)
{
    for (const StoreWatchEvent &answer : {StoreWatchEvent(StoreHistoryCompacted{}), StoreWatchEvent(StoreChangesMissed{})}) {
        watch = {};
        const auto lists = listsWith(watch, answer, std::chrono::seconds(60));
        EXPECT_LE(lists.size(), 95U);
        EXPECT_GE(lists.size(), 46U) << "changes must be known within the bound";
        std::set<Duration> intervals;
        for (std::size_t index = 1; index < lists.size(); ++index) {
            intervals.insert(lists[index] - lists[index - 1]);
            EXPECT_LE(lists[index] - lists[index - 1], watch.changeBatchInterval + std::chrono::milliseconds(10));
        }
        EXPECT_GT(intervals.size(), 10U) << "without jitter, the members of a fleet list at the same times";
    }
}

/** Returns the events of a watch at revision 8 of era 1 that show that the store is in @p era. */
std::vector<StoreWatchEvent> eventsOf(std::uint64_t era)
{
    return {StoreChangesReceived{.revision = {.era = era, .number = 5}, .isEmpty = false},
            StoreChangesReceived{.revision = {.era = era, .number = 9}, .isEmpty = true},
            StoreHistoryCompacted{era},
            StoreEraSeen{era}};
}

// Guards against a watch that goes on from the revisions of an era that the store has lost.
TEST_F(StoreWatchTest, ListsOnceAtTheStoresReturnFromACopy)
{
    for (const StoreWatchEvent &event : eventsOf(4)) {
        watch = {};
        fireTimer();
        feed(StorePageReceived{.revision = {.era = 1, .number = 8}, .lastName = "z", .hasMore = false});
        const auto actions = feed(event);
        ASSERT_EQ(actions.size(), 1U);
        EXPECT_TRUE(std::holds_alternative<SendStoreList>(actions[0]));
        EXPECT_EQ(watch.era, 4U);
        EXPECT_TRUE(feed(StoreEraSeen{4}).empty()) << "another answer shows the same era";
        const auto listed = feed(StorePageReceived{.revision = {.era = 4, .number = 3}, .lastName = "z", .hasMore = false});
        ASSERT_EQ(listed.size(), 2U);
        EXPECT_EQ(std::get<CompleteStoreList>(listed[0]).revision, (StoreRevision{.era = 4, .number = 3}));
        EXPECT_EQ(std::get<SendStoreWatch>(listed[1]).revision, (StoreRevision{.era = 4, .number = 3}));
        EXPECT_TRUE(feed(StoreEraSeen{4}).empty());
    }
}

TEST_F(StoreWatchTest, ListsAfterAPauseInWhichTheStoreReturnedFromACopy)
{
    fireTimer();
    feed(StorePageReceived{.revision = {.era = 1, .number = 8}, .lastName = "z", .hasMore = false});
    feed(StoreChangesReceived{.revision = {.era = 1, .number = 9}, .isEmpty = false});
    ASSERT_EQ(watch.phase, StoreWatchPhase::Pausing);
    EXPECT_TRUE(feed(StoreEraSeen{2}).empty());
    EXPECT_TRUE(std::holds_alternative<SendStoreList>(fireTimer().at(0)));
}

// An answer of an earlier era may arrive long after the store has returned. One without the era counts as such.
TEST_F(StoreWatchTest, DiscardsAnswersOfAnEarlierEra)
{
    for (const std::uint64_t earlier : {0U, 1U, 2U}) {
        const std::vector<StoreWatchEvent> answers{StorePageReceived{.revision = {.era = earlier, .number = 90}, .lastName = "z", .hasMore = false},
                                                   StoreChangesReceived{.revision = {.era = earlier, .number = 90}, .isEmpty = false},
                                                   StoreHistoryCompacted{earlier}};
        for (const StoreWatchEvent &answer : answers) {
            watch = {.era = 3};
            fireTimer();
            if (!std::holds_alternative<StorePageReceived>(answer)) {
                feed(StorePageReceived{.revision = {.era = 3, .number = 8}, .lastName = "z", .hasMore = false});
            }
            EXPECT_TRUE(feed(answer).empty());
            EXPECT_EQ(watch.era, 3U);
            EXPECT_EQ(watch.phase, StoreWatchPhase::Pausing);
            EXPECT_TRUE(std::holds_alternative<SendStoreList>(fireTimer().at(0)));
        }
    }
}

TEST_F(StoreWatchTest, AListWhosePagesAreOfDifferentErasStartsAnew)
{
    fireTimer();
    feed(StorePageReceived{.revision = {.era = 1, .number = 90}, .lastName = "m", .hasMore = true});
    const auto again = feed(StorePageReceived{.revision = {.era = 2, .number = 40}, .lastName = "z", .hasMore = false});
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(std::get<SendStoreList>(again[0]).afterName, "");
    EXPECT_FALSE(watch.isListed);
    feed(StorePageReceived{.revision = {.era = 2, .number = 41}, .lastName = "m", .hasMore = true});
    EXPECT_TRUE(feed(StorePageReceived{.revision = {.era = 1, .number = 90}, .lastName = "z", .hasMore = false}).empty());
    EXPECT_FALSE(watch.isListed);
}

TEST_F(StoreWatchTest, ListsOfAStoreWithoutARevisionArePaced)
{
    int lists = 0;
    const TimePoint end = now + std::chrono::seconds(60);
    while (now < end && lists < 1000) {
        if (watch.phase == StoreWatchPhase::Pausing) {
            fireTimer();
            continue;
        }
        ++lists;
        now += std::chrono::milliseconds(5);
        feed(StorePageReceived{.revision = {.number = 0}, .lastName = "", .hasMore = false});
    }
    EXPECT_LE(lists, 250);
}

TEST_F(StoreWatchTest, PausesIfAListDoesNotProceed)
{
    for (const char *lastName : {"m", "a"}) {
        fireTimer();
        EXPECT_EQ(std::get<SendStoreList>(feed(StorePageReceived{.revision = {.number = 7}, .lastName = "m", .hasMore = true}).at(0)).afterName, "m");
        EXPECT_TRUE(feed(StorePageReceived{.revision = {.number = 7}, .lastName = lastName, .hasMore = true}).empty());
        EXPECT_EQ(watch.phase, StoreWatchPhase::Pausing);
        EXPECT_GT(watch.resumeAt, now);
        EXPECT_TRUE(watch.afterName.empty());
    }
    EXPECT_EQ(watch.failures, 2U) << "the pause must grow although the first page comes";
}

TEST_F(StoreWatchTest, ListsAgainAfterChangesThatCouldNotBeReadButNotMoreOftenThanChangesAreRead)
{
    listUpTo(8);
    now += std::chrono::seconds(5);
    EXPECT_TRUE(std::holds_alternative<SendStoreList>(feed(StoreChangesReceived{.revision = {.number = 9}, .isEmpty = false, .isIncomplete = true}).at(0)));
    feed(StorePageReceived{.revision = {.number = 9}, .lastName = "z", .hasMore = false});
    const TimePoint listedAt = now;
    now += std::chrono::milliseconds(10);
    EXPECT_TRUE(feed(StoreChangesReceived{.revision = {.number = 10}, .isEmpty = true, .isIncomplete = true}).empty());
    EXPECT_EQ(watch.resumeAt, listedAt + watch.changeBatchInterval);
    EXPECT_TRUE(std::holds_alternative<SendStoreList>(fireTimer().at(0)));
}

TEST_F(StoreWatchTest, BatchesChangesInQuickSuccession)
{
    listUpTo(8);
    EXPECT_TRUE(feed(StoreChangesReceived{.revision = {.number = 9}, .isEmpty = false}).empty());
    EXPECT_GT(watch.resumeAt, now);
    EXPECT_EQ(std::get<SendStoreWatch>(fireTimer().at(0)).revision.number, 9U);
}

TEST_F(StoreWatchTest, BacksOffAndReportsTheRecovery)
{
    listUpTo(8);
    Duration longest{};
    for (int failures = 0; failures < 20; ++failures) {
        feed(StoreCallFailed{});
        longest = std::max(longest, Duration(watch.resumeAt - now));
        fireTimer();
    }
    EXPECT_GT(longest, std::chrono::milliseconds(200));
    EXPECT_LT(longest, std::chrono::seconds(1));
    const auto actions = feed(StorePageReceived{.revision = {.number = 20}, .lastName = "z", .hasMore = false});
    EXPECT_GT(std::get<ReportStoreRecovered>(actions.at(0)).outage, std::chrono::seconds(1));
}

UpstreamRecord makeRecord(const std::string &id)
{
    return {.id = id, .service = "desk", .endpoint = {.address = "10.0.0.1", .port = 80}, .availabilityZone = "a", .slots = 3};
}

TEST_F(StoreWatchTest, BacksOffFromItsOwnMinimum)
{
    watch.minimumBackoff = std::chrono::seconds(2);
    fireTimer();
    for (int failure = 0; failure < 4; ++failure) {
        feed(StoreCallFailed{});
        EXPECT_GE(watch.resumeAt - now, std::chrono::seconds(1));
        EXPECT_LE(watch.resumeAt - now, std::chrono::seconds(2));
        fireTimer();
    }
}

TEST_F(StoreWatchTest, BacksOffLongerAfterTheFirstList)
{
    const auto callsIn = [this](Duration time) {
        const TimePoint end = now + time;
        int calls = 0;
        while (watch.resumeAt < end) {
            fireTimer();
            ++calls;
            feed(StoreCallFailed{});
            EXPECT_LE(watch.resumeAt - now, std::chrono::seconds(1)) << "the recovery must be detected within a second";
        }
        return calls;
    };
    const int before = callsIn(std::chrono::seconds(20));
    listUpTo(8);
    feed(StoreCallFailed{});
    const int after = callsIn(std::chrono::seconds(20));
    EXPECT_LT(after, 2 * before / 3);
}

/** Removes the upstreams that are not in @p present, as after a complete list. */
void retainListedUpstreams(UpstreamRegistry &registry, const std::set<std::string> &present, TimePoint now)
{
    std::vector<std::string> missing;
    for (const auto &[id, entry] : registry.entries) {
        if (!present.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const std::string &id : missing) {
        removeUpstream(registry, id, now);
    }
}

TEST(UpstreamRegistry, RemovesUpstreamsAtOnceWithoutAnOutage)
{
    UpstreamRegistry registry;
    updateUpstream(registry, makeRecord("u1"), Start);
    removeUpstream(registry, "u1", Start);
    EXPECT_TRUE(registeredUpstreams(registry).empty());
}

TEST(UpstreamRegistry, KeepsMissingUpstreamsForAGracePeriodAfterAnOutage)
{
    UpstreamRegistry registry;
    updateUpstream(registry, makeRecord("u1"), Start);
    updateUpstream(registry, makeRecord("u2"), Start);
    notePlatformRecovered(registry, std::chrono::seconds(5), Start);
    retainListedUpstreams(registry, {}, Start);
    EXPECT_EQ(registeredUpstreams(registry).size(), 2U);
    updateUpstream(registry, makeRecord("u1"), Start + std::chrono::seconds(1));
    ASSERT_TRUE(nextExpiry(registry));
    EXPECT_TRUE(removeExpired(registry, *nextExpiry(registry)));
    ASSERT_EQ(registeredUpstreams(registry).size(), 1U);
    EXPECT_EQ(registeredUpstreams(registry)[0].id, "u1");
}

TEST(UpstreamRegistry, DoesNotUseFewMissingUpstreamsAfterAnOutage)
{
    UpstreamRegistry registry;
    for (const char *id : {"u1", "u2", "u3"}) {
        updateUpstream(registry, makeRecord(id), Start);
    }
    notePlatformRecovered(registry, std::chrono::seconds(5), Start);
    retainListedUpstreams(registry, {"u1", "u2"}, Start);
    EXPECT_EQ(registeredUpstreams(registry).size(), 2U);
    retainListedUpstreams(registry, {"u1"}, Start);
    EXPECT_EQ(registeredUpstreams(registry).size(), 3U) << "most are missing, so their leases have expired";
}

TEST(UpstreamRegistry, HasNoGracePeriodAfterAShortOutage)
{
    UpstreamRegistry registry;
    updateUpstream(registry, makeRecord("u1"), Start);
    notePlatformRecovered(registry, std::chrono::milliseconds(80), Start);
    retainListedUpstreams(registry, {}, Start);
    EXPECT_TRUE(registeredUpstreams(registry).empty());
}

TEST(UpstreamRegistry, NewIncarnationGetsANewKey)
{
    UpstreamRegistry registry;
    UpstreamRecord record = makeRecord("u1");
    record.startedAtMs = 100;
    updateUpstream(registry, record, Start);
    const UpstreamKey first = registeredUpstreams(registry)[0].key;
    record.isDraining = true;
    updateUpstream(registry, record, Start);
    EXPECT_EQ(registeredUpstreams(registry)[0].key, first);
    record.startedAtMs = 200;
    updateUpstream(registry, record, Start);
    EXPECT_NE(registeredUpstreams(registry)[0].key, first);
}

TEST(UpstreamRegistry, IgnoresOlderRevisions)
{
    // The mirror through which all registrations pass decides which one is newer.
    StoreMirror mirror{.kind = StoreObjectKind::Upstreams};
    UpstreamRegistry registry;
    const auto receive = [&](bool isDraining, std::uint64_t revision, const StoreDelta &delta) {
        StoreDelta received = delta;
        UpstreamRecord record = makeRecord("u1");
        record.isDraining = isDraining;
        received.objects = {{.name = "u1", .revision = {.number = revision}, .isDeleted = false, .value = record}};
        for (const StoreObject &object : adopt(mirror, received)) {
            updateUpstream(registry, std::get<UpstreamRecord>(object.value), Start);
        }
    };
    receive(true, 6, {.kind = StoreObjectKind::Upstreams, .isComplete = true, .revision = {.number = 6}});
    receive(false, 5, {.kind = StoreObjectKind::Upstreams, .isComplete = false, .revision = {.number = 7}});
    EXPECT_TRUE(registeredUpstreams(registry)[0].isDraining);
    receive(false, 5, {.kind = StoreObjectKind::Upstreams, .isComplete = true, .revision = {.number = 5}});
    EXPECT_TRUE(registeredUpstreams(registry)[0].isDraining);
    receive(false, 8, {.kind = StoreObjectKind::Upstreams, .isComplete = false, .revision = {.number = 8}});
    EXPECT_FALSE(registeredUpstreams(registry)[0].isDraining);
}

}
}
