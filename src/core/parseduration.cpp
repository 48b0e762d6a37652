#include "core/parseduration.h"

#include "core/parsenumber.h"

namespace Plantainweir {
namespace {

/** About 30 years; a longer duration could overflow when it is added to a time. */
constexpr double MaximumMilliseconds = 1e12;

}

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
    const double milliseconds = unit == "ms" ? *number : *number * 1000.0;
    return milliseconds <= MaximumMilliseconds ? std::optional(fromMilliseconds(milliseconds)) : std::nullopt;
}

}
