#include "decision/handover.h"

#include <algorithm>

namespace Plantainweir {
namespace {

constexpr std::size_t MaximumPeers = 3;
constexpr std::uint32_t MaximumReportedSlots = 4;

std::uint32_t unclaimedSlots(const PeerState &peer)
{
    const std::uint64_t underWay = peer.handOversSent - std::min(peer.handOversReported, peer.handOversSent);
    return peer.freeSlots > underWay ? peer.freeSlots - static_cast<std::uint32_t>(underWay) : 0;
}

PeerState *findPeer(HandOverState &state, const std::string &name)
{
    const auto found = std::find_if(state.peers.begin(), state.peers.end(), [&name](const PeerState &peer) {
        return peer.name == name;
    });
    return found == state.peers.end() ? nullptr : &*found;
}

}

void assignPeers(HandOverState &state, const PeersAssigned &event)
{
    std::vector<PeerState> peers;
    for (std::size_t index = 0; index < std::min(event.peers.size(), MaximumPeers); ++index) {
        const PeerState *known = findPeer(state, event.peers[index]);
        peers.push_back(known != nullptr ? *known : PeerState{.name = event.peers[index]});
    }
    state.peers = std::move(peers);
}

void recordReport(HandOverState &state, const PeerReport &report)
{
    if (PeerState *peer = findPeer(state, report.peer)) {
        const bool hasRestarted = report.handOversReceived < peer->handOversReported;
        if (hasRestarted) {
            peer->handOversSent = report.handOversReceived;
        }
        peer->freeSlots = report.freeSlots;
        peer->handOversReported = report.handOversReceived;
    }
}

void recordArrival(HandOverState &state, const std::string &peer)
{
    if (PeerState *known = findPeer(state, peer)) {
        ++known->handOversReceived;
        state.hasUnreportedArrivals = true;
    }
}

PeerState *peerWithFreeSlot(HandOverState &state)
{
    PeerState *best = nullptr;
    for (PeerState &peer : state.peers) {
        if (unclaimedSlots(peer) > (best != nullptr ? unclaimedSlots(*best) : 0)) {
            best = &peer;
        }
    }
    return best;
}

std::uint32_t slotsToReport(std::uint32_t freeSlots, std::uint32_t queuedCalls)
{
    return queuedCalls > 0 ? 0 : std::min(freeSlots, MaximumReportedSlots);
}

void reportToPeers(HandOverState &state, std::uint32_t freeSlots, std::uint32_t queuedCalls, ServiceActions &actions)
{
    state.reportedFreeSlots = slotsToReport(freeSlots, queuedCalls);
    state.hasUnreportedArrivals = false;
    for (const PeerState &peer : state.peers) {
        actions.emplace_back(SendPeerReport{
            .peer = peer.name,
            .freeSlots = state.reportedFreeSlots,
            .queuedCalls = queuedCalls,
            .handOversReceived = peer.handOversReceived,
        });
    }
}

}
