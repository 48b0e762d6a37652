#pragma once

#include "core/enumnames.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Plantainweir {

/** How a call reached this entry VM. */
enum class CallOrigin {
    Caller, ///< From the caller itself.
    Forwarded, ///< From an entry VM that does not own what the call needs.
    Delegated, ///< From the key owner, which has decided that the call runs; its key is not looked up here.
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

/** What routing and admission need of a call; its method, target, headers and body are nobody's business but the upstream's. */
struct CallRequest {
    CallOrigin origin = CallOrigin::Caller;
    std::string service;
    std::string workKind;
    std::optional<TimePoint> deadline; ///< Nothing if the caller gave none.
    std::string idempotencyKey;
    std::string keyOwner; ///< Incarnation of the key's owner.
    std::string caller;
    std::string sender; ///< Name of the entry VM that forwarded or delegated the call; empty for a caller's own.
};

}
