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
using QueueEntryId = std::uint64_t;

/** One waiting call. */
struct QueueEntry {
    std::uint64_t round = 0;
    TimePoint deadline;
    QueueEntryId entryId = 0;
    CallId call = 0;
};

/** The position of one caller in the rounds of a rank. */
struct CallerState {
    std::uint64_t round = 0;
    std::uint32_t callsInRound = 0;
    std::uint32_t queuedCalls = 0;
};

/** Callers by the number of their waiting calls: group N holds those with 2^(N-1) to 2^N - 1. */
struct CallerGroup {
    std::uint32_t callers = 0;
    std::uint32_t calls = 0;
};

inline constexpr std::size_t CallerGroups = 18;

/** The waiting calls of one rank, as a binary heap; entries of calls that have left stay until they surface. */
struct RankQueue {
    std::vector<QueueEntry> entries;
    std::unordered_map<std::uint64_t, CallerState> callers; ///< Those with queued calls.
    std::array<CallerGroup, CallerGroups> callerGroups{};
    std::uint64_t currentRound = 0;
    std::uint32_t size = 0; ///< Calls that wait, without those that have left.
    double guaranteeCredit = 0.0; ///< Slot time that the rank is owed by its floor, in nanoseconds.
};

/** All ranks of one service. */
struct CallQueue {
    std::array<RankQueue, enumCount<Rank>()> ranks;
    QueueEntryId lastEntryId = 0;
    std::uint32_t size = 0;
};

/** What the choice between ranks depends on besides the queue. */
struct RankSelectionInput {
    std::array<Duration, enumCount<Rank>()> serviceTimes{}; ///< Mean, by rank.
    Duration backlog{}; ///< Time to run all that waits.
    bool isOverloaded = false; ///< Calls are being refused for want of slots.
    TimePoint now;
};

/** Share of the slots' time that @p rank keeps while others flood. */
double guaranteedShare(Rank rank);

/** Adds a call; @p isRequeued puts a call that has been taken before into the current round. */
QueueEntryId push(CallQueue &queue, const CallArrived &arrival, bool isRequeued);

/** Notes that a waiting call has left; its entry is skipped from now on. */
void markRemoved(CallQueue &queue, const CallArrived &arrival);

/**
 * Returns how many waiting calls of the rank go before a new call of @p caller; under overload, also those that the
 * other callers are expected to add meanwhile.
 */
std::uint32_t callsAhead(const RankQueue &queue, std::uint64_t caller, bool isOverloaded);

/**
 * Returns the rank to serve next, or nothing if no call waits.
 *
 * A rank that is owed its floor goes first, else the best one. Without overload, a call yields to one of a lower rank
 * with an earlier deadline if it can wait for all that is queued and have half of its time left.
 */
std::optional<Rank> nextRank(const CallQueue &queue, const RankSelectionInput &input);

/** Charges the floors for a call of @p rank that takes a slot for @p serviceTime. */
void chargeSlotTime(CallQueue &queue, Rank rank, Duration serviceTime);

/** Removes the first entry of the rank and returns it; the call may have left. The rank has an entry. */
QueueEntry popFirst(RankQueue &queue);

/** Removes one of the last entries of the rank and returns it; the call may have left. The rank has an entry. */
QueueEntry popLast(RankQueue &queue);

}
