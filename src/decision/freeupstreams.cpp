#include "decision/freeupstreams.h"

#include <algorithm>
#include <utility>

namespace Plantainweir {
namespace {

void place(FreeUpstreams &free, std::size_t position, UpstreamIndex upstream)
{
    free.heap[position] = upstream;
    free.positions[upstream] = static_cast<std::uint32_t>(position + 1);
}

bool isCheaper(const FreeUpstreams &free, UpstreamIndex left, UpstreamIndex right)
{
    return free.costs[left] < free.costs[right];
}

void siftUp(FreeUpstreams &free, std::size_t position)
{
    const UpstreamIndex moved = free.heap[position];
    while (position > 0) {
        const std::size_t parent = (position - 1) / 2;
        if (!isCheaper(free, moved, free.heap[parent])) {
            break;
        }
        place(free, position, free.heap[parent]);
        position = parent;
    }
    place(free, position, moved);
}

void siftDown(FreeUpstreams &free, std::size_t position)
{
    const UpstreamIndex moved = free.heap[position];
    for (std::size_t child = 2 * position + 1; child < free.heap.size(); child = 2 * position + 1) {
        if (child + 1 < free.heap.size() && isCheaper(free, free.heap[child + 1], free.heap[child])) {
            ++child;
        }
        if (!isCheaper(free, free.heap[child], moved)) {
            break;
        }
        place(free, position, free.heap[child]);
        position = child;
    }
    place(free, position, moved);
}

void restoreOrder(FreeUpstreams &free, std::size_t position)
{
    const UpstreamIndex upstream = free.heap[position];
    siftUp(free, position);
    siftDown(free, free.positions[upstream] - 1);
}

}

void insertOrMove(FreeUpstreams &free, UpstreamIndex upstream, double cost)
{
    if (upstream >= free.positions.size()) {
        free.positions.resize(upstream + 1, 0);
        free.costs.resize(upstream + 1, 0.0);
    }
    free.costs[upstream] = cost;
    if (free.positions[upstream] == 0) {
        free.heap.push_back(upstream);
        free.positions[upstream] = static_cast<std::uint32_t>(free.heap.size());
    }
    restoreOrder(free, free.positions[upstream] - 1);
}

void remove(FreeUpstreams &free, UpstreamIndex upstream)
{
    if (upstream >= free.positions.size() || free.positions[upstream] == 0) {
        return;
    }
    const std::size_t position = free.positions[upstream] - 1;
    const UpstreamIndex last = free.heap.back();
    free.heap.pop_back();
    free.positions[upstream] = 0;
    if (last == upstream) {
        return;
    }
    place(free, position, last);
    restoreOrder(free, position);
}

std::optional<UpstreamIndex> cheapest(const FreeUpstreams &free, std::optional<UpstreamIndex> avoided)
{
    if (free.heap.empty()) {
        return std::nullopt;
    }
    if (free.heap.front() != avoided) {
        return free.heap.front();
    }
    if (free.heap.size() == 1) {
        return std::nullopt;
    }
    if (free.heap.size() == 2 || isCheaper(free, free.heap[1], free.heap[2])) {
        return free.heap[1];
    }
    return free.heap[2];
}

}
