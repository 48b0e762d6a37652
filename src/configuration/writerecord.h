#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace Plantainweir {

/** Maximum number of write records in one object. */
inline constexpr std::size_t MaximumWriteRecords = 16;

/**
 * A record of one write, stored in the object that it changed.
 *
 * Each write is conditional on the version that it replaces, so at most one write with a given base version takes
 * effect. The records therefore show whether a write whose response was lost took effect.
 */
struct WriteRecord {
    std::uint64_t base = 0; ///< Version that the write replaced; zero if it created the object.
    std::string id; ///< Chosen by the writer and unique.
    bool operator==(const WriteRecord &) const = default;
};

}
