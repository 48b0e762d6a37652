#include "decision/outgoingconnections.h"

namespace Plantainweir {
namespace {

constexpr std::size_t FirstConnectionsDivisor = 4;

}

ConnectionMeasure measureForConnection(const OutgoingConnections &connections)
{
    if (connections.toEndpoint >= connections.endpointLimit) {
        return ConnectionMeasure::RefuseEndpoint;
    }
    const std::size_t reserved = connections.toEndpoint == 0 ? 0 : connections.totalLimit / FirstConnectionsDivisor;
    if (connections.total < connections.totalLimit - reserved) {
        return ConnectionMeasure::Open;
    }
    return connections.hasIdle ? ConnectionMeasure::ReplaceIdle : ConnectionMeasure::RefuseTotal;
}

}
