#pragma once

#include "core/enumnames.h"

#include <compare>
#include <string>

/** Limits that hold over the whole fleet, of which entry VMs obtain credit. */
namespace Plantainweir {

/** What a limit of the whole fleet protects. */
enum class CreditKind {
    Account, ///< The quota of a client account.
    ColdUpstream, ///< The calls that a cold upstream bears.
};

constexpr std::array<EnumName<CreditKind>, 2> enumNames(CreditKind)
{
    return {{
        {CreditKind::Account, "account"},
        {CreditKind::ColdUpstream, "cold_upstream"},
    }};
}
static_assert(isEnumTableOrdered<CreditKind>());

/** Names one limit. */
struct CreditLine {
    CreditKind kind = CreditKind::Account;
    std::string scope; ///< The client account, or the service of the upstream.
    std::string upstream; ///< The id of the upstream; empty for a client account.
    auto operator<=>(const CreditLine &) const = default;
};

/** How much credit a line gives, over the whole fleet. One credit is for one call. */
struct CreditTerms {
    double perSecond = 0.0;
    double burst = 0.0; ///< Credit that may be used at once after a pause.
    bool operator==(const CreditTerms &) const = default;
};

}
