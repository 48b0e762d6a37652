#pragma once

#include "core/enumnames.h"
#include "core/time.h"

#include <cstdint>
#include <random>
#include <vector>

/**
 * Notices upstreams that fail or are slow relative to their peers, from the results and the ages of ordinary calls.
 *
 * An outlier is ejected for a time that doubles with each ejection. It returns by a few idempotent trial calls.
 */
namespace Plantainweir {

using RandomGenerator = std::mt19937_64;

/** Whether an upstream takes part. */
enum class HealthState {
    Healthy,
    Ejected, ///< Receives nothing until UpstreamHealth::ejectedUntil.
    Trial, ///< Receives one idempotent call at a time.
};

constexpr std::array<EnumName<HealthState>, 3> enumNames(HealthState)
{
    return {{
        {HealthState::Healthy, "healthy"},
        {HealthState::Ejected, "ejected"},
        {HealthState::Trial, "trial"},
    }};
}
static_assert(isEnumTableOrdered<HealthState>());

/** What the results of one upstream tell. */
struct UpstreamHealth {
    HealthState state = HealthState::Healthy;
    double logLatency = 0.0; ///< Exponentially weighted mean of the logarithm of the attempts' times in nanoseconds.
    std::uint32_t latencySamples = 0;
    Duration shortestLatency{}; ///< In the current window of samples and the one before; about the network's share.
    Duration shortestInWindow{};
    double failureRate = 0.0; ///< Exponentially weighted.
    std::uint32_t failureSamples = 0;
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t consecutiveOverdue = 0; ///< Attempts that became overdue since the last one that ended in good time.
    std::uint32_t consecutiveEjections = 0; ///< In a row.
    TimePoint ejectedUntil;
    TimePoint healthySince;
    std::uint32_t trialSuccesses = 0;
};

/** The typical upstream of a service; outliers are measured against it. */
struct OutlierBaseline {
    double logLatency = 0.0;
    double failureRate = 0.0;
    bool isKnown = false;
    std::uint32_t updatesUntilRefresh = 0;
};

/** Records the time of an attempt that ended, or of one that was given up and would have taken longer. */
void recordLatency(UpstreamHealth &health, Duration latency);

/** Records whether an attempt failed; a failure is a server error, a lost connection or silence, not a shed call. */
void recordResult(UpstreamHealth &health, bool hasFailed);

/** Takes the medians over @p healths; upstreams with few samples do not count. */
OutlierBaseline computeBaseline(const std::vector<const UpstreamHealth *> &healths);

/** Returns the latency relative to the peers', 1 if it is not known. */
double latencyRatio(const UpstreamHealth &health, const OutlierBaseline &baseline);

/** Returns whether the upstream is slow enough relative to its peers to lower its concurrency limit. */
bool isSlow(const UpstreamHealth &health, const OutlierBaseline &baseline);

/** Returns whether the upstream shall be ejected. */
bool isOutlier(const UpstreamHealth &health, const OutlierBaseline &baseline);

/** Returns how many of @p upstreams may be ejected at the same time; at least one stays. */
std::size_t maximumEjected(std::size_t upstreams);

/** Ejects the upstream; the time is drawn around its mean, so that upstreams do not return in step. */
void eject(UpstreamHealth &health, TimePoint now, RandomGenerator &random);

/** Records a trial call's success; returns whether the upstream is healthy again. */
bool recordTrialSuccess(UpstreamHealth &health, const OutlierBaseline &baseline, TimePoint now);

}
