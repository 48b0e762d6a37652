#pragma once

#include "caller/callreport.h"
#include "core/result.h"

#include <map>
#include <string>
#include <vector>

/** Compares what callers were told with what the upstreams counted. */
namespace Plantainweir {

/** One line of the file that `plantainweir-call --record` writes. */
struct CallRecord {
    std::string key;
    std::vector<std::string> earlierKeys;
    std::string rank;
    Repeatability repeatability = Repeatability::AtMostOnce;
    CallOutcome outcome = CallOutcome::Unknown;
    std::string reason;
    int status = 0;
    double latencyMs = 0.0;
    std::uint32_t lostTries = 0;
    bool isWrongAnswer = false;
};

/** How often the execution of each key was started, all upstreams together. */
using ExecutionCounts = std::map<std::string, std::uint64_t>;

/** Which promise a call shows to be broken. */
enum class InvariantViolation {
    DuplicateExecution, ///< At-most-once work was started more than once, under all keys of its call.
    FalseNotRun, ///< The caller was told "not run", and an execution was started.
    FalseAnswer, ///< The caller was told "answered" by an upstream, and none has executed the call.
    WrongAnswer, ///< The caller got another call's answer.
    InterruptedCall, ///< A connection was lost, or the outcome is unknown for another reason than its deadline.
};

constexpr std::array<EnumName<InvariantViolation>, 5> enumNames(InvariantViolation)
{
    return {{
        {InvariantViolation::DuplicateExecution, "doubled_execution"},
        {InvariantViolation::FalseNotRun, "false_not_run"},
        {InvariantViolation::FalseAnswer, "false_answer"},
        {InvariantViolation::WrongAnswer, "wrong_answer"},
        {InvariantViolation::InterruptedCall, "cut_off"},
    }};
}
static_assert(isEnumTableOrdered<InvariantViolation>());

struct CheckResult {
    CallReport report;
    std::array<std::vector<std::string>, enumCount<InvariantViolation>()> callKeys; ///< Keys of the calls that show it, by InvariantViolation.
    std::map<std::string, std::uint64_t> duplicatesByRank;

    std::size_t count(InvariantViolation violation) const
    {
        return callKeys[static_cast<std::size_t>(violation)].size();
    }
};

/** Reads a file of records; fails at the first line that cannot be understood. */
Result<std::vector<CallRecord>> parseRecords(const std::string &text);
/** Adds the answer of `GET /fake/executions` to @p counts; returns whether it can be understood. */
bool addExecutions(ExecutionCounts &counts, const std::string &json);

CheckResult checkCalls(const std::vector<CallRecord> &records, const ExecutionCounts &counts);

/** Returns whether no promise but perhaps @p exempted ones is broken. */
bool hasNoViolations(const CheckResult &result, const std::vector<InvariantViolation> &ignored = {});
/** Returns the table by rank and the broken promises, for a terminal. */
std::string toTable(const CheckResult &result);

}
