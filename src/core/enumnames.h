#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

/**
 * Tables of names for `enum class` types.
 *
 * Each enumeration that leaves the process (as a counter label, a log word, a JSON word or a header value) has one
 * table, returned by an overload of `enumNames(Enum)` found by argument-dependent lookup. Values are contiguous and
 * start at zero, and row N of the table names value N.
 */
namespace Plantainweir {

/** One row of a table of names. */
template<typename Enum>
struct EnumName {
    Enum value;
    std::string_view name;
};

/** Returns the number of values of @p Enum. */
template<typename Enum>
constexpr std::size_t enumCount()
{
    return enumNames(Enum{}).size();
}

/** Returns the name of @p value. */
template<typename Enum>
constexpr std::string_view nameOf(Enum value)
{
    return enumNames(value)[static_cast<std::size_t>(value)].name;
}

/** Returns the value called @p name, or nothing if the table has no such name. */
template<typename Enum>
constexpr std::optional<Enum> valueNamed(std::string_view name)
{
    for (const auto &row : enumNames(Enum{})) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

/** Returns whether row N of the table of @p Enum names value N; meant for static_assert beside the table. */
template<typename Enum>
constexpr bool isEnumTableOrdered()
{
    std::size_t index = 0;
    for (const auto &row : enumNames(Enum{})) {
        if (static_cast<std::size_t>(row.value) != index) {
            return false;
        }
        ++index;
    }
    return true;
}

}
