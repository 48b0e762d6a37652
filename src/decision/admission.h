#pragma once

#include "decision/servicestate.h"

#include <optional>

/**
 * Decides whether a call can be answered in time, from the learnt service times, the queue in front and what the
 * higher ranks use.
 */
namespace Plantainweir {

/** Returns the mean service times by rank. */
std::array<Duration, enumCount<Rank>()> meanServiceTimes(const ServiceState &state);

/** Returns what the choice of the next rank depends on. */
RankSelectionInput rankSelectionInput(const ServiceState &state, TimePoint now);

/** Records whether a call was refused, or expired in the queue, for want of slots. */
void recordAdmission(ServiceState &state, bool isRefused);

/** Returns how long a new call of @p rank and @p caller would wait for a slot. */
Duration expectedWait(const ServiceState &state, Rank rank, std::uint64_t caller, TimePoint now);

/** Returns why the call is refused at once, or nothing if it is accepted. */
std::optional<RefusalReason> checkAdmission(const ServiceState &state, const CallArrived &arrival, TimePoint now);

/** Returns the last time at which a waiting call may still start. */
TimePoint latestStart(const ServiceState &state, const CallArrived &arrival);

/** Records that a call of @p rank takes a slot for @p serviceTime. */
void recordUsage(ServiceState &state, Rank rank, Duration serviceTime, TimePoint now);

/** Learns how fast the slots work a queue off from an attempt that ended. */
void recordCompletion(ServiceState &state, TimePoint now);

/** Returns the mean service time over all ranks, in nanoseconds. */
double meanServiceNanoseconds(const ServiceState &state);

}
