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
