#include "filters/routechain.h"
#include "decision/weightedroundrobin.h"

#include <gtest/gtest.h>

#include <map>

namespace Plantainweir {
namespace {

constexpr TimePoint Now{std::chrono::seconds(1000)};

RouteTable makeTable()
{
    Route wide{.name = "wide", .host = "rink.example", .pathPrefix = "/a/"};
    wide.timeout = std::chrono::seconds(2);
    wide.targets = {{.service = "desk", .weight = 1}};
    Route narrow = wide;
    narrow.name = "narrow";
    narrow.pathPrefix = "/a/b/";
    return {.version = 3, .routes = {narrow, wide}, .services = {}, .limits = {}};
}

RoutedCall makeCall(const std::string &path)
{
    return {.host = "rink.example", .path = path, .requestId = "1", .timeLeft = std::chrono::seconds(1), .arrivedAt = Now};
}

RefusalReason refusalOf(const RoutedCall &call, const RouteEnvironment &environment)
{
    RouteContext context{.call = call};
    EXPECT_EQ(runRouteChain(context, environment), RouteOutcome::Refuse);
    return context.refusal;
}

TEST(RouteChain, LongestPrefixOfTheHostWins)
{
    const RouteTable table = makeTable();
    EXPECT_EQ(findRoute(table, "rink.example", "/a/b/c")->name, "narrow");
    EXPECT_EQ(findRoute(table, "rink.example", "/a/c")->name, "wide");
    EXPECT_EQ(findRoute(table, "rink.example", "/a"), nullptr);
    EXPECT_EQ(findRoute(table, "other.example", "/a/c"), nullptr);
}

TEST(RouteChain, ReportsUnknownRoutesOnlyWithAFreshTable)
{
    const RouteTable table = makeTable();
    EXPECT_EQ(refusalOf(makeCall("/x/"), {.table = table, .isTableFresh = true, .now = Now}), RefusalReason::UnknownRoute);
    EXPECT_EQ(refusalOf(makeCall("/x/"), {.table = table, .isTableFresh = false, .now = Now}), RefusalReason::NotReady);
    EXPECT_EQ(refusalOf(makeCall("/a/c"), {.table = RouteTable{}, .now = Now}), RefusalReason::NotReady);
}

// Guards against large uploads to slow upstreams that together take more memory than the process has.
TEST(RouteChain, LargeBodiesLeaveRoomForSmallOnes)
{
    const RouteTable table = makeTable();
    RoutedCall call = makeCall("/a/c");
    call.bodyBytes = 501;
    EXPECT_EQ(refusalOf(call, {.table = table, .freeBodyBytes = 1000, .now = Now}), RefusalReason::MemoryFull);
    call.bodyBytes = 500;
    RouteContext fitting{.call = call};
    EXPECT_EQ(runRouteChain(fitting, {.table = table, .freeBodyBytes = 1000, .now = Now}), RouteOutcome::Continue);
    call.bodyBytes = 0;
    RouteContext empty{.call = call};
    EXPECT_EQ(runRouteChain(empty, {.table = table, .freeBodyBytes = 0, .now = Now}), RouteOutcome::Continue);
}

constexpr KeyDigest ShopKey{1};
constexpr KeyDigest TillKey{2};

RouteTable makeTableWithAccounts()
{
    RouteTable table = makeTable();
    Route open = table.routes.back();
    open.name = "open";
    open.pathPrefix = "/open/";
    open.isPublic = true;
    table.routes.push_back(open);
    table.accounts["shop"] = {.name = "shop", .keys = {ShopKey}};
    table.accounts["till"] = {.name = "till", .keys = {TillKey}};
    return table;
}

RoutedCall makeCallWithKey(const std::string &path, const KeyDigest &key)
{
    RoutedCall call = makeCall(path);
    call.credential = {.kind = CredentialKind::Key, .digest = key};
    return call;
}

/** Returns the account of an admitted call; "none" if it belongs to none, and "refused" if it is not admitted. */
std::string accountOf(const RoutedCall &call, const RouteTable &table)
{
    const AccountIndex accounts = makeAccountIndex(table);
    RouteContext context{.call = call};
    if (runRouteChain(context, {.table = table, .accounts = &accounts, .now = Now}) == RouteOutcome::Refuse) {
        return "refused";
    }
    return context.account != nullptr ? context.account->name : "none";
}

TEST(RouteChain, AKeyDecidesTheAccount)
{
    const RouteTable table = makeTableWithAccounts();
    EXPECT_EQ(accountOf(makeCallWithKey("/a/c", ShopKey), table), "shop");
    EXPECT_EQ(accountOf(makeCallWithKey("/a/c", TillKey), table), "till");
    EXPECT_EQ(accountOf(makeCallWithKey("/a/c", KeyDigest{3}), table), "refused");
    RoutedCall malformed = makeCallWithKey("/a/c", ShopKey);
    malformed.credential.kind = CredentialKind::Malformed;
    EXPECT_EQ(accountOf(malformed, table), "refused");
    EXPECT_EQ(accountOf(makeCall("/a/c"), table), "refused");
}

TEST(RouteChain, PublicRoutesNeedNoKeyButKnowTheAccount)
{
    const RouteTable table = makeTableWithAccounts();
    EXPECT_EQ(accountOf(makeCall("/open/c"), table), "none");
    EXPECT_EQ(accountOf(makeCallWithKey("/open/c", KeyDigest{3}), table), "none");
    EXPECT_EQ(accountOf(makeCallWithKey("/open/c", ShopKey), table), "shop");
}

TEST(RouteChain, ThePriorityOfAnAccountGoesBeforeThatOfTheRoute)
{
    const Route route{.name = "r", .priority = 2};
    const RoutedCall call = makeCall("/a/c");
    RouteContext context{.call = call, .route = &route};
    EXPECT_EQ(priorityOf(context), 2U);
    ClientAccount account{.name = "shop"};
    context.account = &account;
    EXPECT_EQ(priorityOf(context), 2U);
    account.priority = 0;
    EXPECT_EQ(priorityOf(context), 0U);
}

TEST(RouteChain, WithoutAccountsKeysMeanNothing)
{
    const RouteTable table = makeTable();
    EXPECT_EQ(accountOf(makeCall("/a/c"), table), "none");
    EXPECT_EQ(accountOf(makeCallWithKey("/a/c", ShopKey), table), "none");
}

TEST(RouteChain, AKeyThatANewerTableLacksIsRefused)
{
    RouteTable table = makeTableWithAccounts();
    EXPECT_EQ(accountOf(makeCallWithKey("/a/c", ShopKey), table), "shop");
    table.accounts["shop"].keys = {KeyDigest{4}};
    EXPECT_EQ(accountOf(makeCallWithKey("/a/c", ShopKey), table), "refused");
    EXPECT_EQ(accountOf(makeCallWithKey("/a/c", KeyDigest{4}), table), "shop");
}

TEST(RouteChain, ReportsUnknownKeysOnlyWithAFreshTable)
{
    const RouteTable table = makeTableWithAccounts();
    const AccountIndex accounts = makeAccountIndex(table);
    const RoutedCall call = makeCallWithKey("/a/c", KeyDigest{3});
    EXPECT_EQ(refusalOf(call, {.table = table, .accounts = &accounts, .now = Now}), RefusalReason::UnknownKey);
    EXPECT_EQ(refusalOf(call, {.table = table, .accounts = &accounts, .isTableFresh = false, .now = Now}), RefusalReason::NotReady)
        << "the key may have been added meanwhile";
    EXPECT_EQ(refusalOf(call, {.table = RouteTable{}, .now = Now}), RefusalReason::NotReady);
    EXPECT_EQ(refusalOf(makeCallWithKey("/a/c", ShopKey), {.table = table, .now = Now}), RefusalReason::UnknownKey) << "without an index, no key is known";
}

TEST(RouteChain, DeadlineIsTheEarlierOfCallerAndRoute)
{
    const RouteTable table = makeTable();
    const RoutedCall callerFirst = makeCall("/a/c");
    RouteContext context{.call = callerFirst};
    EXPECT_EQ(runRouteChain(context, {.table = table, .now = Now}), RouteOutcome::Continue);
    EXPECT_EQ(context.deadline, Now + std::chrono::seconds(1));
    RoutedCall routeFirst = makeCall("/a/c");
    routeFirst.timeLeft = std::chrono::seconds(9);
    RouteContext routeFirstContext{.call = routeFirst};
    EXPECT_EQ(runRouteChain(routeFirstContext, {.table = table, .now = Now}), RouteOutcome::Continue);
    EXPECT_EQ(routeFirstContext.deadline, Now + std::chrono::seconds(2));
}

TEST(RouteChain, RefusesWhileStoppingAndAfterTheDeadline)
{
    const RouteTable table = makeTable();
    EXPECT_EQ(refusalOf(makeCall("/a/c"), {.table = table, .isStopping = true, .now = Now}), RefusalReason::Stopping);
    // Guards against calls that are taken late in a planned stop and cut at its end.
    const RoutedCall call = makeCall("/a/c");
    const Duration timeout = std::min(findRoute(table, call.host, call.path)->timeout, call.timeLeft.value_or(std::chrono::hours(1)));
    const TimePoint deadline = call.arrivedAt + timeout;
    EXPECT_EQ(refusalOf(call, {.table = table, .interruptedAt = deadline - std::chrono::milliseconds(1), .now = Now}), RefusalReason::Stopping);
    RouteContext context{.call = call};
    EXPECT_EQ(runRouteChain(context, {.table = table, .interruptedAt = deadline, .now = Now}), RouteOutcome::Continue);
    EXPECT_EQ(refusalOf(makeCall("/a/c"), {.table = table, .now = Now + std::chrono::seconds(3)}), RefusalReason::DeadlinePassed);
}

TEST(WeightedRoundRobin, KeepsTheProportionsFromAnyStart)
{
    for (std::uint64_t start = 0; start < 100; ++start) {
        WeightedRoundRobin roundRobin = makeRoundRobin({{.service = "a", .weight = 90}, {.service = "b", .weight = 10}}, start);
        std::map<std::string, int> calls;
        for (int call = 0; call < 100; ++call) {
            ++calls[nextService(roundRobin)];
        }
        EXPECT_EQ(calls["a"], 90) << start;
        EXPECT_EQ(calls["b"], 10) << start;
    }
}

TEST(WeightedRoundRobin, ServiceWithoutWeightGetsNoCalls)
{
    WeightedRoundRobin roundRobin = makeRoundRobin({{.service = "a", .weight = 0}, {.service = "b", .weight = 5}}, 3);
    for (int call = 0; call < 20; ++call) {
        EXPECT_EQ(nextService(roundRobin), "b");
    }
    WeightedRoundRobin none = makeRoundRobin({{.service = "a", .weight = 0}}, 0);
    EXPECT_EQ(nextService(none), "");
}

}
}
