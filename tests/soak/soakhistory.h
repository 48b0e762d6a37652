#pragma once

#include "core/time.h"
#include "core/work.h"

#include <map>
#include <set>
#include <string>
#include <vector>

/**
 * The history of a soak as callers and upstreams saw it, and the checks of its invariants. Free functions over a plain
 * struct; the time is a parameter.
 */
namespace Plantainweir {

/** A call that the soak sent. */
struct SoakCall {
    Repeatability repeatability = Repeatability::AtMostOnce;
    std::string entry; ///< Entry VM that the call was sent to.
    TimePoint sentAt;
    std::vector<std::string> executedBy; ///< Upstreams that started to execute the call.
    bool isReportedNotRun = false;
    bool isFarewell = false; ///< Whether the answer of the upstream that executed it last says that this upstream leaves.
};

struct SoakHistory {
    std::map<std::string, SoakCall> calls; ///< By request id.
    std::map<std::string, TimePoint> leavingSince; ///< When the store marked each upstream as leaving, or removed it.
    /** When the answer of an upstream that says so reached a caller, by entry VM and upstream. */
    std::map<std::pair<std::string, std::string>, TimePoint> farewells;
    std::map<std::string, TimePoint> evacuatedSince; ///< When the store acknowledged the evacuation of each empty availability zone.
    std::set<std::string> stoppingEntries; ///< Entry VMs that were asked to stop.
    std::string idempotentService; ///< Service that the configuration routes idempotent calls to.
    TimePoint idempotentServiceSince;
    bool isTimingChecked = true; ///< Whether time limits are checked; a machine that is busy with other work may exceed them.
    TimePoint faultsEndedAt; ///< When the last fault ended; TimePoint::max() while one is active.
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t unanswered = 0;
    std::vector<std::string> violations;
};

/** Records that a fault has begun, or with @p hasEnded that the last active one has ended. */
void recordFault(SoakHistory &history, bool hasEnded, TimePoint now);
void recordSent(SoakHistory &history, const std::string &id, const SoakCall &call);
/** The upstream that starts to execute a call. */
struct SoakExecutor {
    std::string upstream;
    std::string service;
    std::string availabilityZone;
    bool isLeaving = false; ///< Whether it says so in its answer.
};

/** Records and checks the start of an execution. */
void recordExecution(SoakHistory &history, const std::string &id, const SoakExecutor &executor, TimePoint now);
/** Records and checks an answer with @p status; the body of a success, @p answeredId, is the id of the call that was executed. */
void recordAnswer(SoakHistory &history, const std::string &id, int status, const std::string &answeredId, TimePoint now);
/** Records and checks a call whose connection was lost, or whose deadline passed, without an answer. */
void recordNoAnswer(SoakHistory &history, const std::string &id, TimePoint now);
/** Records that @p entry starts again and knows nothing of the answers that its earlier process passed on. */
void recordStart(SoakHistory &history, const std::string &entry);
void recordLeaving(SoakHistory &history, const std::string &upstream, TimePoint now);
/** Records that @p availabilityZone is to be empty from now on, or is taken back. */
void recordEvacuation(SoakHistory &history, const std::string &availabilityZone, bool isEvacuated, TimePoint now);
/** Records that the configuration routes idempotent calls to @p service from now on. */
void recordRouteChange(SoakHistory &history, const std::string &service, TimePoint now);
/** Checks that each at-most-once call ran at most once, and not at all if it was reported as not run. To be called after the soak has ended. */
void checkExecutionCounts(SoakHistory &history);

}
