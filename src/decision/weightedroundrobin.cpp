#include "decision/weightedroundrobin.h"

#include <algorithm>
#include <numeric>

namespace Plantainweir {
namespace {

std::int64_t totalWeight(const WeightedRoundRobin &rotation)
{
    return std::accumulate(rotation.targets.begin(), rotation.targets.end(), std::int64_t{0}, [](std::int64_t sum, const RouteTarget &target) {
        return sum + target.weight;
    });
}

}

WeightedRoundRobin makeRoundRobin(const std::vector<RouteTarget> &targets, std::uint64_t random)
{
    WeightedRoundRobin rotation{.targets = targets, .credits = std::vector<std::int64_t>(targets.size(), 0)};
    const std::int64_t total = totalWeight(rotation);
    if (total > 0) {
        const auto steps = random % static_cast<std::uint64_t>(std::min<std::int64_t>(total, 100));
        for (std::uint64_t i = 0; i < steps; ++i) {
            nextService(rotation);
        }
    }
    return rotation;
}

std::string nextService(WeightedRoundRobin &rotation)
{
    const std::int64_t total = totalWeight(rotation);
    if (total <= 0) {
        return {};
    }
    std::size_t best = 0;
    for (std::size_t i = 0; i < rotation.targets.size(); ++i) {
        rotation.credits[i] += rotation.targets[i].weight;
        if (rotation.credits[i] > rotation.credits[best]) {
            best = i;
        }
    }
    rotation.credits[best] -= total;
    return rotation.targets[best].service;
}

}
