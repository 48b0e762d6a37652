#pragma once

#include "decision/servicestate.h"

#include <optional>

/**
 * Admission control: estimates whether a call can be answered before its deadline, from the measured service times, the
 * queue and the slots that higher ranks use.
 */
namespace Plantainweir {

/** Returns the mean service times by rank. */
std::array<Duration, enumCount<Rank>()> meanServiceTimes(const ServiceState &state);

/** Returns the input of nextRank(). */
RankSelectionInput rankSelectionInput(const ServiceState &state, TimePoint now);

/** Records that a call was admitted, or, with @p isRefused, that it was refused or expired in the queue. */
void recordAdmission(ServiceState &state, bool isRefused);

/** Returns how long a new call of @p rank and @p caller would wait for a slot. */
Duration expectedWait(const ServiceState &state, Rank rank, std::uint64_t caller, TimePoint now);

/** Returns the reason why the call is refused on arrival, or nothing if it is admitted. */
std::optional<RefusalReason> checkAdmission(const ServiceState &state, const CallArrived &arrival, TimePoint now);

/** Returns the latest time at which a queued call may still start. */
TimePoint latestStart(const ServiceState &state, const CallArrived &arrival);

/** Records that a call of @p rank occupies a slot for @p serviceTime. */
void recordUsage(ServiceState &state, Rank rank, Duration serviceTime, TimePoint now);

/** Updates the measured throughput when an attempt ends. */
void recordCompletion(ServiceState &state, TimePoint now);

/** Returns the mean service time over all ranks, in nanoseconds. */
double meanServiceNanoseconds(const ServiceState &state);

}
