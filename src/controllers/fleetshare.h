#pragma once

#include "core/time.h"
#include "decision/proxying.h"

#include <cstddef>
#include <optional>

/**
 * Computes one entry VM's share of the limits that hold for the whole fleet, from its own estimate of the fleet's size.
 * Entry VMs do not coordinate their shares; an estimate that is too large only leaves part of a limit unused.
 */
namespace Plantainweir {

/** Limits on the whole fleet. */
struct FleetLimits {
    double retrySlack = 0.0; ///< Maximum number of retries per window in addition to those in proportion to the calls.
    double probesPerSecondPerUpstream = 0.0; ///< Maximum rate of the probes that one upstream receives.
};

/** One member's estimate of the fleet's size. */
struct FleetSizeEstimate {
    std::size_t largestSize = 0; ///< Largest number of members that were live at the same time.
    bool isConverged = false; ///< Whether the members have found each other. A member that has found no other one does not know.
    TimePoint convergesAt; ///< When the members count as having found each other, unless more of them are found before.
    bool isSettled = false; ///< Whether no member was found for a shorter time, after which members that start find few more.
    TimePoint settlesAt; ///< When the estimate counts as settled, unless more members are found before.
};

/** Returns when the estimate settles if no further member is found, or nothing if it has or only a further member changes it. */
std::optional<TimePoint> nextSettling(const FleetSizeEstimate &fleet, TimePoint now);

/** Takes into account that @p size members are live; to be called at changes and at nextFleetSizeChange(). */
void observeFleetSize(FleetSizeEstimate &fleet, std::size_t size, TimePoint now);

/** Returns when the estimate changes if no further member is found, or nothing if only a further member changes it. */
std::optional<TimePoint> nextFleetSizeChange(const FleetSizeEstimate &fleet, TimePoint now);

/** Returns the fleet size by which to divide limits that must hold at any time. */
std::size_t fleetSize(const FleetSizeEstimate &fleet);

/** Returns this entry VM's share of the retry slack, and of the probe rate for @p upstreams upstreams. */
FleetShareChanged fleetShare(const FleetLimits &limits, const FleetSizeEstimate &fleet, std::size_t upstreams);

/** Returns how many connections this entry VM may open to an upstream that accepts @p limit from the whole fleet. */
std::size_t connectionShare(std::size_t limit, const FleetSizeEstimate &fleet);

}
