#include "decision/ownership.h"

#include <xxhash.h>

#include <algorithm>
#include <numeric>

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
    const std::size_t bySlots = (slotCount(service) + SlotsPerOwner - 1) / SlotsPerOwner;
    // An owner without an upstream could only refuse.
    return std::min(std::max(MinimumOwners, bySlots), service.upstreams.size());
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

/** Moves the best candidate of another availability zone than the first one's to the second place. */
void spreadOverAvailabilityZones(std::vector<EntryMember> &candidates)
{
    if (candidates.size() < 2) {
        return;
    }
    const auto other = std::find_if(candidates.begin() + 1, candidates.end(), [&candidates](const EntryMember &member) {
        return member.availabilityZone != candidates.front().availabilityZone;
    });
    if (other != candidates.end()) {
        std::rotate(candidates.begin() + 1, other, other + 1);
    }
}

std::size_t bestOwner(const ServiceOwners &assignment, const std::vector<std::uint32_t> &slotsOf, std::uint32_t slotsAllowed, const std::string &upstream)
{
    std::size_t best = assignment.owners.size();
    std::uint64_t bestWeight = 0;
    for (std::size_t index = 0; index < assignment.owners.size(); ++index) {
        const std::uint64_t weight = rendezvousWeight(assignment.owners[index].name, upstream);
        const bool isAllowed = slotsOf[index] < slotsAllowed;
        if (isAllowed && (best == assignment.owners.size() || weight > bestWeight)) {
            best = index;
            bestWeight = weight;
        }
    }
    return best;
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
    std::vector<std::uint32_t> slotsOf(owners, 0);
    for (const Upstream &upstream : service.upstreams) {
        const std::size_t owner = bestOwner(assignment, slotsOf, slotsAllowed, upstream.name);
        slotsOf[owner] += upstream.slots;
        assignment.ownerOf.push_back(owner);
    }
    return assignment;
}

}
