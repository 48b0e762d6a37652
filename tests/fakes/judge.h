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
enum class BrokenPromise {
    DoubledExecution, ///< At-most-once work was started more than once, under all keys of its call.
    FalseNotRun, ///< The caller was told "not run", and an execution was started.
    FalseAnswer, ///< The caller was told "answered" by an upstream, and none has executed the call.
    WrongAnswer, ///< The caller got another call's answer.
    CutOff, ///< A connection was lost, or the outcome is unknown for another reason than its deadline.
};

constexpr std::array<EnumName<BrokenPromise>, 5> enumNames(BrokenPromise)
{
    return {{
        {BrokenPromise::DoubledExecution, "doubled_execution"},
        {BrokenPromise::FalseNotRun, "false_not_run"},
        {BrokenPromise::FalseAnswer, "false_answer"},
        {BrokenPromise::WrongAnswer, "wrong_answer"},
        {BrokenPromise::CutOff, "cut_off"},
    }};
}
static_assert(isEnumTableOrdered<BrokenPromise>());

struct Verdict {
    CallReport report;
    std::array<std::vector<std::string>, enumCount<BrokenPromise>()> keys; ///< Keys of the calls that show it, by BrokenPromise.
    std::map<std::string, std::uint64_t> doubledByRank;

    std::size_t count(BrokenPromise promise) const
    {
        return keys[static_cast<std::size_t>(promise)].size();
    }
};

/** Reads a file of records; fails at the first line that cannot be understood. */
Result<std::vector<CallRecord>> parseRecords(const std::string &text);
/** Adds the answer of `GET /fake/executions` to @p counts; returns whether it can be understood. */
bool addExecutions(ExecutionCounts &counts, const std::string &json);

Verdict judge(const std::vector<CallRecord> &records, const ExecutionCounts &counts);

/** Returns whether no promise but perhaps @p exempted ones is broken. */
bool isKept(const Verdict &verdict, const std::vector<BrokenPromise> &exempted = {});
/** Returns the table by rank and the broken promises, for a terminal. */
std::string toTable(const Verdict &verdict);

}
