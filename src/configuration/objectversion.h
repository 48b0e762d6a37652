#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Plantainweir {

/** The key and version of an object; see rulesKey(), serviceKey() and statusKey() for the keys. */
struct ObjectVersion {
    std::string key;
    std::uint64_t version = 0;
    auto operator<=>(const ObjectVersion &) const = default;
};

}
