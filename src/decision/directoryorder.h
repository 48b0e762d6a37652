#pragma once

#include "decision/ownership.h"

#include <cstddef>
#include <random>
#include <vector>

namespace Plantainweir {

/**
 * Returns the owners of a service in the order for one directory answer, as indexes into ServiceOwners::owners.
 *
 * The order is drawn anew for each answer (Efraimidis and Spirakis, 2006): an owner comes first as often as its share of
 * the slots of @p upstreams, so that callers spread over the owners by their capacity, and those of a lost owner over
 * all that are left.
 */
std::vector<std::size_t> drawDirectoryOrder(const ServiceOwners &assignment, const std::vector<Upstream> &upstreams, std::mt19937_64 &random);

}
