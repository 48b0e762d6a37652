#include "caller/percentiles.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace Plantainweir {

double percentile(std::vector<double> values, double percent)
{
    if (values.empty()) {
        return 0.0;
    }
    const double position = std::ceil(percent / 100.0 * static_cast<double>(values.size()));
    const auto index = static_cast<std::ptrdiff_t>(std::clamp(position, 1.0, static_cast<double>(values.size()))) - 1;
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<std::size_t>(index)];
}

}
