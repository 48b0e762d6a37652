#include "decision/callqueue.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace Plantainweir {
namespace {

/** Calls of one caller in a round. Its further calls are queued in the next round, behind those of other callers. */
constexpr std::uint32_t CallsPerRound = 4;
/** Limit on the credit of a rank, as a multiple of the service time of the call that is charged. */
constexpr double MaximumGuaranteeCredit = 2.0;

bool isLater(const QueueEntry &left, const QueueEntry &right)
{
    return std::tie(left.round, left.deadline, left.entryId) > std::tie(right.round, right.deadline, right.entryId);
}

std::uint64_t assignRound(RankQueue &queue, std::uint64_t caller)
{
    CallerState &callerState = queue.callers[caller];
    if (callerState.round < queue.currentRound) {
        callerState.round = queue.currentRound;
        callerState.callsInRound = 0;
    }
    if (callerState.callsInRound == CallsPerRound) {
        ++callerState.round;
        callerState.callsInRound = 0;
    }
    ++callerState.callsInRound;
    return callerState.round;
}

bool isBelowGuarantee(const RankQueue &rank, Duration serviceTime)
{
    return rank.guaranteeCredit > 0.0 && rank.guaranteeCredit >= static_cast<double>(serviceTime.count());
}

/** Returns whether the first call of @p lower is served before the first call of @p higher. */
bool yieldsTo(const RankQueue &higher, const RankQueue &lower, const RankSelectionInput &input)
{
    const TimePoint deadline = higher.entries.front().deadline;
    const bool hasTime = input.now + 2 * input.backlog < deadline;
    return !input.isOverloaded && hasTime && lower.entries.front().deadline < deadline;
}

std::size_t groupIndex(std::uint32_t calls)
{
    return std::min<std::size_t>(std::bit_width(calls), CallerGroups - 1);
}

/** Sets the number of queued calls of a caller and moves the caller to the matching group. */
void setQueuedCalls(RankQueue &queue, CallerState &callerState, std::uint32_t calls)
{
    CallerGroup &before = queue.callerGroups[groupIndex(callerState.queuedCalls)];
    if (callerState.queuedCalls > 0) {
        --before.callers;
        before.calls -= callerState.queuedCalls;
    }
    callerState.queuedCalls = calls;
    CallerGroup &after = queue.callerGroups[groupIndex(calls)];
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

QueueEntryId push(CallQueue &queue, const CallArrived &arrival, bool isRequeued)
{
    RankQueue &rank = queueOf(queue, arrival.rank);
    const std::uint64_t round = isRequeued ? rank.currentRound : assignRound(rank, arrival.caller);
    CallerState &callerState = rank.callers[arrival.caller];
    setQueuedCalls(rank, callerState, callerState.queuedCalls + 1);
    const QueueEntryId entryId = ++queue.lastEntryId;
    rank.entries.push_back({.round = round, .deadline = arrival.deadline, .entryId = entryId, .call = arrival.call});
    std::push_heap(rank.entries.begin(), rank.entries.end(), isLater);
    ++rank.size;
    ++queue.size;
    return entryId;
}

void markRemoved(CallQueue &queue, const CallArrived &arrival)
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
    const std::size_t ownGroup = groupIndex(static_cast<std::uint32_t>(ownCalls));
    // Under overload, callers of the next smaller group are expected to queue as many calls as this one.
    const std::size_t firstCappedGroup = isOverloaded ? ownGroup - 1 : ownGroup;
    std::uint64_t ahead = 0;
    // All calls of callers with fewer queued calls are served first, and of the other callers as many as of this one.
    for (std::size_t group = 1; group < queue.callerGroups.size(); ++group) {
        const CallerGroup &others = queue.callerGroups[group];
        ahead += group < firstCappedGroup ? others.calls : others.callers * ownCalls;
    }
    return static_cast<std::uint32_t>(isOverloaded ? ahead : std::min<std::uint64_t>(queue.size, ahead));
}

std::optional<Rank> nextRank(const CallQueue &queue, const RankSelectionInput &input)
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < queue.ranks.size(); ++index) {
        const RankQueue &rank = queue.ranks[index];
        if (rank.size == 0) {
            continue;
        }
        if (isBelowGuarantee(rank, input.serviceTimes[index])) {
            return static_cast<Rank>(index);
        }
        if (!best || yieldsTo(queue.ranks[*best], rank, input)) {
            best = index;
        }
    }
    return best ? std::optional(static_cast<Rank>(*best)) : std::nullopt;
}

void chargeSlotTime(CallQueue &queue, Rank rank, Duration serviceTime)
{
    const auto slotTime = static_cast<double>(serviceTime.count());
    for (std::size_t index = 0; index < queue.ranks.size(); ++index) {
        RankQueue &rankQueue = queue.ranks[index];
        const bool isOwn = static_cast<Rank>(index) == rank;
        if (isOwn) {
            rankQueue.guaranteeCredit = std::max(0.0, rankQueue.guaranteeCredit - slotTime);
        }
        if (isOwn || rankQueue.size > 0) {
            rankQueue.guaranteeCredit
                = std::min(rankQueue.guaranteeCredit + guaranteedShare(static_cast<Rank>(index)) * slotTime, MaximumGuaranteeCredit * slotTime);
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
