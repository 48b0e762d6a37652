#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <string>

namespace Plantainweir {

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
