#pragma once

#include "decision/ownership.h"
#include "policybaselines.h"
#include "policyscenarios.h"
#include "policysimulation.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/** The simulated entry VMs of the policy bench: the members that each one knows and the upstreams that it is assigned. */
namespace Plantainweir {

/** The owners and upstreams of one service, as an entry VM computes them from the inventory and the members that it knows. */
struct Assignment {
    std::vector<std::size_t> owners; ///< Entry VMs, best first.
    ServiceOwners shares; ///< Source of directory answers.
    std::vector<Upstream> allUpstreams; ///< Of the service, in the order of the shares.
    UpstreamsAssigned upstreams; ///< Its own share, or all upstreams if the policy does not divide them among owners.
    PeersAssigned peers; ///< The other owners, if the entry VM is an owner itself.
};

/** One service at one entry VM. */
struct ServiceAtEntry {
    ServiceState product;
    BaselineState baseline;
    std::optional<TimePoint> wakeUp;
    std::unordered_map<AttemptId, std::size_t> requestIds;
    std::unordered_map<CallId, std::size_t> handedOverRequests; ///< Request ids of the calls that co-owners handed over to this entry VM.
    Assignment assignment;
};

struct SimulatedEntry {
    std::size_t availabilityZone = 0;
    bool hasFailed = false;
    std::vector<bool> isMember; ///< For each entry VM, whether this one considers it alive.
    std::vector<ServiceAtEntry> services;
};

/** The loads of all upstreams at one time. */
struct LoadSnapshot {
    TimePoint takenAt;
    std::vector<std::uint32_t> loads{};
};

/** Names of entry VMs and upstreams end with their index. */
std::string entryName(std::size_t entry);
std::string upstreamName(const ServiceModel &service, std::size_t upstream);
std::size_t indexInName(const std::string &name);

/** Returns the assignment of @p entry for a service according to the members that it knows; @p isInInventory selects the upstreams. */
Assignment assignmentOf(const DeploymentModel &model,
                        std::size_t service,
                        const std::vector<bool> &isInInventory,
                        const std::vector<bool> &isMember,
                        std::size_t entry,
                        bool isSharedByOwners);

/** Returns the running and queued calls of all upstreams. */
LoadSnapshot takeSnapshot(const DeploymentModel &model, const SimulatedUpstreams &upstreams, TimePoint now);

/** Returns the load of an upstream in the latest of @p snapshots, which are ordered latest first, that was taken at @p newest or earlier. */
std::uint32_t reportedLoad(const std::deque<LoadSnapshot> &snapshots, std::size_t upstream, TimePoint newest);

}
