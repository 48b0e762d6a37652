#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <vector>

/** The timers of one service. */
namespace Plantainweir {

/** The purpose of a timer. A timer whose call, attempt or upstream no longer exists is ignored. */
enum class TimerKind {
    QueuedCall, ///< A queued call can no longer meet its deadline.
    Attempt, ///< A running attempt is checked: it may be overdue or need a hedge.
    Upstream, ///< The backoff or ejection of an upstream ends.
    PeerLoadReport, ///< A load report to the co-owners is due.
};

struct Timer {
    TimePoint due;
    TimerKind kind = TimerKind::Attempt;
    std::uint64_t id = 0; ///< Id of the call or attempt, or index of the upstream.
    std::uint64_t entryId = 0; ///< For a queued call, its entry in the queue.
};

/** Timers as a binary heap with the earliest one on top. */
struct TimerQueue {
    std::vector<Timer> timers;
};

void schedule(TimerQueue &queue, const Timer &timer);

/** Removes and returns the earliest timer if it is due. */
std::optional<Timer> popDue(TimerQueue &queue, TimePoint now);

}
