#include "core/commandline.h"
#include "soak/soak.h"

#include <QCoreApplication>
#include <QTemporaryDir>

#include <fmt/core.h>

using namespace Plantainweir;

namespace {

/** Runs one soak; returns whether it found no violations. */
bool runSoak(std::uint64_t seed, const CommandLine &commandLine)
{
    QTemporaryDir directory;
    Soak soak({.seed = seed,
               .duration = std::chrono::duration_cast<std::chrono::seconds>(commandLine.duration("duration")),
               .entries = static_cast<std::size_t>(commandLine.number("entries")),
               .directory = directory.path().toStdString()});
    const SoakHistory &history = soak.run();
    fmt::print("seed {}: {} calls, {} answered, {} refused, {} without an answer, {} violations\n",
               seed,
               history.calls.size(),
               history.answered,
               history.refused,
               history.unanswered,
               history.violations.size());
    for (const std::string &violation : history.violations) {
        fmt::print("  {}\n", violation);
    }
    if (!history.violations.empty()) {
        directory.setAutoRemove(false);
        fmt::print("  logs: {}\n", directory.path().toStdString());
    }
    std::fflush(stdout);
    return history.violations.empty();
}

}

int main(int argc, char **argv)
{
    CommandLine commandLine("plantainweir-soak", "Runs gatewayd with a fake store and fake upstreams, and injects faults that seeds select.");
    commandLine.addNumber("first-seed", "seed of the first run", 0.0, 1e15);
    commandLine.addNumber("seeds", "number of runs", 1.0, 10'000.0);
    commandLine.addDuration("duration", "time in which faults are injected in each run");
    commandLine.addNumber("entries", "number of entry VMs in each run", 1.0, 60.0);
    if (const auto status = commandLine.parse(argc, argv)) {
        return static_cast<int>(*status);
    }
    QCoreApplication application(argc, argv);
    const auto first = static_cast<std::uint64_t>(commandLine.number("first-seed"));
    const auto count = static_cast<std::uint64_t>(commandLine.number("seeds"));
    bool hasNoViolations = true;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        hasNoViolations = runSoak(seed, commandLine) && hasNoViolations;
    }
    return static_cast<int>(hasNoViolations ? ExitStatus::Success : ExitStatus::Failure);
}
