#include "configuration/clientaccounts.h"
#include "core/parseduration.h"
#include "platform/callcodec.h"
#include "platform/keydigest.h"
#include "platform/storecodec.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>

namespace Plantainweir::Platform {
namespace {

constexpr TimePoint Now{std::chrono::seconds(1000)};

QJsonObject parseObject(const char *text)
{
    const QJsonDocument document = QJsonDocument::fromJson(text);
    EXPECT_TRUE(document.isObject()) << text;
    return document.object();
}

const char *const upstreamSpec
    = R"({"service":"desk","address":"10.1.0.9:80","zone":"a","version":"v1","slots":4,"state":"ready","cold":"1500ms","sequence":4,"born":1790000000000})";

TEST(PlatformValues, ParseDurationsWithTheirUnit)
{
    EXPECT_EQ(parseDuration("1500ms"), std::chrono::milliseconds(1500));
    EXPECT_EQ(parseDuration("2.5s"), std::chrono::milliseconds(2500));
    for (const char *text : {"", "15", "ms", "1.5.5s", "2m", "-1s"}) {
        EXPECT_FALSE(parseDuration(text)) << text;
    }
}

TEST(PlatformStore, DecodesARegistration)
{
    const auto upstream = decodeUpstream("i-1", parseObject(upstreamSpec));
    ASSERT_TRUE(upstream);
    EXPECT_EQ(upstream->id, "i-1");
    EXPECT_EQ(upstream->slots, 4U);
    EXPECT_EQ(upstream->coldTime, std::chrono::milliseconds(1500));
    EXPECT_FALSE(upstream->isDraining);
}

TEST(PlatformStore, RejectsInvalidRegistrations)
{
    const QJsonObject good = parseObject(upstreamSpec);
    for (const QString &field : good.keys()) {
        QJsonObject missing = good;
        missing.remove(field);
        EXPECT_EQ(decodeUpstream("i-1", missing).has_value(), field == "born") << field.toStdString();
        QJsonObject wrongType = good;
        wrongType.insert(field, QJsonArray{1});
        EXPECT_FALSE(decodeUpstream("i-1", wrongType)) << field.toStdString();
    }
    QJsonObject unknown = good;
    unknown.insert("state", "resting");
    EXPECT_FALSE(decodeUpstream("i-1", unknown));
    unknown = good;
    unknown.insert("born", 1.5);
    EXPECT_FALSE(decodeUpstream("i-1", unknown));
}

TEST(PlatformStore, DecodesTheConfiguration)
{
    const auto table = decodeRouteTable(parseObject(R"({"version":7,"resources":[
        {"resourceKind":"routes","metadata":{"name":"r1"},"spec":{"host":"h","pathPrefix":"/a/","kind":"safe","timeout":"1500ms",
         "targetLatency":"400ms","priority":1,"split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"maxAttempts":2}},
        {"resourceKind":"routes","metadata":{"name":"r2"},"spec":{"host":"h","pathPrefix":"/b/","kind":"other","timeout":"2s","service":"s1"}},
        {"resourceKind":"routes","metadata":{"name":"r3"},"spec":{"host":"h","pathPrefix":"/c/","kind":"download","timeout":"2s","service":"s1"}},
        {"resourceKind":"services","metadata":{"name":"s1"},"spec":{"healthPath":"/health","maxConnections":220}},
        {"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":1000,"maxBodyBytes":2000,"headerTimeout":"3s","idleTimeout":"15s"}}]})"));
    ASSERT_TRUE(table);
    EXPECT_EQ(table->version, 7U);
    ASSERT_EQ(table->routes.size(), 3U);
    EXPECT_EQ(table->routes[0].repeatability, Repeatability::Idempotent);
    EXPECT_EQ(table->routes[0].targets, (std::vector<RouteTarget>{{"s1", 90}, {"s2", 10}}));
    EXPECT_EQ(table->routes[1].repeatability, Repeatability::AtMostOnce) << "an unknown kind must not be repeated";
    EXPECT_EQ(table->routes[1].target, std::chrono::seconds(2));
    EXPECT_EQ(table->routes[2].repeatability, Repeatability::Idempotent) << "a download may be repeated";
    EXPECT_EQ(table->services.at("s1").connectionLimit, 220U);
    EXPECT_EQ(table->limits.idleTimeout, std::chrono::seconds(15));
    EXPECT_FALSE(decodeRouteTable(parseObject(R"({"version":"7","resources":[]})")));
    EXPECT_FALSE(decodeRouteTable(parseObject(R"({"version":7})")));
}

std::optional<RouteTable> decodeResources(const std::string &resources)
{
    return decodeRouteTable(parseObject((R"({"version":7,"resources":[)" + resources + "]}").c_str()));
}

std::string accountResource(const std::string &name, const std::string &spec)
{
    return R"({"resourceKind":"tenants","metadata":{"name":")" + name + R"("},"spec":)" + spec + "}";
}

TEST(PlatformStore, DecodesAccountsAndKeepsNoKey)
{
    const auto table = decodeResources(
        accountResource("shop", R"({"apiKeys":["k2","k1","k2"],"priority":1,"ratePerS":27.5,"burst":30})") + ","
        + accountResource("till", R"({"apiKeys":["k3"]})") + ","
        + R"({"resourceKind":"routes","metadata":{"name":"r"},"spec":{"host":"h","pathPrefix":"/","timeout":"1s","service":"s","public":true}})" + ","
        + R"({"resourceKind":"services","metadata":{"name":"s"},"spec":{"coldPerS":5.8}})");
    ASSERT_TRUE(table);
    ASSERT_EQ(table->accounts.size(), 2U);
    const ClientAccount &shop = table->accounts.at("shop");
    std::vector<KeyDigest> keys{digestOf("k1"), digestOf("k2")};
    std::sort(keys.begin(), keys.end());
    EXPECT_EQ(shop, (ClientAccount{.name = "shop", .keys = keys, .priority = 1, .callsPerSecond = 27.5, .burst = 30}));
    EXPECT_EQ(table->accounts.at("till"), (ClientAccount{.name = "till", .keys = {digestOf("k3")}}));
    EXPECT_TRUE(table->routes.at(0).isPublic);
    EXPECT_DOUBLE_EQ(table->services.at("s").coldCallsPerSecond, 5.8);
}

TEST(PlatformStore, RefusesAccountsThatCannotBeToldApart)
{
    EXPECT_FALSE(decodeResources(accountResource("shop", R"({"apiKeys":["k1"]})") + "," + accountResource("till", R"({"apiKeys":["k2","k1"]})")));
    EXPECT_FALSE(decodeResources(accountResource("shop", R"({"apiKeys":["k1"]})") + "," + accountResource("shop", R"({"apiKeys":["k2"]})")));
}

TEST(PlatformStore, AnOddAccountHasNoKeysAndHidesNoOther)
{
    const std::string good = accountResource("till", R"({"apiKeys":["k3"]})");
    for (const std::string &odd : {accountResource("shop", "null"),
                                   accountResource("shop", "{}"),
                                   accountResource("shop", R"({"apiKeys":"k1"})"),
                                   accountResource("shop", R"({"apiKeys":[1,null,"",[],"a b"]})"),
                                   accountResource("shop", R"({"apiKeys":["k1"],"priority":-1})"),
                                   accountResource("shop", R"({"apiKeys":["k1"],"ratePerS":-1})"),
                                   accountResource("shop", R"({"apiKeys":["k1"],"ratePerS":"5"})"),
                                   accountResource("shop", R"({"apiKeys":["k1"],"burst":[]})"),
                                   accountResource("", R"({"apiKeys":["k1"]})"),
                                   accountResource("a\\r\\nX-Own: 1", R"({"apiKeys":["k1"]})"),
                                   accountResource(std::string(300, 'x'), R"({"apiKeys":["k1"]})"),
                                   std::string(R"({"resourceKind":"tenants"})")}) {
        SCOPED_TRACE(odd);
        const auto table = decodeResources(fmt::format("{},{}", odd, good));
        ASSERT_TRUE(table);
        ASSERT_EQ(table->accounts.size(), 2U) << "calls still need a key";
        EXPECT_EQ(makeAccountIndex(*table).size(), 1U);
        EXPECT_EQ(table->accounts.at("till").keys, std::vector<KeyDigest>{digestOf("k3")});
        const auto alone = decodeResources(odd);
        ASSERT_TRUE(alone);
        EXPECT_FALSE(alone->accounts.empty());
    }
}

StoreRevision revisionOf(int status, const HttpFields &fields)
{
    StorePage page;
    HttpResponse response{.status = status, .fields = fields, .body = R"({"items":[{"metadata":{"name":"i-1","revision":5},"spec":{}}],"storeRevision":9})"};
    decodePage(StoreObjectKind::Upstreams, {.outcome = HttpRequestOutcome::Answered, .response = std::move(response)}, false, page);
    for (const StoreObject &object : page.objects) {
        EXPECT_EQ(object.revision, (StoreRevision{.era = page.revision.era, .number = 5}));
    }
    return page.revision;
}

TEST(PlatformStore, EachAnswerTellsTheEraOfItsRevisions)
{
    EXPECT_EQ(revisionOf(200, {{"Store-Era", "7"}}), (StoreRevision{.era = 7, .number = 9}));
    EXPECT_EQ(revisionOf(200, {{"store-era", "18446744073709551615"}}).era, 18446744073709551615U);
    EXPECT_EQ(revisionOf(410, {{"Store-Era", "8"}}), (StoreRevision{.era = 8}));
}

TEST(PlatformStore, ObjectsTellTheOrderOfTheirWriters)
{
    const auto orderIn = [](StoreObjectKind kind, const std::string &name, const std::string &spec) {
        StorePage page;
        const std::string body = fmt::format(R"({{"items":[{{"metadata":{{"name":"{}","revision":5}},"spec":{}}}],"storeRevision":9}})", name, spec);
        HttpResponse response{.status = 200, .fields = {}, .body = body};
        decodePage(kind, {.outcome = HttpRequestOutcome::Answered, .response = std::move(response)}, false, page);
        return page.objects.at(0).order;
    };
    const std::string upstream = R"("service":"desk","address":"10.0.0.1:80","zone":"a","version":"v1","slots":3,"state":"ready","cold":"0ms","sequence":17)";
    EXPECT_EQ(orderIn(StoreObjectKind::Upstreams, "i-1", "{" + upstream + R"(,"born":1790000000000})"),
              (WriterOrder{.incarnation = 1'790'000'000'000, .sequence = 17}));
    EXPECT_EQ(orderIn(StoreObjectKind::Upstreams, "i-1", "{" + upstream + "}"), (WriterOrder{.incarnation = 0, .sequence = 17}));
    EXPECT_EQ(orderIn(StoreObjectKind::Upstreams, "i-1", "{}"), WriterOrder{}) << "it names no upstream";
    EXPECT_EQ(orderIn(StoreObjectKind::Configuration, "main", R"({"version":12,"resources":[]})"), (WriterOrder{.sequence = 12}));
}

TEST(PlatformStore, AnOddOrMissingEraIsNone)
{
    EXPECT_EQ(revisionOf(200, {}), (StoreRevision{.era = 0, .number = 9}));
    for (const char *odd : {"", "x", "-1", "+2", "1.5", "2,2", "2 3", "0x2", "18446744073709551616", "1e3", "zwei", R"("2")"}) {
        EXPECT_EQ(revisionOf(200, {{"Store-Era", odd}}).era, 0U) << odd;
    }
    EXPECT_EQ(revisionOf(200, {{"Store-Era", "2"}, {"Store-Era", "3"}}).era, 0U);
}

TEST(PlatformStore, DistinguishesAPageFromCompactedHistoryAndFailure)
{
    StorePage page;
    HttpRequestResult result{.outcome = HttpRequestOutcome::Answered, .response = {.status = 410, .fields = {}, .body = {}}};
    EXPECT_EQ(decodePage(StoreObjectKind::Upstreams, result, true, page), StoreReadOutcome::RevisionGone);
    result.response.status = 503;
    EXPECT_EQ(decodePage(StoreObjectKind::Upstreams, result, true, page), StoreReadOutcome::Failed);
    result.response
        = {.status = 200, .fields = {}, .body = R"({"events":[{"deleted":true,"object":{"metadata":{"name":"i-1","revision":5}}}],"storeRevision":9})"};
    EXPECT_EQ(decodePage(StoreObjectKind::Upstreams, result, true, page), StoreReadOutcome::Page);
    EXPECT_EQ(page.revision.number, 9U);
    ASSERT_EQ(page.objects.size(), 1U);
    EXPECT_TRUE(page.objects[0].isDeleted);
    EXPECT_EQ(decodePage(StoreObjectKind::Upstreams, {.outcome = HttpRequestOutcome::ConnectionLost, .response = {}}, true, page), StoreReadOutcome::Failed);
}

TEST(PlatformStore, TheNameOfAnEvacuationIsTheWish)
{
    EXPECT_EQ(encodeList(StoreObjectKind::Evacuations, {}, ReadConsistency::Stale).target, "/v1/objects/evacuations?serializable=1");
    const std::string list = R"({"items":[{"metadata":{"name":"regina","revision":5},"spec":{}},{"metadata":{"name":"brandon","revision":6},"spec":17},)"
                             R"({"metadata":{"name":"saskatoon","revision":7,"deleting":true},"spec":{}}],"storeRevision":9})";
    StorePage page;
    const HttpRequestResult listed{.outcome = HttpRequestOutcome::Answered, .response = {.status = 200, .fields = {}, .body = list}};
    ASSERT_EQ(decodePage(StoreObjectKind::Evacuations, listed, false, page), StoreReadOutcome::Page);
    ASSERT_EQ(page.objects.size(), 3U);
    EXPECT_EQ(page.objects[0], (StoreObject{.name = "regina", .revision = {.number = 5}, .isDeleted = false, .value = EvacuationRecord{"regina"}}));
    EXPECT_EQ(page.objects[1], (StoreObject{.name = "brandon", .revision = {.number = 6}, .isDeleted = false, .value = EvacuationRecord{"brandon"}}));
    EXPECT_TRUE(page.objects[2].isDeleted);
    StorePage changes;
    const std::string events = R"({"events":[{"deleted":true,"object":{"metadata":{"name":"regina","revision":10}}}],"storeRevision":10})";
    const HttpRequestResult watched{.outcome = HttpRequestOutcome::Answered, .response = {.status = 200, .fields = {}, .body = events}};
    ASSERT_EQ(decodePage(StoreObjectKind::Evacuations, watched, true, changes), StoreReadOutcome::Page);
    ASSERT_EQ(changes.objects.size(), 1U);
    EXPECT_TRUE(changes.objects[0].isDeleted);
}

HttpRequestResult answerOf(const std::string &body)
{
    return {.outcome = HttpRequestOutcome::Answered, .response = {.status = 200, .fields = {}, .body = body}};
}

std::string namedItem(const std::string &name)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":5},"spec":)" + upstreamSpec + "}";
}

// Its name alone does not tell whether the evacuation was wished for or withdrawn.
TEST(PlatformStore, AChangeOfAnEvacuationThatCannotBeReadLetsTheObjectsBeListedAgain)
{
    const std::string start = R"({"deleted":true,"object":{"metadata":{"name":"regina","revision":10)";
    for (const std::string &odd : {start, start + R"(},"spec":NaN}})", start + R"(},"spec":"\x"}})", start + R"(},"spec":{)"}) {
        SCOPED_TRACE(odd);
        StorePage changes;
        const std::string other = R"({"object":{"metadata":{"name":"winnipeg","revision":9}}},)";
        const std::string body = fmt::format(R"({{"events":[{}{}],"storeRevision":10}})", other, odd);
        ASSERT_EQ(decodePage(StoreObjectKind::Evacuations, answerOf(body), true, changes), StoreReadOutcome::Page);
        EXPECT_TRUE(changes.isIncomplete);
        ASSERT_EQ(changes.objects.size(), 1U);
        EXPECT_EQ(changes.objects[0].name, "winnipeg");
    }
}

/** An entry of a store that returns the entries behind a name. */
struct StoredEntry {
    std::string name;
    std::string text;
};

/** Reads @p entries page by page, as long as the store can continue; returns whether the list is complete. */
bool readList(const std::vector<StoredEntry> &entries, std::vector<StoreObject> &objects)
{
    std::size_t from = 0;
    for (std::size_t pages = 0; pages <= entries.size() + 1; ++pages) {
        std::string items;
        for (std::size_t entry = from; entry < entries.size(); ++entry) {
            items += (entry == from ? "" : ",") + entries[entry].text;
        }
        StorePage page;
        if (decodePage(StoreObjectKind::Upstreams, answerOf(R"({"items":[)" + items + R"(],"storeRevision":9})"), false, page) != StoreReadOutcome::Page) {
            EXPECT_GT(page.ignoredObjects, 0U) << "no log event tells of it";
            return false;
        }
        EXPECT_EQ(page.revision.number, 9U);
        objects.insert(objects.end(), page.objects.begin(), page.objects.end());
        if (!page.hasMore) {
            return true;
        }
        const auto last = std::find_if(entries.begin(), entries.end(), [&page](const StoredEntry &entry) {
            return entry.name == page.lastName;
        });
        EXPECT_NE(last, entries.end()) << page.lastName << " is the name of no entry";
        const auto next = static_cast<std::size_t>(last - entries.begin()) + 1;
        EXPECT_GT(next, from) << "the same page comes again";
        from = next;
    }
    return false;
}

/**
 * Reads @p odd between two valid registrations, from a list or first from a watch; returns the names of the valid ones, and in
 * @p all all names.
 */
std::vector<std::string> validNamesAround(const std::string &odd, bool isWatch, std::vector<std::string> &all)
{
    StorePage changes;
    if (isWatch) {
        const auto event = [](const std::string &object) {
            return R"({"object":)" + object + "}";
        };
        const std::string body = R"({"events":[)" + event(namedItem("i-1")) + "," + event(odd) + "," + event(namedItem("i-2")) + R"(],"storeRevision":9})";
        EXPECT_EQ(decodePage(StoreObjectKind::Upstreams, answerOf(body), true, changes), StoreReadOutcome::Page);
    }
    std::vector<StoreObject> objects = changes.objects;
    if (!isWatch || changes.isIncomplete) {
        objects.clear();
        readList({{"i-1", namedItem("i-1")}, {"i-odd", odd}, {"i-2", namedItem("i-2")}}, objects);
    }
    std::vector<std::string> valid;
    for (const StoreObject &object : objects) {
        all.push_back(object.name);
        if (std::holds_alternative<UpstreamRecord>(object.value)) {
            valid.push_back(object.name);
        }
    }
    return valid;
}

TEST(PlatformStore, OneOddEntryDoesNotHideTheOthers)
{
    const std::string opening(100'000, '[');
    const std::string closing(100'000, ']');
    const auto spec = [](const std::string &field, const std::string &value) {
        QJsonObject object = parseObject(upstreamSpec);
        object.remove(QString::fromStdString(field));
        std::string text = QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
        text.insert(1, "\"" + field + "\":" + value + ",");
        return text;
    };
    const std::vector<std::string> oddSpecs{
        opening + closing,
        spec("nested", opening + closing),
        spec("slots", "1" + std::string(400, '0')),
        spec("slots", "1e400"),
        spec("slots", "-1"),
        spec("slots", "4294967296"),
        spec("slots", "0"),
        spec("slots", "\"3\""),
        spec("sequence", "1e300"),
        spec("born", "-" + std::string(30, '9')),
        spec("address", "\"10.1.0.9:0\""),
        spec("address", "\"10.1.0.9:65536\""),
        spec("address", "\"10.1.0.9:-1\""),
        spec("address", "\"10.1.0.9\""),
        spec("address", "80"),
        spec("cold", "\"9999999999999999999999s\""),
        spec("zone", "\"\xff\xfe\x80\""),
        spec("state", "null"),
        "null",
        "7",
        "\"text\"",
        // Bytes that JSON does not permit, which must not hide the page.
        spec("version", "\"v\x01\x02\x1f\""),
        spec("zone", "\"\\q\""),
        spec("zone", "\"\\u12g4\""),
        spec("slots", "NaN"),
        spec("slots", "007"),
        spec("slots", "0x3"),
        spec("slots", "+3"),
        spec("slots", "Infinity\x01"),
        spec("slots", "NaN" + std::string(1'000'000, '0')),
    };
    for (const bool isWatch : {false, true}) {
        for (const std::string &oddSpec : oddSpecs) {
            SCOPED_TRACE(oddSpec.substr(0, 80));
            const std::string object = R"({"metadata":{"name":"i-odd","revision":6},"spec":)" + oddSpec + "}";
            std::vector<std::string> all;
            EXPECT_EQ(validNamesAround(object, isWatch, all), (std::vector<std::string>{"i-1", "i-2"}));
            EXPECT_EQ(all, (std::vector<std::string>{"i-1", "i-odd", "i-2"})) << "an earlier version of the entry must not stay in use";
        }
        for (const std::string &unnamed :
             {std::string("null"), std::string("{}"), opening + closing, R"({"metadata":{"name":")" + std::string(1'000'000, 'x') + R"("}})"}) {
            SCOPED_TRACE(unnamed.substr(0, 80));
            std::vector<std::string> all;
            EXPECT_EQ(validNamesAround(unnamed, isWatch, all), (std::vector<std::string>{"i-1", "i-2"}));
        }
    }
}

// Guards against a page that is lost, with all its other entries, because one entry is cut short or has a bracket or a quote too many.
TEST(PlatformStore, AnEntryWhoseQuotesOrBracketsDoNotMatchDoesNotHideTheOthers)
{
    const std::string start = R"({"metadata":{"name":"i-odd","revision":6},"spec":)";
    std::string deep;
    std::string deepObjects;
    for (int depth = 0; depth < 100'000; ++depth) {
        deep += R"({"a":[)";
        deepObjects += R"([1,{"metadata":)";
    }
    const std::vector<std::string> odd{
        start + "{",
        start + "{}",
        start + "{}}}",
        start + "{}]}",
        start + "[}",
        start + "\"text}",
        start + R"({"service":"desk)",
        start + R"({"service":"de"sk"}})",
        start + R"({"service":"desk\"}})",
        start + R"({"slots":[1,2})",
        start + R"({},"x":[1})",
        start + "{}}]}",
        start + "{}}],\"storeRevision\":99}",
        start + deep,
        start + deepObjects,
        start + std::string(100'000, '['),
        start + "\"" + std::string(1'000'000, 'x'),
    };
    for (const bool isWatch : {false, true}) {
        for (const std::string &object : odd) {
            SCOPED_TRACE(object.substr(0, 100));
            std::vector<std::string> all;
            EXPECT_EQ(validNamesAround(object, isWatch, all), (std::vector<std::string>{"i-1", "i-2"}));
            EXPECT_EQ(all, (std::vector<std::string>{"i-1", "i-odd", "i-2"})) << "an earlier version of the entry must not stay in use";
        }
    }
}

// What follows may be inside the entry, and without its name there is no way to ask for the others.
TEST(PlatformStore, AnEntryWithoutANameWhoseBracketsDoNotMatchLeavesTheListIncomplete)
{
    for (const char *unnamed : {"\"", "}", "]", "{", "[", "\"i-odd", "]}", R"({"metadata":{"name)", R"(}],"storeRevision":1,"items":[)"}) {
        SCOPED_TRACE(unnamed);
        std::vector<StoreObject> objects;
        EXPECT_FALSE(readList({{"i-1", namedItem("i-1")}, {"", unnamed}, {"i-2", namedItem("i-2")}}, objects));
        ASSERT_EQ(objects.size(), 1U);
        EXPECT_EQ(objects[0].name, "i-1");
        StorePage changes;
        const std::string body = R"({"events":[)" + std::string(unnamed) + R"(],"storeRevision":9})";
        EXPECT_EQ(decodePage(StoreObjectKind::Upstreams, answerOf(body), true, changes), StoreReadOutcome::Page);
        EXPECT_TRUE(changes.isIncomplete) << "the objects must be listed again";
    }
}

