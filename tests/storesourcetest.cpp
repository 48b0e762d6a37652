#include "controllers/storesource.h"
#include "controllers/storecheck.h"
#include "exploration.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <set>

namespace Plantainweir {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{1000s};

FeedMember makeMember(const std::string &name, std::uint32_t capacity = 100)
{
    return {.name = name, .feedEndpoint = {.address = "10.0.0.1", .port = 7721}, .capacity = capacity};
}

std::vector<FeedMember> makeZone(std::size_t count)
{
    std::vector<FeedMember> members;
    for (std::size_t index = 0; index < count; ++index) {
        members.push_back(makeMember("e" + std::to_string(index)));
    }
    return members;
}

TEST(StoreReaders, AreTheMostCapableMembersThatReachTheStore)
{
    std::vector<FeedMember> members = makeZone(20);
    members[7].capacity = 500;
    members[12].capacity = 500;
    members[13].capacity = 500;
    members[13].isStoreUnreachable = true;
    std::vector<std::string> names;
    for (const FeedMember &reader : chooseReaders(members, 2)) {
        names.push_back(reader.name);
    }
    std::sort(names.begin(), names.end());
    EXPECT_EQ(names, (std::vector<std::string>{"e12", "e7"}));
    for (FeedMember &member : members) {
        member.isStoreUnreachable = true;
    }
    EXPECT_EQ(chooseReaders(members, 2).size(), 2U) << "if none reaches the store, some must still try";
    EXPECT_TRUE(chooseReaders({}, 2).empty());
}

/** One member of a zone of 20, in which e7 and e12 are the readers. */
class StoreSourceTest : public testing::Test
{
protected:
    StoreSourceTest()
    {
        zone[7].capacity = zone[12].capacity = 500;
    }

    void make(const std::string &self)
    {
        source = makeStoreSource(self, {.maximumAge = 2s, .startDelay = 1s}, now, random);
        feed(SourceTimerFired{});
    }

    void feed(const StoreSourceEvent &event)
    {
        actions = step(source, event, now, random);
    }

    void advance(Duration duration)
    {
        now += duration;
        feed(SourceTimerFired{});
    }

    void feedFrom(const std::string &member)
    {
        feed(FeedReceived{.member = member, .hasObjects = true, .confirmedAt = now, .senderConfirmedAt = now});
    }

    /** Makes e7 a reader that has got no answer and has reported it. */
    void reportUnreachable()
    {
        make("e7");
        feed(FeedMembersChanged{zone, true});
        advance(400ms);
        advance(3s);
        ASSERT_EQ(count<ReportStoreReachability>(), 1U);
        zone[7].isStoreUnreachable = true;
        feed(FeedMembersChanged{zone, true});
    }

    /** Lets time pass, in which e12 feeds this member, until it checks the store; returns whether it does. */
    bool waitForCheck()
    {
        for (int wait = 0; wait < 150 && !source.isChecking; ++wait) {
            feedFrom("e12");
            advance(10ms);
        }
        return source.isChecking;
    }

    template<typename Action>
    std::size_t count() const
    {
        return static_cast<std::size_t>(std::count_if(actions.begin(), actions.end(), [](const StoreSourceAction &action) {
            return std::holds_alternative<Action>(action);
        }));
    }

