#include "decision/ownership.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace Plantainweir {
namespace {

std::string zoneName(std::size_t index)
{
    return "zone-" + std::to_string(index % 3);
}

std::vector<EntryMember> makeMembers(std::size_t count)
{
    std::vector<EntryMember> members(count);
    for (std::size_t index = 0; index < count; ++index) {
        members[index].name = "entry-" + std::to_string(index);
        members[index].availabilityZone = zoneName(index);
    }
    return members;
}

Service makeService(std::size_t upstreams, std::uint32_t slots)
{
    Service service;
    service.name = "payment";
    for (std::size_t index = 0; index < upstreams; ++index) {
        Upstream upstream;
        upstream.name = "payment-" + std::to_string(index);
        upstream.availabilityZone = zoneName(index);
        upstream.slots = slots;
        service.upstreams.push_back(upstream);
    }
    return service;
}

TEST(OwnershipZones, EachAvailabilityZoneOwnsItsUpstreams)
{
    const Service service = makeService(6, 2);
    const ServiceOwners assignment = assignOwners(service, makeMembers(15));
    ASSERT_EQ(assignment.owners.size(), 3U);
    for (std::size_t row = 0; row < service.upstreams.size(); ++row) {
        EXPECT_EQ(assignment.owners[assignment.ownerByUpstream[row]].availabilityZone, service.upstreams[row].availabilityZone);
    }
}

TEST(OwnershipZones, EveryOwnerHasAnUpstream)
{
    for (std::size_t upstreams = 1; upstreams <= 5; ++upstreams) {
        Service service = makeService(upstreams, 1);
        service.upstreams.front().slots = 50;
        const ServiceOwners assignment = assignOwners(service, makeMembers(7));
        const std::set<std::size_t> used(assignment.ownerByUpstream.begin(), assignment.ownerByUpstream.end());
        EXPECT_EQ(used.size(), assignment.owners.size()) << upstreams << " upstreams";
        EXPECT_LT(*used.rbegin(), assignment.owners.size());
    }
}

TEST(OwnershipZones, LostMemberDoesNotChangeOtherServices)
{
    const Service service = makeService(6, 2);
    std::vector<EntryMember> members = makeMembers(15);
    const ServiceOwners before = assignOwners(service, members);
    const auto isOwner = [&before](const EntryMember &member) {
        return std::find(before.owners.begin(), before.owners.end(), member) != before.owners.end();
    };
    const auto nonOwner = std::find_if_not(members.begin(), members.end(), isOwner);
    ASSERT_NE(nonOwner, members.end());
    members.erase(nonOwner);
    EXPECT_EQ(assignOwners(service, members).owners, before.owners);
}

}
}
