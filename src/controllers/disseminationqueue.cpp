#include "controllers/disseminationqueue.h"

#include <algorithm>

namespace Plantainweir {
namespace {

constexpr std::size_t RecordOverheadBytes = 60;
constexpr std::size_t AnnouncementOverheadBytes = 16;

std::size_t encodedBytes(const MemberRecord &record)
{
    std::size_t bytes = RecordOverheadBytes + record.name.size() + record.availabilityZone.size();
    bytes += record.membershipEndpoint.address.size() + record.exchangeEndpoint.address.size();
    if (record.entry) {
        bytes += record.entry->incarnation.size() + record.entry->callerEndpoint.address.size() + record.entry->peerEndpoint.address.size();
    }
    return bytes;
}

std::uint32_t &transmissionsLeft(std::uint32_t &left)
{
    return left;
}

std::uint32_t &transmissionsLeft(PendingAnnouncement &announcement)
{
    return announcement.transmissionsLeft;
}

/**
 * Calls @p take(key, item) for each item, the one with the most transmissions left first. Returning true counts as one
 * transmission; an item without further transmissions is removed.
 */
template<typename Items, typename Take>
void takeLeastTransmittedFirst(Items &items, Take take)
{
    std::vector<typename Items::iterator> order;
    for (auto row = items.begin(); row != items.end(); ++row) {
        order.push_back(row);
    }
    std::stable_sort(order.begin(), order.end(), [](const auto &first, const auto &second) {
        return transmissionsLeft(first->second) > transmissionsLeft(second->second);
    });
    for (const auto &row : order) {
        if (!take(row->first, row->second)) {
            continue;
        }
        if (--transmissionsLeft(row->second) == 0) {
            items.erase(row);
        }
    }
}

bool isIncluded(const MembershipDatagram &datagram, const std::string &name)
{
    return std::any_of(datagram.records.begin(), datagram.records.end(), [&name](const MemberRecord &record) {
        return record.name == name;
    });
}

void addRecords(DisseminationQueue &queue, const RecordLookup &recordOf, std::size_t &bytesLeft, MembershipDatagram &datagram)
{
    takeLeastTransmittedFirst(queue.records, [&](const std::string &name, std::uint32_t) {
        const MemberRecord *record = recordOf(name);
        if (record == nullptr || isIncluded(datagram, name)) {
            return true;
        }
        const std::size_t bytes = encodedBytes(*record);
        if (bytes > bytesLeft) {
            return false;
        }
        datagram.records.push_back(*record);
        bytesLeft -= bytes;
        return true;
    });
}

void addAnnouncements(DisseminationQueue &queue, std::size_t bytesLeft, MembershipDatagram &datagram)
{
    takeLeastTransmittedFirst(queue.announcedVersions, [&](const std::string &key, const PendingAnnouncement &announcement) {
        const std::size_t bytes = AnnouncementOverheadBytes + key.size();
        if (bytes > bytesLeft) {
            return false;
        }
        datagram.announcedVersions.push_back({key, announcement.version});
        bytesLeft -= bytes;
        return true;
    });
}

}

bool hasPendingUpdates(const DisseminationQueue &queue)
{
    return !queue.records.empty() || !queue.announcedVersions.empty();
}

void addPendingUpdates(DisseminationQueue &queue, const RecordLookup &recordOf, std::size_t payloadBytes, MembershipDatagram &datagram)
{
    std::size_t bytesLeft = payloadBytes;
    for (const MemberRecord &record : datagram.records) {
        bytesLeft -= std::min(bytesLeft, encodedBytes(record));
    }
    const std::size_t reserved = queue.announcedVersions.empty() ? 0 : std::min(bytesLeft, payloadBytes / 3);
    std::size_t bytesForRecords = bytesLeft - reserved;
    addRecords(queue, recordOf, bytesForRecords, datagram);
    addAnnouncements(queue, bytesForRecords + reserved, datagram);
}

}
