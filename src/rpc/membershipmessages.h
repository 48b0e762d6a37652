#pragma once

#include "controllers/distribution.h"
#include "controllers/membershiprecord.h"

#include "membership.pb.h"

#include <optional>
#include <string>

/**
 * Conversions between the messages of proto/membership.proto and the plain structs of membership and distribution.
 *
 * fromMessage() returns nothing if a field is out of its range.
 */
namespace Plantainweir {

namespace MembershipProtocol = plantainweir::membership::v1;

/** Size of the largest datagram that is sent or decoded, in bytes; it fits into one Ethernet frame. */
inline constexpr std::size_t MaximumDatagramBytes = 1400;
/** Size limit of the objects in the reply to a pull, in bytes. */
inline constexpr std::size_t MaximumPullReplyBytes = 1024 * 1024;

MembershipProtocol::Record toMessage(const MemberRecord &record);
std::optional<MemberRecord> fromMessage(const MembershipProtocol::Record &message);

/** Encodes @p datagram. */
std::string encodeDatagram(const MembershipDatagram &datagram);
/** Decodes @p bytes; returns nothing if they exceed @ref MaximumDatagramBytes or are malformed. */
std::optional<MembershipDatagram> decodeDatagram(const std::string &bytes);

MembershipProtocol::CompareRequest toMessage(const BucketDigests &digests);
std::optional<BucketDigests> fromMessage(const MembershipProtocol::CompareRequest &message);

MembershipProtocol::CompareObjectsReply toMessage(const VersionList &list);
VersionList fromMessage(const MembershipProtocol::CompareObjectsReply &message);

/** Encodes the objects that fit into @ref MaximumPullReplyBytes, at least one. */
MembershipProtocol::PullReply toMessage(const ObjectSet &objects);
/** Decodes the valid objects of @p message and skips the others. */
ObjectSet fromMessage(const MembershipProtocol::PullReply &message);

}
