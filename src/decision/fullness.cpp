#include "decision/fullness.h"

namespace Plantainweir {
namespace {

/** Weight of the newest probe in the share of full upstreams. */
constexpr double ShareWeight = 0.05;
/** With so few slots on average, one call of another entry VM takes half of an upstream. */
constexpr double FewSlots = 2.0;
/** Long enough that the refusals, which prevent further silence, do not end and begin by turns. */
constexpr std::chrono::minutes SilenceMemory{10};

bool haveFewSlots(const UpstreamPool &pool)
{
    double slots = 0.0;
    for (const auto &[key, upstream] : pool.upstreams) {
        slots += upstream.registration.slots;
    }
    return slots <= FewSlots * static_cast<double>(pool.upstreams.size());
}

/** Returns whether the upstreams of @p pool lose more by calls without a probe than others. */
bool isUnprobedCostly(const Fullness &fullness, const UpstreamPool &pool, TimePoint now)
{
    const bool wasSilent = fullness.silenceSeenAt != TimePoint{} && now - fullness.silenceSeenAt < SilenceMemory;
    return wasSilent || haveFewSlots(pool);
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

bool refusesUnprobed(const Fullness &fullness, const UpstreamPool &pool, double limit, TimePoint now)
{
    return limit > 0.0 && fullness.share >= limit && isUnprobedCostly(fullness, pool, now);
}

}
