#include "controllers/storemirror.h"
#include "rpc/storemessages.h"

#include <gtest/gtest.h>

#include <random>

namespace Plantainweir {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{std::chrono::seconds(1000)};

StoreObject makeUpstreamObject(const std::string &id, std::uint64_t revision, bool isDraining = false)
{
    return {.name = id,
            .revision = {.number = revision},
            .isDeleted = false,
            .value
            = UpstreamRecord{.id = id, .service = "desk", .endpoint = {.address = "10.0.0.1", .port = 80}, .availabilityZone = "a", .isDraining = isDraining}};
}

StoreObject deleted(const std::string &id, std::uint64_t revision)
{
    return {.name = id, .revision = {.number = revision}, .isDeleted = true, .value = {}};
}

StoreDelta completeDelta(std::uint64_t revision, std::vector<StoreObject> objects)
{
    return {.kind = StoreObjectKind::Upstreams, .isComplete = true, .revision = {.number = revision}, .objects = std::move(objects)};
}

StoreDelta changes(std::uint64_t revision, std::vector<StoreObject> objects)
{
    return {.kind = StoreObjectKind::Upstreams, .isComplete = false, .revision = {.number = revision}, .objects = std::move(objects)};
}

std::vector<std::string> namesOf(const std::vector<StoreObject> &objects)
{
    std::vector<std::string> names;
    names.reserve(objects.size());
    for (const StoreObject &object : objects) {
        names.push_back((object.isDeleted ? "-" : "") + object.name);
    }
    return names;
}

/** Returns the objects that exist in @p mirror, with their revisions. */
std::map<std::string, std::uint64_t> contentOf(const StoreMirror &mirror)
{
    std::map<std::string, std::uint64_t> content;
    for (const auto &[name, mirrored] : mirror.objects) {
        if (!mirrored.object.isDeleted) {
            content[name] = mirrored.object.revision.number;
        }
    }
    return content;
}

TEST(StoreMirror, ReportsOnlyWhatChanged)
{
    StoreMirror mirror{.kind = StoreObjectKind::Upstreams};
    EXPECT_TRUE(adopt(mirror, changes(5, {makeUpstreamObject("u1", 5)})).empty()) << "without a complete delta, changes have no base";
    EXPECT_EQ(mirror.revision.number, 0U);
    EXPECT_EQ(namesOf(adopt(mirror, completeDelta(5, {makeUpstreamObject("u1", 3), makeUpstreamObject("u2", 4)}))), (std::vector<std::string>{"u1", "u2"}));
    EXPECT_EQ(namesOf(adopt(mirror, changes(7, {makeUpstreamObject("u1", 3), makeUpstreamObject("u2", 7, true)}))), (std::vector<std::string>{"u2"}));
    EXPECT_EQ(namesOf(adopt(mirror, completeDelta(9, {makeUpstreamObject("u2", 7, true)}))), (std::vector<std::string>{"-u1"}));
    EXPECT_TRUE(adopt(mirror, completeDelta(9, {makeUpstreamObject("u2", 7, true)})).empty());
}

TEST(StoreMirror, NeverGoesBack)
{
    StoreMirror mirror{.kind = StoreObjectKind::Upstreams};
    adopt(mirror, completeDelta(10, {makeUpstreamObject("u1", 9, true)}));
    EXPECT_TRUE(adopt(mirror, completeDelta(8, {makeUpstreamObject("u1", 6), makeUpstreamObject("u2", 7)})).empty());
    EXPECT_TRUE(adopt(mirror, changes(9, {deleted("u1", 9)})).empty());
    EXPECT_EQ(mirror.revision.number, 10U);
    EXPECT_EQ(contentOf(mirror), (std::map<std::string, std::uint64_t>{{"u1", 9}}));
    EXPECT_TRUE(adopt(mirror, changes(12, {makeUpstreamObject("u1", 6)})).empty()) << "an older revision of an object must not replace a newer one";
}

TEST(StoreMirror, KeepsObjectsThatAreNewerThanACompleteDelta)
{
    StoreMirror mirror{.kind = StoreObjectKind::Upstreams};
    // A list in two pages: its revision is that of the first page, and the second one shows a later change.
    adopt(mirror, completeDelta(5, {makeUpstreamObject("u1", 3), makeUpstreamObject("u9", 7)}));
    EXPECT_TRUE(adopt(mirror, completeDelta(6, {makeUpstreamObject("u1", 3)})).empty()) << "u9 was created after the second list";
    // A follower at revision 6 that lacks the change of the second page gets it.
    EXPECT_EQ(namesOf(deltaSince(mirror, {.revision = {.number = 6}}).objects), (std::vector<std::string>{"u9"}));
}

TEST(StoreMirror, TellsFollowersOfDeletionsOrEverything)
{
    StoreMirror mirror{.kind = StoreObjectKind::Upstreams};
    adopt(mirror, completeDelta(5, {makeUpstreamObject("u1", 3), makeUpstreamObject("u2", 4)}));
    adopt(mirror, changes(8, {deleted("u1", 8)}));
    EXPECT_EQ(namesOf(deltaSince(mirror, {.revision = {.number = 5}}).objects), (std::vector<std::string>{"-u1"}));
    EXPECT_TRUE(deltaSince(mirror, {.revision = {.number = 8}}).objects.empty());
    const StoreDelta everything = deltaSince(mirror, {.revision = {.number = 2}});
    EXPECT_TRUE(everything.isComplete) << "what changed between 2 and 5 is not known";
    EXPECT_EQ(namesOf(everything.objects), (std::vector<std::string>{"u2"}));
    for (int index = 0; index < 3000; ++index) {
        const std::string id = "x" + std::to_string(index);
        const std::uint64_t revision = 10 + static_cast<std::uint64_t>(index) * 2;
        adopt(mirror, changes(revision, {makeUpstreamObject(id, revision)}));
        adopt(mirror, changes(revision + 1, {deleted(id, revision + 1)}));
    }
    EXPECT_LT(mirror.objects.size(), 2100U) << "deletions must not accumulate";
    EXPECT_TRUE(deltaSince(mirror, {.revision = {.number = 8}}).isComplete);
}

TEST(StoreMirror, AReaderThatListsAgainTellsOnlyWhatChanged)
{
    StoreMirror reader{.kind = StoreObjectKind::Upstreams};
    adopt(reader, completeDelta(5, {makeUpstreamObject("u1", 3), makeUpstreamObject("u2", 4), makeUpstreamObject("u3", 5)}));
    StoreMirror follower{.kind = StoreObjectKind::Upstreams};
    adopt(follower, deltaSince(reader, {.revision = {.number = 0}}));
    // Another reader has told the follower of an object that is deleted again when this one lists the objects.
    adopt(follower, changes(12, {makeUpstreamObject("brief", 12)}));
    adopt(reader, completeDelta(20, {makeUpstreamObject("u1", 3), makeUpstreamObject("u2", 17)}));

    const StoreDelta delta = deltaSince(reader, {.revision = {.number = 5}});
    EXPECT_FALSE(delta.isComplete);
    EXPECT_EQ(namesOf(delta.objects), (std::vector<std::string>{"u2", "-u3"}));
    EXPECT_EQ(namesOf(adopt(follower, delta)), (std::vector<std::string>{"u2", "-u3", "-brief"}));
    EXPECT_TRUE(deltaSince(reader, {.revision = {.number = 12}}).isComplete) << "what existed at 12 is not known to this reader";
}

/** Readers list and watch a random history at different times; followers switch between them in any order. */
TEST(StoreMirror, FollowersOfLaggingReadersConvergeToTheStore)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        SCOPED_TRACE(seed);
        std::mt19937_64 random(seed);
        const auto pick = [&random](std::size_t count) {
            return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
        };
        std::map<std::string, std::uint64_t> store;
        std::vector<StoreObject> history; // The change of revision N is at N - 1.
        std::array<StoreMirror, 3> readers;
        StoreMirror follower;
        std::vector<std::map<std::string, std::uint64_t>> contents{{}}; // By revision.
        std::array<StoreRevision, 3> sentRevisions{}; // What the follower has by each reader's feed, as StoreFeedServer counts it.
        StoreRevision highest;
        const auto readFromStore = [&](StoreMirror &reader) {
            if (!isSet(reader.revision) || pick(6) == 0) {
                std::vector<StoreObject> objects;
                objects.reserve(store.size());
                for (const auto &[name, revision] : store) {
                    objects.push_back(makeUpstreamObject(name, revision));
                }
                adopt(reader, completeDelta(history.size(), objects));
                return;
            }
            // A watch may deliver only the first changes.
            const std::size_t until = reader.revision.number + pick(history.size() - reader.revision.number + 1);
            adopt(
                reader,
                changes(until, {history.begin() + static_cast<std::ptrdiff_t>(reader.revision.number), history.begin() + static_cast<std::ptrdiff_t>(until)}));
        };
        for (int round = 0; round < 200; ++round) {
            const std::string name = "u" + std::to_string(pick(6));
            const std::uint64_t revision = history.size() + 1;
            const bool isDeletion = store.contains(name) && pick(3) == 0;
            history.push_back(isDeletion ? deleted(name, revision) : makeUpstreamObject(name, revision));
            if (isDeletion) {
                store.erase(name);
            } else {
                store[name] = revision;
            }
            contents.push_back(store);
            const std::size_t chosen = pick(readers.size());
            StoreMirror &reader = readers.at(chosen);
            if (pick(2) == 0) {
                readFromStore(reader);
            }
            const bool isNewFeed = !isSet(sentRevisions.at(chosen)) || pick(10) == 0;
            const StoreRevision known = isNewFeed ? follower.revision : sentRevisions.at(chosen);
            if (reader.revision > known) {
                adopt(follower, deltaSince(reader, {.revision = known}));
                sentRevisions.at(chosen) = reader.revision;
            }
            ASSERT_EQ(contentOf(follower), contents.at(follower.revision.number)) << round;
            EXPECT_GE(follower.revision, highest);
            highest = follower.revision;
        }
        readFromStore(readers[0] = StoreMirror{.kind = StoreObjectKind::Upstreams});
        adopt(follower, deltaSince(readers[0], {.revision = follower.revision}));
        EXPECT_EQ(contentOf(follower), store);
    }
}

