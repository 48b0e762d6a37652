#include "decision/callqueue.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace Plantainweir {
namespace {

/** Calls that a caller may have in one round before its next calls wait for the other callers'. */
constexpr std::uint32_t CallsPerRound = 4;
/** Credit that a rank may save up, as a multiple of its mean service time. */
constexpr double MaximumGuaranteeCredit = 2.0;

bool isLater(const QueueEntry &left, const QueueEntry &right)
{
    return std::tie(left.round, left.deadline, left.entryId) > std::tie(right.round, right.deadline, right.entryId);
}

std::uint64_t takeTurn(RankQueue &queue, std::uint64_t caller)
{
    CallerTurn &turn = queue.callers[caller];
    if (turn.round < queue.currentRound) {
        turn.round = queue.currentRound;
        turn.callsInRound = 0;
    }
    if (turn.callsInRound == CallsPerRound) {
        ++turn.round;
        turn.callsInRound = 0;
    }
    ++turn.callsInRound;
    return turn.round;
}

bool isBelowGuarantee(const RankQueue &rank, Duration serviceTime)
{
    return rank.guaranteeCredit > 0.0 && rank.guaranteeCredit >= static_cast<double>(serviceTime.count());
}

/** Returns whether the first call of @p higher lets the first one of @p lower go before it. */
bool yields(const RankQueue &higher, const RankQueue &lower, const RankChoice &choice)
{
    const TimePoint deadline = higher.entries.front().deadline;
    const bool hasTime = choice.now + 2 * choice.backlog < deadline;
    return !choice.isOverloaded && hasTime && lower.entries.front().deadline < deadline;
}

std::size_t groupOf(std::uint32_t calls)
{
    return std::min<std::size_t>(std::bit_width(calls), CallerGroups - 1);
}

/** Changes the number of a caller's waiting calls. */
void setQueuedCalls(RankQueue &queue, CallerTurn &turn, std::uint32_t calls)
{
    CallerGroup &before = queue.callerGroups[groupOf(turn.queuedCalls)];
    if (turn.queuedCalls > 0) {
        --before.callers;
        before.calls -= turn.queuedCalls;
    }
    turn.queuedCalls = calls;
    CallerGroup &after = queue.callerGroups[groupOf(calls)];
    if (calls > 0) {
        ++after.callers;
        after.calls += calls;
    }
}

RankQueue &queueOf(CallQueue &queue, Rank rank)
{
    return queue.ranks[static_cast<std::size_t>(rank)];
}

}

double guaranteedShare(Rank rank)
{
    static constexpr std::array Shares{0.05, 0.05, 0.05};
    return Shares[static_cast<std::size_t>(rank)];
}

QueueEntryId push(CallQueue &queue, const CallArrived &arrival, bool isAgain)
{
    RankQueue &rank = queueOf(queue, arrival.rank);
    const std::uint64_t round = isAgain ? rank.currentRound : takeTurn(rank, arrival.caller);
    CallerTurn &turn = rank.callers[arrival.caller];
    setQueuedCalls(rank, turn, turn.queuedCalls + 1);
    const QueueEntryId entryId = ++queue.lastEntryId;
    rank.entries.push_back({.round = round, .deadline = arrival.deadline, .entryId = entryId, .call = arrival.call});
    std::push_heap(rank.entries.begin(), rank.entries.end(), isLater);
    ++rank.size;
    ++queue.size;
    return entryId;
}

void leave(CallQueue &queue, const CallArrived &arrival)
{
    RankQueue &rank = queueOf(queue, arrival.rank);
    --rank.size;
    --queue.size;
    const auto caller = rank.callers.find(arrival.caller);
    setQueuedCalls(rank, caller->second, caller->second.queuedCalls - 1);
    if (caller->second.queuedCalls == 0) {
        rank.callers.erase(caller);
    }
    if (rank.size == 0) {
        rank.entries.clear();
        rank.guaranteeCredit = 0.0;
    }
}

std::uint32_t callsAhead(const RankQueue &queue, std::uint64_t caller, bool isOverloaded)
{
    const auto found = queue.callers.find(caller);
    const std::uint64_t ownCalls = found == queue.callers.end() ? 1 : found->second.queuedCalls + 1;
    const std::size_t ownGroup = groupOf(static_cast<std::uint32_t>(ownCalls));
    const std::size_t firstMatching = isOverloaded ? ownGroup - 1 : ownGroup;
    std::uint64_t ahead = 0;
    for (std::size_t group = 1; group < queue.callerGroups.size(); ++group) {
        const CallerGroup &others = queue.callerGroups[group];
        ahead += group < firstMatching ? others.calls : others.callers * ownCalls;
    }
    return static_cast<std::uint32_t>(isOverloaded ? ahead : std::min<std::uint64_t>(queue.size, ahead));
}

std::optional<Rank> nextRank(const CallQueue &queue, const RankChoice &choice)
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < queue.ranks.size(); ++index) {
        const RankQueue &rank = queue.ranks[index];
        if (rank.size == 0) {
            continue;
        }
        if (isBelowGuarantee(rank, choice.serviceTimes[index])) {
            return static_cast<Rank>(index);
        }
        if (!best || yields(queue.ranks[*best], rank, choice)) {
            best = index;
        }
    }
    return best ? std::optional(static_cast<Rank>(*best)) : std::nullopt;
}

void chargeSlotTime(CallQueue &queue, Rank rank, Duration serviceTime)
{
    const auto taken = static_cast<double>(serviceTime.count());
    for (std::size_t index = 0; index < queue.ranks.size(); ++index) {
        RankQueue &owed = queue.ranks[index];
        const bool isOwn = static_cast<Rank>(index) == rank;
        if (isOwn) {
            owed.guaranteeCredit = std::max(0.0, owed.guaranteeCredit - taken);
        }
        if (isOwn || owed.size > 0) {
            owed.guaranteeCredit = std::min(owed.guaranteeCredit + guaranteedShare(static_cast<Rank>(index)) * taken, MaximumGuaranteeCredit * taken);
        }
    }
}

QueueEntry popFirst(RankQueue &queue)
{
    std::pop_heap(queue.entries.begin(), queue.entries.end(), isLater);
    const QueueEntry entry = queue.entries.back();
    queue.entries.pop_back();
    queue.currentRound = std::max(queue.currentRound, entry.round);
    return entry;
}

QueueEntry popLast(RankQueue &queue)
{
    const QueueEntry entry = queue.entries.back();
    queue.entries.pop_back();
    return entry;
}

}
