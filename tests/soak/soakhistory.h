#pragma once

#include "core/time.h"
#include "core/work.h"

#include <map>
#include <set>
#include <string>
#include <vector>

/**
 * What callers and upstreams saw during a soak, and the promises that it is judged by. Free functions over a plain
 * struct; time is passed in.
 */
namespace Plantainweir {

/** One call of a caller. */
struct SoakCall {
    Repeatability repeatability = Repeatability::AtMostOnce;
    std::string entry; ///< Entry VM that it was sent to.
    TimePoint sentAt;
    std::vector<std::string> executedBy; ///< Upstreams that began to run it.
    bool isReportedNotRun = false;
};

struct SoakHistory {
    std::map<std::string, SoakCall> calls; ///< By request id.
    std::map<std::string, TimePoint> leavingSince; ///< Upstreams that the store shows as leaving or no longer.
    std::set<std::string> stoppingEntries; ///< Entry VMs that were asked to stop.
    std::string idempotentService; ///< Service that the configuration last moved idempotent calls to.
    TimePoint idempotentServiceSince;
    bool isTimingChecked = true; ///< Bounds on time are judged too; a machine that is busy with other work may break them.
    TimePoint faultsEndedAt; ///< When the last fault ended; the far future while one lasts.
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t unanswered = 0;
    std::vector<std::string> violations;
};

/** Notes that a fault begins, or that the last one has ended. */
void recordFault(SoakHistory &history, bool isOver, TimePoint now);
void recordSent(SoakHistory &history, const std::string &id, const SoakCall &call);
/** Judges the run of a call at an upstream of @p service. */
void recordExecution(SoakHistory &history, const std::string &id, const std::string &upstream, const std::string &service, TimePoint now);
/** Judges an answer with @p status; @p answeredId is the call whose run the body tells of, empty if it tells of none. */
void recordAnswer(SoakHistory &history, const std::string &id, int status, const std::string &answeredId);
/** Judges a connection that ended, or stayed silent, without an answer. */
void recordNoAnswer(SoakHistory &history, const std::string &id, TimePoint now);
void recordLeaving(SoakHistory &history, const std::string &upstream, TimePoint now);
/** Notes that idempotent calls go to @p service from now on. */
void recordRouteChange(SoakHistory &history, const std::string &service, TimePoint now);
/** Judges what can only be said at the end. */
void checkExecutionCounts(SoakHistory &history);

}