StoreDelta inEra(std::uint64_t era, StoreDelta delta)
{
    delta.revision.era = era;
    for (StoreObject &object : delta.objects) {
        object.revision.era = era;
    }
    return delta;
}

// Guards against review/12: what came after the store's return was ignored until its revisions had caught up.
TEST(StoreMirror, ALaterEraReplacesWhatHasHigherRevisions)
{
    StoreMirror mirror{.kind = StoreObjectKind::Upstreams};
    adopt(mirror, inEra(1, completeDelta(35, {makeUpstreamObject("u1", 31), makeUpstreamObject("u2", 12), makeUpstreamObject("u3", 35)})));
    EXPECT_TRUE(adopt(mirror, inEra(2, changes(40, {makeUpstreamObject("u1", 40, true)}))).empty()) << "changes have no base in this era";
    EXPECT_EQ(mirror.revision, (StoreRevision{.era = 1, .number = 35}));
    const auto listed = adopt(mirror, inEra(2, completeDelta(18, {makeUpstreamObject("u1", 10, true), makeUpstreamObject("u2", 12)})));
    EXPECT_EQ(namesOf(listed), (std::vector<std::string>{"u1", "u2"}));
    EXPECT_EQ(namesOf(releaseHeld(mirror, Start)), std::vector<std::string>{"-u3"}) << "the time to hold what is missing is over";
    EXPECT_EQ(mirror.revision, (StoreRevision{.era = 2, .number = 18}));
    EXPECT_TRUE(std::get<UpstreamRecord>(mirror.objects.at("u1").object.value).isDraining);
    EXPECT_EQ(namesOf(adopt(mirror, inEra(2, changes(19, {makeUpstreamObject("u4", 19)})))), std::vector<std::string>{"u4"});
}

