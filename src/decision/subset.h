#pragma once

#include "core/time.h"
#include "decision/upstreampool.h"

#include <cstddef>
#include <span>
#include <string>

/**
 * Chooses the upstreams that an entry VM prefers, so that its probes and calls find open connections.
 *
 * Answers the load of many entry VMs with few calls each: if each of them spreads its calls over all upstreams of a
 * service, a connection is closed as idle before the next call needs it. Each entry VM therefore prefers a subset by
 * rendezvous hashing (Thaler and Ravishankar, 1998), so that the subsets are stable and spread over the upstreams without
 * coordination. A call that finds no available upstream in the subset goes on to the other upstreams.
 */
namespace Plantainweir {

/** Returns the number of upstreams whose connections a rate of @p callsPerSecond keeps open, and at least @p minimum. */
std::size_t subsetSize(double callsPerSecond, std::size_t minimum);

/** Sets the preference of the entry VM called @p entryVm for each upstream. */
void assignPreferences(UpstreamPool &pool, const std::string &entryVm);

/**
 * Moves the @p size upstreams that are preferred most to the front of @p candidates, and keeps the order otherwise.
 *
 * An upstream in its cold start is added to the subset without taking the place of another one.
 */
void moveSubsetToFront(std::span<PooledUpstream *> candidates, std::size_t size, TimePoint now);

}
