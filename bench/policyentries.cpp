#include "policyentries.h"

#include <fmt/format.h>

#include <algorithm>

namespace Plantainweir {
namespace {

Service serviceOf(const DeploymentModel &model, std::size_t service, const std::vector<bool> &isInInventory)
{
    const ServiceModel &source = model.services[service];
    Service result{.name = source.name, .version = 1, .upstreams = {}};
    for (std::size_t upstream = 0; upstream < source.upstreams; ++upstream) {
        if (isInInventory[upstream]) {
            result.upstreams.push_back({
                .name = upstreamName(source, upstream),
                .endpoint = {},
                .availabilityZone = fmt::format("zone-{}", upstream % model.availabilityZones),
                .slots = source.slots,
                .connectionLimit = source.connectionLimit,
            });
        }
    }
    return result;
}

std::vector<EntryMember> membersOf(const DeploymentModel &model, const std::vector<bool> &isMember)
{
    std::vector<EntryMember> members;
    for (std::size_t entry = 0; entry < isMember.size(); ++entry) {
        if (isMember[entry]) {
            EntryMember &member = members.emplace_back();
            member.name = entryName(entry);
            member.availabilityZone = fmt::format("zone-{}", availabilityZoneOfEntry(model, entry));
        }
    }
    return members;
}

}

std::string entryName(std::size_t entry)
{
    return fmt::format("entry-{}", entry);
}

std::string upstreamName(const ServiceModel &service, std::size_t upstream)
{
    return fmt::format("{}-{}", service.name, upstream);
}

std::size_t indexInName(const std::string &name)
{
    return std::stoul(name.substr(name.rfind('-') + 1));
}

Assignment assignmentOf(const DeploymentModel &model,
                        std::size_t service,
                        const std::vector<bool> &isInInventory,
                        const std::vector<bool> &isMember,
                        std::size_t entry,
                        bool isSharedByOwners)
{
    const Service configuration = serviceOf(model, service, isInInventory);
    Assignment assignment;
    assignment.shares = assignOwners(configuration, membersOf(model, isMember));
    assignment.allUpstreams = configuration.upstreams;
    for (const EntryMember &owner : assignment.shares.owners) {
        assignment.owners.push_back(indexInName(owner.name));
        if (assignment.owners.back() != entry) {
            assignment.peers.peers.push_back(owner.name);
        }
    }
    if (assignment.peers.peers.size() == assignment.owners.size()) {
        assignment.peers.peers.clear();
    }
    for (std::size_t row = 0; row < configuration.upstreams.size(); ++row) {
        if (!isSharedByOwners || assignment.owners[assignment.shares.ownerByUpstream[row]] == entry) {
            assignment.upstreams.upstreams.push_back(configuration.upstreams[row]);
        }
    }
    return assignment;
}

LoadSnapshot takeSnapshot(const DeploymentModel &model, const SimulatedUpstreams &upstreams, TimePoint now)
{
    LoadSnapshot snapshot{.takenAt = now};
    for (std::size_t service = 0; service < model.services.size(); ++service) {
        for (std::size_t upstream = 0; upstream < model.services[service].upstreams; ++upstream) {
            const LoadReport report = upstreams.reportOf(upstreams.indexOf(service, upstream));
            snapshot.loads.push_back(report.busySlots + report.queuedCalls);
        }
    }
    return snapshot;
}

std::uint32_t reportedLoad(const std::deque<LoadSnapshot> &snapshots, std::size_t upstream, TimePoint newest)
{
    const auto snapshot = std::find_if(snapshots.begin(), snapshots.end(), [newest](const LoadSnapshot &candidate) {
        return candidate.takenAt <= newest;
    });
    return snapshot != snapshots.end() ? snapshot->loads[upstream] : 0;
}

}