TEST(StoreMirror, TheSameRevisionOfALaterEraIsAnotherChange)
{
    StoreMirror mirror{.kind = StoreObjectKind::Upstreams};
    adopt(mirror, inEra(1, completeDelta(20, {makeUpstreamObject("u1", 20)})));
    adopt(mirror, inEra(2, completeDelta(19, {makeUpstreamObject("u1", 11)})));
    EXPECT_EQ(namesOf(adopt(mirror, inEra(2, changes(20, {makeUpstreamObject("u1", 20, true)})))), std::vector<std::string>{"u1"});
    EXPECT_TRUE(std::get<UpstreamRecord>(mirror.objects.at("u1").object.value).isDraining);
}

TEST(StoreMirror, NothingOfAnEarlierEraReplacesWhatIsKnown)
{
    StoreMirror mirror{.kind = StoreObjectKind::Upstreams};
    adopt(mirror, inEra(3, completeDelta(18, {makeUpstreamObject("u1", 10, true)})));
    for (const std::uint64_t earlier : {0U, 1U, 2U}) {
        EXPECT_TRUE(adopt(mirror, inEra(earlier, completeDelta(99, {makeUpstreamObject("u1", 99), makeUpstreamObject("u2", 98)}))).empty());
        EXPECT_TRUE(adopt(mirror, inEra(earlier, changes(99, {makeUpstreamObject("u1", 99), deleted("u1", 99)}))).empty());
    }
    EXPECT_EQ(mirror.revision, (StoreRevision{.era = 3, .number = 18}));
    EXPECT_EQ(contentOf(mirror), (std::map<std::string, std::uint64_t>{{"u1", 10}}));
}

