#pragma once

#include "core/endpoint.h"
#include "core/time.h"

#include <optional>
#include <string_view>

namespace Plantainweir {

/** Parses a duration such as "1500ms" or "2.5s"; returns nothing for other text. */
std::optional<Duration> parseDuration(std::string_view text);

}
