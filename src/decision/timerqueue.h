#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <vector>

/** The points in time at which the decisions have to look at something again. */
namespace Plantainweir {

/** What a timer is for; a timer whose object has gone is ignored. */
enum class TimerKind {
    QueuedCall, ///< A waiting call cannot make its deadline any longer.
    Attempt, ///< An attempt has run for long: hedge it, or suspect its upstream.
    Upstream, ///< An upstream may be used again.
    PeerLoadReport, ///< A report to the co-owners is due.
};

struct Timer {
    TimePoint due;
    TimerKind kind = TimerKind::Attempt;
    std::uint64_t id = 0; ///< Of the call, attempt or upstream.
    std::uint64_t entryId = 0; ///< For a queued call, its stay in the queue.
};

/** Timers as a binary heap, the next one on top. */
struct TimerQueue {
    std::vector<Timer> timers;
};

void schedule(TimerQueue &queue, const Timer &timer);

/** Removes and returns the next timer if it is due. */
std::optional<Timer> popDue(TimerQueue &queue, TimePoint now);

}
