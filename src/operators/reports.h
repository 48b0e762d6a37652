#pragma once

#include "configuration/routetablecheck.h"
#include "configuration/routetablediff.h"
#include "configuration/sourcefile.h"
#include "core/enumnames.h"
#include "operators/changetask.h"
#include "operators/statustask.h"

#include <string>
#include <vector>

/** Output of plantainweirctl, as a table for people or as JSON for scripts. */
namespace Plantainweir {

enum class OutputFormat {
    Table,
    Json,
};

constexpr std::array<EnumName<OutputFormat>, 2> enumNames(OutputFormat)
{
    return {{
        {OutputFormat::Table, "table"},
        {OutputFormat::Json, "json"},
    }};
}
static_assert(isEnumTableOrdered<OutputFormat>());

/** Exit statuses of plantainweirctl; the first three have the values of ExitStatus. */
enum class OperatorExitStatus {
    Success = 0,
    Failure = 1, ///< The platform or a daemon could not be reached; nothing was written.
    Usage = 2, ///< A flag, an environment variable or a file is wrong; nothing was tried.
    Rejected = 3, ///< A change was not made, because another was made first or the platform refused it.
    NotKnown = 4, ///< A change may or may not have been made; the output names the command that shows the result.
};

/** Result of a check of the files. */
struct CheckReport {
    std::vector<FileError> errors;
    std::size_t services = 0;
    std::size_t upstreams = 0;
    std::size_t workKinds = 0;
};

/** Result of a check of a configuration in the platform's format. */
struct RouteTableReport {
    std::vector<Finding> findings;
    bool isCompared = false; ///< Whether there was a version in force to compare with.
    std::vector<RouteTableDifference> differences; ///< From the version in force.
    std::size_t routes = 0;
    std::size_t services = 0;
    std::size_t accounts = 0;
    bool isStrict = false; ///< Whether warnings make the check fail.
};

std::string render(const CheckReport &report, OutputFormat format);
std::string render(const RouteTableReport &report, OutputFormat format);
std::string render(const ChangeReport &report, OutputFormat format);
std::string render(const StatusReport &report, OutputFormat format);

OperatorExitStatus exitStatusOf(const CheckReport &report);
/** Returns Usage if there are errors, and Failure if there are only warnings and the check is strict. */
OperatorExitStatus exitStatusOf(const RouteTableReport &report);
OperatorExitStatus exitStatusOf(const ChangeReport &report);
OperatorExitStatus exitStatusOf(const StatusReport &report);

}
