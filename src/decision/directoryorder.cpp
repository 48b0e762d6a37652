#include "decision/directoryorder.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace Plantainweir {
namespace {

std::vector<double> slotsOfOwners(const ServiceOwners &assignment, const std::vector<Upstream> &upstreams)
{
    std::vector<double> slots(assignment.owners.size(), 0.0);
    for (std::size_t index = 0; index < upstreams.size() && index < assignment.ownerByUpstream.size(); ++index) {
        slots[assignment.ownerByUpstream[index]] += upstreams[index].slots;
    }
    return slots;
}

}

std::vector<std::size_t> drawDirectoryOrder(const ServiceOwners &assignment, const std::vector<Upstream> &upstreams, std::mt19937_64 &random)
{
    std::vector<double> keys;
    for (const double slots : slotsOfOwners(assignment, upstreams)) {
        const double key = std::exponential_distribution<double>(std::max(slots, 1.0))(random);
        keys.push_back(slots > 0.0 ? key : std::numeric_limits<double>::max());
    }
    std::vector<std::size_t> order(keys.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), [&keys](std::size_t left, std::size_t right) {
        return keys[left] < keys[right];
    });
    return order;
}

}
