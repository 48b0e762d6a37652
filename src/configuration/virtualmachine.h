#pragma once

#include "core/enumnames.h"

#include <string>

/** What the platform's list says of the VMs that it runs. */
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

/** One VM of the platform's list; the list lags behind the truth. */
struct VirtualMachine {
    std::string address; ///< IP number.
    std::string availabilityZone;
    VirtualMachineState state = VirtualMachineState::Live;
    bool operator==(const VirtualMachine &) const = default;
};

}
