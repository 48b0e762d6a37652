#pragma once

#include "core/time.h"

#include <map>
#include <string>

/**
 * Knows which other availability zones had no room lately, so that calls that find none in their own zone go where there is some.
 *
 * Answers the load of waves that reach the availability zones at different times: a zone is full while others are idle.
 */
namespace Plantainweir {

/** What one entry VM saw of the upstreams of a service in another availability zone. */
struct OtherZone {
    double availableShare = 1.0; ///< Share of available upstreams among those probed, exponentially weighted, at the time of the last one.
    TimePoint forgottenAt; ///< The share counts less and less until then; from then on, the zone counts as idle.
};

/** What one entry VM saw of a service. */
struct OtherZones {
    std::map<std::string, OtherZone, std::less<>> zones; ///< By name.
};

/** Counts a probed upstream of @p zone. What was seen is forgotten @p memory later. */
void recordProbed(OtherZones &others, const std::string &zone, bool isAvailable, Duration memory, TimePoint now);

/** Returns the expected share of available upstreams in @p zone: one if it was not probed lately. */
double availableShare(const OtherZones &others, const std::string &zone, Duration memory, TimePoint now);

/** Returns whether most probes in @p zone would be wasted. */
bool isProbablyFull(const OtherZones &others, const std::string &zone, Duration memory, TimePoint now);

}
