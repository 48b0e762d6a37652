#pragma once

#include "policydriver.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/** Summarises a run of the policy bench as its callers saw it. */
namespace Plantainweir {

/** The calls of one rank; latencies are from sending to receipt at the caller, over answered calls. */
struct RankSummary {
    std::size_t offered = 0;
    std::size_t answeredInTime = 0;
    std::size_t answeredLate = 0;
    std::size_t serverErrors = 0;
    std::size_t unanswered = 0; ///< The caller gave up at its deadline.
    std::array<std::size_t, enumCount<RefusalReason>()> notRun{};
    std::array<std::size_t, enumCount<UnknownReason>()> unknown{};
    double p50Milliseconds = 0.0;
    double p99Milliseconds = 0.0;
    double p999Milliseconds = 0.0;
    double p99OfOfferedMilliseconds = 0.0; ///< Over all calls; a call without an answer counts with its target at least.
    double waitP99Milliseconds = 0.0; ///< Latency without the service time and the network time between caller, entry VM and upstream.
    std::size_t answeredInTimeInWindow = 0; ///< Answered in time while the scenario's fault or flood lasted.

    std::size_t notRunTotal() const;
    std::size_t unknownTotal() const;
    /** Returns the share of calls that were answered in time; 1 if none was offered. */
    double inTimeShare() const;
    /** Returns the share of calls that had no answer in time, for whatever reason. */
    double missedShare() const;
};

/** Summary of a run. */
struct RunSummary {
    std::array<RankSummary, enumCount<Rank>()> ranks;
    std::vector<std::array<RankSummary, enumCount<Rank>()>> services;
    std::size_t duplicateExecutions = 0; ///< At-most-once calls that ran more than once.
    std::size_t falseNotRun = 0; ///< Calls that were reported as not run although they had been executed.
    std::uint64_t maximumProbesPerSecond = 0;
    std::size_t secondsOverBudget = 0; ///< Seconds with more probes than the fleet's budget.
    double worth = 0.0; ///< Of the calls answered in time.
    double worthOffered = 0.0;
    double windowSeconds = 0.0;
};

/** Returns whether the caller had the upstream's answer within the target of its work kind. */
bool isAnsweredInTime(const RunRecord &record, CallId call);

RunSummary summarise(const RunRecord &record);

/** Returns the summary as a JSON object with the run's settings. */
std::string toJson(const RunRecord &record, const RunSummary &summary);

/** Returns comma-separated values with one line for each call: when it was sent, its result, where it ran and how long it waited. */
std::string traceOf(const RunRecord &record);

}
