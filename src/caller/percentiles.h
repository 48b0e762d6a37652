#pragma once

#include <vector>

namespace Plantainweir {

/**
 * Returns the percentile by the nearest-rank method: the smallest of @p values that at least @p percent of them do not
 * exceed; 0 if there are no values.
 *
 * @param percent above 0 and at most 100; @param values in any order.
 */
double percentile(std::vector<double> values, double percent);

}
