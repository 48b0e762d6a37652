#pragma once

#include "core/enumnames.h"

#include <cstddef>

/**
 * Decides whether a connection to a server may be opened while calls need more connections than this process may have
 * descriptors. Pure functions over values.
 */
namespace Plantainweir {

/** The connections that are open, and how many there may be. */
struct OutgoingConnections {
    std::size_t toEndpoint = 0;
    std::size_t endpointLimit = 0;
    std::size_t total = 0; ///< To all endpoints.
    std::size_t totalLimit = 0;
    bool hasIdle = false; ///< Whether one of them carries no request.
};

/** What to do about a request that needs a new connection. */
enum class ConnectionMeasure {
    Open,
    ReplaceIdle, ///< Open it, after the idlest connection to any endpoint is closed.
    RefuseEndpoint, ///< The endpoint has as many connections as it may have.
    RefuseTotal, ///< All endpoints together have as many connections as they may have.
};

constexpr std::array<EnumName<ConnectionMeasure>, 4> enumNames(ConnectionMeasure)
{
    return {{
        {ConnectionMeasure::Open, "open"},
        {ConnectionMeasure::ReplaceIdle, "replace_idle"},
        {ConnectionMeasure::RefuseEndpoint, "refuse_endpoint"},
        {ConnectionMeasure::RefuseTotal, "refuse_total"},
    }};
}
static_assert(isEnumTableOrdered<ConnectionMeasure>());

/**
 * Returns the measure for one more connection to an endpoint. The last quarter of the total is for endpoints without a connection,
 * so that a crowd of calls to some upstreams does not cut off the others.
 */
ConnectionMeasure measureForConnection(const OutgoingConnections &connections);

}
