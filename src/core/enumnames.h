#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

/**
 * Tables of names for `enum class` types.
 *
 * Each enumeration whose values appear outside the process (in metric labels, logs, JSON or headers) has one table,
 * returned by an overload of `enumNames(Enum)` that is found by argument-dependent lookup. The values are contiguous
 * and start at zero, and row N of the table contains the name of value N.
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

/** Returns the value with the name @p name, or nothing if the table does not contain it. */
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

/** Returns whether row N of the table of @p Enum contains value N, for a static_assert after each table. */
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
