#pragma once

#include "decision/serviceevents.h"

#include <cstdint>
#include <string>
#include <vector>

/**
 * Hand-over of queued calls between the owners of a service.
 *
 * An owner reports to its co-owners how many more calls of each rank it could start: in free slots, and in slots whose
 * calls of a lower rank end soon. Each report contains the number of calls received from the co-owner so far, so that
 * the co-owner subtracts the calls still in transit and never uses the same open slot twice.
 */
namespace Plantainweir {

/** The state of one co-owner. */
struct PeerState {
    std::string name;
    OpenSlots openSlots{}; ///< As last reported.
    std::uint64_t handOversSent = 0;
    std::uint64_t handOversReported = 0; ///< Hand-overs that the last report confirmed as received.
    std::uint64_t handOversReceived = 0; ///< From this co-owner.
};

/** The co-owners that exchange load reports with this owner, and the open slots that were last reported to them. */
struct HandOverState {
    std::vector<PeerState> peers;
    OpenSlots reportedSlots{};
    TimePoint nextReportAt;
    bool isReportScheduled = false;
    bool hasUnreportedHandOvers = false; ///< Whether calls were received since the last report.
};

/** Sets the co-owners. Only the first few exchange load reports, however many owners the service has. */
void assignPeers(HandOverState &state, const PeersAssigned &event);

/** Records a load report of a co-owner. */
void recordReport(HandOverState &state, const PeerLoadReport &report);

/** Records that @p peer handed a call over to this owner. */
void recordReceivedHandOver(HandOverState &state, const std::string &peer);

/** Returns the co-owner with the most open slots for calls of @p rank, or null if none has one. */
PeerState *selectPeer(HandOverState &state, Rank rank);

/** The input of openSlotsOf(). */
struct SlotUse {
    std::uint32_t freeSlots = 0;
    std::array<std::uint32_t, enumCount<Rank>()> running{};
    std::array<std::uint32_t, enumCount<Rank>()> queued{};
};

/** Returns the open slots to report by rank: at most a few, and none if calls of the rank or a higher one are queued. */
OpenSlots openSlotsOf(const SlotUse &use);

/** Appends the actions that send a load report to each co-owner. */
void reportToPeers(HandOverState &state, const OpenSlots &openSlots, std::uint32_t queuedCalls, ServiceActions &actions);

}
