#include "core/parseduration.h"

#include "core/parsenumber.h"

namespace Plantainweir {

std::optional<Duration> parseDuration(std::string_view text)
{
    const auto unitStart = text.find_first_not_of("0123456789.");
    if (unitStart == std::string_view::npos) {
        return std::nullopt;
    }
    const auto number = parseNumber<double>(text.substr(0, unitStart));
    const std::string_view unit = text.substr(unitStart);
    if (!number || (unit != "ms" && unit != "s")) {
        return std::nullopt;
    }
    return fromMilliseconds(unit == "ms" ? *number : *number * 1000.0);
}

}
