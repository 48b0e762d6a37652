#pragma once

#include "core/time.h"

#include <array>
#include <cstdint>

/** Learns the distribution of service times from finished attempts. */
namespace Plantainweir {

/** Buckets per doubling of the time; a bucket is at most an eighth of its lower bound wide. */
inline constexpr std::size_t BucketsPerOctave = 8;
/** Times from 2^15 ns (33 microseconds) to 2^37 ns (137 seconds) fall into their own buckets. */
inline constexpr std::size_t LatencyOctaves = 22;

/** The quantiles that the decisions use; all zero until enough samples are there. */
struct LatencyQuantiles {
    Duration p5{};
    Duration p50{};
    Duration p90{};
    Duration p95{};
};

/** A histogram of service times that halves its counts from time to time, and so forgets. */
struct LatencyEstimate {
    std::array<std::uint32_t, BucketsPerOctave * LatencyOctaves> counts{};
    std::uint32_t total = 0;
    std::uint32_t samplesUntilRefresh = 0;
    double meanNanoseconds = 0.0; ///< Exponentially weighted.
    std::uint64_t samples = 0;
    LatencyQuantiles quantiles; ///< Refreshed now and then by addSample().
};

/** Adds one service time. */
void addSample(LatencyEstimate &estimate, Duration serviceTime);

/** Returns whether enough samples are there for the quantiles to mean something. */
bool hasQuantiles(const LatencyEstimate &estimate);

/** Returns the mean service time, zero before the first sample. */
Duration meanServiceTime(const LatencyEstimate &estimate);

}
