#pragma once

#include "caller/workmix.h"
#include "core/outcome.h"
#include "core/time.h"
#include "core/uuidv7.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/** Report of a caller about its calls. */
namespace Plantainweir {

/** A call that has its outcome. */
struct FinishedCall {
    WorkMixEntry kind;
    UuidV7 key;
    std::vector<UuidV7> earlierKeys; ///< Keys of earlier tries; for at-most-once work only keys under which no entry VM ran the call.
    CallOutcome outcome = CallOutcome::Unknown;
    std::string reason; ///< Empty if answered.
    int status = 0; ///< HTTP status of the last response; zero if there was none.
    std::string body; ///< Body of the upstream's response, if answered.
    Duration latency{}; ///< Measured from the scheduled time of the call.
    std::uint32_t tries = 0;
    std::uint32_t lostTries = 0; ///< Tries whose connection was lost after sending; tries that timed out are not counted.
};

/** Counts and latencies of the calls of one rank. */
struct RankReport {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t serverErrors = 0; ///< Answered with a status of 500 or more.
    std::uint64_t wrongAnswers = 0; ///< Answered with another call's answer.
    std::uint64_t retried = 0; ///< Calls that took more than one try.
    std::map<std::string, std::uint64_t> notRun; ///< By reason.
    std::map<std::string, std::uint64_t> unknown; ///< By reason.
    std::vector<double> latenciesMs; ///< Of answered calls.
};

struct CallReport {
    std::map<std::string, RankReport> ranks;
};

/** Adds @p call to @p report; @p isWrongAnswer is set if its answer belongs to another call. */
void addCall(CallReport &report, const FinishedCall &call, bool isWrongAnswer);

/** Returns the report as a table for a terminal. */
std::string toTable(const CallReport &report);
/** Returns the report as one JSON object. */
std::string toJson(const CallReport &report);
/** Returns @p call as one line of JSON, without the line feed. */
std::string toJson(const FinishedCall &call, bool isWrongAnswer);
/** Returns the outcome of @p call as one line for a terminal. */
std::string toSummary(const FinishedCall &call);

}
