#pragma once

#include "controllers/membershiprecord.h"

#include <functional>
#include <map>

/** News that a member passes on: each item a bounded number of times, those sent least first. */
namespace Plantainweir {

struct PendingRumour {
    std::uint64_t version = 0;
    std::uint32_t transmissionsLeft = 0;
};

/** State: what is still to be passed on. */
struct DisseminationQueue {
    std::map<std::string, std::uint32_t> records; ///< Transmissions left, by member name.
    std::map<std::string, PendingRumour> rumours; ///< By object key.
};

bool hasPendingUpdates(const DisseminationQueue &queue);

/** Returns the record of a member, or null if there is none any more. */
using RecordLookup = std::function<const MemberRecord *(const std::string &)>;

/**
 * Adds to @p datagram what fits into @p payloadBytes beside the records that are in there already.
 *
 * Rumours keep a third of the space when many records wait.
 */
void addPendingUpdates(DisseminationQueue &queue, const RecordLookup &recordOf, std::size_t payloadBytes, MembershipDatagram &datagram);

}
