#pragma once

#include "core/time.h"
#include "decision/serviceevents.h"

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

/**
 * The order of the calls that wait: ranks by worth with a floor for each, callers in turns within a rank, deadlines
 * within a turn.
 */
namespace Plantainweir {

/** Identifies one stay of a call in the queue; zero is none. */
using QueueTicket = std::uint64_t;

/** One waiting call. */
struct QueueEntry {
    std::uint64_t round = 0;
    TimePoint deadline;
    QueueTicket ticket = 0;
    CallId call = 0;
};

/** The position of one caller in the rounds of a rank. */
struct CallerTurn {
    std::uint64_t round = 0;
    std::uint32_t callsInRound = 0;
    std::uint32_t queuedCalls = 0;
};

/** The waiting calls of one rank, as a binary heap; entries of calls that have left stay until they surface. */
struct RankQueue {
    std::vector<QueueEntry> entries;
    std::unordered_map<std::uint64_t, CallerTurn> callers; ///< Those with queued calls.
    std::uint64_t currentRound = 0;
    std::uint32_t size = 0; ///< Calls that wait, without those that have left.
    double floorCredit = 0.0; ///< Slot time that the rank is owed by its floor, in nanoseconds.
};

/** All ranks of one service. */
struct CallQueue {
    std::array<RankQueue, enumCount<Rank>()> ranks;
    QueueTicket lastTicket = 0;
    std::uint32_t size = 0;
};

/** Share of the slots' time that @p rank keeps while others flood. */
double floorShare(Rank rank);

/** Adds a call; @p isAgain puts a call that has been taken before into the current round. */
QueueTicket push(CallQueue &queue, const CallArrived &arrival, bool isAgain);

/** Notes that a waiting call has left; its entry is skipped from now on. */
void leave(CallQueue &queue, const CallArrived &arrival);

/** Returns how many waiting calls of the rank go before a new call of @p caller. */
std::uint32_t callsAhead(const RankQueue &queue, std::uint64_t caller);

/** Returns the rank to serve next, or nothing if no call waits; @p serviceTimes are the mean times for each rank. */
std::optional<Rank> nextRank(const CallQueue &queue, const std::array<Duration, enumCount<Rank>()> &serviceTimes);

/** Charges the floors for a call of @p rank that takes a slot for @p serviceTime. */
void chargeSlotTime(CallQueue &queue, Rank rank, Duration serviceTime);

/** Removes the first entry of the rank and returns it; the call may have left. The rank has an entry. */
QueueEntry popFirst(RankQueue &queue);

/** Removes one of the last entries of the rank and returns it; the call may have left. The rank has an entry. */
QueueEntry popLast(RankQueue &queue);

}
