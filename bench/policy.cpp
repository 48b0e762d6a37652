#include "core/commandline.h"
#include "policyreport.h"
#include "policytable.h"
#include "subcommands.h"

#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <limits>

namespace Plantainweir {
namespace {

constexpr std::int64_t DefaultCalls = 100'000;
constexpr std::int64_t MinimumCalls = 100;
constexpr std::int64_t MaximumCalls = 10'000'000;

template<typename Enum>
std::vector<std::string> namesOf()
{
    std::vector<std::string> names;
    for (const auto &row : enumNames(Enum{})) {
        names.emplace_back(row.name);
    }
    return names;
}

/** Writes @p content to the file, or to standard output if none is named. */
ExitStatus write(const std::string &file, const std::string &content)
{
    if (file.empty()) {
        fmt::print("{}", content);
        return ExitStatus::Success;
    }
    std::ofstream stream(file, std::ios::binary);
    stream << content;
    stream.close();
    if (!stream) {
        fmt::print(stderr, "plantainweir-bench policy: {} cannot be written\n", file);
        return ExitStatus::Failure;
    }
    return ExitStatus::Success;
}

void addSettings(CommandLine &commandLine)
{
    commandLine.addChoice("deployment", "fleet to simulate", namesOf<Deployment>(), "northern-blade");
    commandLine.addChoice("scenario", "load and faults of the run", namesOf<Scenario>(), "steady-70");
    commandLine.addChoice("policy", "how calls are distributed over upstreams", namesOf<Policy>(), "product");
    commandLine.addInteger("seed", "seed of all random numbers", 0, std::numeric_limits<std::int64_t>::max(), 1);
    commandLine.addInteger("calls", "expected number of calls; sets the duration of the run", MinimumCalls, MaximumCalls, DefaultCalls);
    commandLine.addNumber("flood-factor", "load of a flood as a multiple of capacity", 0.0, 100.0, 4.0);
    commandLine.addText("json", "file for the summary; standard output if empty", "");
    commandLine.addText("trace", "file for a trace with one line for each call; no trace if empty", "");
}

RunSettings settingsFrom(const CommandLine &commandLine)
{
    return {
        .deployment = *valueNamed<Deployment>(commandLine.text("deployment")),
        .scenario = *valueNamed<Scenario>(commandLine.text("scenario")),
        .seed = static_cast<std::uint64_t>(commandLine.integer("seed")),
        .calls = static_cast<std::size_t>(commandLine.integer("calls")),
        .floodFactor = commandLine.number("flood-factor"),
    };
}

}

int runPolicies(int argc, char **argv)
{
    CommandLine commandLine("plantainweir-bench policies", "Runs all policies through all scenarios and writes tables and a plot.");
    commandLine.addChoice("deployment", "fleet to simulate", namesOf<Deployment>(), "northern-blade");
    commandLine.addInteger("seed", "seed of all random numbers", 0, std::numeric_limits<std::int64_t>::max(), 1);
    commandLine.addInteger("calls", "expected number of calls of each run", MinimumCalls, MaximumCalls, DefaultCalls);
    commandLine.addText("markdown", "file for the table; standard output if empty", "");
    commandLine.addText("csv", "file for the figures of each rank; standard output if empty", "");
    commandLine.addText("svg", "file for the plot; standard output if empty", "");
    if (const auto status = commandLine.parse(argc, argv)) {
        return static_cast<int>(*status);
    }
    const auto rows = runAll(*valueNamed<Deployment>(commandLine.text("deployment")),
                             static_cast<std::uint64_t>(commandLine.integer("seed")),
                             static_cast<std::size_t>(commandLine.integer("calls")));
    const bool isWritten = write(commandLine.text("markdown"), toMarkdown(rows)) == ExitStatus::Success
                           && write(commandLine.text("csv"), toCsv(rows)) == ExitStatus::Success
                           && write(commandLine.text("svg"), toSvg(rows)) == ExitStatus::Success;
    return static_cast<int>(isWritten ? ExitStatus::Success : ExitStatus::Failure);
}

int runPolicy(int argc, char **argv)
{
    CommandLine commandLine("plantainweir-bench policy", "Measures the decisions under load and faults in virtual time.");
    addSettings(commandLine);
    if (const auto status = commandLine.parse(argc, argv)) {
        return static_cast<int>(*status);
    }
    const RunRecord record = runScenario(settingsFrom(commandLine), *valueNamed<Policy>(commandLine.text("policy")));
    const std::string trace = commandLine.text("trace");
    if (!trace.empty() && write(trace, traceOf(record)) != ExitStatus::Success) {
        return static_cast<int>(ExitStatus::Failure);
    }
    return static_cast<int>(write(commandLine.text("json"), toJson(record, summarise(record))));
}

}