TEST(StoreMirror, AFollowerOfAnEarlierEraGetsAllObjects)
{
    StoreMirror reader{.kind = StoreObjectKind::Upstreams};
    adopt(reader, inEra(1, completeDelta(30, {makeUpstreamObject("u1", 30), makeUpstreamObject("u2", 5)})));
    StoreMirror follower = reader;
    adopt(reader, inEra(2, completeDelta(18, {makeUpstreamObject("u2", 5)})));
    adopt(reader, inEra(2, changes(19, {makeUpstreamObject("u4", 19)})));
    const StoreDelta delta = deltaSince(reader, {.revision = follower.revision});
    EXPECT_TRUE(delta.isComplete);
    EXPECT_EQ(namesOf(adopt(follower, delta)), (std::vector<std::string>{"u2", "u4"}));
    EXPECT_EQ(namesOf(releaseHeld(follower, Start)), std::vector<std::string>{"-u1"}) << "the time to hold what is missing is over";
    EXPECT_FALSE(deltaSince(reader, {.revision = {.era = 2, .number = 18}}).isComplete);
}

/** An upstream's state, at @p revision, in the order in which the upstream reported its states. */
StoreObject reported(const std::string &id, const StoreRevision &revision, const WriterOrder &order, bool isDraining = false)
{
    StoreObject object = makeUpstreamObject(id, revision.number, isDraining);
    object.revision = revision;
    object.order = order;
    std::get<UpstreamRecord>(object.value).startedAtMs = order.incarnation;
    return object;
}

/** Adopts @p delta, whose era began at Start. */
std::vector<StoreObject> learn(StoreMirror &mirror, const StoreDelta &delta)
{
    return adopt(mirror, delta, Start);
}

/** All objects of @p kind at @p revision. */
StoreDelta listed(StoreObjectKind kind, const StoreRevision &revision, std::vector<StoreObject> objects)
{
    return {.kind = kind, .isComplete = true, .revision = revision, .objects = std::move(objects)};
}

StoreDelta changed(StoreObjectKind kind, const StoreRevision &revision, std::vector<StoreObject> objects)
{
    return {.kind = kind, .isComplete = false, .revision = revision, .objects = std::move(objects)};
}

StoreObject configuration(const StoreRevision &revision, std::uint64_t version)
{
    return {.name = "main", .revision = revision, .isDeleted = false, .order = {.sequence = version}, .value = RouteTable{.version = version}};
}

std::uint64_t versionOf(const StoreMirror &mirror)
{
    return std::get<RouteTable>(mirror.objects.at("main").object.value).version;
}

bool isDraining(const StoreMirror &mirror, const std::string &id)
{
    return std::get<UpstreamRecord>(mirror.objects.at(id).object.value).isDraining;
}

constexpr auto Upstreams = StoreObjectKind::Upstreams;
constexpr auto Configuration = StoreObjectKind::Configuration;
constexpr StoreRevision Lost{.era = 1, .number = 90}; ///< In the part that the copy lacks.
constexpr StoreRevision Copied{.era = 2, .number = 12}; ///< In the part that the copy has.
constexpr StoreRevision Returned{.era = 2, .number = 20}; ///< After the return.

