#pragma once

#include "core/time.h"
#include "decision/serviceevents.h"

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

/**
 * The queue of the calls of one service.
 *
 * Higher ranks are served first, with a guaranteed share of the slots for each rank. Within a rank, callers are served
 * in rounds of a few calls each. Within a round, the earliest deadline is first.
 */
namespace Plantainweir {

/** Identifies one entry of the queue. A call that is queued again gets a new one. Zero is not an entry. */
using QueueEntryId = std::uint64_t;

/** One queued call. */
struct QueueEntry {
    std::uint64_t round = 0;
    TimePoint deadline;
    QueueEntryId entryId = 0;
    CallId call = 0;
};

/** The current round of one caller within a rank, and its queued calls. */
struct CallerState {
    std::uint64_t round = 0;
    std::uint32_t callsInRound = 0;
    std::uint32_t queuedCalls = 0;
};

/** Callers grouped by the number of their queued calls: group N counts those with 2^(N-1) to 2^N - 1, the last one all above. */
struct CallerGroup {
    std::uint32_t callers = 0;
    std::uint32_t calls = 0;
};

inline constexpr std::size_t CallerGroups = 18;

/** The queued calls of one rank as a binary heap. Entries of removed calls stay until they reach the top. */
struct RankQueue {
    std::vector<QueueEntry> entries;
    std::unordered_map<std::uint64_t, CallerState> callers; ///< Callers with queued calls.
    std::array<CallerGroup, CallerGroups> callerGroups{};
    std::uint64_t currentRound = 0;
    std::uint32_t size = 0; ///< Queued calls, without the entries of removed ones.
    double guaranteeCredit = 0.0; ///< Slot time that the rank may still claim from its guaranteed share, in nanoseconds.
};

/** The queues of all ranks of one service. */
struct CallQueue {
    std::array<RankQueue, enumCount<Rank>()> ranks;
    QueueEntryId lastEntryId = 0;
    std::uint32_t size = 0;
};

/** The input of nextRank() in addition to the queue. */
struct RankSelectionInput {
    std::array<Duration, enumCount<Rank>()> serviceTimes{}; ///< Mean service time by rank.
    Duration backlog{}; ///< Expected time to run all queued calls.
    bool isOverloaded = false; ///< Whether many calls are refused or expire in the queue.
    TimePoint now;
};

/** Returns the share of the slot time that @p rank gets even if other ranks use all slots. */
double guaranteedShare(Rank rank);

/** Adds a call. A call that was queued before (@p isRequeued) is added to the current round. */
QueueEntryId push(CallQueue &queue, const CallArrived &arrival, bool isRequeued);

/** Removes a queued call from the counts. Its entry stays in the heap and is skipped when it is popped. */
void markRemoved(CallQueue &queue, const CallArrived &arrival);

/**
 * Returns how many queued calls of the rank are served before a new call of @p caller. Under overload, this includes
 * the calls that the other callers are expected to add in the meantime.
 */
std::uint32_t callsAhead(const RankQueue &queue, std::uint64_t caller, bool isOverloaded);

/**
 * Returns the rank to serve next, or nothing if no call is queued.
 *
 * A rank that is below its guaranteed share is served first, otherwise the highest rank. Without overload, a call yields
 * to one of a lower rank with an earlier deadline if it can wait for the whole backlog and still have half of its time
 * left.
 */
std::optional<Rank> nextRank(const CallQueue &queue, const RankSelectionInput &input);

/** Updates RankQueue::guaranteeCredit of all ranks for a call of @p rank that occupies a slot for @p serviceTime. */
void chargeSlotTime(CallQueue &queue, Rank rank, Duration serviceTime);

/** Removes and returns the first entry, whose call may have been removed. @p queue must not be empty. */
QueueEntry popFirst(RankQueue &queue);

/** Removes and returns an entry near the end, whose call may have been removed. @p queue must not be empty. */
QueueEntry popLast(RankQueue &queue);

}
