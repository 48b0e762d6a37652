#include "core/commandline.h"
#include "fakes/invariantchecker.h"

#include <QString>
#include <QStringList>
#include <fmt/core.h>

#include <fstream>
#include <optional>
#include <sstream>

using namespace Plantainweir;

namespace {

std::optional<std::string> readFile(const std::string &name)
{
    std::ifstream file(name);
    if (!file.is_open()) {
        fmt::print(stderr, "plantainweir-judge: {} cannot be read\n", name);
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    for (const QString &part : QString::fromStdString(text).split(QLatin1Char(','), Qt::SkipEmptyParts)) {
        parts.push_back(part.toStdString());
    }
    return parts;
}

Result<bool> run(const CommandLine &commandLine)
{
    std::vector<CallRecord> records;
    for (const std::string &name : splitList(commandLine.text("records"))) {
        BOOST_LEAF_AUTO(more, parseRecords(readFile(name).value_or("unreadable")));
        records.insert(records.end(), more.begin(), more.end());
    }
    ExecutionCounts counts;
    for (const std::string &name : splitList(commandLine.text("executions"))) {
        if (!addExecutions(counts, readFile(name).value_or("unreadable"))) {
            return failure(name + " is not a JSON object");
        }
    }
    const CheckResult result = checkCalls(records, counts);
    fmt::print("{}", toTable(result));
    const auto ignored = commandLine.isOn("allow-cut-off") ? std::vector{InvariantViolation::InterruptedCall} : std::vector<InvariantViolation>{};
    return hasNoViolations(result, ignored) && records.size() >= static_cast<std::size_t>(commandLine.integer("at-least"));
}

}

int main(int argc, char **argv)
{
    CommandLine commandLine("plantainweir-judge",
                            "Checks the outcomes that callers received against the executions that fake upstreams counted; exits with 0 if none is wrong.");
    commandLine.addText("records", "files of plantainweir-call --record, separated by commas");
    commandLine.addText("executions", "files with answers of GET /fake/executions, separated by commas");
    commandLine.addInteger("at-least", "minimum number of calls in the records", 0, 100'000'000, 1);
    commandLine.addSwitch("allow-cut-off", "accept calls with lost connections, for runs with injected faults");
    if (const auto status = commandLine.parse(argc, argv)) {
        return static_cast<int>(*status);
    }
    const bool isPassed = valueOr(
        [&commandLine] {
            return run(commandLine);
        },
        [](const Error &error) {
            fmt::print(stderr, "plantainweir-judge: {}\n", error.message);
            return false;
        });
    return static_cast<int>(isPassed ? ExitStatus::Success : ExitStatus::Failure);
}