// Guards against withdrawn keys and moved routes that come back with the store's copy.
TEST(StoreMirrorAfterAReturn, TheHighestVersionOfTheConfigurationHolds)
{
    StoreMirror mirror{.kind = Configuration};
    learn(mirror, listed(Configuration, Lost, {configuration(Lost, 6)}));
    EXPECT_TRUE(learn(mirror, listed(Configuration, Returned, {configuration(Copied, 3)})).empty());
    EXPECT_TRUE(releaseHeld(mirror, Start + 1h).empty());
    EXPECT_FALSE(nextRelease(mirror));
    EXPECT_EQ(versionOf(mirror), 6U);
    EXPECT_TRUE(learn(mirror, changed(Configuration, {.era = 2, .number = 21}, {configuration({.era = 2, .number = 21}, 5)})).empty());
    EXPECT_EQ(versionOf(mirror), 6U);
    EXPECT_EQ(learn(mirror, changed(Configuration, {.era = 2, .number = 22}, {configuration({.era = 2, .number = 22}, 6)})).size(), 1U);
    EXPECT_TRUE(mirror.held.empty());
    EXPECT_EQ(learn(mirror, changed(Configuration, {.era = 2, .number = 23}, {configuration({.era = 2, .number = 23}, 8)})).size(), 1U);
    EXPECT_EQ(versionOf(mirror), 8U);
}

// Guards against a quota that was lowered and applies as before with the store's copy.
TEST(StoreMirrorAfterAReturn, QuotasOfTheHighestVersionHoldUntilTheyAreWrittenAgain)
{
    const auto limited = [](const StoreRevision &revision, std::uint64_t version, double callsPerSecond) {
        StoreObject object = configuration(revision, version);
        std::get<RouteTable>(object.value).accounts["shop"] = {.name = "shop", .callsPerSecond = callsPerSecond, .burst = 1.0};
        return object;
    };
    const auto limitOf = [](const StoreMirror &mirror) {
        return std::get<RouteTable>(mirror.objects.at("main").object.value).accounts.at("shop").callsPerSecond;
    };
    StoreMirror mirror{.kind = Configuration};
    learn(mirror, listed(Configuration, Lost, {limited(Lost, 6, 2.0)}));
    EXPECT_TRUE(learn(mirror, listed(Configuration, Returned, {limited(Copied, 3, 90.0)})).empty());
    EXPECT_EQ(limitOf(mirror), 2.0);
    EXPECT_TRUE(releaseHeld(mirror, Start + 1h).empty());
    EXPECT_EQ(limitOf(mirror), 2.0);
    const StoreRevision later{.era = 2, .number = 21};
    learn(mirror, changed(Configuration, later, {limited(later, 7, 5.0)}));
    EXPECT_EQ(limitOf(mirror), 5.0);
}

TEST(StoreMirrorAfterAReturn, AConfigurationThatTheCopyLacksHolds)
{
    StoreMirror mirror{.kind = Configuration};
    learn(mirror, listed(Configuration, Lost, {configuration(Lost, 6)}));
    EXPECT_TRUE(learn(mirror, listed(Configuration, Returned, {})).empty());
    EXPECT_TRUE(releaseHeld(mirror, Start + 1h).empty());
    EXPECT_EQ(versionOf(mirror), 6U);
}

