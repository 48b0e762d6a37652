#include "decision/subset.h"

#include "decision/ownership.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace Plantainweir {
namespace {

/** Shorter than most servers keep an idle connection open. */
constexpr std::chrono::seconds ConnectionIdleTime{4};
/** Upstreams that a call visits on average: it probes two at a time and usually finds one of them available. */
constexpr double VisitsPerCall = 2.0;
/** Mean visits to a member in the idle time. At random times, one member in twenty then misses its visit. */
constexpr double VisitsPerIdleTime = 3.0;
/** The next upstreams after the subset are those of a subset this many times as large. */
constexpr std::size_t WideSubsetFactor = 2;

void movePreferredToFront(std::span<PooledUpstream *> candidates, std::size_t size, TimePoint now)
{
    std::vector<std::uint64_t> preferences;
    preferences.reserve(candidates.size());
    for (const PooledUpstream *upstream : candidates) {
        if (upstream->registration.coldUntil <= now) {
            preferences.push_back(upstream->preference);
        }
    }
    if (preferences.size() <= size) {
        return;
    }
    const auto least = preferences.begin() + static_cast<std::ptrdiff_t>(size) - 1;
    std::nth_element(preferences.begin(), least, preferences.end(), std::greater<>());
    std::stable_partition(candidates.begin(), candidates.end(), [least](const PooledUpstream *upstream) {
        return upstream->preference >= *least;
    });
}

}

std::size_t subsetSize(double callsPerSecond, std::size_t minimum)
{
    const double visits = callsPerSecond * VisitsPerCall * toMilliseconds(ConnectionIdleTime) / 1000.0;
    return std::max(minimum, static_cast<std::size_t>(visits / VisitsPerIdleTime));
}

void assignPreferences(UpstreamPool &pool, const std::string &entryVm)
{
    for (auto &[key, upstream] : pool.upstreams) {
        upstream.preference = entryVm.empty() ? 0 : rendezvousWeight(entryVm, upstream.registration.id);
    }
}

void moveSubsetToFront(std::span<PooledUpstream *> candidates, std::size_t size, TimePoint now)
{
    movePreferredToFront(candidates, size * WideSubsetFactor, now);
    movePreferredToFront(candidates, size, now);
}

}
