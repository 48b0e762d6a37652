#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace Plantainweir {

/** An object remembers its last writes, at most so many. */
inline constexpr std::size_t MaximumWriteRecords = 16;

/**
 * One write of an object, remembered inside the object.
 *
 * Since each write is conditional on the version that it replaces, at most one write with a given base takes effect;
 * the list therefore tells whether a write whose answer was lost took effect.
 */
struct WriteRecord {
    std::uint64_t base = 0; ///< Version that the write replaced; zero if it created the object.
    std::string id; ///< Chosen by the writer, never used twice.
    bool operator==(const WriteRecord &) const = default;
};

}