// Guards against calls to upstreams that drain or have left, and against the loss of those that live.
TEST(StoreMirrorAfterAReturn, UpstreamsKeepTheirLastKnownState)
{
    StoreMirror mirror{.kind = Upstreams};
    learn(mirror,
          listed(Upstreams,
                 {.era = 1, .number = 80},
                 {reported("drains", {.era = 1, .number = 70}, {.incarnation = 5, .sequence = 40}),
                  reported("left", {.era = 1, .number = 71}, {.incarnation = 5, .sequence = 40}),
                  reported("restarted", {.era = 1, .number = 72}, {.incarnation = 5, .sequence = 40}),
                  reported("steady", {.era = 1, .number = 73}, {.incarnation = 5, .sequence = 40})}));
    StoreObject leaving = reported("left", Lost, {.incarnation = 5, .sequence = 40});
    leaving.isDeleted = true;
    learn(mirror,
          changed(Upstreams,
                  Lost,
                  {reported("drains", Lost, {.incarnation = 5, .sequence = 50}, true),
                   leaving,
                   reported("restarted", Lost, {.incarnation = 9, .sequence = 1}),
                   reported("registered", Lost, {.incarnation = 8, .sequence = 2})}));
    const auto changes = learn(mirror,
                               listed(Upstreams,
                                      Returned,
                                      {reported("drains", Copied, {.incarnation = 5, .sequence = 40}),
                                       reported("left", Copied, {.incarnation = 5, .sequence = 40}),
                                       reported("restarted", Copied, {.incarnation = 5, .sequence = 40}),
                                       reported("steady", Copied, {.incarnation = 5, .sequence = 40})}));
    EXPECT_EQ(namesOf(changes), std::vector<std::string>{"steady"});
    EXPECT_EQ(mirror.held, (std::set<std::string>{"drains", "left", "registered", "restarted"}));
    EXPECT_TRUE(releaseHeld(mirror, Start + 2s).empty());
    EXPECT_TRUE(isDraining(mirror, "drains"));
    EXPECT_TRUE(mirror.objects.at("left").object.isDeleted);
    EXPECT_EQ(mirror.objects.at("restarted").object.order.incarnation, 9);
    EXPECT_FALSE(mirror.objects.at("registered").object.isDeleted);

    StoreMirror written = mirror;
    const StoreRevision again{.era = 2, .number = 25};
    EXPECT_EQ(namesOf(learn(written,
                            changed(Upstreams,
                                    again,
                                    {reported("drains", again, {.incarnation = 5, .sequence = 52}, true),
                                     reported("left", again, {.incarnation = 5, .sequence = 41}),
                                     reported("registered", again, {.incarnation = 8, .sequence = 3})}))),
              (std::vector<std::string>{"drains", "left", "registered"}));
    EXPECT_EQ(written.held, std::set<std::string>{"restarted"});

    ASSERT_EQ(nextRelease(mirror), Start + 2400ms);
    EXPECT_EQ(namesOf(releaseHeld(mirror, Start + 2400ms)), std::vector<std::string>{"-registered"}) << "it has not registered again";
    ASSERT_EQ(nextRelease(mirror), Start + 8s);
    EXPECT_EQ(namesOf(releaseHeld(mirror, Start + 8s)), (std::vector<std::string>{"drains", "left", "restarted"})) << "their entries were renewed";
    EXPECT_FALSE(isDraining(mirror, "drains"));
    EXPECT_FALSE(nextRelease(mirror));
}

TEST(StoreMirrorAfterAReturn, AHeldUpstreamWhoseEntryLapsesLeaves)
{
    StoreMirror mirror{.kind = Upstreams};
    learn(mirror, listed(Upstreams, Lost, {reported("u1", Lost, {.incarnation = 5, .sequence = 50}, true)}));
    const StoreObject copied = reported("u1", Copied, {.incarnation = 5, .sequence = 40});
    EXPECT_TRUE(learn(mirror, listed(Upstreams, Returned, {copied})).empty());
    EXPECT_TRUE(releaseHeld(mirror, Start + 4s).empty());
    StoreObject lapsed = copied;
    lapsed.isDeleted = true;
    lapsed.revision.number = 30;
    EXPECT_TRUE(learn(mirror, changed(Upstreams, lapsed.revision, {lapsed})).empty());
    EXPECT_EQ(namesOf(releaseHeld(mirror, Start + 5s)), std::vector<std::string>{"-u1"});
}

TEST(StoreMirrorAfterAReturn, EvacuationsStayInForceAndMayBeWithdrawn)
{
    constexpr auto Kind = StoreObjectKind::Evacuations;
    const auto evacuation = [](const std::string &zone, const StoreRevision &revision) {
        return StoreObject{.name = zone, .revision = revision, .isDeleted = false, .value = EvacuationRecord{zone}};
    };
    StoreMirror mirror{.kind = Kind};
    learn(mirror, listed(Kind, Lost, {evacuation("a", Lost), evacuation("b", Lost)}));
    StoreObject withdrawn = evacuation("c", Lost);
    withdrawn.isDeleted = true;
    learn(mirror, changed(Kind, Lost, {withdrawn}));
    EXPECT_EQ(namesOf(learn(mirror, listed(Kind, Returned, {evacuation("c", Copied)}))), std::vector<std::string>{"c"})
        << "a new wish for it would leave no trace in the store";
    EXPECT_EQ(mirror.held, (std::set<std::string>{"a", "b"}));
    const StoreRevision again{.era = 2, .number = 25};
    learn(mirror, changed(Kind, again, {evacuation("a", again)}));
    EXPECT_EQ(namesOf(releaseHeld(mirror, Start + 3s)), std::vector<std::string>{"-b"}) << "it was not wished for again";
    withdrawn = evacuation("a", {.era = 2, .number = 26});
    withdrawn.isDeleted = true;
    EXPECT_EQ(namesOf(learn(mirror, changed(Kind, withdrawn.revision, {withdrawn}))), std::vector<std::string>{"-a"});
}

