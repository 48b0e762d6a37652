#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Plantainweir {

/** Names one version of one configuration object; keys are made by rulesKey() and serviceKey(). */
struct ObjectVersion {
    std::string key;
    std::uint64_t version = 0;
    auto operator<=>(const ObjectVersion &) const = default;
};

}