    TimePoint now = Start;
    std::mt19937_64 random{5};
    std::vector<FeedMember> zone = makeZone(20);
    StoreSource source;
    std::vector<StoreSourceAction> actions;
};

TEST_F(StoreSourceTest, AFollowerTakesItsObjectsFromTheReaders)
{
    make("e1");
    feed(FeedMembersChanged{zone, true});
    EXPECT_EQ(count<OpenFeed>(), 2U);
    feedFrom("e7");
    for (int second = 0; second < 60; ++second) {
        advance(1s);
        feedFrom("e12");
        EXPECT_FALSE(source.isReading);
        EXPECT_TRUE(isCurrent(source, now));
    }
}

TEST_F(StoreSourceTest, AReaderReadsTheStore)
{
    make("e7");
    feed(FeedMembersChanged{zone, true});
    EXPECT_FALSE(source.isReading) << "the members may still learn of each other";
    advance(400ms);
    EXPECT_EQ(count<StartReading>(), 1U);
    EXPECT_TRUE(source.isReader);
}

TEST_F(StoreSourceTest, AMemberWithoutPeersReadsTheStoreAfterTheStartDelay)
{
    make("e1");
    feed(FeedMembersChanged{{makeMember("e1")}, false});
    advance(400ms);
    EXPECT_FALSE(source.isReading);
    advance(700ms);
    EXPECT_EQ(count<StartReading>(), 1U);
}

TEST_F(StoreSourceTest, ObjectsOfAMemberThatIsNoReaderAreNotYetAReasonToReadTheStore)
{
    make("e1");
    // At first only some members are known, and those that seem to be the readers are not.
    feed(FeedMembersChanged{{makeMember("e1"), makeMember("e2", 200), makeMember("e3", 200)}, true});
    feed(FeedReceived{.member = "e2", .hasObjects = true, .confirmedAt = std::nullopt, .senderConfirmedAt = std::nullopt});
    advance(400ms);
    EXPECT_EQ(count<CheckStore>() + count<StartReading>(), 0U);
    EXPECT_FALSE(isCurrent(source, now));
    advance(700ms);
    EXPECT_TRUE(source.isReading) << "nobody confirmed them within the start delay";
}

TEST_F(StoreSourceTest, AMemberWithoutFeedsReadsTheFirstObjectsOnce)
{
    make("e1");
    source.settings.firstReadDelay = 250ms;
    feed(FeedMembersChanged{zone, true});
    advance(200ms);
    EXPECT_EQ(count<ReadFirstObjects>(), 0U);
    advance(50ms);
    EXPECT_EQ(count<ReadFirstObjects>(), 1U);
    advance(100ms);
    EXPECT_EQ(count<ReadFirstObjects>(), 0U);
    EXPECT_FALSE(source.isReading);
    make("e2");
    source.settings.firstReadDelay = 250ms;
    feed(FeedMembersChanged{zone, true});
    feedFrom("e7");
    advance(300ms);
    EXPECT_EQ(count<ReadFirstObjects>(), 0U) << "a feed has delivered them";
}

TEST_F(StoreSourceTest, AMemberThatStartsServesWithOlderKnowledgeOnlyIfTheStoreDoesNotAnswer)
{
    const auto startWith = [this](Duration age) {
        make("e1");
        source.settings.firstReadDelay = 250ms;
        feed(FeedMembersChanged{zone, true});
        feed(FeedReceived{.member = "e7", .hasObjects = true, .confirmedAt = now - age, .senderConfirmedAt = now - age});
    };
    startWith(1s);
    EXPECT_TRUE(mayServe(source, now));
    startWith(3s);
    EXPECT_FALSE(mayServe(source, now)) << "a key may have been withdrawn, or an upstream may have left since";
    EXPECT_EQ(count<CheckStore>(), 1U) << "it does not wait for the readers";
    now += 10ms;
    feed(StoreChecked{.isPassed = true});
    EXPECT_EQ(count<StartReading>(), 1U);
    EXPECT_FALSE(mayServe(source, now));
    feed(StoreConfirmed{now});
    EXPECT_TRUE(mayServe(source, now));
    startWith(3s);
    now += 800ms;
    feed(StoreChecked{.isPassed = false});
    EXPECT_TRUE(mayServe(source, now)) << "nobody can know of later changes";
    // The store passes checks, and answers no read.
    startWith(3s);
    feed(StoreChecked{.isPassed = true});
    advance(3900ms);
    EXPECT_TRUE(mayServe(source, now));
    // Knowledge that is not older than this process contains all that an earlier one knew.
    startWith(0s);
    advance(2500ms);
    EXPECT_FALSE(isCurrent(source, now));
    EXPECT_TRUE(mayServe(source, now));
}

// Guards against a member that serves nothing during an outage of the store, although the others have all objects.
TEST_F(StoreSourceTest, AMemberThatStartsServesWithUnconfirmedObjectsIfTheStoreIsSilent)
{
    make("e1");
    feed(FeedMembersChanged{zone, true});
    bool mayServeEarly = false;
    while (now < Start + 8s && !mayServe(source, now)) {
        advance(50ms);
        feed(FeedReceived{.member = "e7", .hasObjects = true, .confirmedAt = std::nullopt, .senderConfirmedAt = std::nullopt});
        mayServeEarly = mayServeEarly || (mayServe(source, now) && now < source.startDeadline + 3s);
    }
    EXPECT_FALSE(mayServeEarly) << "the store may answer yet";
    EXPECT_LT(now, Start + 4200ms);
    EXPECT_FALSE(isCurrent(source, now));
}

TEST_F(StoreSourceTest, KnowledgeThatIsTooOldIsReadFromTheStoreItself)
{
    make("e1");
    feed(FeedMembersChanged{zone, true});
    feedFrom("e7");
    // The reader was suspended: its feed is open and still says something, but the store has confirmed nothing since.
    const TimePoint confirmedAt = now;
    for (int message = 0; message < 19; ++message) {
        advance(100ms);
        feed(FeedReceived{.member = "e7", .hasObjects = true, .confirmedAt = confirmedAt, .senderConfirmedAt = confirmedAt});
        EXPECT_FALSE(source.isReading || source.isChecking);
    }
    advance(100ms);
    EXPECT_EQ(count<CheckStore>(), 1U);
    EXPECT_FALSE(isCurrent(source, now));
    feed(StoreChecked{.isPassed = true});
    EXPECT_EQ(count<StartReading>(), 1U);
}

TEST_F(StoreSourceTest, StopsReadingOnceTheReadersAreBack)
{
    make("e1");
    feed(FeedMembersChanged{zone, true});
    feedFrom("e7");
    advance(2s);
    feed(StoreChecked{.isPassed = true});
    feed(StoreConfirmed{now});
    ASSERT_TRUE(source.isReading);
    for (int message = 0; message < 30; ++message) {
        advance(100ms);
        feed(StoreConfirmed{now});
        feed(FeedReceived{.member = "e7", .hasObjects = true, .confirmedAt = now, .senderConfirmedAt = std::nullopt});
        EXPECT_TRUE(source.isReading) << "the sender does not read the store";
    }
    for (int message = 0; message < 20; ++message) {
        advance(100ms);
        feedFrom("e7");
    }
    EXPECT_FALSE(source.isReading);
}

TEST_F(StoreSourceTest, ChecksInsteadOfReadsWhileTheStoreIsDown)
{
    make("e1");
    feed(FeedMembersChanged{zone, true});
    feedFrom("e7");
    int checks = 0;
    for (int tick = 0; tick < 200; ++tick) {
        advance(100ms);
        EXPECT_FALSE(source.isReading);
        if (count<CheckStore>() > 0) {
            ++checks;
            feed(StoreChecked{.isPassed = false});
        }
    }
    EXPECT_GE(checks, 14);
    EXPECT_LE(checks, 24);
    // After the store's return, the readers get some time to recover.
    while (count<CheckStore>() == 0) {
        advance(100ms);
    }
    feed(StoreChecked{.isPassed = true});
    EXPECT_FALSE(source.isReading);
    advance(1400ms);
    feedFrom("e7");
    advance(1400ms);
    EXPECT_FALSE(source.isReading);
}

TEST_F(StoreSourceTest, AReaderThatCannotReachTheStoreLeavesReadingToOthers)
{
    make("e7");
    feed(FeedMembersChanged{zone, true});
    advance(400ms);
    ASSERT_TRUE(source.isReading);
    advance(3s);
    ASSERT_EQ(count<ReportStoreReachability>(), 1U);
    zone[7].isStoreUnreachable = true;
    feed(FeedMembersChanged{zone, true});
    EXPECT_FALSE(source.isReader);
    advance(20s);
    EXPECT_EQ(count<ReportStoreReachability>(), 1U) << "it becomes a candidate again";
}

// Guards against weak members that stay readers long after an outage of the store, because the capable ones have reported it.
TEST_F(StoreSourceTest, AReaderIsACandidateAgainSoonAfterTheStoreReturns)
{
    reportUnreachable();
    for (int checks = 0; checks < 3; ++checks) {
        ASSERT_TRUE(waitForCheck()) << "others keep its knowledge young";
        advance(800ms);
        feed(StoreChecked{.isPassed = false});
        EXPECT_EQ(count<ReportStoreReachability>(), 0U);
    }
    ASSERT_TRUE(waitForCheck());
    feed(StoreChecked{.isPassed = true});
    EXPECT_TRUE(source.isReading);
    EXPECT_TRUE(source.isUnreachableReported) << "a stale answer does not show that reads work";
    feed(StoreConfirmed{now});
    ASSERT_EQ(count<ReportStoreReachability>(), 1U);
    EXPECT_FALSE(source.isUnreachableReported);
    zone[7].isStoreUnreachable = false;
    feed(FeedMembersChanged{zone, true});
    EXPECT_TRUE(source.isReader && source.isReading);
}

// Guards against checks without a pause, which a refusal within milliseconds would cause while feeds keep the knowledge young.
TEST_F(StoreSourceTest, ChecksForTheStoresReturnArePaced)
{
    reportUnreachable();
    std::vector<TimePoint> checks;
    for (int tick = 0; tick < 1000; ++tick) {
        feedFrom("e12");
        advance(10ms);
        if (source.isChecking) {
            checks.push_back(now);
            feedFrom("e12");
            feed(StoreChecked{.isPassed = false});
            EXPECT_FALSE(source.isChecking);
        }
    }
    ASSERT_GE(checks.size(), 8U);
    for (std::size_t index = 1; index < checks.size(); ++index) {
        EXPECT_GE(checks[index] - checks[index - 1], 800ms);
        EXPECT_LE(checks[index] - checks[index - 1], 1250ms);
    }
}

// Guards against readers whose checks are answered and whose reads are not: the substitutes would stop again and again.
TEST_F(StoreSourceTest, AReaderWhoseReadsFailKeepsItsReport)
{
    reportUnreachable();
    int readings = 0;
    for (int tick = 0; tick < 1900; ++tick) {
        feedFrom("e12");
        advance(10ms);
        readings += static_cast<int>(count<StartReading>());
        if (source.isChecking) {
            feed(StoreChecked{.isPassed = true});
            readings += static_cast<int>(count<StartReading>());
        }
        EXPECT_TRUE(source.isUnreachableReported);
    }
    EXPECT_EQ(readings, 1) << "one try within a report";
    EXPECT_FALSE(source.isReading);
}

TEST_F(StoreSourceTest, AReaderThatHasReadTheStoreSinceItsReturnMayReturnEarlyAgain)
{
    make("e7");
    feed(FeedMembersChanged{zone, true});
    std::vector<TimePoint> returns;
    for (int tick = 0; tick < 1500; ++tick) {
        const Duration time = now - Start;
        // Two outages of 4 s.
        const bool isStoreUp = (time > 4s && time < 8s) || time > 12s;
        const bool wasReported = source.isUnreachableReported;
        feedFrom("e12");
        advance(10ms);
        if (source.isChecking) {
            feed(StoreChecked{.isPassed = isStoreUp});
        }
        if (source.isReading && isStoreUp) {
            feed(StoreConfirmed{now});
        }
        if (wasReported && !source.isUnreachableReported) {
            returns.push_back(now);
        }
        zone[7].isStoreUnreachable = source.isUnreachableReported;
        feed(FeedMembersChanged{zone, true});
    }
    ASSERT_EQ(returns.size(), 2U);
    EXPECT_LT(returns[0], Start + 5500ms);
    EXPECT_LT(returns[1], Start + 13500ms);
    EXPECT_TRUE(source.isReading);
}

TEST_F(StoreSourceTest, ABrokenFeedIsOpenedAgainAtAGrowingDelay)
{
    make("e1");
    feed(FeedMembersChanged{zone, true});
    std::size_t opened = 0;
    for (int tick = 0; tick < 600; ++tick) {
        feed(FeedEnded{"e7"});
        advance(10ms);
        opened += count<OpenFeed>();
    }
    EXPECT_GE(opened, 3U);
    EXPECT_LE(opened, 12U);
    feedFrom("e12");
    advance(3100ms);
    EXPECT_EQ(count<CloseFeed>(), 1U) << "a feed without messages counts as broken";
}

// Guards against a return from a cut that takes longer than the stability window: the check in flight has to fail first, and
// in a small zone there are no readers to wait for.
TEST_F(StoreSourceTest, AMemberOfASmallZoneReadsTheStoreSoonAfterACut)
{
    zone = makeZone(6);
    make("e1");
    feed(FeedMembersChanged{zone, true});
    advance(1100ms);
    feed(StoreConfirmed{now});
    advance(3100ms);
    zone[1].isStoreUnreachable = true;
    feed(FeedMembersChanged{zone, true});
    EXPECT_EQ(count<StopReading>(), 1U);
    // The cut ends just after the fifth check was sent, which gets no answer either.
    for (int checks = 0; checks < 5; ++checks) {
        advance(800ms);
        feed(StoreChecked{.isPassed = false});
        for (int wait = 0; wait < 200 && !source.isChecking; ++wait) {
            advance(10ms);
        }
        ASSERT_TRUE(source.isChecking);
    }
    const TimePoint returnedAt = now;
    advance(800ms);
    feed(StoreChecked{.isPassed = false});
    while (!source.isReading && now < returnedAt + 5s) {
        advance(10ms);
        if (source.isChecking) {
            feed(StoreChecked{.isPassed = true});
        }
    }
    EXPECT_LT(now - returnedAt, 2s) << "a list and its changes must follow within the stability window of 3 s";
}

// Guards against VMs of small zones that serve an old version for as long as the store turns them away.
TEST_F(StoreSourceTest, AMemberOfASmallZoneThatTheStoreTurnsAwayFollowsOthers)
{
    zone = makeZone(3);
    make("e1");
    feed(FeedMembersChanged{zone, true});
    advance(1100ms);
    feed(StoreConfirmed{now});
    EXPECT_TRUE(source.feeds.empty());
    advance(2900ms);
    EXPECT_TRUE(source.feeds.empty());
    advance(200ms);
    EXPECT_EQ(count<OpenFeed>(), 2U);
    EXPECT_TRUE(source.feeds.contains("e0"));
    EXPECT_TRUE(source.feeds.contains("e2"));
    feed(StoreConfirmed{now});
    EXPECT_EQ(count<CloseFeed>(), 2U);
    EXPECT_TRUE(source.feeds.empty()) << "the store answers again";
}

// Guards against the same where the store turns away all VMs of a zone.
TEST_F(StoreSourceTest, MembersOfASmallZoneThatTheStoreTurnsAwayFollowThoseOfOthers)
{
    zone = makeZone(2);
    const std::vector<FeedMember> others{makeMember("e20"), makeMember("e21"), makeMember("e22")};
    make("e1");
    feed(FeedMembersChanged{zone, true, others});
    advance(1100ms);
    feed(StoreConfirmed{now});
    advance(3100ms);
    EXPECT_EQ(source.feeds.size(), 1U) << "the other member of its zone has reported nothing yet";
    zone[0].isStoreUnreachable = zone[1].isStoreUnreachable = true;
    feed(FeedMembersChanged{zone, true, others});
    EXPECT_EQ(count<OpenFeed>(), 2U);
    EXPECT_FALSE(source.feeds.contains("e0"));
    feed(StoreConfirmed{now});
    EXPECT_TRUE(source.feeds.empty());
}

TEST(StoreSourceAge, LeavesTimeToReadTheStoreWithinTheBound)
{
    EXPECT_EQ(maximumKnowledgeAge(3s), 2250ms);
    EXPECT_EQ(maximumKnowledgeAge(2s), 1250ms);
    EXPECT_EQ(maximumKnowledgeAge(500ms), 1s) << "readers confirm nothing more often";
    for (const Duration bound : {2s, 3s, 11s}) {
        StoreSource source;
        source.settings.maximumAge = maximumKnowledgeAge(bound);
        const StoreReadingPace pace = readingPace(source);
        EXPECT_LT(pace.checks.verificationPeriod + pace.checks.period / 2, bound) << "only consistent checks find all that a silent watch has missed";
        EXPECT_LT(pace.changeBatchInterval + pace.checks.period + feedRequestPeriod(source.settings), source.settings.maximumAge)
            << "followers must not read the store in normal operation";
    }
}

// Exploration: the members of one zone, the store and the feeds in virtual time.

constexpr std::uint64_t Interleavings = 3000;
constexpr Duration StoreRoundTrip = 8ms;
constexpr Duration ListTime = 60ms;
/** A lost answer to a check or a list is noticed after these times. */
constexpr Duration CheckTimeout = 800ms;
constexpr Duration ListTimeout = 1000ms;
constexpr Duration Tick = 10ms;
constexpr Duration RunTime = 40s;
/** Calls in any second for each member: what the store takes at the site with the most entry VMs. */
constexpr double CallsPerMemberAndSecond = 16'000.0 / 472.0;

/** A message of a feed in flight. */
struct FeedMessage {
    TimePoint arrivesAt;
    std::size_t from = 0;
    std::size_t to = 0;
    std::uint64_t generation = 0;
    std::uint64_t revision = 0;
    std::optional<Duration> age;
    TimePoint echoedAt; ///< By the receiver's clock.
    bool isSenderReading = false;
    bool isEnd = false;
};

struct SimulatedMember {
    StoreSource source;
    std::uint64_t revision = 0; ///< Of its objects, which only ever grows.
    std::optional<TimePoint> confirmedAt;
    std::optional<TimePoint> storeConfirmedAt;
    TimePoint pausedUntil; ///< Suspended or killed before this time.
    TimePoint cutUntil; ///< Cut from the store before this time.
    TimePoint isolatedUntil; ///< Cut from the other members before this time.
    TimePoint disturbedUntil; ///< Last time at which one of its own faults ended.
    bool isRestarting = false;
    TimePoint timerAt;
    std::map<std::size_t, std::uint64_t> feedGenerations; ///< Open feeds, by the reader's index.
    std::map<std::size_t, TimePoint> echoes; ///< Newest time that each reader has received from this member.
    TimePoint nextRequestAt;
    // Reading the store.
    std::optional<TimePoint> listDoneAt;
    std::optional<TimePoint> listSentAt;
    std::optional<TimePoint> watchSince;
    TimePoint watchPausedUntil;
    bool isBatching = false; ///< Whether the watch paused after a change, so that no list is needed.
    unsigned failures = 0;
    TimePoint nextCheckAt;
    std::optional<TimePoint> checkSentAt;
    StoreCheck check; ///< The one that was sent.
    std::optional<bool> isCheckLost; ///< Decided when its answer is due.
    TimePoint silentUntil; ///< Answers of the store to this member are lost before this time.
    bool isWatchDead = false; ///< Whether the answer to the watch that waits was lost.
    std::optional<TimePoint> verifiedAt;
};

/** The bounds of a site. */
struct Bounds {
    Duration change{}; ///< Time in which an acknowledged change must be known.
    Duration stability{}; ///< A member is judged once it has run, reached the store and not been suspended for this time.
};

constexpr std::array<Bounds, 3> SiteBounds{{{.change = 2s, .stability = 3s}, {.change = 2500ms, .stability = 3s}, {.change = 3s, .stability = 4s}}};

class Zone
{
public:
    explicit Zone(std::uint64_t seed)
        : m_random(seed)
        , m_bounds(SiteBounds.at(seed % SiteBounds.size()))
    {
        m_members.resize(number(3, 16));
        m_staleBehind = std::chrono::milliseconds(chance(0.5) ? 0 : number(0, 5000));
        m_changeChance = chance(0.5) ? 0.02 : 0.0005;
        m_capacities.resize(m_members.size());
        for (std::size_t index = 0; index < m_members.size(); ++index) {
            m_capacities[index] = number(0, 3) == 0 ? 500 : 100;
            restart(index);
        }
    }

