#include "decision/outlierdetection.h"

#include <algorithm>
#include <cmath>

namespace Plantainweir {
namespace {

constexpr double LatencyWeight = 1.0 / 32.0;
constexpr std::uint32_t SamplesForLatency = 32;
constexpr std::uint32_t ShortestLatencyWindow = 64;
constexpr double SlowRatio = 2.0;
constexpr double OutlierRatio = 3.0;
constexpr double FailureWeight = 1.0 / 8.0;
constexpr std::uint32_t SamplesForFailures = 8;
constexpr std::uint32_t OutlierConsecutiveFailures = 3;
constexpr double OutlierFailureRate = 0.4;
constexpr double FailureRateOverBaseline = 2.0;
constexpr std::chrono::milliseconds BaseEjectionTime{500};
constexpr std::uint32_t MaximumDoublings = 5;
constexpr double EjectionJitter = 0.2;
constexpr std::uint32_t TrialSuccessesToReturn = 3;
constexpr std::chrono::seconds EjectionCountResetTime{30};

double median(std::vector<double> &values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

void recordShortest(UpstreamHealth &health, Duration latency)
{
    const bool startsWindow = health.latencySamples % ShortestLatencyWindow == 1;
    if (startsWindow) {
        health.shortestLatency = health.latencySamples == 1 ? latency : health.shortestInWindow;
        health.shortestInWindow = latency;
    }
    health.shortestInWindow = std::min(health.shortestInWindow, latency);
    health.shortestLatency = std::min(health.shortestLatency, latency);
}

bool isFailureOutlier(const UpstreamHealth &health, const OutlierBaseline &baseline)
{
    const double baselineRate = baseline.isKnown ? baseline.failureRate : 0.0;
    if (health.failureRate < FailureRateOverBaseline * baselineRate) {
        return false;
    }
    const bool failsOften = health.failureSamples >= SamplesForFailures && health.failureRate > OutlierFailureRate;
    return failsOften || health.consecutiveFailures >= OutlierConsecutiveFailures;
}

}

void recordLatency(UpstreamHealth &health, Duration latency)
{
    const double logarithm = std::log(static_cast<double>(std::max<std::int64_t>(latency.count(), 1)));
    ++health.latencySamples;
    const double weight = std::max(LatencyWeight, 1.0 / health.latencySamples);
    health.logLatency += weight * (logarithm - health.logLatency);
    recordShortest(health, latency);
}

void recordResult(UpstreamHealth &health, bool hasFailed)
{
    ++health.failureSamples;
    health.failureRate += FailureWeight * ((hasFailed ? 1.0 : 0.0) - health.failureRate);
    health.consecutiveFailures = hasFailed ? health.consecutiveFailures + 1 : 0;
}

OutlierBaseline computeBaseline(const std::vector<const UpstreamHealth *> &healths)
{
    std::vector<double> latencies;
    std::vector<double> failures;
    for (const UpstreamHealth *health : healths) {
        if (health->latencySamples >= SamplesForLatency) {
            latencies.push_back(health->logLatency);
        }
        if (health->failureSamples >= SamplesForFailures) {
            failures.push_back(health->failureRate);
        }
    }
    OutlierBaseline baseline;
    baseline.isKnown = latencies.size() >= 2;
    baseline.logLatency = latencies.empty() ? 0.0 : median(latencies);
    baseline.failureRate = failures.empty() ? 0.0 : median(failures);
    return baseline;
}

double latencyRatio(const UpstreamHealth &health, const OutlierBaseline &baseline)
{
    if (!baseline.isKnown || health.latencySamples < SamplesForLatency) {
        return 1.0;
    }
    return std::exp(health.logLatency - baseline.logLatency);
}

bool isSlow(const UpstreamHealth &health, const OutlierBaseline &baseline)
{
    return latencyRatio(health, baseline) > SlowRatio;
}

bool isOutlier(const UpstreamHealth &health, const OutlierBaseline &baseline)
{
    return latencyRatio(health, baseline) > OutlierRatio || isFailureOutlier(health, baseline);
}

std::size_t maximumEjected(std::size_t upstreams)
{
    if (upstreams == 0) {
        return 0;
    }
    return std::min((upstreams + 1) / 2, upstreams - 1);
}

void eject(UpstreamHealth &health, TimePoint now, RandomGenerator &random)
{
    if (health.state == HealthState::Healthy && now - health.healthySince > EjectionCountResetTime) {
        health.consecutiveEjections = 0;
    }
    const std::uint32_t doublings = std::min(health.consecutiveEjections, MaximumDoublings);
    const double jitter = std::uniform_real_distribution<double>(1.0 - EjectionJitter, 1.0 + EjectionJitter)(random);
    health.ejectedUntil = now + fromMilliseconds(toMilliseconds(BaseEjectionTime) * static_cast<double>(1U << doublings) * jitter);
    health.state = HealthState::Ejected;
    health.trialSuccesses = 0;
    ++health.consecutiveEjections;
}

bool recordTrialSuccess(UpstreamHealth &health, const OutlierBaseline &baseline, TimePoint now)
{
    if (++health.trialSuccesses < TrialSuccessesToReturn) {
        return false;
    }
    health.state = HealthState::Healthy;
    health.healthySince = now;
    health.logLatency = baseline.logLatency;
    health.latencySamples = baseline.isKnown ? SamplesForLatency : 0;
    health.failureRate = 0.0;
    health.failureSamples = 0;
    health.consecutiveFailures = 0;
    health.consecutiveOverdue = 0;
    return true;
}

}