TEST(StoreMirrorAfterAReturn, ASecondReturnHoldsWhatTheFirstOneHeld)
{
    StoreMirror mirror{.kind = Configuration};
    learn(mirror, listed(Configuration, Lost, {configuration(Lost, 6)}));
    learn(mirror, listed(Configuration, Returned, {configuration(Copied, 3)}));
    learn(mirror, listed(Configuration, {.era = 5, .number = 15}, {configuration({.era = 5, .number = 10}, 2)}));
    EXPECT_EQ(versionOf(mirror), 6U);
    const StoreRevision again{.era = 5, .number = 16};
    learn(mirror, changed(Configuration, again, {configuration(again, 7)}));
    EXPECT_EQ(versionOf(mirror), 7U);
    EXPECT_TRUE(mirror.held.empty());
}

// Guards against a VM that starts in the drill, reads the copy and serves what was withdrawn since.
TEST(StoreMirrorAfterAReturn, AVmThatReadTheCopyGetsWhatOthersHold)
{
    StoreMirror reader{.kind = Configuration};
    learn(reader, listed(Configuration, Lost, {configuration(Lost, 6)}));
    learn(reader, listed(Configuration, Returned, {configuration(Copied, 3)}));
    for (const std::uint64_t revision : {19U, 20U, 21U}) {
        StoreMirror started{.kind = Configuration};
        learn(started, listed(Configuration, {.era = 2, .number = revision}, {configuration(Copied, 3)}));
        ASSERT_EQ(versionOf(started), 3U);
        const MirrorPosition known{.revision = started.revision};
        ASSERT_TRUE(hasNewsSince(reader, known));
        EXPECT_EQ(learn(started, deltaSince(reader, known)).size(), 1U) << "at revision " << revision;
        EXPECT_EQ(versionOf(started), 6U);
        StoreMirror third{.kind = Configuration};
        learn(third, deltaSince(started, {}));
        EXPECT_EQ(versionOf(third), 6U);
    }
    EXPECT_FALSE(hasNewsSince(reader, positionOf(reader)));
}

TEST(StoreMirrorAfterAReturn, WhatAnotherVmHoldsIsNeitherKeptForeverNorTakenBack)
{
    StoreMirror reader{.kind = Upstreams};
    learn(reader, listed(Upstreams, Lost, {reported("u1", Lost, {.incarnation = 5, .sequence = 40})}));
    learn(reader, listed(Upstreams, Returned, {}));
    const StoreDelta delta = deltaSince(reader, {});
    StoreMirror started{.kind = Upstreams};
    EXPECT_EQ(namesOf(learn(started, delta)), std::vector<std::string>{"u1"});
    EXPECT_EQ(namesOf(releaseHeld(started, Start + 2400ms)), std::vector<std::string>{"-u1"});
    EXPECT_TRUE(learn(started, delta).empty()) << "the same update, late";
    EXPECT_TRUE(started.objects.at("u1").object.isDeleted);
}

