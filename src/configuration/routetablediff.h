#pragma once

#include "configuration/configurationdiff.h"
#include "configuration/routetable.h"

#include <string>
#include <vector>

/** Differences between two versions of a route table, and what callers notice of them. */
namespace Plantainweir {

struct RouteTableDifference {
    Difference difference;
    std::string effect; ///< What callers notice; empty if nothing.
    bool operator==(const RouteTableDifference &) const = default;
};

/** Returns the differences of @p after from @p before, without the versions. Keys appear by the start of their digest only. */
std::vector<RouteTableDifference> differences(const RouteTable &before, const RouteTable &after);

}
