#include "decision/admission.h"

#include <algorithm>
#include <cmath>

namespace Plantainweir {
namespace {

/** Time constant of the exponential average of the slot time that each rank uses. */
constexpr std::chrono::milliseconds UsageWindow{200};
/** Lower bound on the share of the slots that a rank is assumed to get, so that an expected wait is never infinite. */
constexpr double MinimumShare = 0.01;
constexpr double CompletionWeight = 1.0 / 64.0;
constexpr double MinimumEfficiency = 0.25;
constexpr double MaximumEfficiency = 4.0;
constexpr double RefusalRateWeight = 1.0 / 256.0;
/** The service is overloaded above this share of refused calls. */
constexpr double OverloadRefusalRate = 0.05;
constexpr std::uint32_t MaximumQueuedCalls = 100'000;

std::size_t indexOf(Rank rank)
{
    return static_cast<std::size_t>(rank);
}

/** Returns the number of slots scaled by the measured efficiency. */
double effectiveSlots(const ServiceState &state)
{
    return std::max(state.slots, 1U) * state.throughput.efficiency;
}

double usageShare(const ServiceState &state, Rank rank, TimePoint now)
{
    const RankUsage &usage = state.usageByRank[indexOf(rank)];
    const double windows = toMilliseconds(now - usage.updatedAt) / toMilliseconds(UsageWindow);
    const double capacity = effectiveSlots(state) * static_cast<double>(Duration{UsageWindow}.count());
    return usage.nanoseconds * std::exp(-windows) / capacity;
}

double slotTimeOf(const ServiceState &state, Rank rank, std::uint32_t calls)
{
    return state.latencies[indexOf(rank)].meanNanoseconds * calls;
}

bool isOverloaded(const ServiceState &state)
{
    return state.refusalRate > OverloadRefusalRate;
}

/** Slot time of the queued calls that are served before a new one, in nanoseconds. */
struct WorkAhead {
    double higherRanks = 0.0;
    double ownRank = 0.0;
    double higherShare = 0.0; ///< Share of the slots that the higher ranks currently use.
};

WorkAhead workAhead(const ServiceState &state, Rank rank, std::uint64_t caller, TimePoint now)
{
    WorkAhead ahead;
    for (std::size_t index = 0; index < indexOf(rank); ++index) {
        const auto higher = static_cast<Rank>(index);
        ahead.higherRanks += slotTimeOf(state, higher, state.queue.ranks[index].size);
        ahead.higherShare += usageShare(state, higher, now);
    }
    ahead.ownRank = slotTimeOf(state, rank, callsAhead(state.queue.ranks[indexOf(rank)], caller, isOverloaded(state)));
    return ahead;
}

/** Returns the expected wait in nanoseconds. Under overload, the rank's guaranteed share may shorten it. */
double waitForWork(const ServiceState &state, const WorkAhead &ahead, Rank rank)
{
    const double slots = effectiveSlots(state);
    if (!isOverloaded(state)) {
        return (ahead.higherRanks + ahead.ownRank) / slots;
    }
    const double minimumShare = std::max(guaranteedShare(rank), MinimumShare);
    const double inRankOrder = (ahead.higherRanks + ahead.ownRank) / (slots * std::max(1.0 - ahead.higherShare, minimumShare));
    const double byGuaranteedShare = ahead.ownRank / (slots * minimumShare);
    return std::min(inRankOrder, byGuaranteedShare);
}

/** Returns OverRankLimit if the calls of higher ranks cause more than half of the wait, otherwise QueueFull. */
RefusalReason queueRefusalReason(const ServiceState &state, const WorkAhead &ahead, Rank rank)
{
    const WorkAhead alone{.ownRank = ahead.ownRank};
    return waitForWork(state, alone, rank) * 2.0 < waitForWork(state, ahead, rank) ? RefusalReason::OverRankLimit : RefusalReason::QueueFull;
}

}

std::array<Duration, enumCount<Rank>()> meanServiceTimes(const ServiceState &state)
{
    std::array<Duration, enumCount<Rank>()> times{};
    for (std::size_t index = 0; index < times.size(); ++index) {
        times[index] = meanServiceTime(state.latencies[index]);
    }
    return times;
}

RankSelectionInput rankSelectionInput(const ServiceState &state, TimePoint now)
{
    double queuedSlotTime = 0.0;
    for (std::size_t index = 0; index < state.queue.ranks.size(); ++index) {
        queuedSlotTime += slotTimeOf(state, static_cast<Rank>(index), state.queue.ranks[index].size);
    }
    return {
        .serviceTimes = meanServiceTimes(state),
        .backlog = Duration{static_cast<std::int64_t>(queuedSlotTime / effectiveSlots(state))},
        .isOverloaded = isOverloaded(state),
        .now = now,
    };
}

void recordAdmission(ServiceState &state, bool isRefused)
{
    state.refusalRate += RefusalRateWeight * ((isRefused ? 1.0 : 0.0) - state.refusalRate);
}

Duration expectedWait(const ServiceState &state, Rank rank, std::uint64_t caller, TimePoint now)
{
    if (state.queue.size == 0 && state.freeSlots > 0) {
        return Duration::zero();
    }
    const WorkAhead ahead = workAhead(state, rank, caller, now);
    const double nextCompletion = state.latencies[indexOf(rank)].meanNanoseconds / effectiveSlots(state);
    return Duration{static_cast<std::int64_t>(waitForWork(state, ahead, rank) + nextCompletion)};
}

std::optional<RefusalReason> checkAdmission(const ServiceState &state, const CallArrived &arrival, TimePoint now)
{
    if (state.usableUpstreams == 0) {
        return RefusalReason::NoUpstream;
    }
    const LatencyQuantiles &service = state.latencies[indexOf(arrival.rank)].quantiles;
    if (arrival.deadline <= now + service.p5) {
        return RefusalReason::DeadlineUnreachable;
    }
    if (state.queue.size == 0) {
        return std::nullopt;
    }
    if (state.queue.size >= MaximumQueuedCalls) {
        return RefusalReason::QueueFull;
    }
    const Duration wait = expectedWait(state, arrival.rank, arrival.caller, now);
    if (now + wait + service.p95 <= arrival.deadline) {
        return std::nullopt;
    }
    if (now + service.p95 > arrival.deadline) {
        return RefusalReason::DeadlineUnreachable;
    }
    return queueRefusalReason(state, workAhead(state, arrival.rank, arrival.caller, now), arrival.rank);
}

TimePoint latestStart(const ServiceState &state, const CallArrived &arrival)
{
    const LatencyQuantiles &service = state.latencies[indexOf(arrival.rank)].quantiles;
    const bool isIdempotent = arrival.repeatability == Repeatability::Idempotent;
    return arrival.deadline - (isIdempotent && !isOverloaded(state) ? service.p50 : service.p90);
}

void recordUsage(ServiceState &state, Rank rank, Duration serviceTime, TimePoint now)
{
    RankUsage &usage = state.usageByRank[indexOf(rank)];
    const double windows = toMilliseconds(now - usage.updatedAt) / toMilliseconds(UsageWindow);
    usage.nanoseconds = usage.nanoseconds * std::exp(-windows) + static_cast<double>(serviceTime.count());
    usage.updatedAt = now;
}

void recordCompletion(ServiceState &state, TimePoint now)
{
    Throughput &throughput = state.throughput;
    if (throughput.isBacklogged) {
        const auto interval = static_cast<double>((now - throughput.lastCompletionAt).count());
        throughput.meanIntervalNanoseconds += CompletionWeight * (interval - throughput.meanIntervalNanoseconds);
        const double expected = meanServiceNanoseconds(state) / std::max(state.slots, 1U);
        const double measured = expected / std::max(throughput.meanIntervalNanoseconds, 1.0);
        throughput.efficiency += CompletionWeight * (std::clamp(measured, MinimumEfficiency, MaximumEfficiency) - throughput.efficiency);
    }
    throughput.lastCompletionAt = now;
    throughput.isBacklogged = state.queue.size > 0;
}

double meanServiceNanoseconds(const ServiceState &state)
{
    double sum = 0.0;
    double samples = 0.0;
    for (const LatencyEstimate &estimate : state.latencies) {
        sum += estimate.meanNanoseconds * estimate.total;
        samples += estimate.total;
    }
    return samples > 0.0 ? sum / samples : 0.0;
}

}
