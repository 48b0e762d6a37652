#pragma once

#include "controllers/membershiprecord.h"

#include <functional>
#include <map>

/** Queue of membership and configuration updates to gossip. Each is sent a bounded number of times, the least-sent first. */
namespace Plantainweir {

/** A new version of a configuration object to announce. */
struct PendingAnnouncement {
    std::uint64_t version = 0;
    std::uint32_t transmissionsLeft = 0;
};

/** Updates that have transmissions left. */
struct DisseminationQueue {
    std::map<std::string, std::uint32_t> records; ///< Remaining transmissions of each member's record, by member name.
    std::map<std::string, PendingAnnouncement> announcedVersions; ///< By object key.
};

/** Returns whether any update has transmissions left. */
bool hasPendingUpdates(const DisseminationQueue &queue);

/** Returns the record of the named member, or null if it has been removed. */
using RecordLookup = std::function<const MemberRecord *(const std::string &)>;

/**
 * Fills @p datagram with pending updates up to @p payloadBytes, which include the records that it already contains.
 *
 * A third of the payload is reserved for object versions, so that many pending records don't hold them up.
 */
void addPendingUpdates(DisseminationQueue &queue, const RecordLookup &recordOf, std::size_t payloadBytes, MembershipDatagram &datagram);

}