    std::optional<std::string> run()
    {
        while (m_now < Start + RunTime) {
            m_now += Tick;
            changeStore();
            injectFaults();
            for (std::size_t index = 0; index < m_members.size(); ++index) {
                runMember(index);
            }
            deliver();
            if (auto failure = check()) {
                return failure;
            }
        }
        return std::nullopt;
    }

private:
    std::uint64_t number(std::uint64_t minimum, std::uint64_t maximum)
    {
        return std::uniform_int_distribution<std::uint64_t>(minimum, maximum)(m_random);
    }

    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(m_random);
    }

    bool isStoreReachable(const SimulatedMember &member) const
    {
        return m_now >= m_storeDownUntil && m_now >= member.cutUntil;
    }

    void changeStore()
    {
        if (m_now >= m_storeDownUntil && chance(m_changeChance)) {
            ++m_revision;
            m_acknowledgedAt.push_back(m_now);
        }
    }

    void restart(std::size_t index)
    {
        SimulatedMember &member = m_members[index];
        const TimePoint pausedUntil = member.pausedUntil;
        const TimePoint cutUntil = member.cutUntil;
        const TimePoint isolatedUntil = member.isolatedUntil;
        const TimePoint disturbedUntil = member.disturbedUntil;
        const TimePoint silentUntil = member.silentUntil;
        member = {};
        member.silentUntil = silentUntil;
        member.pausedUntil = pausedUntil;
        member.cutUntil = cutUntil;
        member.isolatedUntil = isolatedUntil;
        member.disturbedUntil = std::max(disturbedUntil, m_now);
        member.source
            = makeStoreSource("e" + std::to_string(index), {.maximumAge = maximumKnowledgeAge(m_bounds.change), .startDelay = 1200ms}, m_now, m_random);
        member.nextCheckAt = m_now;
        publishMembers();
    }

