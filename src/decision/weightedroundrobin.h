#pragma once

#include "configuration/routetable.h"

#include <vector>

/** Distributes the calls of a route over its services in proportion to their weights. */
namespace Plantainweir {

/** The state of a smooth weighted round robin. */
struct WeightedRoundRobin {
    std::vector<RouteTarget> targets;
    std::vector<std::int64_t> credits; ///< By target.
};

/** Returns a round robin that starts at a position derived from @p random, so that entry VMs are not synchronised. */
WeightedRoundRobin makeRoundRobin(const std::vector<RouteTarget> &targets, std::uint64_t random);

/** Returns the service of the next call, or an empty string if all weights are zero. */
std::string nextService(WeightedRoundRobin &roundRobin);

}
