#pragma once

#include "decision/upstreampool.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/**
 * The upstreams that are registered at the platform, as this entry VM last heard.
 *
 * Registrations lapse while the platform is away, although their upstreams live. What is missing when it returns is
 * therefore kept for a while, and dropped if it has not come back by then. It is used only if most of its service is
 * missing: a few that are missing have left.
 */
namespace Plantainweir {

/** What an upstream registered of itself. */
struct UpstreamRecord {
    std::string id;
    std::string service;
    Endpoint endpoint;
    std::string availabilityZone;
    std::uint32_t slots = 1;
    bool isDraining = false;
    Duration coldTime{}; ///< For which it stays slow, from the time of the record.
    std::int64_t startedAtMs = 0; ///< Unix time of its start, zero if not told; a new value is a new incarnation.
    bool operator==(const UpstreamRecord &) const = default;
};

struct RegistryEntry {
    UpstreamRecord record;
    RegisteredUpstream upstream;
    std::uint64_t revision = 0;
    TimePoint expiresAt; ///< Of a missing one; the epoch while it is registered.
};

struct UpstreamRegistry {
    std::map<std::string, RegistryEntry, std::less<>> entries; ///< By the upstream's id.
    TimePoint gracePeriodEnd; ///< What goes missing before this time is kept until then.
    UpstreamKey lastKey = 0;
};

/** The platform can be reached again after having been away for so long. */
void notePlatformRecovered(UpstreamRegistry &registry, Duration outage, TimePoint now);

/** Takes one record that was written at @p revision; older news are ignored. */
void updateUpstream(UpstreamRegistry &registry, const UpstreamRecord &record, std::uint64_t revision, TimePoint now);

/** Takes the news that @p id is not registered any more, or that its record is unusable. */
void removeUpstream(UpstreamRegistry &registry, const std::string &id, TimePoint now);

/** Takes a whole list: all that is not in @p present is not registered. */
void retainListedUpstreams(UpstreamRegistry &registry, const std::vector<std::string> &present, TimePoint now);

/** Drops the missing ones whose time is over; returns whether any was. */
bool removeExpired(UpstreamRegistry &registry, TimePoint now);

/** Returns when removeExpired() has something to do, or nothing. */
std::optional<TimePoint> nextExpiry(const UpstreamRegistry &registry);

/** Returns the upstreams to use: those that are registered, and missing ones of a service that misses more than half. */
std::vector<RegisteredUpstream> registeredUpstreams(const UpstreamRegistry &registry);

}
