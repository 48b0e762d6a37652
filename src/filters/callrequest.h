#pragma once

#include "core/enumnames.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Plantainweir {

/** The origin of a call that reached this entry VM. */
enum class CallOrigin {
    Caller, ///< Directly from the caller.
    Forwarded, ///< From an entry VM that does not own the key of an at-most-once call, or the slots for an idempotent one.
    Delegated, ///< From the key owner, which has admitted the call. Its key is not checked here.
};

constexpr std::array<EnumName<CallOrigin>, 3> enumNames(CallOrigin)
{
    return {{
        {CallOrigin::Caller, "caller"},
        {CallOrigin::Forwarded, "forwarded"},
        {CallOrigin::Delegated, "delegated"},
    }};
}
static_assert(isEnumTableOrdered<CallOrigin>());

/** The parts of a call that routing and admission use. The method, target, headers and body concern only the upstream. */
struct CallRequest {
    CallOrigin origin = CallOrigin::Caller;
    std::string service;
    std::string workKind;
    std::optional<TimePoint> deadline; ///< Not set if the caller sent none.
    std::string idempotencyKey;
    std::string keyOwner; ///< Incarnation of the key's owner.
    std::string caller;
    std::string sender; ///< Name of the entry VM that forwarded or delegated the call. Empty for CallOrigin::Caller.
};

}