    void publishMembers()
    {
        std::vector<FeedMember> members;
        for (std::size_t index = 0; index < m_members.size(); ++index) {
            members.push_back({.name = "e" + std::to_string(index),
                               .feedEndpoint = {.address = "10.0.0.1", .port = static_cast<std::uint16_t>(1000 + index)},
                               .capacity = m_capacities[index],
                               .isStoreUnreachable = m_unreachable.contains(index)});
        }
        for (std::size_t index = 0; index < m_members.size(); ++index) {
            if (!m_members[index].source.self.empty()) {
                handle(index, FeedMembersChanged{members, true});
            }
        }
    }

    void disturb(SimulatedMember &member, TimePoint until)
    {
        member.disturbedUntil = std::max(member.disturbedUntil, until);
    }

    void injectFaults()
    {
        if (m_now > Start + RunTime - 12s || !chance(0.004)) {
            return;
        }
        const TimePoint until = m_now + std::chrono::milliseconds(number(100, 6000));
        switch (number(0, 7)) {
        case 6: // Answers of the store to some members are lost.
            m_answersStableFrom = std::max(m_answersStableFrom, until + m_bounds.stability);
            forSome([&](SimulatedMember &member) {
                member.silentUntil = until;
            });
            return;
        case 7: // The same, for all that read the store.
            m_answersStableFrom = std::max(m_answersStableFrom, until + m_bounds.stability);
            for (SimulatedMember &member : m_members) {
                member.silentUntil = member.source.isReading ? until : member.silentUntil;
            }
            return;
        case 0: // The store is down.
            m_storeDownUntil = until;
            m_storeStableFrom = until + m_bounds.stability;
            return;
        case 1: // Readers and others are cut from the store, but not from each other.
            forSome([&](SimulatedMember &member) {
                member.cutUntil = until;
                disturb(member, until);
            });
            return;
        case 2: // Suspended, with the suspend-aware clock running on.
            forSome([&](SimulatedMember &member) {
                member.pausedUntil = until;
                disturb(member, until);
            });
            return;
        case 3: // Killed, and restarted later.
            forSome([&](SimulatedMember &member) {
                member.pausedUntil = until;
                member.isRestarting = true;
                disturb(member, until);
            });
            return;
        case 4: // Cut from the other members only, which excuses nothing.
            forSome([&](SimulatedMember &member) {
                member.isolatedUntil = until;
            });
            return;
        default: // All readers at once.
            for (SimulatedMember &member : m_members) {
                if (member.source.isReader) {
                    member.pausedUntil = until;
                    member.isRestarting = chance(0.5);
                    disturb(member, until);
                }
            }
        }
    }

