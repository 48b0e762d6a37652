#pragma once

#include "configuration/routetable.h"

#include <vector>

/** Spreads the calls of a route over its services in the proportions of their weights. */
namespace Plantainweir {

/** Credits of a smooth weighted round robin, by target. */
struct WeightedRoundRobin {
    std::vector<RouteTarget> targets;
    std::vector<std::int64_t> credits;
};

/** Returns a rotation that starts at a place drawn from @p random, so that entry VMs do not move in step. */
WeightedRoundRobin makeRoundRobin(const std::vector<RouteTarget> &targets, std::uint64_t random);

/** Returns the service of the next call; empty if all weights are zero. */
std::string nextService(WeightedRoundRobin &rotation);

}
