#pragma once

#include "configuration/configuration.h"
#include "core/enumnames.h"

#include <string>
#include <vector>

/** Differences between two versions of a configuration object, as shown to operators. */
namespace Plantainweir {

enum class DifferenceKind {
    Added,
    Removed,
    Changed,
};

constexpr std::array<EnumName<DifferenceKind>, 3> enumNames(DifferenceKind)
{
    return {{
        {DifferenceKind::Added, "added"},
        {DifferenceKind::Removed, "removed"},
        {DifferenceKind::Changed, "changed"},
    }};
}
static_assert(isEnumTableOrdered<DifferenceKind>());

/** One upstream, work kind or value that differs. */
struct Difference {
    DifferenceKind kind = DifferenceKind::Changed;
    std::string item; ///< For example "upstream rinkdesk-1".
    std::string before; ///< Empty if added.
    std::string after; ///< Empty if removed.
    bool operator==(const Difference &) const = default;
};

/** Returns the differences of @p after from @p before, ignoring the versions. */
std::vector<Difference> differences(const Service &before, const Service &after);
std::vector<Difference> differences(const Rules &before, const Rules &after);

/** Formats @p difference as one line that starts with `+`, `-` or `~`. */
std::string toString(const Difference &difference);

}