    template<typename Fault>
    void forSome(Fault fault)
    {
        const double share = chance(0.2) ? 1.0 : 0.3;
        for (SimulatedMember &member : m_members) {
            if (chance(share)) {
                fault(member);
            }
        }
    }

    void runMember(std::size_t index)
    {
        if (m_now < m_members[index].pausedUntil) {
            return;
        }
        if (m_members[index].isRestarting) {
            restart(index);
        }
        readStore(index);
        sendRequests(index);
        if (m_now >= m_members[index].timerAt) {
            handle(index, SourceTimerFired{});
        }
    }

    void sendRequests(std::size_t index)
    {
        SimulatedMember &member = m_members[index];
        if (m_now < member.nextRequestAt) {
            return;
        }
        member.nextRequestAt = m_now + feedRequestPeriod(member.source.settings);
        for (const auto &[reader, generation] : member.feedGenerations) {
            if (m_now >= m_members[reader].pausedUntil && m_now >= m_members[reader].isolatedUntil && m_now >= member.isolatedUntil) {
                member.echoes[reader] = m_now - std::chrono::milliseconds(number(1, 60));
            }
        }
    }

    void countCalls(std::size_t count)
    {
        m_calls.insert(m_calls.end(), count, m_now);
        while (!m_calls.empty() && m_calls.front() <= m_now - 1s) {
            m_calls.pop_front();
        }
    }

