#pragma once

#include "core/endpoint.h"
#include "core/enumnames.h"

#include <cstdint>
#include <string>

namespace Plantainweir {

/** How well a member knows how many members the fleet has. */
enum class FleetKnowledge {
    Unknown,
    Settled, ///< No member was found for a short time. Members that start together may still find some.
    Converged, ///< The members have found each other.
};

constexpr std::array<EnumName<FleetKnowledge>, 3> enumNames(FleetKnowledge)
{
    return {{
        {FleetKnowledge::Unknown, "unknown"},
        {FleetKnowledge::Settled, "settled"},
        {FleetKnowledge::Converged, "converged"},
    }};
}
static_assert(isEnumTableOrdered<FleetKnowledge>());

/** A live member of the fleet, as far as credit depends on it. */
struct CreditMember {
    std::string name;
    std::string availabilityZone;
    Endpoint creditEndpoint; ///< UDP; the address and port number of the exchange endpoint.
    std::uint32_t capacity = 0; ///< Processor share of its VM, in thousandths of a core.
    bool isLeaving = false;
    bool operator==(const CreditMember &) const = default;
};

}
