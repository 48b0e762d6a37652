#include "decision/fullness.h"

namespace Plantainweir {
namespace {

/** Weight of the newest probe in the share of full upstreams. */
constexpr double ShareWeight = 0.05;
/** Long enough that the refusals, which prevent further silence, do not end and begin by turns. */
constexpr std::chrono::minutes SilenceMemory{10};

bool haveFewSlots(const UpstreamPool &pool, double limit)
{
    double slots = 0.0;
    for (const auto &[key, upstream] : pool.upstreams) {
        slots += upstream.registration.slots;
    }
    return slots <= limit * static_cast<double>(pool.upstreams.size());
}

}

void recordProbed(Fullness &fullness, bool isFull, TimePoint now)
{
    fullness.probedAt = now;
    fullness.share += ShareWeight * ((isFull ? 1.0 : 0.0) - fullness.share);
}

void recordSilence(Fullness &fullness, TimePoint now)
{
    fullness.silenceSeenAt = now;
}

bool refusesUnprobed(const Fullness &fullness, const UpstreamPool &pool, const FullRefusalSettings &settings, TimePoint now)
{
    const bool areFull = settings.share > 0.0 && fullness.share >= settings.share;
    const bool wasSilent = fullness.silenceSeenAt != TimePoint{} && now - fullness.silenceSeenAt < SilenceMemory;
    return areFull && (wasSilent || haveFewSlots(pool, settings.slots));
}

}
