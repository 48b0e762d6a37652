#pragma once

#include "fakes/crowd.h"

/** Crowds at the port that entry VMs open for each other with gRPC. */
namespace Plantainweir {

/** What all clients of a crowd do; they keep their connections open unless stated otherwise. */
enum class PeerCrowdKind {
    WholeMessage, ///< A call with a message of 1 MiB up to its last byte.
    UnfinishedHeader, ///< A call with many short fields, without the end of its header.
    OpenCalls, ///< Hundreds of calls with many short fields, without their messages.
    CallsAhead, ///< Hundreds of complete calls, without reading.
    PullsAhead, ///< The same, of the function that returns objects.
    SlowSender, ///< A call in pieces of one byte, with pauses.
    HalfCall, ///< Half of a call; the connection closes and the client starts again.
    OtherProtocol, ///< Requests of HTTP/1.1.
    Idle, ///< Nothing, on more connections than the server may have descriptors.
};

constexpr std::array<EnumName<PeerCrowdKind>, 9> enumNames(PeerCrowdKind)
{
    return {{
        {PeerCrowdKind::WholeMessage, "whole-message"},
        {PeerCrowdKind::UnfinishedHeader, "unfinished-header"},
        {PeerCrowdKind::OpenCalls, "open-calls"},
        {PeerCrowdKind::CallsAhead, "calls-ahead"},
        {PeerCrowdKind::PullsAhead, "pulls-ahead"},
        {PeerCrowdKind::SlowSender, "slow-sender"},
        {PeerCrowdKind::HalfCall, "half-call"},
        {PeerCrowdKind::OtherProtocol, "other-protocol"},
        {PeerCrowdKind::Idle, "idle"},
    }};
}
static_assert(isEnumTableOrdered<PeerCrowdKind>());

/** Returns what a client of @p kind sends. */
CrowdPlan peerCrowdPlan(PeerCrowdKind kind);

}
