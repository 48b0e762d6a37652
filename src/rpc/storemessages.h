#pragma once

#include "controllers/storemirror.h"

#include "store.pb.h"

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/**
 * Conversions between the messages of proto/store.proto and plain structs.
 *
 * Messages come from other processes and are validated: fromMessage() returns nothing if a field is out of its range.
 */
namespace Plantainweir {

namespace StoreProtocol = plantainweir::store::v1;

/** How current the sender's objects of one kind were when it sent an update. */
struct StoreConfirmation {
    StoreObjectKind kind = StoreObjectKind::Configuration;
    std::uint64_t era = 0; ///< Of the sender's objects. A receiver with objects of a later era knows more than the sender.
    Duration age{}; ///< Time since the store confirmed that they were current.
    bool operator==(const StoreConfirmation &) const = default;
};

/** One message of a feed from an entry VM to another. */
struct FeedUpdate {
    Duration outage{}; ///< Set if the store answers again after an outage of this length.
    std::vector<StoreDelta> deltas;
    std::vector<StoreConfirmation> confirmations; ///< By the store to the sender itself.
    Duration eraAge{}; ///< Time for which the sender has known the newest era, a minute at most.
    bool isSenderReading = false; ///< Whether the sender reads the store itself.
    TimePoint echoedAt; ///< The newest FeedRequest::sentAt that the sender has received, so that a delayed update looks older, not younger.
    bool operator==(const FeedUpdate &) const = default;
};

/** Revisions of the objects of the kinds that are fed, by StoreObjectKind; not set if there are none. */
using FedRevisions = std::array<StoreRevision, FedStoreKinds>;

/** A message of a follower: the first one opens the feed, and the others only give the time. */
struct FeedRequest {
    std::string sender;
    FedRevisions revisions; ///< What the follower has when it opens the feed.
    TimePoint sentAt; ///< By the follower's clock.
    bool operator==(const FeedRequest &) const = default;
};

/** The bytes of an update without the echo; must not be null. */
using EncodedFeedUpdate = std::shared_ptr<const std::string>;

StoreProtocol::Object toMessage(const StoreObject &object);
StoreProtocol::Delta toMessage(const StoreDelta &delta);
StoreProtocol::FeedUpdate toMessage(const FeedUpdate &update);
StoreProtocol::FollowRequest toMessage(const FeedRequest &request);

EncodedFeedUpdate encode(const FeedUpdate &update);

/** Decodes an object. One whose value is out of range is returned as malformed; nothing is returned if it has no name. */
std::optional<StoreObject> fromMessage(const StoreProtocol::Object &message);
/** Returns nothing if a part of @p message is malformed, since the revision would claim changes that are missing. */
std::optional<FeedUpdate> fromMessage(const StoreProtocol::FeedUpdate &message);
std::optional<FeedRequest> fromMessage(const StoreProtocol::FollowRequest &message);

}
