#pragma once

#include <compare>
#include <cstdint>

namespace Plantainweir {

/**
 * A revision of the platform's store.
 *
 * When the store returns from a copy of itself, it counts its revisions from an earlier number again, and tells a higher era
 * from then on. Revisions are therefore ordered by era, then by number (docs/design/store-eras.md).
 */
struct StoreRevision {
    std::uint64_t era = 0; ///< Zero if the store has not told it.
    std::uint64_t number = 0; ///< Zero if there is no revision; the store's revisions start above it.
    auto operator<=>(const StoreRevision &) const = default;
};

constexpr bool isSet(const StoreRevision &revision)
{
    return revision.number != 0;
}

}
