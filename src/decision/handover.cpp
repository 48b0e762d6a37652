#include "decision/handover.h"

#include <algorithm>
#include <numeric>

namespace Plantainweir {
namespace {

constexpr std::size_t MaximumPeers = 3;
constexpr std::uint32_t MaximumReportedSlots = 4;

std::uint32_t remainingSlots(const PeerState &peer, Rank rank)
{
    const std::uint32_t openSlots = peer.openSlots[static_cast<std::size_t>(rank)];
    const std::uint64_t inTransit = peer.handOversSent - std::min(peer.handOversReported, peer.handOversSent);
    return openSlots > inTransit ? openSlots - static_cast<std::uint32_t>(inTransit) : 0;
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

void recordReport(HandOverState &state, const PeerLoadReport &report)
{
    if (PeerState *peer = findPeer(state, report.peer)) {
        const bool hasRestarted = report.handOversReceived < peer->handOversReported;
        if (hasRestarted) {
            peer->handOversSent = report.handOversReceived;
        }
        peer->openSlots = report.openSlots;
        peer->handOversReported = report.handOversReceived;
    }
}

void recordReceivedHandOver(HandOverState &state, const std::string &peer)
{
    if (PeerState *known = findPeer(state, peer)) {
        ++known->handOversReceived;
        state.hasUnreportedHandOvers = true;
    }
}

PeerState *selectPeer(HandOverState &state, Rank rank)
{
    PeerState *best = nullptr;
    for (PeerState &peer : state.peers) {
        if (remainingSlots(peer, rank) > (best != nullptr ? remainingSlots(*best, rank) : 0)) {
            best = &peer;
        }
    }
    return best;
}

OpenSlots openSlotsOf(const SlotUse &use)
{
    OpenSlots openSlots{};
    std::uint32_t runningOfLowerRanks = std::accumulate(use.running.begin(), use.running.end(), 0U);
    std::uint32_t queuedUpToRank = 0;
    for (std::size_t rank = 0; rank < openSlots.size(); ++rank) {
        runningOfLowerRanks -= use.running[rank];
        queuedUpToRank += use.queued[rank];
        openSlots[rank] = queuedUpToRank > 0 ? 0 : std::min(use.freeSlots + runningOfLowerRanks, MaximumReportedSlots);
    }
    return openSlots;
}

void reportToPeers(HandOverState &state, const OpenSlots &openSlots, std::uint32_t queuedCalls, ServiceActions &actions)
{
    state.reportedSlots = openSlots;
    state.hasUnreportedHandOvers = false;
    for (const PeerState &peer : state.peers) {
        actions.emplace_back(SendPeerLoadReport{
            .peer = peer.name,
            .openSlots = openSlots,
            .queuedCalls = queuedCalls,
            .handOversReceived = peer.handOversReceived,
        });
    }
}

}
