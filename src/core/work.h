#pragma once

#include "core/enumnames.h"

/** Ranks of work and whether work may be repeated. */
namespace Plantainweir {

/** Rank of a work kind by worth; lower values are served first. */
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

/** Whether an execution may be repeated. */
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
