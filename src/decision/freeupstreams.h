#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/** The upstreams with a free slot in an indexed binary heap: the lowest cost is on top, updates are logarithmic. */
namespace Plantainweir {

/** Index of an upstream in ServiceState::upstreams. */
using UpstreamIndex = std::uint32_t;

struct FreeUpstreams {
    std::vector<UpstreamIndex> heap;
    std::vector<double> costs; ///< By upstream. The lowest cost is used first.
    std::vector<std::uint32_t> positions; ///< By upstream: its position in @ref heap plus one, or zero if it is absent.
};

/** Inserts the upstream, or updates its cost. */
void insertOrUpdate(FreeUpstreams &freeUpstreams, UpstreamIndex upstream, double cost);

/** Removes the upstream if it is in the heap. */
void remove(FreeUpstreams &freeUpstreams, UpstreamIndex upstream);

/** Returns the upstream with the lowest cost other than @p excluded, or nothing. */
std::optional<UpstreamIndex> lowestCost(const FreeUpstreams &freeUpstreams, std::optional<UpstreamIndex> excluded = std::nullopt);

}