    /** Runs list, watch and checks as StoreWatchTask and StoreCheckTask do. */
    void readStore(std::size_t index)
    {
        SimulatedMember &member = m_members[index];
        runCheck(index);
        if (!member.source.isReading) {
            return;
        }
        const StoreReadingPace pace = readingPace(member.source);
        if (!isStoreReachable(member)) {
            endWatch(member);
            if (m_now >= member.watchPausedUntil) {
                countCalls(2); // One list of each kind.
                member.watchPausedUntil = m_now + ListTimeout + std::min<Duration>(1000ms, 80ms * (1U << std::min(member.failures++, 5U)));
            }
            return;
        }
        member.failures = 0;
        if (!member.watchSince && !member.listDoneAt && m_now >= member.watchPausedUntil) {
            countCalls(member.isBatching ? 1 : 3); // A watch, or a list of the configuration and two pages of upstreams.
            member.listSentAt = m_now;
            member.listDoneAt = m_now + (member.isBatching ? Tick : ListTime);
        }
        if (member.listDoneAt && m_now >= *member.listDoneAt && m_now < member.silentUntil) {
            const TimePoint sentAt = *member.listSentAt;
            endWatch(member);
            member.watchPausedUntil = sentAt + ListTimeout;
        } else if (member.listDoneAt && m_now >= *member.listDoneAt) {
            const TimePoint sentAt = *member.listSentAt;
            member.listDoneAt.reset();
            member.watchSince = m_now;
            countCalls(member.isBatching ? 0 : 2);
            member.isBatching = false;
            member.nextCheckAt = m_now;
            member.verifiedAt = sentAt;
            adoptRevision(index, m_revision, sentAt);
        } else if (member.watchSince && m_revision > member.revision) {
            member.isWatchDead = member.isWatchDead || m_now < member.silentUntil;
            if (!member.isWatchDead) {
                endWatch(member);
                member.watchPausedUntil = m_now + pace.changeBatchInterval;
                member.isBatching = true;
                member.verifiedAt = m_now;
                adoptRevision(index, m_revision, m_now);
            }
        }
        if (member.watchSince && !member.checkSentAt && m_now >= member.nextCheckAt) {
            sendCheck(member, consistencyOfNextCheck(pace.checks, member.verifiedAt, m_now));
            member.nextCheckAt = m_now + pace.checks.period;
        }
    }

