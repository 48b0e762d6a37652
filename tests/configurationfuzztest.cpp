#include "configuration/configurationcheck.h"
#include "configuration/configurationjson.h"
#include "configuration/inventory.h"
#include "configuration/rulesfile.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>

/** Feeds the parsers arbitrary and damaged texts. The environment variable RC_PARAMS sets another seed or number of texts. */
namespace Plantainweir {
namespace {

constexpr std::string_view Alphabet = "rules,\"\n\r:-{}[]&*!|>#%@ \t0123456789.eE\\'null true name slots\xEF\xBB\xBF\0";

std::string exampleText(const std::string &name)
{
    return readSourceFile(std::string(PLANTAINWEIR_SOURCE_DIR "/examples/northern-blade-demo/") + name).value();
}

/** Returns @p text with damage at random positions. */
std::string damaged(std::string text)
{
    const int damages = *rc::gen::inRange(1, 12);
    for (int count = 0; count < damages && !text.empty(); ++count) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            text[at] = Alphabet[*rc::gen::inRange<std::size_t>(0, Alphabet.size())];
            break;
        case 1:
            text.erase(at, *rc::gen::inRange<std::size_t>(1, 40));
            break;
        case 2:
            text.insert(at, text.substr(*rc::gen::inRange<std::size_t>(0, text.size()), 30));
            break;
        default:
            text.insert(at, *rc::gen::arbitrary<std::string>());
            break;
        }
    }
    return text;
}

void checkInventory(const std::string &text)
{
    std::vector<FileError> errors;
    const auto services = collectErrors(
        [&text] {
            return parseInventory(text, "inventory.csv");
        },
        errors);
    RC_ASSERT(services.has_value() == errors.empty());
    for (const auto &[name, service] : services.value_or(ServiceMap())) {
        RC_ASSERT(validate(service).empty());
        RC_ASSERT(decodeService(encodeService(service)).value() == service);
    }
}

void checkRules(const std::string &text)
{
    std::vector<FileError> errors;
    const auto rules = collectErrors(
        [&text] {
            return parseRules(text, "rules.yaml");
        },
        errors);
    RC_ASSERT(rules.has_value() == errors.empty());
    if (rules) {
        RC_ASSERT(validate(*rules).empty());
        RC_ASSERT(decodeRules(encodeRules(*rules)).value() == *rules);
    }
}

void checkJson(const std::string &text)
{
    decodeWriteRecords(text);
    valueOr(
        [&text]() -> Result<bool> {
            BOOST_LEAF_AUTO(service, decodeService(text));
            validate(service);
            RC_ASSERT(decodeService(encodeService(service)).value() == service);
            return true;
        },
        [](const Error &error) {
            RC_ASSERT(!error.message.empty());
            return false;
        });
    valueOr(
        [&text]() -> Result<bool> {
            BOOST_LEAF_AUTO(rules, decodeRules(text));
            validate(rules);
            return true;
        },
        [](const Error &error) {
            RC_ASSERT(!error.message.empty());
            return false;
        });
}

RC_GTEST_PROP(ConfigurationFuzz, ParsersHandleArbitraryText, (const std::string &text))
{
    checkInventory(text);
    checkRules(text);
    checkJson(text);
}

RC_GTEST_PROP(ConfigurationFuzz, InventoryParserHandlesDamagedFiles, ())
{
    checkInventory(damaged(exampleText("inventory.csv")));
}

RC_GTEST_PROP(ConfigurationFuzz, RulesParserHandlesDamagedFiles, ())
{
    checkRules(damaged(exampleText("rules.yaml")));
}

RC_GTEST_PROP(ConfigurationFuzz, JsonParsersHandleDamagedObjects, ())
{
    const ServiceMap services = parseInventory(exampleText("inventory.csv"), "inventory.csv").value();
    checkJson(damaged(encodeService(services.at("rinkdesk"), {{.base = 1, .id = "a"}})));
    checkJson(damaged(encodeRules(parseRules(exampleText("rules.yaml"), "rules.yaml").value())));
}

TEST(ConfigurationFuzz, DeepNestingIsAnErrorAndNoCrash)
{
    const std::string deep(200'000, '[');
    checkJson(deep);
    checkRules(deep);
    checkRules("work_kinds: " + deep);
    std::string maps;
    for (int depth = 0; depth < 20'000; ++depth) {
        maps += "{a: ";
    }
    checkRules(maps);
    checkInventory(std::string(200'000, '"'));
}

}
}

int main(int argc, char **argv)
{
    ::setenv("RC_PARAMS", "seed=20261204 max_success=2000", 0);
    testing::InitGoogleTest(&argc, argv);
    return RUN_ALL_TESTS();
}
