#include "configuration/configurationjson.h"
#include "configuration/inventory.h"
#include "configuration/rulesfile.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace Plantainweir {
namespace {

constexpr auto Header = "service,upstream,address,availability_zone,slots,connection_limit\n";

struct ParsedInventory {
    std::optional<ServiceMap> services;
    std::vector<FileError> errors;
};

ParsedInventory parseText(const std::string &text)
{
    ParsedInventory parsed;
    parsed.services = collectErrors(
        [&text] {
            return parseInventory(text, "inventory.csv");
        },
        parsed.errors);
    return parsed;
}

std::vector<FileError> rulesErrors(const std::string &text)
{
    std::vector<FileError> errors;
    collectErrors(
        [&text] {
            return parseRules(text, "rules.yaml");
        },
        errors);
    return errors;
}

std::vector<std::string> formatAll(const std::vector<FileError> &errors)
{
    std::vector<std::string> lines;
    std::transform(errors.begin(), errors.end(), std::back_inserter(lines), [](const FileError &error) {
        return toString(error);
    });
    return lines;
}

TEST(Inventory, ParsesQuotedFieldsAndColumnsInAnyOrderAndIgnoresOthers)
{
    const auto parsed = parseText("\xEF\xBB\xBF"
                                  "Asset,Slots,\"Availability Zone\",Service,Upstream,Address,\"Connection limit\"\r\n"
                                  "\"Rack 4, \"\"left\"\"\nbottom\",3,regina,rinkdesk,rinkdesk-1,10.1.0.1:80,200\r\n"
                                  "\r\n"
                                  "x,3,regina,rinkdesk,rinkdesk-2,[fd00::1]:80,200");
    ASSERT_TRUE(parsed.services) << toString(parsed.errors.front());
    const Service &service = parsed.services->at("rinkdesk");
    ASSERT_EQ(service.upstreams.size(), 2U);
    EXPECT_EQ(service.upstreams[0],
              (Upstream{.name = "rinkdesk-1", .endpoint = {"10.1.0.1", 80}, .availabilityZone = "regina", .slots = 3, .connectionLimit = 200}));
    EXPECT_EQ(service.upstreams[1].endpoint, (Endpoint{"fd00::1", 80}));
}

TEST(Inventory, ReportsEveryErrorWithItsLine)
{
    const auto parsed = parseText(std::string(Header)
                                  + "rinkdesk,a,10.0.0.1:80,regina,three,200\n"
                                    "\"rinkdesk\n\",b,rink.example:80,Regina,0,200\n"
                                    "rinkdesk,a,10.0.0.1:80,regina,3,2\n"
                                    "rinkdesk,c,10.0.0.1,regina\n");
    EXPECT_FALSE(parsed.services);
    EXPECT_EQ(formatAll(parsed.errors),
              (std::vector<std::string>{
                  "inventory.csv:2: slots is \"three\"; allowed: a whole number from 1 to 10000",
                  "inventory.csv:3: address is \"rink.example:80\"; allowed: IP:port or [IPv6]:port, an IP number and a port from 1 to 65535",
                  "inventory.csv:3: service is \"rinkdesk\n\"; allowed: 1 to 63 lower-case letters, digits and inner hyphens",
                  "inventory.csv:3: availability_zone is \"Regina\"; allowed: 1 to 63 lower-case letters, digits and inner hyphens",
                  "inventory.csv:3: slots is 0; allowed: a whole number from 1 to 10000",
                  "inventory.csv:5: connection_limit is 2; allowed: at least the 3 slots",
                  "inventory.csv:5: upstream \"a\" appears twice in the service; allowed: once",
                  "inventory.csv:5: address 10.0.0.1:80 appears twice in the service; allowed: once",
                  "inventory.csv:6: the row has 4 fields; allowed: 6, as in the header",
              }));
}

TEST(Inventory, RejectsUnusableFiles)
{
    for (const std::string text : {"", "\n\n", "service,upstream\n", "service,upstream,address,availability_zone,slots,connection_limit\n"}) {
        EXPECT_FALSE(parseText(text).errors.empty()) << text;
    }
    const auto broken = parseText(std::string(Header) + "rinkdesk,\"a\"b,10.0.0.1:80,regina,3,200\n");
    ASSERT_FALSE(broken.errors.empty());
    EXPECT_EQ(broken.errors.front().line, 2U);
    const auto unfinished = parseText(std::string(Header) + "rinkdesk,\"a,10.0.0.1:80,regina,3,200\n");
    ASSERT_FALSE(unfinished.errors.empty());
    EXPECT_EQ(unfinished.errors.front().line, 2U);
}

TEST(RulesFile, ReportsEveryErrorWithItsLine)
{
    EXPECT_EQ(formatAll(rulesErrors("probes_per_second: many\n"
                                    "colour: blue\n"
                                    "work_kinds:\n"
                                    "  - name: lookup\n"
                                    "    rank: lowest\n"
                                    "    target_ms: 0\n"
                                    "    worth: 1\n"
                                    "    repeatability: idempotent\n"
                                    "  - name: lookup\n"
                                    "    rank: low\n"
                                    "    target_ms: 1e300\n"
                                    "    worth: -1\n"
                                    "  - 7\n")),
              (std::vector<std::string>{
                  "rules.yaml:1: probes_per_second is \"many\"; allowed: a number",
                  "rules.yaml:2: key is \"colour\"; allowed: probes_per_second, work_kinds",
                  "rules.yaml:4: target_ms is 0; allowed: above 0 up to 600000",
                  "rules.yaml:5: rank is \"lowest\"; allowed: top, middle, low",
                  "rules.yaml:9: repeatability is missing; allowed: one value",
                  "rules.yaml:9: target_ms is 0; allowed: above 0 up to 600000",
                  "rules.yaml:9: worth is -1; allowed: above 0 up to 1000000",
                  "rules.yaml:9: work kind \"lookup\" appears twice; allowed: once",
                  "rules.yaml:13: the work kind is not a mapping; allowed keys: name, rank, target_ms, worth, repeatability",
              }));
}

TEST(RulesFile, RejectsInvalidFiles)
{
    for (const std::string text : {"", "[]", "work_kinds: 3", "a: [", "\t- x", "work_kinds: *unknown", "work_kinds: []\nprobes_per_second: nan"}) {
        EXPECT_FALSE(rulesErrors(text).empty()) << text;
    }
}

TEST(Examples, AreValidAndSurviveEncoding)
{
    struct Expected {
        std::string folder;
        std::map<std::string, std::size_t> upstreams;
    };
    const std::vector<Expected> examples{
        {"northern-blade", {{"rinkdesk", 20}, {"tillside", 8}}},
        {"northern-blade-demo", {{"rinkdesk", 6}, {"tillside", 4}}},
        {"sabarmati", {{"order-desk", 30}, {"payment", 6}}},
    };
    for (const Expected &example : examples) {
        const std::string folder = std::string(PLANTAINWEIR_SOURCE_DIR "/examples/") + example.folder;
        std::vector<FileError> errors;
        const auto services = collectErrors(
            [&folder] {
                return readInventory(folder + "/inventory.csv");
            },
            errors);
        const auto rules = collectErrors(
            [&folder] {
                return readRules(folder + "/rules.yaml");
            },
            errors);
        ASSERT_TRUE(errors.empty()) << toString(errors.front());
        for (const auto &[name, count] : example.upstreams) {
            const Service &service = services->at(name);
            EXPECT_EQ(service.upstreams.size(), count);
            EXPECT_EQ(decodeService(encodeService(service)).value(), service);
        }
        EXPECT_EQ(decodeRules(encodeRules(*rules)).value(), *rules);
    }
}

}
}
