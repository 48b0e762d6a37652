#pragma once

#include "core/time.h"

#include <cstddef>
#include <vector>

/** The largest numbers of members of the fleet that were live at once, as long as members that have gone may only be cut off. */
namespace Plantainweir {

/** Larger fleets are not believed. */
inline constexpr std::size_t MaximumFleetSize = 4096;
/** How long the largest number of members counts after some have gone. */
inline constexpr std::chrono::hours FleetSizeValidity{1};

/** A number of members that were live at once. */
struct SeenFleetSize {
    std::size_t size = 0;
    TimePoint validUntil;
};

/** The largest numbers of members that were live at once, as long as they are to be reckoned with. */
struct FleetSizeMemory {
    std::vector<SeenFleetSize> sizes; ///< Falling sizes with rising times.
};

/** Returns the largest number, or zero. */
SeenFleetSize largestFleetSize(const FleetSizeMemory &memory);

/** Reckons with @p size members at once, until @p validUntil at least. */
void rememberFleetSize(FleetSizeMemory &memory, std::size_t size, TimePoint validUntil);

/** Forgets the sizes that are too old at @p now. */
void forgetFleetSizes(FleetSizeMemory &memory, TimePoint now);

}
