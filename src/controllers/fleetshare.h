#pragma once

#include "decision/proxying.h"

#include <cstddef>

/**
 * The part of the fleet's budgets that one entry VM may spend, by what it knows of the fleet's size. Nothing is agreed
 * on: a fleet that is taken for larger than it is spends less than it may.
 */
namespace Plantainweir {

/** What the whole fleet may do. */
struct FleetLimits {
    double retrySlack = 0.0; ///< Repeated attempts in each window, beside a share of the calls.
    double probesPerSecondPerUpstream = 0.0; ///< Questions a second to one upstream.
};

struct FleetSizeEstimate {
    std::size_t largestSize = 0; ///< Most members that were live at a time.
    bool isConverged = false; ///< Members had the time to find each other.
};

/** Returns the size by which limits that hold at each moment are shared. */
std::size_t fleetSize(const FleetSizeEstimate &fleet);

/** Returns this entry VM's part of the retry slack, and of the probes to @p upstreams upstreams. */
FleetShareChanged fleetShare(const FleetLimits &limits, const FleetSizeEstimate &fleet, std::size_t upstreams);

/** Returns how many connections this entry VM may open to an upstream that accepts @p limit from the whole fleet. */
std::size_t connectionShare(std::size_t limit, const FleetSizeEstimate &fleet);

}
