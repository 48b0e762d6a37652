#pragma once

#include "decision/serviceevents.h"

#include <cstdint>
#include <string>
#include <vector>

/**
 * Work that moves between the owners of a service.
 *
 * An owner tells its co-owners, rank by rank, for how many more calls it has slots: free ones, and those whose calls of
 * a lower rank end soon. Each report counts the calls received so far, so that a co-owner subtracts those still under
 * way: a stale report is never used twice.
 */
namespace Plantainweir {

/** One co-owner. */
struct PeerState {
    std::string name;
    OpenSlots openSlots{}; ///< As last reported.
    std::uint64_t handOversSent = 0;
    std::uint64_t handOversReported = 0; ///< Of those sent, the ones that the last report counted.
    std::uint64_t handOversReceived = 0; ///< From this co-owner.
};

/** All co-owners and what they were told last. */
struct HandOverState {
    std::vector<PeerState> peers;
    OpenSlots reportedSlots{};
    TimePoint nextReportAt;
    bool isReportScheduled = false;
    bool hasUnreportedHandOvers = false; ///< Calls were received that no report has counted yet.
};

/** Takes over the co-owners; only the next few by weight exchange reports, whatever the number of owners. */
void assignPeers(HandOverState &state, const PeersAssigned &event);

/** Takes over a co-owner's report. */
void recordReport(HandOverState &state, const PeerLoadReport &report);

/** Notes that a call arrived from @p peer. */
void recordReceivedHandOver(HandOverState &state, const std::string &peer);

/** Returns the co-owner with the most open slots for calls of @p rank, or null if none has one. */
PeerState *selectPeer(HandOverState &state, Rank rank);

/** What the open slots of an owner follow from. */
struct SlotUse {
    std::uint32_t freeSlots = 0;
    std::array<std::uint32_t, enumCount<Rank>()> running{};
    std::array<std::uint32_t, enumCount<Rank>()> queued{};
};

/** Returns the slots to report for each rank: none if calls of the rank or a better one wait, and at most a few. */
OpenSlots openSlotsOf(const SlotUse &use);

/** Appends a report to each co-owner. */
void reportToPeers(HandOverState &state, const OpenSlots &openSlots, std::uint32_t queuedCalls, ServiceActions &actions);

}
