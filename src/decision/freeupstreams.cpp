#include "decision/freeupstreams.h"

#include <algorithm>
#include <utility>

namespace Plantainweir {
namespace {

void place(FreeUpstreams &freeUpstreams, std::size_t position, UpstreamIndex upstream)
{
    freeUpstreams.heap[position] = upstream;
    freeUpstreams.positions[upstream] = static_cast<std::uint32_t>(position + 1);
}

bool isCheaper(const FreeUpstreams &freeUpstreams, UpstreamIndex left, UpstreamIndex right)
{
    return freeUpstreams.costs[left] < freeUpstreams.costs[right];
}

void siftUp(FreeUpstreams &freeUpstreams, std::size_t position)
{
    const UpstreamIndex moved = freeUpstreams.heap[position];
    while (position > 0) {
        const std::size_t parent = (position - 1) / 2;
        if (!isCheaper(freeUpstreams, moved, freeUpstreams.heap[parent])) {
            break;
        }
        place(freeUpstreams, position, freeUpstreams.heap[parent]);
        position = parent;
    }
    place(freeUpstreams, position, moved);
}

void siftDown(FreeUpstreams &freeUpstreams, std::size_t position)
{
    const UpstreamIndex moved = freeUpstreams.heap[position];
    for (std::size_t child = 2 * position + 1; child < freeUpstreams.heap.size(); child = 2 * position + 1) {
        if (child + 1 < freeUpstreams.heap.size() && isCheaper(freeUpstreams, freeUpstreams.heap[child + 1], freeUpstreams.heap[child])) {
            ++child;
        }
        if (!isCheaper(freeUpstreams, freeUpstreams.heap[child], moved)) {
            break;
        }
        place(freeUpstreams, position, freeUpstreams.heap[child]);
        position = child;
    }
    place(freeUpstreams, position, moved);
}

void restoreOrder(FreeUpstreams &freeUpstreams, std::size_t position)
{
    const UpstreamIndex upstream = freeUpstreams.heap[position];
    siftUp(freeUpstreams, position);
    siftDown(freeUpstreams, freeUpstreams.positions[upstream] - 1);
}

}

void insertOrUpdate(FreeUpstreams &freeUpstreams, UpstreamIndex upstream, double cost)
{
    if (upstream >= freeUpstreams.positions.size()) {
        freeUpstreams.positions.resize(upstream + 1, 0);
        freeUpstreams.costs.resize(upstream + 1, 0.0);
    }
    freeUpstreams.costs[upstream] = cost;
    if (freeUpstreams.positions[upstream] == 0) {
        freeUpstreams.heap.push_back(upstream);
        freeUpstreams.positions[upstream] = static_cast<std::uint32_t>(freeUpstreams.heap.size());
    }
    restoreOrder(freeUpstreams, freeUpstreams.positions[upstream] - 1);
}

void remove(FreeUpstreams &freeUpstreams, UpstreamIndex upstream)
{
    if (upstream >= freeUpstreams.positions.size() || freeUpstreams.positions[upstream] == 0) {
        return;
    }
    const std::size_t position = freeUpstreams.positions[upstream] - 1;
    const UpstreamIndex last = freeUpstreams.heap.back();
    freeUpstreams.heap.pop_back();
    freeUpstreams.positions[upstream] = 0;
    if (last == upstream) {
        return;
    }
    place(freeUpstreams, position, last);
    restoreOrder(freeUpstreams, position);
}

std::optional<UpstreamIndex> lowestCost(const FreeUpstreams &freeUpstreams, std::optional<UpstreamIndex> excluded)
{
    if (freeUpstreams.heap.empty()) {
        return std::nullopt;
    }
    if (freeUpstreams.heap.front() != excluded) {
        return freeUpstreams.heap.front();
    }
    if (freeUpstreams.heap.size() == 1) {
        return std::nullopt;
    }
    if (freeUpstreams.heap.size() == 2 || isCheaper(freeUpstreams, freeUpstreams.heap[1], freeUpstreams.heap[2])) {
        return freeUpstreams.heap[1];
    }
    return freeUpstreams.heap[2];
}

}
