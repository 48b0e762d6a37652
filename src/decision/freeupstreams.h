#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/** The upstreams with a free slot, the one to use first on top: an indexed binary heap with logarithmic updates. */
namespace Plantainweir {

/** Index of an upstream in ServiceState::upstreams. */
using UpstreamIndex = std::uint32_t;

struct FreeUpstreams {
    std::vector<UpstreamIndex> heap;
    std::vector<double> costs; ///< By upstream; lower is used first.
    std::vector<std::uint32_t> positions; ///< By upstream: its place in @ref heap plus one, zero if it is not there.
};

/** Puts the upstream in or moves it to where @p cost belongs. */
void insertOrUpdate(FreeUpstreams &freeUpstreams, UpstreamIndex upstream, double cost);

/** Takes the upstream out if it is there. */
void remove(FreeUpstreams &freeUpstreams, UpstreamIndex upstream);

/** Returns the upstream of the lowest cost other than @p avoided, or nothing. */
std::optional<UpstreamIndex> lowestCost(const FreeUpstreams &freeUpstreams, std::optional<UpstreamIndex> excluded = std::nullopt);

}
