#pragma once

#include <compare>
#include <string>

namespace Plantainweir {

/** The newest state of one upstream where it differs from the inventory. */
struct UpstreamStatus {
    std::string service;
    std::string upstream;
    bool isLeaving = false; ///< It announced that it drains, or the platform lists its VM as leaving.
    auto operator<=>(const UpstreamStatus &) const = default;
};

}
