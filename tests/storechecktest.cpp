#include "controllers/storecheck.h"

#include <gtest/gtest.h>

namespace Plantainweir {
namespace {

constexpr TimePoint Start{std::chrono::seconds(1000)};

StoreCheck makeCheck(ReadConsistency consistency)
{
    return {.consistency = consistency,
            .startedAt = Start,
            .deadline = {},
            .watches = {{.watch = {.kind = StoreObjectKind::Configuration, .revision = {.number = 20}, .since = Start}},
                        {.watch = {.kind = StoreObjectKind::Upstreams, .revision = {.number = 30}, .since = Start}}},
            .asked = StoreObjectKind::Configuration};
}

ChangesAnswer page(std::uint64_t revision, bool hasChanges = false)
{
    return {.outcome = StoreReadOutcome::Page, .revision = {.number = revision}, .hasChanges = hasChanges};
}

TEST(StoreCheck, OneAnswerIsEnoughIfNothingHasChanged)
{
    StoreCheck check = makeCheck(ReadConsistency::Consistent);
    adoptAnswer(check, page(30));
    EXPECT_FALSE(check.asked);
    EXPECT_EQ(check.watches[0].finding, WatchFinding::Complete);
    EXPECT_EQ(check.watches[1].finding, WatchFinding::Complete) << "the store has no later revision of any kind";
}

TEST(StoreCheck, AsksAboutEachWatchThatALaterRevisionMayConcern)
{
    StoreCheck check = makeCheck(ReadConsistency::Stale);
    adoptAnswer(check, page(31));
    ASSERT_EQ(check.asked, StoreObjectKind::Upstreams);
    adoptAnswer(check, page(31, true));
    EXPECT_FALSE(check.asked);
    EXPECT_EQ(check.watches[0].finding, WatchFinding::Complete);
    EXPECT_EQ(check.watches[1].finding, WatchFinding::Missed);
    EXPECT_FALSE(needsConsistentAnswer(check));
}

TEST(StoreCheck, AWatchThatIsNotDueIsConfirmedOnlyIfThatCostsNoCall)
{
    StoreCheck check = makeCheck(ReadConsistency::Stale);
    check.watches.push_back({.watch = {.kind = StoreObjectKind::Evacuations, .revision = {.number = 30}, .since = Start, .isDue = false}});
    StoreCheck unchanged = check;
    adoptAnswer(unchanged, page(30));
    EXPECT_FALSE(unchanged.asked);
    EXPECT_EQ(unchanged.watches[2].finding, WatchFinding::Complete);
    adoptAnswer(check, page(31));
    ASSERT_EQ(check.asked, StoreObjectKind::Upstreams);
    adoptAnswer(check, page(31));
    EXPECT_FALSE(check.asked) << "the later revision may concern it, but it need not be known yet";
    EXPECT_EQ(check.watches[2].finding, WatchFinding::Unproven);
    EXPECT_FALSE(needsConsistentAnswer(check));
}

// Guards against an old answer that counts as a confirmation.
TEST(StoreCheck, AnAnswerOlderThanTheWatchProvesNothing)
{
    StoreCheck check = makeCheck(ReadConsistency::Stale);
    adoptAnswer(check, page(25));
    ASSERT_EQ(check.asked, StoreObjectKind::Upstreams);
    adoptAnswer(check, page(25));
    EXPECT_EQ(check.watches[1].finding, WatchFinding::Unproven);
    EXPECT_TRUE(needsConsistentAnswer(check));
}

TEST(StoreCheck, HistoryThatIsGoneMayHaveHeldAChange)
{
    StoreCheck stale = makeCheck(ReadConsistency::Stale);
    adoptAnswer(stale, {.outcome = StoreReadOutcome::RevisionGone});
    EXPECT_EQ(stale.watches[0].finding, WatchFinding::Unproven);
    StoreCheck consistent = makeCheck(ReadConsistency::Consistent);
    adoptAnswer(consistent, {.outcome = StoreReadOutcome::RevisionGone});
    EXPECT_EQ(consistent.watches[0].finding, WatchFinding::Missed);
    EXPECT_EQ(consistent.asked, StoreObjectKind::Upstreams);
}

TEST(StoreCheck, AWatchThatIsKnownToBeCompleteNeedsNoQuestion)
{
    StoreCheck check = makeCheck(ReadConsistency::Stale);
    check.watches[1].watch.completeUntil = {.number = 35};
    adoptAnswer(check, page(35));
    EXPECT_FALSE(check.asked);
    EXPECT_EQ(check.watches[1].finding, WatchFinding::Complete);
    EXPECT_EQ(check.watches[1].completeUntil.number, 35U);
}

// Guards against watches that are confirmed although they wait for changes of an era that the store has lost.
TEST(StoreCheck, AnAnswerOfALaterEraShowsThatTheWatchesHaveMissedIt)
{
    for (const ReadConsistency consistency : {ReadConsistency::Stale, ReadConsistency::Consistent}) {
        for (const StoreReadOutcome outcome : {StoreReadOutcome::Page, StoreReadOutcome::RevisionGone}) {
            StoreCheck check = makeCheck(consistency);
            adoptAnswer(check, {.outcome = outcome, .revision = {.era = 2, .number = 20}});
            EXPECT_EQ(check.watches[0].finding, WatchFinding::Missed);
            EXPECT_EQ(check.era, 2U);
        }
    }
}

TEST(StoreCheck, AnAnswerOfAnEarlierEraProvesNothing)
{
    for (const bool hasChanges : {false, true}) {
        StoreCheck check = makeCheck(ReadConsistency::Stale);
        check.watches[0].watch.revision.era = 2;
        check.watches[1].watch.revision.era = 2;
        adoptAnswer(check, page(50, hasChanges));
        EXPECT_EQ(check.watches[0].finding, WatchFinding::Unproven);
        EXPECT_TRUE(needsConsistentAnswer(check));
    }
}

// The revision of the other watch has the same number in another era.
TEST(StoreCheck, AWatchOfAnotherEraIsNotConfirmedByTheNumberOfTheRevision)
{
    StoreCheck check = makeCheck(ReadConsistency::Stale);
    check.watches[0].watch.revision = {.era = 2, .number = 30};
    adoptAnswer(check, {.outcome = StoreReadOutcome::Page, .revision = {.era = 2, .number = 30}});
    EXPECT_EQ(check.watches[0].finding, WatchFinding::Complete);
    EXPECT_EQ(check.asked, StoreObjectKind::Upstreams);
    EXPECT_EQ(check.watches[1].finding, WatchFinding::Unproven);
}

// Guards against a dead watch that is found only by its own time-out, longer than the bounds permit.
TEST(StoreCheck, ConsistentAnswersComeOncePerVerificationPeriod)
{
    using namespace std::chrono_literals;
    const StoreCheckPace pace{.period = 1s, .verificationPeriod = 2s};
    EXPECT_EQ(consistencyOfNextCheck(pace, std::nullopt, Start), ReadConsistency::Consistent) << "nothing has been verified";
    EXPECT_EQ(consistencyOfNextCheck(pace, Start, Start + 1500ms), ReadConsistency::Stale);
    EXPECT_EQ(consistencyOfNextCheck(pace, Start, Start + 1501ms), ReadConsistency::Consistent);
}

TEST(StoreCheck, WithoutWatchesItOnlyShowsThatTheStoreAnswers)
{
    StoreCheck check{.consistency = ReadConsistency::Stale, .startedAt = Start, .deadline = {}, .watches = {}, .asked = StoreObjectKind::Configuration};
    adoptAnswer(check, page(31, true));
    EXPECT_FALSE(check.asked);
    EXPECT_FALSE(needsConsistentAnswer(check));
}

}
}
