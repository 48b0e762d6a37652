#pragma once

#include "decision/upstreampool.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/**
 * Registry of the upstreams that are registered at the platform, as far as this entry VM knows.
 *
 * Registrations are leases that expire during an outage of the platform, although their upstreams are alive. After an
 * outage, missing upstreams are therefore kept for a grace period and removed if they have not registered again by its
 * end. Meanwhile they are used only if more than half of their service is missing; fewer missing upstreams are assumed
 * to have left.
 */
namespace Plantainweir {

/** An upstream's registration. */
struct UpstreamRecord {
    std::string id;
    std::string service;
    Endpoint endpoint;
    std::string availabilityZone;
    std::uint32_t slots = 1;
    bool isDraining = false;
    Duration coldTime{}; ///< Warm-up time from the receipt of the registration, during which the upstream is slow.
    std::int64_t startedAtMs = 0; ///< Unix time of the start, zero if not given; a new value means a new incarnation.
    bool operator==(const UpstreamRecord &) const = default;
};

/** An upstream that is registered or in its grace period. */
struct RegistryEntry {
    UpstreamRecord record;
    RegisteredUpstream upstream;
    TimePoint expiresAt; ///< End of the grace period of a missing upstream; the epoch while it is registered.
};

struct UpstreamRegistry {
    std::map<std::string, RegistryEntry, std::less<>> entries; ///< By the upstream's ID.
    TimePoint gracePeriodEnd; ///< Upstreams that are found missing before this time are kept until then.
    UpstreamKey lastKey = 0;
};

/** Starts a grace period if the platform recovered from an @p outage that was long enough for leases to expire. */
void notePlatformRecovered(UpstreamRegistry &registry, Duration outage, TimePoint now);

/** Adds or updates an upstream from its newest registration, as a mirror of the store gives it. */
void updateUpstream(UpstreamRegistry &registry, const UpstreamRecord &record, TimePoint now);

/** Handles that @p id is no longer registered or its registration is invalid: removes it, or keeps it for the grace period. */
void removeUpstream(UpstreamRegistry &registry, const std::string &id, TimePoint now);

/** Removes the missing upstreams whose grace period has ended; returns whether there were any. */
bool removeExpired(UpstreamRegistry &registry, TimePoint now);

/** Returns when the next grace period ends, or nothing if no upstream is missing. */
std::optional<TimePoint> nextExpiry(const UpstreamRegistry &registry);

/** Returns the upstreams to use: the registered ones, and the missing ones of services with more than half missing. */
std::vector<RegisteredUpstream> registeredUpstreams(const UpstreamRegistry &registry);

}
