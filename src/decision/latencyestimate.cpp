#include "decision/latencyestimate.h"

#include <algorithm>
#include <bit>

namespace Plantainweir {
namespace {

constexpr unsigned LowestOctave = 15;
constexpr unsigned SubBucketBits = 3;
static_assert(BucketsPerOctave == 1U << SubBucketBits);
constexpr std::uint32_t SamplesBeforeHalving = 4096;
constexpr std::uint32_t SamplesBetweenRefreshes = 64;
constexpr std::uint64_t MinimumSamples = 32;
constexpr double MeanWindowSamples = 512.0;

std::size_t bucketOf(Duration serviceTime)
{
    const auto nanoseconds = std::max<std::uint64_t>(static_cast<std::uint64_t>(std::max<std::int64_t>(serviceTime.count(), 0)), 1ULL << LowestOctave);
    const auto octave = static_cast<unsigned>(std::bit_width(nanoseconds)) - 1;
    const auto subBucket = (nanoseconds >> (octave - SubBucketBits)) & (BucketsPerOctave - 1);
    const std::size_t bucket = (octave - LowestOctave) * BucketsPerOctave + subBucket;
    return std::min(bucket, BucketsPerOctave * LatencyOctaves - 1);
}

double lowerBound(std::size_t bucket)
{
    const auto octave = static_cast<double>(1ULL << (LowestOctave + bucket / BucketsPerOctave));
    return octave * (1.0 + static_cast<double>(bucket % BucketsPerOctave) / BucketsPerOctave);
}

Duration quantile(const LatencyEstimate &estimate, double probability)
{
    const double targetCount = probability * estimate.total;
    double below = 0.0;
    for (std::size_t bucket = 0; bucket < estimate.counts.size(); ++bucket) {
        const double count = estimate.counts[bucket];
        if (count > 0.0 && below + count >= targetCount) {
            const double lower = lowerBound(bucket);
            const double width = lowerBound(bucket + 1) - lower;
            return Duration{static_cast<std::int64_t>(lower + width * (targetCount - below) / count)};
        }
        below += count;
    }
    return Duration::zero();
}

void halveCounts(LatencyEstimate &estimate)
{
    estimate.total = 0;
    for (std::uint32_t &count : estimate.counts) {
        count /= 2;
        estimate.total += count;
    }
}

void refreshQuantiles(LatencyEstimate &estimate)
{
    estimate.quantiles = {
        .p5 = quantile(estimate, 0.05),
        .p50 = quantile(estimate, 0.5),
        .p90 = quantile(estimate, 0.9),
        .p95 = quantile(estimate, 0.95),
    };
    estimate.samplesUntilRefresh = SamplesBetweenRefreshes;
}

}

void addSample(LatencyEstimate &estimate, Duration serviceTime)
{
    ++estimate.samples;
    const double weight = 1.0 / std::min(static_cast<double>(estimate.samples), MeanWindowSamples);
    estimate.meanNanoseconds += weight * (static_cast<double>(serviceTime.count()) - estimate.meanNanoseconds);
    ++estimate.counts[bucketOf(serviceTime)];
    ++estimate.total;
    if (estimate.total >= SamplesBeforeHalving) {
        halveCounts(estimate);
    }
    if (estimate.samples == MinimumSamples) {
        estimate.samplesUntilRefresh = 1;
    }
    if (estimate.samples >= MinimumSamples && --estimate.samplesUntilRefresh == 0) {
        refreshQuantiles(estimate);
    }
}

bool hasQuantiles(const LatencyEstimate &estimate)
{
    return estimate.samples >= MinimumSamples;
}

Duration meanServiceTime(const LatencyEstimate &estimate)
{
    return Duration{static_cast<std::int64_t>(estimate.meanNanoseconds)};
}

}
