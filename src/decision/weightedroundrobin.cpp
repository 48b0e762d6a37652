#include "decision/weightedroundrobin.h"

#include <algorithm>
#include <numeric>

namespace Plantainweir {
namespace {

std::int64_t totalWeight(const WeightedRoundRobin &roundRobin)
{
    return std::accumulate(roundRobin.targets.begin(), roundRobin.targets.end(), std::int64_t{0}, [](std::int64_t sum, const RouteTarget &target) {
        return sum + target.weight;
    });
}

}

WeightedRoundRobin makeRoundRobin(const std::vector<RouteTarget> &targets, std::uint64_t random)
{
    WeightedRoundRobin roundRobin{.targets = targets, .credits = std::vector<std::int64_t>(targets.size(), 0)};
    const std::int64_t total = totalWeight(roundRobin);
    if (total > 0) {
        const auto steps = random % static_cast<std::uint64_t>(std::min<std::int64_t>(total, 100));
        for (std::uint64_t i = 0; i < steps; ++i) {
            nextService(roundRobin);
        }
    }
    return roundRobin;
}

std::string nextService(WeightedRoundRobin &roundRobin)
{
    const std::int64_t total = totalWeight(roundRobin);
    if (total <= 0) {
        return {};
    }
    std::size_t best = 0;
    for (std::size_t i = 0; i < roundRobin.targets.size(); ++i) {
        roundRobin.credits[i] += roundRobin.targets[i].weight;
        if (roundRobin.credits[i] > roundRobin.credits[best]) {
            best = i;
        }
    }
    roundRobin.credits[best] -= total;
    return roundRobin.targets[best].service;
}

}
