#pragma once

#include <charconv>
#include <optional>
#include <string_view>

namespace Plantainweir {

/** Reads a number that makes up the whole of @p text; returns nothing for other text or a value out of range. */
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