// A name inside an entry would let the list start again from there, or skip what lies between.
TEST(PlatformStore, ObjectsInsideAnEntryThatIsCutShortAreNoEntries)
{
    const std::string nested = R"({"metadata":{"name":"a"},"spec":)" + std::string(upstreamSpec) + "}";
    for (const std::string &name : {std::string(R"("i-900")"), std::string("7")}) {
        for (const std::string &inside :
             {R"({"h":[0,)" + nested + ",0", fmt::format(R"({{"h":[{},{})", nested, nested), std::string(R"({"metadata":{"name":"a")")}) {
            SCOPED_TRACE(inside);
            const std::string body
                = fmt::format(R"({{"items":[{},{{"metadata":{{"name":{}}},"spec":{}],"hasMore":true,"storeRevision":9}})", namedItem("i-1"), name, inside);
            StorePage page;
            ASSERT_EQ(decodePage(StoreObjectKind::Upstreams, answerOf(body), false, page), StoreReadOutcome::Page);
            EXPECT_EQ(page.lastName, name == "7" ? "i-1" : "i-900");
            for (const StoreObject &object : page.objects) {
                EXPECT_NE(object.name, "a");
            }
        }
    }
}

// Each byte is read a fixed number of times, however the objects are nested.
TEST(PlatformStore, NestedObjectsInAnEntryThatIsCutShortHideNoOther)
{
    std::string nested = "\"" + std::string(30'000, 'x') + "\"";
    for (int depth = 0; depth < 40; ++depth) {
        nested = fmt::format(R"([0,{{"a":{}}},0])", nested);
    }
    std::string empty = "[0";
    for (int count = 0; count < 350'000; ++count) {
        empty += ",{}";
    }
    for (const std::string &inside : {nested, empty}) {
        for (const bool isWatch : {false, true}) {
            std::vector<std::string> all;
            EXPECT_EQ(validNamesAround(R"({"metadata":{"name":"i-odd"},"spec":{"a":)" + inside, isWatch, all), (std::vector<std::string>{"i-1", "i-2"}));
            EXPECT_EQ(all, (std::vector<std::string>{"i-1", "i-odd", "i-2"}));
        }
    }
}

std::optional<EntryVmRecord> decodeEntryVm(const std::string &spec)
{
    const std::string body = R"({"hasMore":false,"items":[{"metadata":{"name":"e1"},"spec":)" + spec + R"(}],"storeRevision":9})";
    StorePage page;
    const HttpRequestResult result{.outcome = HttpRequestOutcome::Answered, .response = {.status = 200, .fields = {}, .body = body}};
    EXPECT_EQ(decodePage(StoreObjectKind::EntryVms, result, false, page), StoreReadOutcome::Page);
    const auto *record = page.objects.empty() ? nullptr : std::get_if<EntryVmRecord>(&page.objects.front().value);
    return record == nullptr ? std::nullopt : std::optional(*record);
}

TEST(PlatformStore, ARegistrationOfAnEntryVmIsReadAsItWasWritten)
{
    const EntryVmRecord record{.name = "e1",
                               .membershipEndpoint = {"10.1.0.9", 7720},
                               .fleetSize = 141,
                               .fleetSizeValidUntil = UnixMilliseconds(std::chrono::milliseconds(1'790'000'000'123))};
    for (const bool isUpdate : {false, true}) {
        const HttpRequest request = encodeRegistration(record, isUpdate);
        EXPECT_EQ(request.method, isUpdate ? "PUT" : "POST");
        const QJsonObject spec = parseObject(request.body.c_str()).value("spec").toObject();
        EXPECT_EQ(decodeEntryVm(QJsonDocument(spec).toJson().toStdString()), record);
    }
}

TEST(PlatformStore, ARegistrationWithoutAUsableFleetSizeStillTellsWhereTheEntryVmIs)
{
    const EntryVmRecord expected{.name = "e1", .membershipEndpoint = {"10.1.0.9", 7720}};
    for (const std::string size :
         {"", R"(,"fleetSize":"7","fleetSizeUntil":"soon")", R"(,"fleetSize":-1,"fleetSizeUntil":-1)", R"(,"fleetSize":1e300,"fleetSizeUntil":1e300)"}) {
        EXPECT_EQ(decodeEntryVm(R"({"membership":"10.1.0.9:7720")" + size + "}"), expected) << size;
    }
    EXPECT_EQ(decodeEntryVm(R"({"membership":"nowhere","fleetSize":7})"), std::nullopt);
}

TEST(PlatformStore, APageOfNothingButOddEntriesIsAPage)
{
    for (const std::string odd : {R"({"metadata":{"name":"main"},"spec":{"version":7,"resources":[)", R"({"metadata":{"name":"main"},"spec":")"}) {
        SCOPED_TRACE(odd);
        const std::string body = R"({"hasMore":false,"items":[)" + odd + R"(], "storeRevision":9})";
        const HttpRequestResult result{.outcome = HttpRequestOutcome::Answered, .response = {.status = 200, .fields = {}, .body = body}};
        for (const StoreObjectKind kind : {StoreObjectKind::Upstreams, StoreObjectKind::Configuration, StoreObjectKind::EntryVms}) {
            StorePage page;
            ASSERT_EQ(decodePage(kind, result, false, page), StoreReadOutcome::Page);
            EXPECT_EQ(page.revision.number, 9U);
            EXPECT_EQ(page.objects.size() + page.ignoredObjects, 1U);
            EXPECT_TRUE(page.objects.empty() || std::holds_alternative<std::monostate>(page.objects.front().value));
            EXPECT_EQ(page.lastName, "main");
            EXPECT_TRUE(page.hasMore) << "what follows comes with the next list";
        }
    }
}

TEST(PlatformStore, ManyOddEntriesHideNoOther)
{
    std::vector<StoredEntry> entries;
    for (int entry = 0; entry < 400; ++entry) {
        const std::string name = "i-" + std::to_string(entry);
        std::string text = namedItem(name);
        text.resize(text.size() - (entry % 4 == 1 ? 1 : 0));
        entries.push_back({name, text});
        if (entry % 4 == 3) {
            entries.push_back({name + "-odd", R"({"metadata":{"name":")" + name + R"(-odd"},"spec":"x)"});
        }
    }
    std::vector<StoreObject> objects;
    EXPECT_TRUE(readList(entries, objects));
    EXPECT_EQ(objects.size(), 500U);
    EXPECT_EQ(std::count_if(objects.begin(),
                            objects.end(),
                            [](const StoreObject &object) {
                                return std::holds_alternative<UpstreamRecord>(object.value);
                            }),
              300);
}

TEST(PlatformStore, AListContinuesAfterAPageThatEndsWithAnOddEntry)
{
    const std::string oddNames[]{"7", "null", '"' + std::string(1'000'000, 'x') + '"'};
    for (const std::string &oddName : oddNames) {
        SCOPED_TRACE(oddName.substr(0, 80));
        const std::string body = fmt::format(
            R"({{"items":[{{"metadata":{{"name":"i-1","revision":5}},"spec":{}}},{{"metadata":{{"name":{}}}}}],"hasMore":true,"storeRevision":9}})",
            upstreamSpec,
            oddName);
        const HttpRequestResult result{.outcome = HttpRequestOutcome::Answered, .response = {.status = 200, .fields = {}, .body = body}};
        StorePage page;
        ASSERT_EQ(decodePage(StoreObjectKind::Upstreams, result, false, page), StoreReadOutcome::Page);
        EXPECT_EQ(page.lastName, "i-1") << "the target of the next request must be accepted";
        EXPECT_EQ(page.objects.size(), 1U);
    }
}

TEST(PlatformCalls, AttemptCarriesTheRemainingTime)
{
    const HttpRequest request{.method = "POST",
                              .target = "/a/x?q=1",
                              .fields = {{"Host", "h"}, {RequestIdField, "id1"}, {"x-plantainweir-deadline-ms", "3000"}, {"X-Own", "kept"}},
                              .body = "b"};
    const RoutedCall call = decodeCall(request, Now);
    EXPECT_EQ(call.path, "/a/x");
    EXPECT_EQ(call.timeLeft, std::chrono::milliseconds(3000));
    const HttpRequest attempt = encodeAttempt({.id = 1,
                                               .upstream = {.key = 1, .id = "i-9"},
                                               .message = std::make_shared<const HttpRequest>(request),
                                               .deadline = Now + std::chrono::milliseconds(750)},
                                              Now);
    EXPECT_EQ(attempt.target, request.target);
    EXPECT_EQ(fieldValue(attempt.fields, "X-Plantainweir-Deadline-Ms"), "750");
    EXPECT_EQ(fieldValue(attempt.fields, "X-Plantainweir-Expect-Instance"), "i-9");
    EXPECT_EQ(fieldValue(attempt.fields, "X-Own"), "kept");
}

TEST(PlatformCalls, StatusCodeDistinguishesRefusalsFromUnknownOutcomes)
{
    const auto statusOf = [](const CallReply &reply) {
        return encodeReply(reply, "id1", Now).status;
    };
    EXPECT_EQ(statusOf(refusedReply(RefusalReason::QueueFull, Now)), 503);
    EXPECT_EQ(statusOf(refusedReply(RefusalReason::UnknownRoute, Now)), 404);
    EXPECT_EQ(statusOf(unknownReply(UnknownReason::ConnectionLost)), 502);
    EXPECT_EQ(statusOf(unknownReply(UnknownReason::DeadlinePassed)), 504);
    const HttpResponse refusal = encodeReply(refusedReply(RefusalReason::QueueFull, Now + std::chrono::milliseconds(250)), "id1", Now);
    EXPECT_EQ(fieldValue(refusal.fields, "Retry-After"), "0.250");
}

TEST(PlatformCalls, RefusalsForAccountsSayWhatTheCallerMayDo)
{
    const TimePoint retryAt = Now + std::chrono::milliseconds(250);
    const HttpResponse unknownKey = encodeReply(refusedReply(RefusalReason::UnknownKey, retryAt), "id1", Now);
    EXPECT_EQ(unknownKey.status, 401);
    EXPECT_EQ(fieldValue(unknownKey.fields, "WWW-Authenticate"), "Token");
    EXPECT_EQ(fieldValue(unknownKey.fields, "Retry-After"), "") << "the same key will not be accepted later";
    EXPECT_EQ(fieldValue(unknownKey.fields, RequestIdField), "id1");
    const HttpResponse quota = encodeReply(refusedReply(RefusalReason::QuotaExceeded, retryAt), "id1", Now);
    EXPECT_EQ(quota.status, 429);
    EXPECT_EQ(fieldValue(quota.fields, "Retry-After"), "0.250");
    const HttpResponse credit = encodeReply(refusedReply(RefusalReason::CreditUnavailable, retryAt), "id1", Now);
    EXPECT_EQ(credit.status, 503);
    EXPECT_EQ(fieldValue(credit.fields, "Retry-After"), "0.250");
}

Credential credentialOf(HttpFields fields)
{
    return decodeCall({.method = "GET", .target = "/", .fields = std::move(fields), .body = {}}, Now).credential;
}

TEST(PlatformCalls, ParseOnlyASingleWellFormedKey)
{
    EXPECT_EQ(credentialOf({{"Host", "h"}}).kind, CredentialKind::None);
    for (const char *text : {"Token k1", "token k1", "TOKEN k1", "Token   k1"}) {
        const Credential credential = credentialOf({{"authorization", text}});
        EXPECT_EQ(credential.kind, CredentialKind::Key) << text;
        EXPECT_EQ(credential.digest, digestOf("k1")) << text;
    }
    EXPECT_NE(credentialOf({{"Authorization", "Token K1"}}).digest, digestOf("k1")) << "keys differ by case";
    const std::string longest(256, 'x');
    EXPECT_EQ(credentialOf({{"Authorization", "Token " + longest}}).kind, CredentialKind::Key);
    for (const std::string &text : {std::string(),
                                    std::string("Token"),
                                    std::string("Token "),
                                    std::string("k1"),
                                    std::string("Tokenk1"),
                                    std::string("Token\tk1"),
                                    std::string("Token k1 k2"),
                                    std::string("Token k1 "),
                                    std::string(" Token k1"),
                                    std::string("Token k\t1"),
                                    std::string("Token k\x80"),
                                    std::string("Token k\x7f"),
                                    std::string("Token k1\0", 9),
                                    std::string("Bearer k1"),
                                    std::string("Basic azE6"),
                                    std::string("Token token=k1 "),
                                    "Token " + longest + "x",
                                    "Token " + std::string(1'000'000, 'x')}) {
        EXPECT_EQ(credentialOf({{"Authorization", text}}).kind, CredentialKind::Malformed) << text.substr(0, 80);
    }
    EXPECT_EQ(credentialOf({{"Authorization", "Token k1"}, {"authorization", "Token k1"}}).kind, CredentialKind::Malformed) << "which one holds is unclear";
    EXPECT_EQ(credentialOf({{"Authorization", ""}, {"Authorization", "Token k1"}}).kind, CredentialKind::Malformed);
}

/** Returns the fields that an upstream receives of a call whose caller sent a key and names of accounts. */
HttpFields fieldsOfAttempt(const std::optional<std::string> &account)
{
    const HttpRequest request{.method = "GET",
                              .target = "/a/",
                              .fields = {{"Host", "h"},
                                         {"Authorization", "Token k1"},
                                         {"X-Plantainweir-Tenant", "forged"},
                                         {"AUTHORIZATION", "Token k2"},
                                         {"x-plantainweir-tenant", "forged"}},
                              .body = {}};
    return encodeAttempt({.id = 1,
                          .upstream = {.key = 1, .id = "i-9"},
                          .message = std::make_shared<const HttpRequest>(request),
                          .deadline = Now + std::chrono::seconds(1),
                          .account = account},
                         Now)
        .fields;
}

std::size_t countFields(const HttpFields &fields, std::string_view name)
{
    return static_cast<std::size_t>(std::count_if(fields.begin(), fields.end(), [name](const HttpField &field) {
        return isSameFieldName(field.name, name);
    }));
}

TEST(PlatformCalls, AnUpstreamSeesTheAccountAndNoKey)
{
    const HttpFields named = fieldsOfAttempt("shop");
    EXPECT_EQ(countFields(named, "Authorization"), 0U);
    EXPECT_EQ(countFields(named, "X-Plantainweir-Tenant"), 1U);
    EXPECT_EQ(fieldValue(named, "X-Plantainweir-Tenant"), "shop");
    const HttpFields unnamed = fieldsOfAttempt("");
    EXPECT_EQ(countFields(unnamed, "Authorization"), 0U);
    EXPECT_EQ(countFields(unnamed, "X-Plantainweir-Tenant"), 0U);
    const HttpFields unchanged = fieldsOfAttempt(std::nullopt);
    EXPECT_EQ(countFields(unchanged, "Authorization"), 2U) << "without accounts, upstreams may check keys of their own";
    EXPECT_EQ(countFields(unchanged, "X-Plantainweir-Tenant"), 2U);
}

TEST(PlatformCalls, DecodeResponsesToAttempts)
{
    const auto outcomeOf = [](int status, HttpFields fields) {
        return decodeAttemptResponse({.status = status, .fields = std::move(fields), .body = {}}).outcome;
    };
    EXPECT_EQ(outcomeOf(200, {{"X-Plantainweir-Response-Stamp", "s"}}), ProxyAttemptOutcome::Succeeded);
    EXPECT_EQ(outcomeOf(200, {}), ProxyAttemptOutcome::ConnectionLost) << "a successful response without the signature does not come from the upstream";
    for (const char *coding : {"gzip", "br", "identity", "unheard-of"}) {
        EXPECT_EQ(outcomeOf(200, {{"X-Plantainweir-Response-Stamp", "s"}, {"content-encoding", coding}}), ProxyAttemptOutcome::ConnectionLost)
            << "a coded body is not that of the upstream";
    }
    EXPECT_EQ(outcomeOf(500, {{"X-Plantainweir-Response-Stamp", "s"}, {"Content-Encoding", "gzip"}}), ProxyAttemptOutcome::ServerError);
    EXPECT_EQ(outcomeOf(503, {{"X-Plantainweir-Not-Executed", "1"}}), ProxyAttemptOutcome::Shed);
    EXPECT_EQ(outcomeOf(503, {}), ProxyAttemptOutcome::ServerError);
    EXPECT_EQ(outcomeOf(504, {}), ProxyAttemptOutcome::ServerError);
    EXPECT_EQ(outcomeOf(421, {}), ProxyAttemptOutcome::Replaced);
    EXPECT_EQ(outcomeOf(404, {}), ProxyAttemptOutcome::Succeeded);
}

TEST(PlatformCalls, DecodeWhatAnUpstreamSaysAboutFurtherCalls)
{
    const HttpFields leaving{{"X-Plantainweir-Response-Stamp", "s"}, {"Server-Leaving", "1"}};
    EXPECT_TRUE(decodeAttemptResponse({.status = 200, .fields = leaving, .body = {}}).notice.isLeaving);
    EXPECT_TRUE(decodeProbeResponse({.status = 503, .fields = leaving, .body = {}}, {.key = 1, .id = "i-1"}).notice.isLeaving);
    EXPECT_FALSE(decodeAttemptResponse({.status = 200, .fields = {{"Server-Leaving", "0"}}, .body = {}}).notice.isLeaving);
    const auto quietTimeOf = [](int status, const std::string &retryAfter) {
        return decodeAttemptResponse({.status = status, .fields = {{"X-Plantainweir-Not-Executed", "1"}, {"Retry-After", retryAfter}}, .body = {}})
            .notice.quietTime;
    };
    EXPECT_EQ(quietTimeOf(503, "1.5"), std::chrono::milliseconds(1500));
    EXPECT_EQ(quietTimeOf(429, "1.5"), std::nullopt);
    for (const char *text : {"", "-1", "0", "soon", "nan", "Fri, 31 Dec 2027 23:59:59 GMT", "1e999"}) {
        EXPECT_EQ(quietTimeOf(503, text), std::nullopt) << text;
    }
    EXPECT_GT(quietTimeOf(503, "1e300"), std::chrono::hours(1));
}

TEST(PlatformCalls, ParseLoadReports)
{
    const auto load = parseLoadHeader("2,1,8,500");
    ASSERT_TRUE(load);
    EXPECT_EQ(load->running, 2U);
    EXPECT_EQ(load->waiting, 1U);
    EXPECT_EQ(load->slots, 8U);
    EXPECT_DOUBLE_EQ(load->workTimeFactor, 5.0);
    EXPECT_DOUBLE_EQ(parseLoadHeader("2,1,8")->workTimeFactor, 1.0);
    for (const char *text : {"", "2,1", "a,b,c", "2,,8", "-1,0,3"}) {
        EXPECT_FALSE(parseLoadHeader(text)) << text;
    }
}

TEST(PlatformCalls, DetectAnotherUpstreamAtTheAddress)
{
    const RegisteredUpstream upstream{.key = 1, .id = "i-1"};
    const HttpResponse other{.status = 200, .fields = {{"X-Plantainweir-Instance-Id", "i-2"}}, .body = {}};
    EXPECT_EQ(decodeProbeResponse(other, upstream).outcome, ProbeOutcome::Replaced);
    const HttpResponse unhealthy{.status = 503, .fields = {{"X-Plantainweir-Instance-Id", "i-1"}}, .body = {}};
    EXPECT_EQ(decodeProbeResponse(unhealthy, upstream).outcome, ProbeOutcome::Unhealthy);
}

TEST(PlatformCalls, DecodeHowLongAnUpstreamStaysCold)
{
    const RegisteredUpstream upstream{.key = 1, .id = "i-1"};
    const auto coldTimeOf = [&upstream](const std::string &text) {
        const HttpResponse response{.status = 200, .fields = {{"X-Plantainweir-Instance-Id", "i-1"}, {"X-Plantainweir-Cold-Ms", text}}, .body = {}};
        return decodeProbeResponse(response, upstream).coldTime;
    };
    EXPECT_EQ(coldTimeOf("2500"), Duration(std::chrono::milliseconds(2500)));
    EXPECT_EQ(coldTimeOf("0.5"), Duration(std::chrono::microseconds(500)));
    for (const char *warm : {"0", "", "-3", "soon", "nan"}) {
        EXPECT_EQ(coldTimeOf(warm), Duration(0)) << warm;
    }
    EXPECT_EQ(coldTimeOf("1e300"), Duration(std::chrono::minutes(10)));
}

TEST(PlatformStore, DecodesTheCallsThatAColdUpstreamBears)
{
    const auto rateOf = [](const char *spec) {
        QJsonObject service{{"resourceKind", "services"}, {"metadata", QJsonObject{{"name", "s1"}}}, {"spec", parseObject(spec)}};
        const auto table = decodeRouteTable({{"version", 7}, {"resources", QJsonArray{service}}});
        return table->services.at("s1").coldCallsPerSecond;
    };
    EXPECT_DOUBLE_EQ(rateOf(R"({"coldPerS":4.5})"), 4.5);
    for (const char *unlimited : {"{}", R"({"coldPerS":0})", R"({"coldPerS":-1})", R"({"coldPerS":"4"})"}) {
        EXPECT_DOUBLE_EQ(rateOf(unlimited), 0.0) << unlimited;
    }
}

TEST(PlatformDirectory, AnswersOnlyDirectoryQueries)
{
    const auto query = decodeDirectoryQuery({.method = "GET", .target = "/v1/resolve?name=h.example&region=r&zone=z-1", .fields = {}, .body = {}});
    ASSERT_TRUE(query);
    EXPECT_EQ(query->host, "h.example");
    EXPECT_EQ(query->availabilityZone, "z-1");
    EXPECT_FALSE(decodeDirectoryQuery({.method = "GET", .target = "/v1/other", .fields = {}, .body = {}}));
    const HttpResponse answer = encodeDirectoryAnswer({{.address = "10.0.0.1", .port = 80}}, std::chrono::seconds(2));
    EXPECT_EQ(answer.body, R"({"addresses":["10.0.0.1:80"],"ttl":"2000ms"})");
    EXPECT_EQ(encodeDirectoryAnswer({}, std::chrono::seconds(2)).status, 503);
}

}
}
