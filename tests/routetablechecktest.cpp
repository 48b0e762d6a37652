#include "configuration/routetablecheck.h"
#include "configuration/routetablediff.h"

#include <gtest/gtest.h>

#include <algorithm>

/** Findings about route tables, and the differences between two of them. */
namespace Plantainweir {
namespace {

KeyDigest digestOf(std::uint8_t value)
{
    KeyDigest digest{};
    digest.fill(value);
    return digest;
}

/** A table without findings. */
RouteTable soundTable()
{
    RouteTable table;
    table.version = 1;
    table.routes.push_back({.name = "sales",
                            .host = "rink.example",
                            .pathPrefix = "/sales/",
                            .timeout = std::chrono::seconds(2),
                            .target = std::chrono::milliseconds(250),
                            .maximumAttempts = 2,
                            .targets = {{.service = "tillside"}}});
    table.services["tillside"] = {.name = "tillside", .healthPath = "/health", .connectionLimit = 100};
    table.accounts["franchise"] = {.name = "franchise", .keys = {digestOf(1)}, .callsPerSecond = 10.0, .burst = 10.0};
    return table;
}

/** Returns the fields of the findings of @p severity. */
std::vector<std::string> fieldsOf(const RouteTable &table, FindingSeverity severity, const FleetSettings &settings = {})
{
    std::vector<std::string> fields;
    for (const Finding &finding : findingsIn(table, settings)) {
        if (finding.severity == severity) {
            fields.push_back(finding.field);
        }
    }
    return fields;
}

using Fields = std::vector<std::string>;

TEST(RouteTableCheckTest, ASoundTableHasNoFindings)
{
    EXPECT_TRUE(findingsIn(soundTable(), {.retryShare = 0.2}).empty());
}

TEST(RouteTableCheckTest, ARouteThatAnEqualOneHidesNeverMatches)
{
    RouteTable table = soundTable();
    table.routes.push_back(table.routes.front());
    table.routes.back().name = "hidden";
    EXPECT_EQ(fieldsOf(table, FindingSeverity::Error), Fields{"path prefix"});
    EXPECT_NE(findingsIn(table, {}).front().message.find("\"sales\""), std::string::npos);
}

TEST(RouteTableCheckTest, ALongerPrefixHidesNoRoute)
{
    RouteTable table = soundTable();
    table.routes.push_back(table.routes.front());
    table.routes.back().name = "longer";
    table.routes.back().pathPrefix = "/sales/refunds/";
    EXPECT_TRUE(findingsIn(table, {}).empty());
}

TEST(RouteTableCheckTest, FindsDestinationsThatGetNoCalls)
{
    RouteTable table = soundTable();
    table.routes.front().targets = {{.service = "tillside", .weight = 0}, {.service = "absent", .weight = 0}};
    EXPECT_EQ(fieldsOf(table, FindingSeverity::Error), (Fields{"service", "weight"}));
    EXPECT_EQ(fieldsOf(table, FindingSeverity::Warning), (Fields{"weight", "weight"}));
}

TEST(RouteTableCheckTest, FindsAServiceThatNoRouteNames)
{
    RouteTable table = soundTable();
    table.services["spare"] = {.name = "spare", .healthPath = "/health", .connectionLimit = 100};
    ASSERT_EQ(findingsIn(table, {}).size(), 1U);
    EXPECT_EQ(findingsIn(table, {}).front().name, "spare");
}

TEST(RouteTableCheckTest, FindsLimitsThatContradictEachOther)
{
    RouteTable table = soundTable();
    table.routes.front().target = std::chrono::seconds(3);
    table.accounts.at("franchise").burst = 0.5;
    table.limits.headerBytes = 0;
    EXPECT_EQ(fieldsOf(table, FindingSeverity::Error), (Fields{"target", "header bytes"}));
    EXPECT_EQ(fieldsOf(table, FindingSeverity::Warning), Fields{"burst"}) << "calls pass by the tolerated excess";
    EXPECT_EQ(fieldsOf(soundTable(), FindingSeverity::Warning, {.retryShare = 0.0}), Fields{"attempts"});
}

TEST(RouteTableCheckTest, FindsABodyLimitBelowWhatRoutesNeed)
{
    RouteTable table = soundTable();
    table.limits.bodyBytes = 1000;
    EXPECT_TRUE(findingsIn(table, {.largestBodyBytes = 1000}).empty());
    EXPECT_EQ(fieldsOf(table, FindingSeverity::Error, {.largestBodyBytes = 1001}), Fields{"body bytes"});
    table.limits.bodyBytes = 0;
    EXPECT_EQ(fieldsOf(table, FindingSeverity::Warning), Fields{"body bytes"});
    table.routes.front().repeatability = Repeatability::Idempotent;
    EXPECT_TRUE(findingsIn(table, {}).empty()) << "reads need no body";
}

TEST(RouteTableCheckTest, FindsATimeoutAboveWhatAColdUpstreamBears)
{
    RouteTable table = soundTable();
    table.services.at("tillside").coldCallsPerSecond = 50.0;
    EXPECT_TRUE(findingsIn(table, {}).empty()) << "50 calls a second of 2 s each take all 100 connections";
    table.routes.front().timeout = std::chrono::milliseconds(2100);
    ASSERT_EQ(fieldsOf(table, FindingSeverity::Warning), Fields{"timeout"});
    EXPECT_NE(findingsIn(table, {}).front().message.find("need 105 connections"), std::string::npos);
    table.routes.front().targets = {{.service = "tillside", .weight = 0}, {.service = "other", .weight = 1}};
    table.services["other"] = {.name = "other", .healthPath = "/health", .connectionLimit = 1};
    EXPECT_EQ(fieldsOf(table, FindingSeverity::Warning), Fields{"weight"}) << "a service without calls needs no connections";
}

TEST(RouteTableCheckTest, FindsARouteOfNoHostAndAPublicOneWithoutAccounts)
{
    RouteTable table = soundTable();
    table.accounts.clear();
    table.routes.front().host.clear();
    table.routes.front().isPublic = true;
    EXPECT_EQ(fieldsOf(table, FindingSeverity::Error), Fields{"host"});
    EXPECT_EQ(fieldsOf(table, FindingSeverity::Warning), Fields{"public"});
}

TEST(RouteTableDiffTest, EqualTablesOfTwoVersionsDoNotDiffer)
{
    RouteTable after = soundTable();
    after.version = 2;
    EXPECT_TRUE(differences(soundTable(), after).empty());
}

TEST(RouteTableDiffTest, NamesWhatCallersNotice)
{
    RouteTable after = soundTable();
    after.routes.front().targets = {{.service = "rinkdesk", .weight = 1}};
    after.services["rinkdesk"] = after.services.at("tillside");
    after.accounts.at("franchise").keys = {digestOf(2)};
    after.accounts.at("franchise").callsPerSecond = 5.0;
    after.limits.bodyBytes /= 2;
    std::vector<std::string> effects;
    for (const RouteTableDifference &row : differences(soundTable(), after)) {
        effects.push_back(row.effect);
    }
    EXPECT_EQ(effects,
              (std::vector<std::string>{
                  "calls go to rinkdesk", "", "calls with the key 010101010101 are refused; fewer calls pass", "calls with larger bodies are refused"}));
}

TEST(RouteTableDiffTest, ARemovedRouteAndAccountRefuseTheirCalls)
{
    RouteTable after = soundTable();
    after.routes.clear();
    after.accounts.clear();
    const auto found = differences(soundTable(), after);
    ASSERT_EQ(found.size(), 2U);
    EXPECT_EQ(found[0].effect, "calls are refused as not found");
    EXPECT_EQ(found[1].effect, "its calls are refused");
}

}
}
