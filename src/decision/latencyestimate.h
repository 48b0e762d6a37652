#pragma once

#include "core/time.h"

#include <array>
#include <cstdint>

/** Estimates the distribution of service times from finished attempts. */
namespace Plantainweir {

/** Buckets per doubling of the time. The width of a bucket is at most an eighth of its lower bound. */
inline constexpr std::size_t BucketsPerOctave = 8;
/**
 * The histogram covers 2^15 ns (33 microseconds) to 2^37 ns (137 seconds).
 *
 * Shorter times are counted in the first bucket, longer ones in the last.
 */
inline constexpr std::size_t LatencyOctaves = 22;

/** Quantiles of the service time. All are zero until there are enough samples. */
struct LatencyQuantiles {
    Duration p5{};
    Duration p50{};
    Duration p90{};
    Duration p95{};
};

/** A histogram of service times. Its counts are halved regularly, so that old samples lose weight. */
struct LatencyEstimate {
    std::array<std::uint32_t, BucketsPerOctave * LatencyOctaves> counts{};
    std::uint32_t total = 0; ///< Sum of @ref counts.
    std::uint32_t samplesUntilRefresh = 0;
    double meanNanoseconds = 0.0; ///< Exponentially weighted.
    std::uint64_t samples = 0; ///< All samples so far. Not halved.
    LatencyQuantiles quantiles; ///< Recomputed by addSample() after a fixed number of samples.
};

/** Adds one service time. */
void addSample(LatencyEstimate &estimate, Duration serviceTime);

/** Returns whether there are enough samples for the quantiles. */
bool hasQuantiles(const LatencyEstimate &estimate);

/** Returns the mean service time, or zero before the first sample. */
Duration meanServiceTime(const LatencyEstimate &estimate);

}
