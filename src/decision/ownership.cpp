#include "decision/ownership.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <optional>
#include <set>
#include <utility>

namespace Plantainweir {
namespace {

constexpr std::size_t MinimumOwners = 2;
constexpr std::uint32_t SlotsPerOwner = 128;

std::uint32_t slotCount(const Service &service)
{
    return std::accumulate(service.upstreams.begin(), service.upstreams.end(), std::uint32_t{0}, [](std::uint32_t sum, const Upstream &upstream) {
        return sum + upstream.slots;
    });
}

std::size_t ownerCount(const Service &service)
{
    std::set<std::string> availabilityZones;
    for (const Upstream &upstream : service.upstreams) {
        availabilityZones.insert(upstream.availabilityZone);
    }
    const std::size_t bySlots = (slotCount(service) + SlotsPerOwner - 1) / SlotsPerOwner;
    // An owner without an upstream would have to refuse every call.
    return std::min(std::max({MinimumOwners, availabilityZones.size(), bySlots}), service.upstreams.size());
}

std::vector<EntryMember> sortByWeight(const Service &service, const std::vector<EntryMember> &members)
{
    std::vector<EntryMember> candidates;
    std::copy_if(members.begin(), members.end(), std::back_inserter(candidates), [](const EntryMember &member) {
        return !member.isLeaving;
    });
    if (candidates.empty()) {
        candidates = members;
    }
    std::sort(candidates.begin(), candidates.end(), [&service](const EntryMember &left, const EntryMember &right) {
        const auto leftWeight = rendezvousWeight(left.name, service.name);
        const auto rightWeight = rendezvousWeight(right.name, service.name);
        return leftWeight != rightWeight ? leftWeight > rightWeight : left.name < right.name;
    });
    return candidates;
}

/** Orders the candidates so that the first one of each availability zone comes before all second ones, and so on. */
void spreadOverAvailabilityZones(std::vector<EntryMember> &candidates)
{
    std::map<std::string, std::size_t> countByZone;
    std::vector<std::pair<std::size_t, EntryMember>> rounds;
    rounds.reserve(candidates.size());
    for (const EntryMember &candidate : candidates) {
        rounds.emplace_back(countByZone[candidate.availabilityZone]++, candidate);
    }
    std::stable_sort(rounds.begin(), rounds.end(), [](const auto &left, const auto &right) {
        return left.first < right.first;
    });
    std::transform(rounds.begin(), rounds.end(), candidates.begin(), [](const auto &round) {
        return round.second;
    });
}

/** The slots that have been assigned to each owner so far. */
struct SlotAllocation {
    const std::vector<EntryMember> &owners;
    std::vector<std::uint32_t> slots;
    std::uint32_t slotsAllowed = 0; ///< An owner that has at least this many slots gets no further upstream.
};

/**
 * Returns the owner with the highest weight that is below its limit of slots.
 *
 * With @p isSameZoneOnly, only owners in the availability zone of the upstream are considered.
 */
std::optional<std::size_t> bestOwner(const SlotAllocation &allocation, const Upstream &upstream, bool isSameZoneOnly)
{
    std::optional<std::size_t> best;
    std::uint64_t bestWeight = 0;
    for (std::size_t index = 0; index < allocation.owners.size(); ++index) {
        const EntryMember &owner = allocation.owners[index];
        const std::uint64_t weight = rendezvousWeight(owner.name, upstream.name);
        const bool isAllowed = allocation.slots[index] < allocation.slotsAllowed && (!isSameZoneOnly || owner.availabilityZone == upstream.availabilityZone);
        if (isAllowed && (!best || weight > bestWeight)) {
            best = index;
            bestWeight = weight;
        }
    }
    return best;
}

/** Assigns the upstreams that have no owner yet. */
void assignUpstreams(ServiceOwners &assignment, SlotAllocation &allocation, const Service &service, bool isSameZoneOnly)
{
    for (std::size_t index = 0; index < service.upstreams.size(); ++index) {
        const bool isAssigned = assignment.ownerByUpstream[index] < assignment.owners.size();
        const auto owner = isAssigned ? std::nullopt : bestOwner(allocation, service.upstreams[index], isSameZoneOnly);
        if (owner) {
            allocation.slots[*owner] += service.upstreams[index].slots;
            assignment.ownerByUpstream[index] = *owner;
        }
    }
}

/** Removes the owners without an upstream, which would have to refuse every call. */
void dropIdleOwners(ServiceOwners &assignment, const SlotAllocation &allocation)
{
    std::vector<EntryMember> kept;
    std::vector<std::size_t> newIndex;
    newIndex.reserve(allocation.slots.size());
    for (std::size_t index = 0; index < allocation.slots.size(); ++index) {
        newIndex.push_back(kept.size());
        if (allocation.slots[index] > 0) {
            kept.push_back(assignment.owners[index]);
        }
    }
    for (std::size_t &owner : assignment.ownerByUpstream) {
        owner = newIndex[owner];
    }
    assignment.owners = std::move(kept);
}

}

std::uint64_t rendezvousWeight(const std::string &member, const std::string &key)
{
    return XXH64(key.data(), key.size(), XXH64(member.data(), member.size(), 0));
}

ServiceOwners assignOwners(const Service &service, const std::vector<EntryMember> &members)
{
    ServiceOwners assignment;
    assignment.owners = sortByWeight(service, members);
    spreadOverAvailabilityZones(assignment.owners);
    assignment.owners.resize(std::min(assignment.owners.size(), ownerCount(service)));
    if (assignment.owners.empty()) {
        return assignment;
    }
    const auto owners = static_cast<std::uint32_t>(assignment.owners.size());
    const std::uint32_t slotsAllowed = (slotCount(service) + owners - 1) / owners;
    SlotAllocation allocation{.owners = assignment.owners, .slots = std::vector<std::uint32_t>(owners, 0), .slotsAllowed = slotsAllowed};
    assignment.ownerByUpstream.assign(service.upstreams.size(), assignment.owners.size());
    assignUpstreams(assignment, allocation, service, true);
    assignUpstreams(assignment, allocation, service, false);
    dropIdleOwners(assignment, allocation);
    return assignment;
}

}
