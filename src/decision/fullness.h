#pragma once

#include "core/time.h"
#include "decision/upstreampool.h"

/**
 * Decides whether calls that may not probe are refused because the upstreams are probably full.
 *
 * Answers the load of more calls than the upstreams can run. Without a probe, an entry VM chooses by its own calls in flight, which says
 * little about upstreams with few slots, and costs a call that an upstream never answers.
 */
namespace Plantainweir {

/** When calls that may not probe are refused. */
struct FullRefusalSettings {
    double share = 0.0; ///< Share of full upstreams from which they are. Zero: never.
    double slots = 0.0; ///< They are if upstreams registered at most so many slots on average, even if all upstreams answered so far.
};

/** What one entry VM saw of the full upstreams of a service. */
struct Fullness {
    double share = 0.0; ///< Share of full upstreams among those probed, exponentially weighted.
    TimePoint probedAt; ///< When an upstream was last probed.
    TimePoint silenceSeenAt; ///< When an upstream was last seen not to answer a call. The epoch if never.
};

/** Counts an upstream that was probed. */
void recordProbed(Fullness &fullness, bool isFull, TimePoint now);

/** Records that an upstream did not answer a call although it answers others. */
void recordSilence(Fullness &fullness, TimePoint now);

/** Returns whether calls that may not probe are refused. */
bool refusesUnprobed(const Fullness &fullness, const UpstreamPool &pool, const FullRefusalSettings &settings, TimePoint now);

}
