#pragma once

#include <charconv>
#include <optional>
#include <string_view>

namespace Plantainweir {

/** Parses the whole of @p text as a number; returns nothing for other text or a value out of range. */
template<typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

}
