#include "controllers/storemirror.h"
#include "rpc/storemessages.h"

#include <gtest/gtest.h>

#include <random>

namespace Plantainweir {
namespace {

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
    EXPECT_EQ(namesOf(deltaSince(mirror, {.number = 6}).objects), (std::vector<std::string>{"u9"}));
}

TEST(StoreMirror, TellsFollowersOfDeletionsOrEverything)
{
    StoreMirror mirror{.kind = StoreObjectKind::Upstreams};
    adopt(mirror, completeDelta(5, {makeUpstreamObject("u1", 3), makeUpstreamObject("u2", 4)}));
    adopt(mirror, changes(8, {deleted("u1", 8)}));
    EXPECT_EQ(namesOf(deltaSince(mirror, {.number = 5}).objects), (std::vector<std::string>{"-u1"}));
    EXPECT_TRUE(deltaSince(mirror, {.number = 8}).objects.empty());
    const StoreDelta everything = deltaSince(mirror, {.number = 2});
    EXPECT_TRUE(everything.isComplete) << "what changed between 2 and 5 is not known";
    EXPECT_EQ(namesOf(everything.objects), (std::vector<std::string>{"u2"}));
    for (int index = 0; index < 3000; ++index) {
        const std::string id = "x" + std::to_string(index);
        const std::uint64_t revision = 10 + static_cast<std::uint64_t>(index) * 2;
        adopt(mirror, changes(revision, {makeUpstreamObject(id, revision)}));
        adopt(mirror, changes(revision + 1, {deleted(id, revision + 1)}));
    }
    EXPECT_LT(mirror.objects.size(), 2100U) << "deletions must not accumulate";
    EXPECT_TRUE(deltaSince(mirror, {.number = 8}).isComplete);
}

TEST(StoreMirror, AReaderThatListsAgainTellsOnlyWhatChanged)
{
    StoreMirror reader{.kind = StoreObjectKind::Upstreams};
    adopt(reader, completeDelta(5, {makeUpstreamObject("u1", 3), makeUpstreamObject("u2", 4), makeUpstreamObject("u3", 5)}));
    StoreMirror follower{.kind = StoreObjectKind::Upstreams};
    adopt(follower, deltaSince(reader, {.number = 0}));
    // Another reader has told the follower of an object that is deleted again when this one lists the objects.
    adopt(follower, changes(12, {makeUpstreamObject("brief", 12)}));
    adopt(reader, completeDelta(20, {makeUpstreamObject("u1", 3), makeUpstreamObject("u2", 17)}));

    const StoreDelta delta = deltaSince(reader, {.number = 5});
    EXPECT_FALSE(delta.isComplete);
    EXPECT_EQ(namesOf(delta.objects), (std::vector<std::string>{"u2", "-u3"}));
    EXPECT_EQ(namesOf(adopt(follower, delta)), (std::vector<std::string>{"u2", "-u3", "-brief"}));
    EXPECT_TRUE(deltaSince(reader, {.number = 12}).isComplete) << "what existed at 12 is not known to this reader";
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
                adopt(follower, deltaSince(reader, known));
                sentRevisions.at(chosen) = reader.revision;
            }
            ASSERT_EQ(contentOf(follower), contents.at(follower.revision.number)) << round;
            EXPECT_GE(follower.revision, highest);
            highest = follower.revision;
        }
        readFromStore(readers[0] = StoreMirror{.kind = StoreObjectKind::Upstreams});
        adopt(follower, deltaSince(readers[0], follower.revision));
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
    EXPECT_EQ(namesOf(listed), (std::vector<std::string>{"u1", "u2", "-u3"}));
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
    const StoreDelta delta = deltaSince(reader, follower.revision);
    EXPECT_TRUE(delta.isComplete);
    EXPECT_EQ(namesOf(adopt(follower, delta)), (std::vector<std::string>{"u2", "u4", "-u1"}));
    EXPECT_FALSE(deltaSince(reader, {.era = 2, .number = 18}).isComplete);
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