TEST(StoreMessages, KeepAllFields)
{
    RouteTable table{.version = 7, .routes = {}, .services = {}, .limits = {}};
    table.routes.push_back({.name = "r1",
                            .host = "h",
                            .pathPrefix = "/a/",
                            .repeatability = Repeatability::Idempotent,
                            .timeout = std::chrono::milliseconds(1500),
                            .target = std::chrono::milliseconds(400),
                            .priority = 2,
                            .maximumAttempts = 3,
                            .targets = {{"s1", 90}, {"s2", 10}},
                            .isPublic = true});
    table.services["s1"] = {.name = "s1", .healthPath = "/health", .connectionLimit = 220, .coldCallsPerSecond = 5.8};
    table.accounts["a1"] = {.name = "a1", .keys = {KeyDigest{1}, KeyDigest{2}}, .priority = 0, .callsPerSecond = 27.5, .burst = 30.0};
    table.accounts["a2"] = {.name = "a2"};
    table.limits.idleTimeout = std::chrono::seconds(9);
    StoreObject upstream = makeUpstreamObject("u1", 6, true);
    std::get<UpstreamRecord>(upstream.value).coldTime = std::chrono::milliseconds(1500);
    std::get<UpstreamRecord>(upstream.value).startedAtMs = 1'790'000'000'000;
    upstream.order = {.incarnation = 1'790'000'000'000, .sequence = 12};
    const FeedUpdate update{
        .outage = std::chrono::seconds(3),
        .deltas
        = {{.kind = StoreObjectKind::Configuration,
            .isComplete = true,
            .revision = {.number = 9},
            .objects = {{.name = "main", .revision = {.number = 8}, .isDeleted = false, .value = table}}},
           inEra(4, changes(9, {upstream, deleted("u2", 9)})),
           {.kind = StoreObjectKind::Evacuations,
            .isComplete = false,
            .revision = {.number = 9},
            .objects = {{.name = "regina", .revision = {.number = 9}, .isDeleted = false, .value = EvacuationRecord{"regina"}}, deleted("brandon", 9)}}},
        .confirmations = {{.kind = StoreObjectKind::Upstreams, .era = 4, .age = std::chrono::milliseconds(250)}},
        .eraAge = std::chrono::milliseconds(1250),
        .isSenderReading = true,
    };
    EXPECT_EQ(fromMessage(toMessage(update)), update);
    const FeedRequest request{.sender = "e1", .revisions = {{{.era = 2, .number = 4}, {.era = 1, .number = 5}, {.era = 2, .number = 6}}}, .sentAt = {}};
    EXPECT_EQ(fromMessage(toMessage(request)), request);
}

TEST(StoreMessages, DropRouteTablesWithInvalidAccounts)
{
    const auto isAccepted = [](const StoreProtocol::Object &message) {
        const auto object = fromMessage(message);
        return object && std::holds_alternative<RouteTable>(object->value);
    };
    RouteTable table{.version = 7, .routes = {}, .services = {}, .limits = {}};
    table.accounts["a1"] = {.name = "a1", .keys = {KeyDigest{1}}};
    table.accounts["a2"] = {.name = "a2", .keys = {KeyDigest{2}}};
    const StoreProtocol::Object good = toMessage(StoreObject{.name = "main", .revision = {.number = 8}, .isDeleted = false, .value = table});
    ASSERT_TRUE(isAccepted(good));
    StoreProtocol::Object message = good;
    message.mutable_route_table()->mutable_accounts(0)->set_key_digests(0, "short");
    EXPECT_FALSE(isAccepted(message));
    message = good;
    message.mutable_route_table()->mutable_accounts(0)->set_key_digests(0, message.route_table().accounts(1).key_digests(0));
    EXPECT_FALSE(isAccepted(message)) << "two accounts with one key";
    message = good;
    message.mutable_route_table()->mutable_accounts(0)->set_name("a2");
    EXPECT_FALSE(isAccepted(message)) << "two accounts with one name";
    message = good;
    message.mutable_route_table()->mutable_accounts(0)->set_name("a\r\nX-Own: 1");
    EXPECT_FALSE(isAccepted(message));
    message = good;
    message.mutable_route_table()->mutable_accounts(0)->set_calls_per_second(-1.0);
    EXPECT_FALSE(isAccepted(message));
}

TEST(StoreMessages, RejectUpdatesThatWouldHideChanges)
{
    StoreProtocol::FeedUpdate message = toMessage(FeedUpdate{.deltas = {changes(9, {makeUpstreamObject("u1", 9)})}});
    ASSERT_TRUE(fromMessage(message));
    message.mutable_deltas(0)->mutable_objects(0)->set_name("");
    EXPECT_FALSE(fromMessage(message)) << "skipping the object would leave its change out for good";
    message = toMessage(FeedUpdate{.deltas = {changes(9, {makeUpstreamObject("u1", 9)})}});
    message.mutable_deltas(0)->set_kind(17);
    EXPECT_FALSE(fromMessage(message));
    message = toMessage(FeedUpdate{.deltas = {changes(9, {makeUpstreamObject("u1", 9)})}});
    message.mutable_deltas(0)->mutable_objects(0)->mutable_upstream()->mutable_endpoint()->set_port(70'000);
    const auto update = fromMessage(message);
    ASSERT_TRUE(update);
    EXPECT_EQ(update->deltas[0].objects[0].value.index(), 0U) << "a malformed object names no upstream";
    message = {};
    message.set_outage_microseconds(~std::uint64_t{0});
    EXPECT_FALSE(fromMessage(message));
}

}
}
