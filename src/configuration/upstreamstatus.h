#pragma once

#include <compare>
#include <string>

namespace Plantainweir {

/** State of one upstream as observed at run time, in addition to the inventory. */
struct UpstreamStatus {
    std::string service;
    std::string upstream;
    bool isLeaving = false; ///< Whether it announced that it drains, or the platform lists its VM as leaving.
    auto operator<=>(const UpstreamStatus &) const = default;
};

}
