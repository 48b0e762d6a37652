#pragma once

#include <vector>

namespace Plantainweir {

/**
 * Returns the smallest of @p values that at least @p percent of them do not exceed (nearest rank); zero if there is none.
 *
 * @param percent above 0 and at most 100; @param values in any order.
 */
double percentile(std::vector<double> values, double percent);

}
