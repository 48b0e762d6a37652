#pragma once

#include "caller/callreport.h"
#include "core/result.h"

#include <map>
#include <string>
#include <vector>

/** Checks the outcomes that callers received against the executions that the upstreams counted. */
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

/** The number of executions of each key that all upstreams together have started. */
using ExecutionCounts = std::map<std::string, std::uint64_t>;

/** How a call can violate the invariants. */
enum class InvariantViolation {
    DuplicateExecution, ///< An at-most-once call was started more than once, counted over all its keys.
    FalseNotRun, ///< The outcome was "not run" although an execution was started.
    FalseAnswer, ///< The outcome was "answered", by an upstream, although none had executed the call.
    WrongAnswer, ///< The caller received the answer to another call.
    InterruptedCall, ///< A connection was lost, or the outcome is unknown for a reason other than a passed deadline.
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
    std::array<std::vector<std::string>, enumCount<InvariantViolation>()> callKeys; ///< Keys of the violating calls, indexed by InvariantViolation.
    std::map<std::string, std::uint64_t> duplicatesByRank;

    std::size_t count(InvariantViolation violation) const
    {
        return callKeys[static_cast<std::size_t>(violation)].size();
    }
};

/** Parses a file of call records; fails at the first malformed line. */
Result<std::vector<CallRecord>> parseRecords(const std::string &text);
/** Adds the answer of `GET /fake/executions` to @p counts; returns whether it is a JSON object. */
bool addExecutions(ExecutionCounts &counts, const std::string &json);

CheckResult checkCalls(const std::vector<CallRecord> &records, const ExecutionCounts &counts);

/** Returns whether there are no violations, other than of the kinds in @p ignored. */
bool hasNoViolations(const CheckResult &result, const std::vector<InvariantViolation> &ignored = {});
/** Returns the outcomes by rank and the violations as a table for a terminal. */
std::string toTable(const CheckResult &result);

}
