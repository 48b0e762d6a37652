#include "decision/callqueue.h"

#include <algorithm>
#include <tuple>

namespace Plantainweir {
namespace {

/** Calls that a caller may have in one round before its next calls wait for the other callers'. */
constexpr std::uint32_t CallsPerRound = 4;
/** Credit that a rank may save up, as a multiple of its mean service time. */
constexpr double MaximumFloorCredit = 2.0;

bool isLater(const QueueEntry &left, const QueueEntry &right)
{
    return std::tie(left.round, left.deadline, left.ticket) > std::tie(right.round, right.deadline, right.ticket);
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

RankQueue &queueOf(CallQueue &queue, Rank rank)
{
    return queue.ranks[static_cast<std::size_t>(rank)];
}

}

double floorShare(Rank rank)
{
    static_cast<void>(rank);
    return 0.05;
}

QueueTicket push(CallQueue &queue, const CallArrived &arrival, bool isAgain)
{
    RankQueue &rank = queueOf(queue, arrival.rank);
    const std::uint64_t round = isAgain ? rank.currentRound : takeTurn(rank, arrival.caller);
    ++rank.callers[arrival.caller].queuedCalls;
    const QueueTicket ticket = ++queue.lastTicket;
    rank.entries.push_back({.round = round, .deadline = arrival.deadline, .ticket = ticket, .call = arrival.call});
    std::push_heap(rank.entries.begin(), rank.entries.end(), isLater);
    ++rank.size;
    ++queue.size;
    return ticket;
}

void leave(CallQueue &queue, const CallArrived &arrival)
{
    RankQueue &rank = queueOf(queue, arrival.rank);
    --rank.size;
    --queue.size;
    const auto caller = rank.callers.find(arrival.caller);
    if (--caller->second.queuedCalls == 0) {
        rank.callers.erase(caller);
    }
    if (rank.size == 0) {
        rank.entries.clear();
        rank.floorCredit = 0.0;
    }
}

std::uint32_t callsAhead(const RankQueue &queue, std::uint64_t caller)
{
    const auto found = queue.callers.find(caller);
    const std::uint64_t ownRound = found == queue.callers.end() ? queue.currentRound : std::max(found->second.round, queue.currentRound);
    const std::uint64_t rounds = ownRound - queue.currentRound + 1;
    const std::uint64_t byTurns = rounds * CallsPerRound * queue.callers.size();
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(queue.size, byTurns));
}

std::optional<Rank> nextRank(const CallQueue &queue, const std::array<Duration, enumCount<Rank>()> &serviceTimes)
{
    std::optional<Rank> first;
    for (std::size_t index = 0; index < queue.ranks.size(); ++index) {
        const RankQueue &rank = queue.ranks[index];
        if (rank.size == 0) {
            continue;
        }
        const bool isOwed = rank.floorCredit > 0.0 && rank.floorCredit >= static_cast<double>(serviceTimes[index].count());
        if (isOwed) {
            return static_cast<Rank>(index);
        }
        if (!first) {
            first = static_cast<Rank>(index);
        }
    }
    return first;
}

void chargeSlotTime(CallQueue &queue, Rank rank, Duration serviceTime)
{
    const auto taken = static_cast<double>(serviceTime.count());
    for (std::size_t index = 0; index < queue.ranks.size(); ++index) {
        RankQueue &other = queue.ranks[index];
        if (static_cast<Rank>(index) == rank) {
            other.floorCredit = std::max(0.0, other.floorCredit - taken);
        } else if (other.size > 0) {
            other.floorCredit = std::min(other.floorCredit + floorShare(static_cast<Rank>(index)) * taken, MaximumFloorCredit * taken);
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
