#pragma once

#include "decision/ownership.h"

#include <cstddef>
#include <random>
#include <vector>

namespace Plantainweir {

/**
 * Returns the order of the owners of a service in one directory answer, as indexes into ServiceOwners::owners.
 *
 * Each answer gets a new weighted random order (Efraimidis and Spirakis, 2006). The probability that an owner is first
 * is its share of the slots of @p upstreams, so that callers spread over the owners by capacity, and the callers of a
 * failed owner spread over all remaining ones.
 */
std::vector<std::size_t> drawDirectoryOrder(const ServiceOwners &assignment, const std::vector<Upstream> &upstreams, std::mt19937_64 &random);

}
