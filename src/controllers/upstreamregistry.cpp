#include "controllers/upstreamregistry.h"

#include <algorithm>

namespace Plantainweir {
namespace {

/** Upstreams register again within about two seconds after the platform recovers (docs/PLATFORM.md). */
constexpr std::chrono::milliseconds GracePeriod{2400};
/** A lease expires after three missed heartbeats, so none expires during a shorter outage. */
constexpr std::chrono::milliseconds MinimumOutage{1000};

bool isMissing(const RegistryEntry &entry)
{
    return entry.expiresAt != TimePoint{};
}

bool isSameIncarnation(const UpstreamRecord &left, const UpstreamRecord &right)
{
    return left.endpoint == right.endpoint && left.service == right.service && left.startedAtMs == right.startedAtMs;
}

}

void notePlatformRecovered(UpstreamRegistry &registry, Duration outage, TimePoint now)
{
    if (outage >= MinimumOutage) {
        registry.gracePeriodEnd = now + GracePeriod;
    }
}

void updateUpstream(UpstreamRegistry &registry, const UpstreamRecord &record, TimePoint now)
{
    RegistryEntry &entry = registry.entries[record.id];
    const bool isNew = entry.upstream.key == 0 || !isSameIncarnation(entry.record, record);
    const TimePoint coldUntil = entry.record == record ? entry.upstream.coldUntil : now + record.coldTime;
    entry.upstream = {
        .key = isNew ? ++registry.lastKey : entry.upstream.key,
        .id = record.id,
        .service = record.service,
        .endpoint = record.endpoint,
        .availabilityZone = record.availabilityZone,
        .slots = record.slots,
        .isDraining = record.isDraining,
        .coldUntil = coldUntil,
        .startedAtMs = record.startedAtMs,
    };
    entry.record = record;
    entry.expiresAt = {};
}

void removeUpstream(UpstreamRegistry &registry, const std::string &id, TimePoint now)
{
    const auto found = registry.entries.find(id);
    if (found == registry.entries.end()) {
        return;
    }
    if (now >= registry.gracePeriodEnd) {
        registry.entries.erase(found);
        return;
    }
    found->second.expiresAt = registry.gracePeriodEnd;
}

bool removeExpired(UpstreamRegistry &registry, TimePoint now)
{
    return std::erase_if(registry.entries,
                         [now](const auto &item) {
                             return isMissing(item.second) && item.second.expiresAt <= now;
                         })
           > 0;
}

std::optional<TimePoint> nextExpiry(const UpstreamRegistry &registry)
{
    std::optional<TimePoint> next;
    for (const auto &[id, entry] : registry.entries) {
        if (isMissing(entry) && (!next || entry.expiresAt < *next)) {
            next = entry.expiresAt;
        }
    }
    return next;
}

std::vector<RegisteredUpstream> registeredUpstreams(const UpstreamRegistry &registry)
{
    std::map<std::string, int> surplus; // Registered minus missing upstreams, by service.
    for (const auto &[id, entry] : registry.entries) {
        surplus[entry.record.service] += isMissing(entry) ? -1 : 1;
    }
    std::vector<RegisteredUpstream> upstreams;
    for (const auto &[id, entry] : registry.entries) {
        // If at least half of a service is registered, its missing upstreams are assumed to have left during the outage.
        if (!isMissing(entry) || surplus[entry.record.service] < 0) {
            upstreams.push_back(entry.upstream);
        }
    }
    return upstreams;
}

}
