#include "controllers/fleetshare.h"

#include <algorithm>

namespace Plantainweir {
namespace {

/** Minimum fleet size that is assumed until the members have found each other. */
constexpr std::size_t AssumedFleetSize = 64;
/**
 * The assumed size for the share of the probes. It is smaller because a new entry VM needs probes most and the platform
 * limits them over hours.
 */
constexpr std::size_t AssumedProbingFleetSize = 8;
/** The members have found each other once none has been found for this time. */
constexpr std::chrono::seconds ConvergenceTime{3};
/** The same for limits whose shares are corrected within a second: a whole fleet that starts must not wait longer than needed. */
constexpr std::chrono::seconds SettlingTime{1};
/** Fraction of an upstream's connection limit that the fleet uses. */
constexpr double UsableConnectionFraction = 0.8;
constexpr std::size_t MinimumConnections = 8;
/** Fraction of the permitted probe rate that the fleet uses. */
constexpr double UsableProbeFraction = 0.75;

/** An entry VM that is cut off from all others looks like a fleet of one. */
bool hasFoundOthers(const FleetSizeEstimate &fleet)
{
    return fleet.largestSize > 1;
}

std::size_t probingFleetSize(const FleetSizeEstimate &fleet)
{
    return fleet.isConverged ? fleetSize(fleet) : std::max(AssumedProbingFleetSize, fleet.largestSize);
}

}

void observeFleetSize(FleetSizeEstimate &fleet, std::size_t size, TimePoint now)
{
    if (size > fleet.largestSize) {
        fleet.largestSize = size;
        fleet.convergesAt = now + ConvergenceTime;
        fleet.settlesAt = now + SettlingTime;
    }
    fleet.isSettled = fleet.isSettled || (hasFoundOthers(fleet) && now >= fleet.settlesAt);
    fleet.isConverged = fleet.isConverged || (hasFoundOthers(fleet) && now >= fleet.convergesAt);
}

std::optional<TimePoint> nextFleetSizeChange(const FleetSizeEstimate &fleet, TimePoint now)
{
    if (fleet.isConverged || !hasFoundOthers(fleet)) {
        return std::nullopt;
    }
    return std::max(now, fleet.convergesAt);
}

std::optional<TimePoint> nextSettling(const FleetSizeEstimate &fleet, TimePoint now)
{
    if (fleet.isSettled || !hasFoundOthers(fleet)) {
        return std::nullopt;
    }
    return std::max(now, fleet.settlesAt);
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
