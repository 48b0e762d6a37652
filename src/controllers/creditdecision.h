#pragma once

#include "core/enumnames.h"
#include "core/time.h"

#include <cstdint>

/** Answers to requests for credit of a limit that the whole fleet shares. */
namespace Plantainweir {

/** Names a request for credit within one process. */
using CreditRequestId = std::uint64_t;

enum class CreditOutcome {
    Granted, ///< One credit may be used.
    Denied, ///< The limit is used up.
    Unavailable, ///< No keeper answered.
};

constexpr std::array<EnumName<CreditOutcome>, 3> enumNames(CreditOutcome)
{
    return {{
        {CreditOutcome::Granted, "granted"},
        {CreditOutcome::Denied, "denied"},
        {CreditOutcome::Unavailable, "unavailable"},
    }};
}
static_assert(isEnumTableOrdered<CreditOutcome>());

/** The decision about one request for credit. Its times are those of suspendAwareNow(). */
struct CreditDecision {
    CreditOutcome outcome = CreditOutcome::Unavailable;
    TimePoint usableUntil; ///< When the credit expires. Valid if granted.
    TimePoint retryAt; ///< When credit is expected to return. Valid if not granted.
    std::uint64_t credit = 0; ///< Names the credit for giveBack(). Valid if granted.
};

}
