#pragma once

#include "core/enumnames.h"

/** Ranks and repeatability of work kinds. */
namespace Plantainweir {

/** Priority class of a work kind; lower values are served first. */
enum class Rank {
    Top,
    Middle,
    Low,
};

constexpr std::array<EnumName<Rank>, 3> enumNames(Rank)
{
    return {{
        {Rank::Top, "top"},
        {Rank::Middle, "middle"},
        {Rank::Low, "low"},
    }};
}
static_assert(isEnumTableOrdered<Rank>());

/** Whether a call may be executed more than once. */
enum class Repeatability {
    Idempotent,
    AtMostOnce,
};

constexpr std::array<EnumName<Repeatability>, 2> enumNames(Repeatability)
{
    return {{
        {Repeatability::Idempotent, "idempotent"},
        {Repeatability::AtMostOnce, "at_most_once"},
    }};
}
static_assert(isEnumTableOrdered<Repeatability>());

}
