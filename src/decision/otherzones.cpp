#include "decision/otherzones.h"

namespace Plantainweir {
namespace {

/** Weight of the newest probe in the share of available upstreams. */
constexpr double ShareWeight = 0.2;
/** Below this share, several calls would probe the zone for each one that finds room there. */
constexpr double MinimumAvailableShare = 0.15;

}

void recordProbed(OtherZones &others, const std::string &zone, bool isAvailable, Duration memory, TimePoint now)
{
    const double share = availableShare(others, zone, memory, now);
    std::erase_if(others.zones, [now](const auto &row) {
        return row.second.forgottenAt <= now;
    });
    others.zones[zone] = {.availableShare = share + ShareWeight * ((isAvailable ? 1.0 : 0.0) - share), .forgottenAt = now + memory};
}

double availableShare(const OtherZones &others, const std::string &zone, Duration memory, TimePoint now)
{
    const auto found = others.zones.find(zone);
    if (found == others.zones.end() || found->second.forgottenAt <= now) {
        return 1.0;
    }
    const double remembered = toMilliseconds(found->second.forgottenAt - now) / toMilliseconds(memory);
    return 1.0 - (1.0 - found->second.availableShare) * remembered;
}

bool isProbablyFull(const OtherZones &others, const std::string &zone, Duration memory, TimePoint now)
{
    return availableShare(others, zone, memory, now) < MinimumAvailableShare;
}

}
