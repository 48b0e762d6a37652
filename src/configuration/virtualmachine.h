#pragma once

#include "core/enumnames.h"

#include <string>

/** Entries of the platform's list of VMs. */
namespace Plantainweir {

enum class VirtualMachineState {
    Live,
    Leaving, ///< The platform is about to stop it.
};

constexpr std::array<EnumName<VirtualMachineState>, 2> enumNames(VirtualMachineState)
{
    return {{
        {VirtualMachineState::Live, "live"},
        {VirtualMachineState::Leaving, "leaving"},
    }};
}
static_assert(isEnumTableOrdered<VirtualMachineState>());

/** One VM in the platform's list, which may be out of date. */
struct VirtualMachine {
    std::string address; ///< Numeric IP address.
    std::string availabilityZone;
    VirtualMachineState state = VirtualMachineState::Live;
    bool operator==(const VirtualMachine &) const = default;
};

}
