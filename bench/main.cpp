#include "core/commandline.h"
#include "subcommands.h"

#include <fmt/format.h>

#include <cstdio>
#include <string_view>
#include <vector>

namespace Plantainweir {
namespace {

/** A subcommand, selected by the first word of the command line. */
struct Subcommand {
    std::string_view name;
    std::string_view summary;
    int (*run)(int argc, char **argv);
};

std::vector<Subcommand> subcommands()
{
    return {
        {.name = "control", .summary = "controlds by the size of the fleet, and each controller's step alone", .run = runControl},
        {.name = "decide", .summary = "the time of one decision", .run = runDecide},
        {.name = "path", .summary = "the request path, direct calls beside proxied calls", .run = runPath},
        {.name = "policy", .summary = "the decisions under load and faults in virtual time", .run = runPolicy},
        {.name = "policies", .summary = "all policies and scenarios as tables and a plot", .run = runPolicies},
    };
}

void printUsage()
{
    fmt::print(stderr, "usage: plantainweir-bench SUBCOMMAND [--help] [FLAG]...\n");
    for (const Subcommand &subcommand : subcommands()) {
        fmt::print(stderr, "  {:<10} {}\n", subcommand.name, subcommand.summary);
    }
}

int dispatch(int argc, char **argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    for (const Subcommand &subcommand : subcommands()) {
        if (subcommand.name == name) {
            return subcommand.run(argc - 1, argv + 1);
        }
    }
    printUsage();
    return static_cast<int>(name == "--help" ? ExitStatus::Success : ExitStatus::Usage);
}

}
}

int main(int argc, char **argv)
{
    return Plantainweir::dispatch(argc, argv);
}
