#include "rpc/membershipmessages.h"

#include "rpc/controlmessages.h"

namespace Plantainweir {
namespace {

constexpr std::size_t MaximumKeyBytes = 512;

bool isWithinTextLimit(const std::string &text)
{
    return text.size() <= MaximumMemberTextBytes;
}

template<typename Enum>
std::optional<Enum> enumFromNumber(std::uint32_t number)
{
    return number < enumCount<Enum>() ? std::optional(static_cast<Enum>(number)) : std::nullopt;
}

MembershipProtocol::Entry entryToMessage(const EntryMember &entry)
{
    MembershipProtocol::Entry message;
    message.set_incarnation(entry.incarnation);
    *message.mutable_caller_endpoint() = toMessage(entry.callerEndpoint);
    *message.mutable_peer_endpoint() = toMessage(entry.peerEndpoint);
    message.set_leaving(entry.isLeaving);
    return message;
}

std::optional<EntryMember> entryFromMessage(const MembershipProtocol::Record &record)
{
    const MembershipProtocol::Entry &message = record.entry();
    const auto callerEndpoint = fromMessage(message.caller_endpoint());
    const auto peerEndpoint = fromMessage(message.peer_endpoint());
    if (!callerEndpoint || !peerEndpoint || message.incarnation().empty() || !isWithinTextLimit(message.incarnation())) {
        return std::nullopt;
    }
    return EntryMember{.name = record.name(),
                       .incarnation = message.incarnation(),
                       .callerEndpoint = *callerEndpoint,
                       .peerEndpoint = *peerEndpoint,
                       .availabilityZone = record.availability_zone(),
                       .isLeaving = message.leaving()};
}

MembershipProtocol::ObjectVersion toMessage(const ObjectVersion &object)
{
    MembershipProtocol::ObjectVersion message;
    message.set_key(object.key);
    message.set_version(object.version);
    return message;
}

template<typename Rows>
std::vector<ObjectVersion> versionsFromRows(const Rows &rows)
{
    std::vector<ObjectVersion> versions;
    for (const auto &row : rows) {
        if (!row.key().empty() && row.key().size() <= MaximumKeyBytes) {
            versions.push_back({row.key(), row.version()});
        }
    }
    return versions;
}

/** Calls @p add with @p row, and adds the size of the row to @p bytes, if the reply has room for the row or is empty. */
template<typename Message, typename Add>
void addIfFits(std::size_t &bytes, const Message &row, Add add)
{
    const std::size_t size = row.ByteSizeLong();
    if (bytes == 0 || bytes + size <= MaximumPullReplyBytes) {
        bytes += size;
        add(row);
    }
}

}

MembershipProtocol::Record toMessage(const MemberRecord &record)
{
    MembershipProtocol::Record message;
    message.set_name(record.name);
    message.set_incarnation(record.incarnation);
    message.set_state(static_cast<std::uint32_t>(record.state));
    *message.mutable_membership_endpoint() = toMessage(record.membershipEndpoint);
    *message.mutable_exchange_endpoint() = toMessage(record.exchangeEndpoint);
    message.set_availability_zone(record.availabilityZone);
    message.set_capacity(record.capacity);
    if (record.entry) {
        *message.mutable_entry() = entryToMessage(*record.entry);
    }
    message.set_platform_unreachable(record.isPlatformUnreachable);
    message.set_compared_fleet_size(static_cast<std::uint32_t>(record.comparedFleetSize));
    return message;
}

std::optional<MemberRecord> fromMessage(const MembershipProtocol::Record &message)
{
    const auto state = enumFromNumber<MemberState>(message.state());
    const auto membershipEndpoint = fromMessage(message.membership_endpoint());
    const auto exchangeEndpoint = fromMessage(message.exchange_endpoint());
    const bool areTextsValid = !message.name().empty() && isWithinTextLimit(message.name()) && isWithinTextLimit(message.availability_zone());
    if (!state || !membershipEndpoint || !exchangeEndpoint || !areTextsValid) {
        return std::nullopt;
    }
    MemberRecord record{.name = message.name(),
                        .incarnation = message.incarnation(),
                        .state = *state,
                        .membershipEndpoint = *membershipEndpoint,
                        .exchangeEndpoint = *exchangeEndpoint,
                        .availabilityZone = message.availability_zone(),
                        .capacity = message.capacity(),
                        .entry = std::nullopt,
                        .comparedFleetSize = message.compared_fleet_size(),
                        .isPlatformUnreachable = message.platform_unreachable()};
    if (message.has_entry()) {
        record.entry = entryFromMessage(message);
        if (!record.entry) {
            return std::nullopt;
        }
    }
    return record;
}

std::string encodeDatagram(const MembershipDatagram &datagram)
{
    MembershipProtocol::Datagram message;
    message.set_kind(static_cast<std::uint32_t>(datagram.kind));
    message.set_sender(datagram.sender);
    message.set_sequence(datagram.sequence);
    message.set_target(datagram.target);
    if (datagram.kind == DatagramKind::PingRequest) {
        *message.mutable_target_endpoint() = toMessage(datagram.targetEndpoint);
    }
    message.set_members_digest(datagram.membersDigest);
    message.set_objects_digest(datagram.objectsDigest);
    for (const MemberRecord &record : datagram.records) {
        *message.add_records() = toMessage(record);
    }
    for (const ObjectVersion &rumour : datagram.announcedVersions) {
        *message.add_rumours() = toMessage(rumour);
    }
    return message.SerializeAsString();
}

std::optional<MembershipDatagram> decodeDatagram(const std::string &bytes)
{
    MembershipProtocol::Datagram message;
    if (bytes.size() > MaximumDatagramBytes || !message.ParseFromString(bytes)) {
        return std::nullopt;
    }
    const auto kind = enumFromNumber<DatagramKind>(message.kind());
    const bool areTextsValid = !message.sender().empty() && isWithinTextLimit(message.sender()) && isWithinTextLimit(message.target());
    if (!kind || !areTextsValid) {
        return std::nullopt;
    }
    MembershipDatagram datagram;
    datagram.kind = *kind;
    datagram.sender = message.sender();
    datagram.sequence = message.sequence();
    datagram.target = message.target();
    datagram.membersDigest = message.members_digest();
    datagram.objectsDigest = message.objects_digest();
    datagram.announcedVersions = versionsFromRows(message.rumours());
    if (datagram.kind == DatagramKind::PingRequest) {
        const auto endpoint = fromMessage(message.target_endpoint());
        if (!endpoint) {
            return std::nullopt;
        }
        datagram.targetEndpoint = *endpoint;
    }
    for (const MembershipProtocol::Record &row : message.records()) {
        const auto record = fromMessage(row);
        if (!record) {
            return std::nullopt;
        }
        datagram.records.push_back(*record);
    }
    return datagram;
}

MembershipProtocol::CompareRequest toMessage(const BucketDigests &digests)
{
    MembershipProtocol::CompareRequest message;
    for (const std::uint64_t digest : digests) {
        message.add_buckets(digest);
    }
    return message;
}

std::optional<BucketDigests> fromMessage(const MembershipProtocol::CompareRequest &message)
{
    BucketDigests digests{};
    if (static_cast<std::size_t>(message.buckets_size()) != digests.size()) {
        return std::nullopt;
    }
    std::copy(message.buckets().begin(), message.buckets().end(), digests.begin());
    return digests;
}

MembershipProtocol::CompareObjectsReply toMessage(const VersionList &list)
{
    MembershipProtocol::CompareObjectsReply message;
    message.set_complete(list.isComplete);
    for (const ObjectVersion &object : list.versions) {
        *message.add_versions() = toMessage(object);
    }
    return message;
}

VersionList fromMessage(const MembershipProtocol::CompareObjectsReply &message)
{
    return {.isComplete = message.complete(), .versions = versionsFromRows(message.versions())};
}

MembershipProtocol::PullReply toMessage(const ObjectSet &objects)
{
    MembershipProtocol::PullReply message;
    std::size_t bytes = 0;
    if (objects.rules) {
        addIfFits(bytes, toMessage(*objects.rules), [&message](const auto &row) {
            *message.mutable_rules() = row;
        });
    }
    for (const Service &service : objects.services) {
        addIfFits(bytes, toMessage(service), [&message](const auto &row) {
            *message.add_services() = row;
        });
    }
    for (const VersionedStatus &status : objects.statuses) {
        MembershipProtocol::VersionedStatus versioned;
        versioned.set_version(status.version);
        *versioned.mutable_status() = toMessage(status.status);
        addIfFits(bytes, versioned, [&message](const auto &row) {
            *message.add_statuses() = row;
        });
    }
    return message;
}

ObjectSet fromMessage(const MembershipProtocol::PullReply &message)
{
    ObjectSet objects;
    if (message.has_rules()) {
        objects.rules = fromMessage(message.rules());
    }
    for (const auto &row : message.services()) {
        if (const auto service = fromMessage(row)) {
            objects.services.push_back(*service);
        }
    }
    for (const auto &row : message.statuses()) {
        if (const auto status = fromMessage(row.status())) {
            objects.statuses.push_back({row.version(), *status});
        }
    }
    return objects;
}

}
