#pragma once

#include "decision/serviceevents.h"

#include <cstdint>
#include <string>
#include <vector>

/**
 * Work that moves between the owners of a service.
 *
 * An owner with free slots and no queue tells its co-owners. Each report counts the calls received so far, so that a
 * co-owner subtracts those still under way: a stale report is never used twice.
 */
namespace Plantainweir {

/** One co-owner. */
struct PeerState {
    std::string name;
    std::uint32_t freeSlots = 0; ///< As last reported.
    std::uint64_t handOversSent = 0;
    std::uint64_t handOversReported = 0; ///< Of those sent, the ones that the last report counted.
    std::uint64_t handOversReceived = 0; ///< From this co-owner.
};

/** All co-owners and what they were told last. */
struct HandOverState {
    std::vector<PeerState> peers;
    std::uint32_t reportedFreeSlots = 0;
    TimePoint nextReportAt;
    bool isReportScheduled = false;
    bool hasUnreportedArrivals = false; ///< Calls were received that no report has counted yet.
};

/** Takes over the co-owners; only the next few by weight exchange reports, whatever the number of owners. */
void assignPeers(HandOverState &state, const PeersAssigned &event);

/** Takes over a co-owner's report. */
void recordReport(HandOverState &state, const PeerReport &report);

/** Notes that a call arrived from @p peer. */
void recordArrival(HandOverState &state, const std::string &peer);

/** Returns the co-owner with the most free slots, or null if none has one. */
PeerState *peerWithFreeSlot(HandOverState &state);

/** Returns the free slots to report: those to spare, up to the number beyond which more make no difference. */
std::uint32_t slotsToReport(std::uint32_t freeSlots, std::uint32_t queuedCalls);

/** Appends a report to each co-owner. */
void reportToPeers(HandOverState &state, std::uint32_t freeSlots, std::uint32_t queuedCalls, ServiceActions &actions);

}
