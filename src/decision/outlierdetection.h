#pragma once

#include "core/enumnames.h"
#include "core/time.h"

#include <cstdint>
#include <random>
#include <vector>

/**
 * Passive outlier detection: finds upstreams that fail or are slow compared with the other upstreams of the service, from
 * the results and times of ordinary calls.
 *
 * An outlier is ejected for a time that doubles with each ejection. It returns to service after a few successful trial
 * calls, which are idempotent.
 */
namespace Plantainweir {

using RandomGenerator = std::mt19937_64;

/** The health state of an upstream. It decides which calls the upstream receives. */
enum class HealthState {
    Healthy, ///< Receives calls.
    Ejected, ///< Receives no calls until UpstreamHealth::ejectedUntil.
    Trial, ///< Receives one idempotent trial call at a time.
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

/** The health of one upstream, from the results of its attempts. */
struct UpstreamHealth {
    HealthState state = HealthState::Healthy;
    double logLatency = 0.0; ///< Exponentially weighted mean of the logarithm of the attempts' times in nanoseconds.
    std::uint32_t latencySamples = 0;
    Duration shortestLatency{}; ///< Over the current and the previous window of samples. Approximates the network latency.
    Duration shortestInWindow{};
    double failureRate = 0.0; ///< Exponentially weighted.
    std::uint32_t failureSamples = 0;
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t consecutiveOverdue = 0; ///< Attempts that became overdue since the last one that ended in time.
    std::uint32_t consecutiveEjections = 0; ///< Without a long healthy period in between.
    TimePoint ejectedUntil;
    TimePoint healthySince;
    std::uint32_t trialSuccesses = 0;
};

/** The medians over the upstreams of a service, against which outliers are detected. */
struct OutlierBaseline {
    double logLatency = 0.0;
    double failureRate = 0.0;
    bool isKnown = false;
    std::uint32_t updatesUntilRefresh = 0;
};

/** Records the latency of an attempt, or the age of a cancelled attempt as a lower bound of its latency. */
void recordLatency(UpstreamHealth &health, Duration latency);

/** Records whether an attempt failed. A failure is a server error or a failed or lost connection, but not a shed call. */
void recordResult(UpstreamHealth &health, bool hasFailed);

/** Returns the medians over @p healths, without upstreams that have few samples. */
OutlierBaseline computeBaseline(const std::vector<const UpstreamHealth *> &healths);

/** Returns the latency divided by the baseline, or 1 if one of them is not known. */
double latencyRatio(const UpstreamHealth &health, const OutlierBaseline &baseline);

/** Returns whether the latency exceeds the baseline by enough to lower the concurrency limit. */
bool isSlow(const UpstreamHealth &health, const OutlierBaseline &baseline);

/** Returns whether the upstream should be ejected. */
bool isOutlier(const UpstreamHealth &health, const OutlierBaseline &baseline);

/** Returns how many of @p upstreams may be ejected at the same time. At least one stays in service. */
std::size_t maximumEjected(std::size_t upstreams);

/** Ejects the upstream. The ejection time is randomised, so that upstreams do not return at the same time. */
void eject(UpstreamHealth &health, TimePoint now, RandomGenerator &random);

/** Records the success of a trial call. Returns whether the upstream is healthy again. */
bool recordTrialSuccess(UpstreamHealth &health, const OutlierBaseline &baseline, TimePoint now);

}