    static void endWatch(SimulatedMember &member)
    {
        member.watchSince.reset();
        member.listDoneAt.reset();
        member.isWatchDead = false;
        member.isBatching = false;
    }

    void sendCheck(SimulatedMember &member, ReadConsistency consistency)
    {
        countCalls(1);
        member.checkSentAt = m_now;
        member.isCheckLost.reset();
        member.check = {.consistency = consistency, .startedAt = m_now, .deadline = {}, .watches = {}, .asked = StoreObjectKind::Configuration};
        if (member.watchSince) {
            const WaitingWatch watch{.kind = StoreObjectKind::Configuration, .revision = {.number = member.revision}, .since = *member.watchSince};
            member.check.watches.push_back({.watch = watch});
        }
    }

    /** Returns the revision that an answer of the store shows now. */
    std::uint64_t shownRevision(ReadConsistency consistency) const
    {
        std::uint64_t revision = m_revision;
        while (consistency == ReadConsistency::Stale && revision > 1 && m_acknowledgedAt[revision - 1] > m_now - m_staleBehind) {
            --revision;
        }
        return revision;
    }

    void runCheck(std::size_t index)
    {
        SimulatedMember &member = m_members[index];
        if (!member.checkSentAt || m_now < *member.checkSentAt + StoreRoundTrip) {
            return;
        }
        if (!member.isCheckLost) {
            member.isCheckLost = m_now < member.silentUntil || !isStoreReachable(member);
        }
        if (*member.isCheckLost && m_now < *member.checkSentAt + CheckTimeout) {
            return;
        }
        const TimePoint sentAt = *member.checkSentAt;
        member.checkSentAt.reset();
        const bool isPassed = !*member.isCheckLost;
        if (member.source.isChecking) {
            handle(index, StoreChecked{isPassed});
        }
        if (!isPassed && member.watchSince) {
            endWatch(member);
            member.watchPausedUntil = m_now + 80ms;
        }
        if (isPassed) {
            adoptCheck(index, sentAt);
        }
    }

    void adoptCheck(std::size_t index, TimePoint sentAt)
    {
        SimulatedMember &member = m_members[index];
        const std::uint64_t shown = shownRevision(member.check.consistency);
        const std::uint64_t asked = member.check.watches.empty() ? 0 : member.check.watches[0].watch.revision.number;
        adoptAnswer(member.check, {.outcome = StoreReadOutcome::Page, .revision = {.number = shown}, .hasChanges = shown > asked});
        const bool isSameWatch = !member.check.watches.empty() && member.watchSince == member.check.watches[0].watch.since;
        if (!isSameWatch) {
            return;
        }
        if (member.check.watches[0].finding == WatchFinding::Missed) {
            endWatch(member);
            member.watchPausedUntil = m_now;
        } else if (needsConsistentAnswer(member.check)) {
            sendCheck(member, ReadConsistency::Consistent);
        } else {
            if (member.check.consistency == ReadConsistency::Consistent) {
                member.verifiedAt = sentAt;
            }
            adoptRevision(index, member.revision, sentAt);
        }
    }

    void adoptRevision(std::size_t index, std::uint64_t revision, TimePoint confirmedAt)
    {
        SimulatedMember &member = m_members[index];
        member.revision = std::max(member.revision, revision);
        member.storeConfirmedAt = std::max(member.storeConfirmedAt, std::optional(confirmedAt));
        member.confirmedAt = std::max(member.confirmedAt, member.storeConfirmedAt);
        handle(index, StoreConfirmed{*member.confirmedAt});
        publish(index);
    }

    void publish(std::size_t index)
    {
        for (std::size_t to = 0; to < m_members.size(); ++to) {
            const auto feed = m_members[to].feedGenerations.find(index);
            if (feed != m_members[to].feedGenerations.end()) {
                send(index, to, feed->second);
            }
        }
    }

    void send(std::size_t from, std::size_t to, std::uint64_t generation)
    {
        const SimulatedMember &sender = m_members[from];
        FeedMessage message{.arrivesAt = m_now + std::chrono::milliseconds(number(1, 60)), .from = from, .to = to, .generation = generation};
        message.revision = sender.revision;
        message.isSenderReading = sender.source.isReading;
        if (sender.source.isReading && sender.storeConfirmedAt) {
            message.age = m_now - *sender.storeConfirmedAt;
        }
        message.echoedAt = m_members[to].echoes[from];
        m_messages.push_back(message);
    }

    void deliver()
    {
        std::stable_sort(m_messages.begin(), m_messages.end(), [](const FeedMessage &left, const FeedMessage &right) {
            return left.arrivesAt < right.arrivesAt;
        });
        std::vector<FeedMessage> messages;
        std::swap(messages, m_messages);
        for (const FeedMessage &message : messages) {
            SimulatedMember &receiver = m_members[message.to];
            const bool isCut = m_now < receiver.isolatedUntil || m_now < m_members[message.from].isolatedUntil;
            // TCP delivers the messages of a feed late, but in order.
            if (message.arrivesAt > m_now || m_now < receiver.pausedUntil || isCut) {
                m_messages.push_back(message);
                continue;
            }
            receive(message);
        }
    }

