#include "controllers/fleetshare.h"

#include <algorithm>

namespace Plantainweir {
namespace {

/** Size of the fleet that is assumed until members are known. */
constexpr std::size_t AssumedFleetSize = 64;
/** The same for probes: the platform bounds them over hours, and the calls of a fresh entry VM need them most. */
constexpr std::size_t AssumedProbingFleetSize = 8;
/** Part of an upstream's connections that the fleet uses. */
constexpr double UsableConnectionFraction = 0.8;
constexpr std::size_t MinimumConnections = 8;
/** Part of the permitted questions to upstreams that is used. */
constexpr double UsableProbeFraction = 0.75;

std::size_t probingFleetSize(const FleetSizeEstimate &fleet)
{
    return fleet.isConverged ? fleetSize(fleet) : std::max(AssumedProbingFleetSize, fleet.largestSize);
}

}

std::size_t fleetSize(const FleetSizeEstimate &fleet)
{
    return fleet.isConverged ? std::max<std::size_t>(1, fleet.largestSize) : std::max(AssumedFleetSize, fleet.largestSize);
}

FleetShareChanged fleetShare(const FleetLimits &limits, const FleetSizeEstimate &fleet, std::size_t upstreams)
{
    const double probes = limits.probesPerSecondPerUpstream * UsableProbeFraction * static_cast<double>(upstreams);
    return {
        .retrySlack = limits.retrySlack / static_cast<double>(fleetSize(fleet)),
        .probesPerSecond = probes / static_cast<double>(probingFleetSize(fleet)),
    };
}

std::size_t connectionShare(std::size_t limit, const FleetSizeEstimate &fleet)
{
    const double share = static_cast<double>(limit) * UsableConnectionFraction / static_cast<double>(fleetSize(fleet));
    return std::max(MinimumConnections, static_cast<std::size_t>(share));
}

}
