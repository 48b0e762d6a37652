#include "core/commandline.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace Plantainweir {
namespace {

void addSettings(CommandLine &commandLine)
{
    commandLine.addEndpoint("caller-port", "where callers connect", "127.0.0.1:8080");
    commandLine.addInteger("members", "number of members", 1, 18, 3);
    commandLine.addOptionalDuration("patience", "how long to wait");
    commandLine.addSwitch("verbose", "more output");
    commandLine.addEndpointList("seeds", "first members");
    commandLine.addPositional("COMMAND", "what to do", 2);
}

std::optional<ExitStatus> parse(CommandLine &commandLine, std::vector<const char *> arguments)
{
    arguments.insert(arguments.begin(), "example");
    return commandLine.parse(static_cast<int>(arguments.size()), arguments.data());
}

TEST(CommandLine, UsesDefaults)
{
    CommandLine commandLine("example", "An example.");
    addSettings(commandLine);
    EXPECT_EQ(parse(commandLine, {}), std::nullopt);
    EXPECT_EQ(commandLine.endpoint("caller-port"), (Endpoint{"127.0.0.1", 8080}));
    EXPECT_EQ(commandLine.integer("members"), 3);
    EXPECT_FALSE(commandLine.isOn("verbose"));
    EXPECT_TRUE(commandLine.endpointList("seeds").empty());
}

TEST(CommandLine, FlagOverridesEnvironment)
{
    ::setenv("PLANTAINWEIR_MEMBERS", "5", 1);
    CommandLine fromEnvironment("example", "An example.");
    addSettings(fromEnvironment);
    EXPECT_EQ(parse(fromEnvironment, {}), std::nullopt);
    EXPECT_EQ(fromEnvironment.integer("members"), 5);
    CommandLine fromFlag("example", "An example.");
    addSettings(fromFlag);
    EXPECT_EQ(parse(fromFlag, {"--members", "7"}), std::nullopt);
    EXPECT_EQ(fromFlag.integer("members"), 7);
    ::unsetenv("PLANTAINWEIR_MEMBERS");
}

TEST(CommandLine, ReportsFlagValueAndAllowedValues)
{
    CommandLine commandLine("example", "An example.");
    addSettings(commandLine);
    testing::internal::CaptureStderr();
    EXPECT_EQ(parse(commandLine, {"--members", "99"}), ExitStatus::Usage);
    EXPECT_EQ(testing::internal::GetCapturedStderr(), "example: --members is \"99\"; allowed: a whole number from 1 to 18\n");
}

// A deployment without the value renders its template to an empty one.
TEST(CommandLine, AnEmptyOptionalDurationCountsAsNotGiven)
{
    for (const std::vector<const char *> &arguments : {std::vector<const char *>{}, {"--patience="}, {"--patience", ""}}) {
        CommandLine commandLine("example", "An example.");
        addSettings(commandLine);
        EXPECT_EQ(parse(commandLine, arguments), std::nullopt);
        EXPECT_EQ(commandLine.optionalDuration("patience"), std::nullopt);
    }
    CommandLine given("example", "An example.");
    addSettings(given);
    EXPECT_EQ(parse(given, {"--patience=5000ms", "--members=4"}), std::nullopt);
    EXPECT_EQ(given.optionalDuration("patience"), Duration(std::chrono::seconds(5)));
    CommandLine wrong("example", "An example.");
    addSettings(wrong);
    testing::internal::CaptureStderr();
    EXPECT_EQ(parse(wrong, {"--patience=soon"}), ExitStatus::Usage);
    EXPECT_NE(testing::internal::GetCapturedStderr().find("--patience is \"soon\""), std::string::npos);
    CommandLine required("example", "An example.");
    addSettings(required);
    testing::internal::CaptureStderr();
    EXPECT_EQ(parse(required, {"--members="}), ExitStatus::Usage) << "only optional settings may be empty";
    testing::internal::GetCapturedStderr();
}

TEST(CommandLine, RejectsHostNames)
{
    CommandLine commandLine("example", "An example.");
    addSettings(commandLine);
    testing::internal::CaptureStderr();
    EXPECT_EQ(parse(commandLine, {"--caller-port", "localhost:80"}), ExitStatus::Usage);
    EXPECT_NE(testing::internal::GetCapturedStderr().find("localhost:80"), std::string::npos);
}

TEST(CommandLine, AnEmptyOptionalSettingIsLeftOut)
{
    const auto parsed = [](const std::vector<const char *> &arguments) {
        auto commandLine = std::make_unique<CommandLine>("example", "An example.");
        commandLine->addOptionalNumber("slack", "a number", 0.0, 10.0);
        commandLine->addOptionalDuration("window", "a time");
        EXPECT_EQ(parse(*commandLine, arguments), std::nullopt);
        return commandLine;
    };
    EXPECT_EQ(parsed({"--slack=2.5", "--window=5s"})->optionalNumber("slack"), 2.5);
    EXPECT_EQ(parsed({"--slack=2.5", "--window=5s"})->optionalDuration("window"), std::chrono::seconds(5));
    EXPECT_EQ(parsed({"--slack=", "--window="})->optionalNumber("slack"), std::nullopt);
    EXPECT_EQ(parsed({"--slack=", "--window="})->optionalDuration("window"), std::nullopt);
    EXPECT_EQ(parsed({})->optionalNumber("slack"), std::nullopt);
    ::setenv("PLANTAINWEIR_SLACK", "", 1);
    EXPECT_EQ(parsed({})->optionalNumber("slack"), std::nullopt);
    ::unsetenv("PLANTAINWEIR_SLACK");
}

TEST(CommandLine, AnEmptyOrInvalidSettingIsReported)
{
    for (const char *argument : {"--slack=11", "--slack=x", "--members="}) {
        CommandLine commandLine("example", "An example.");
        addSettings(commandLine);
        commandLine.addOptionalNumber("slack", "a number", 0.0, 10.0);
        testing::internal::CaptureStderr();
        EXPECT_EQ(parse(commandLine, {argument}), ExitStatus::Usage) << argument;
        testing::internal::GetCapturedStderr();
    }
}

TEST(CommandLine, ParsesPositionalArgumentsAndSwitches)
{
    CommandLine commandLine("example", "An example.");
    addSettings(commandLine);
    EXPECT_EQ(parse(commandLine, {"apply", "--verbose", "--seeds", "127.0.0.1:1,[::1]:2"}), std::nullopt);
    EXPECT_EQ(commandLine.positional(), std::vector<std::string>{"apply"});
    EXPECT_TRUE(commandLine.isOn("verbose"));
    EXPECT_EQ(commandLine.endpointList("seeds").size(), 2U);
}

}
}