    void receive(const FeedMessage &message)
    {
        SimulatedMember &receiver = m_members[message.to];
        const auto feed = receiver.feedGenerations.find(message.from);
        if (feed == receiver.feedGenerations.end() || feed->second != message.generation) {
            return;
        }
        const bool hasChanges = message.revision > receiver.revision;
        receiver.revision = std::max(receiver.revision, message.revision);
        std::optional<TimePoint> senderConfirmedAt;
        if (message.age) {
            senderConfirmedAt = message.echoedAt - *message.age;
            receiver.confirmedAt = std::max(receiver.confirmedAt, senderConfirmedAt);
        }
        handle(message.to,
               FeedReceived{.member = "e" + std::to_string(message.from),
                            .hasObjects = receiver.revision != 0,
                            .confirmedAt = receiver.confirmedAt,
                            .senderConfirmedAt = message.isSenderReading ? senderConfirmedAt : std::nullopt});
        if (hasChanges) {
            publish(message.to);
        }
    }

    void handle(std::size_t index, const StoreSourceEvent &event)
    {
        SimulatedMember &member = m_members[index];
        for (const StoreSourceAction &action : step(member.source, event, m_now, m_random)) {
            if (const auto *open = std::get_if<OpenFeed>(&action)) {
                const std::size_t from = open->endpoint.port - 1000U;
                member.feedGenerations[from] = ++m_lastGeneration;
                member.echoes[from] = m_now;
                if (m_now >= m_members[from].pausedUntil) {
                    send(from, index, m_lastGeneration);
                }
            } else if (const auto *close = std::get_if<CloseFeed>(&action)) {
                member.feedGenerations.erase(std::stoul(close->member.substr(1)));
            } else if (std::holds_alternative<StartReading>(action)) {
                member.watchPausedUntil = {};
                endWatch(member);
                member.failures = 0;
            } else if (std::holds_alternative<StopReading>(action)) {
                endWatch(member);
            } else if (std::holds_alternative<CheckStore>(action)) {
                sendCheck(member, ReadConsistency::Stale);
            } else if (const auto *report = std::get_if<ReportStoreReachability>(&action)) {
                if (report->isUnreachable) {
                    m_unreachable.insert(index);
                } else {
                    m_unreachable.erase(index);
                }
                m_isMembershipStale = true;
            }
        }
        member.timerAt = nextDeadline(member.source, m_now);
        if (m_isMembershipStale && !m_isPublishing) {
            m_isPublishing = true;
            m_isMembershipStale = false;
            publishMembers();
            m_isPublishing = false;
        }
    }

    std::optional<std::string> check()
    {
        if (static_cast<double>(m_calls.size()) > CallsPerMemberAndSecond * static_cast<double>(m_members.size())) {
            return "calls to the store in one second: " + std::to_string(m_calls.size());
        }
        if (m_now < m_storeStableFrom || m_now < m_answersStableFrom) {
            return std::nullopt;
        }
        // All changes that were acknowledged longer ago than the bound must be known.
        std::uint64_t due = 0;
        while (due < m_acknowledgedAt.size() && m_acknowledgedAt[due] < m_now - m_bounds.change) {
            ++due;
        }
        for (std::size_t index = 0; index < m_members.size(); ++index) {
            const SimulatedMember &member = m_members[index];
            const bool isJudged
                = m_now >= member.disturbedUntil + m_bounds.stability && m_now >= member.pausedUntil && m_now >= Start + m_bounds.stability + 2s;
            if (isJudged && member.revision < due) {
                return "e" + std::to_string(index) + " at " + std::to_string(toMilliseconds(m_now - Start)) + " ms knows revision "
                       + std::to_string(member.revision) + " of " + std::to_string(due) + describe(member);
            }
        }
        return std::nullopt;
    }

    std::string describe(const SimulatedMember &member) const
    {
        const auto age = [this](const std::optional<TimePoint> &time) {
            return time ? std::to_string(toMilliseconds(m_now - *time)) : std::string("none");
        };
        return std::string(member.source.isReader ? ", reader" : ", follower") + (member.source.isReading ? ", reading" : "")
               + (member.source.isChecking ? ", checking" : "") + ", confirmed " + age(member.confirmedAt) + " ms ago, by the store "
               + age(member.storeConfirmedAt) + " ms ago, cut until " + age(member.cutUntil) + " ms ago, store down until " + age(m_storeDownUntil)
               + " ms ago, " + std::to_string(member.source.failedChecks) + " failed checks";
    }

    std::mt19937_64 m_random;
    Bounds m_bounds;
    TimePoint m_now = Start;
    std::vector<SimulatedMember> m_members;
    std::vector<std::uint32_t> m_capacities;
    std::set<std::size_t> m_unreachable;
    std::vector<FeedMessage> m_messages;
    std::uint64_t m_lastGeneration = 0;
    std::uint64_t m_revision = 1;
    std::vector<TimePoint> m_acknowledgedAt{Start}; ///< By revision.
    TimePoint m_storeDownUntil;
    TimePoint m_storeStableFrom;
    TimePoint m_answersStableFrom; ///< When the store has lost no answers for the stability window.
    Duration m_staleBehind{}; ///< How old stale answers are.
    double m_changeChance = 0.0; ///< Of a change in each tick. Changes that are far apart do not show that a stale answer is old.
    std::deque<TimePoint> m_calls; ///< Of the last second.
    bool m_isMembershipStale = false;
    bool m_isPublishing = false;
};

TEST(StoreSourceExploration, NoMemberThatReachesTheStoreActsOnOldKnowledge)
{
    const auto failures = explore("store sources", Interleavings, [](std::uint64_t seed) {
        return Zone(seed).run();
    });
    for (const std::string &failure : failures) {
        ADD_FAILURE() << failure;
    }
}

}
}
