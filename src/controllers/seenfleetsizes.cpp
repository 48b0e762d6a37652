#include "controllers/seenfleetsizes.h"

#include <algorithm>

namespace Plantainweir {

SeenFleetSize largestFleetSize(const FleetSizeMemory &memory)
{
    return memory.sizes.empty() ? SeenFleetSize{} : memory.sizes.front();
}

void rememberFleetSize(FleetSizeMemory &memory, std::size_t size, TimePoint validUntil)
{
    std::vector<SeenFleetSize> &sizes = memory.sizes;
    const bool isCovered = std::any_of(sizes.begin(), sizes.end(), [&](const SeenFleetSize &seen) {
        return seen.size >= size && seen.validUntil >= validUntil;
    });
    if (size > MaximumFleetSize || size == 0 || isCovered) {
        return;
    }
    std::erase_if(sizes, [&](const SeenFleetSize &seen) {
        return seen.size <= size && seen.validUntil <= validUntil;
    });
    const auto position = std::find_if(sizes.begin(), sizes.end(), [size](const SeenFleetSize &seen) {
        return seen.size < size;
    });
    sizes.insert(position, {.size = size, .validUntil = validUntil});
}

void forgetFleetSizes(FleetSizeMemory &memory, TimePoint now)
{
    std::erase_if(memory.sizes, [now](const SeenFleetSize &seen) {
        return seen.validUntil <= now;
    });
}

}
