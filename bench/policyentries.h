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

/** The entry VMs of the policy bench: what each knows, and which upstreams it is given. */
namespace Plantainweir {

/** What an entry VM derives from the inventory and the members that it knows. */
struct Assignment {
    std::vector<std::size_t> owners; ///< Entry VMs, best first.
    ServiceOwners shares; ///< What the directory answers from.
    std::vector<Upstream> allUpstreams; ///< Of the service, in the order of the shares.
    UpstreamsAssigned upstreams; ///< Its own share, or all upstreams if it does not own by shares.
    PeersAssigned peers; ///< The other owners if it is one itself.
};

/** One service at one entry VM. */
struct ServiceAtEntry {
    ServiceState product;
    BaselineState baseline;
    std::optional<TimePoint> wakeUp;
    std::unordered_map<AttemptId, std::size_t> requestIds;
    std::unordered_map<CallId, std::size_t> handedOverRequests; ///< Tickets of calls that co-owners handed over to this one.
    Assignment assignment;
};

struct Entry {
    std::size_t availabilityZone = 0;
    bool hasFailed = false;
    std::vector<bool> isMember; ///< Of the entry VMs, as this one knows them.
    std::vector<ServiceAtEntry> services;
};

/** The loads of all upstreams at one time. */
struct LoadSnapshot {
    TimePoint takenAt;
    std::vector<std::uint32_t> loads{};
};

/** Names of entry VMs and upstreams end with their number. */
std::string entryName(std::size_t entry);
std::string upstreamName(const ServiceModel &service, std::size_t upstream);
std::size_t indexInName(const std::string &name);

/** Returns the share of @p entry in a service by its members; @p isInInventory tells which upstreams there are. */
Assignment assignmentOf(const DeploymentModel &model,
                        std::size_t service,
                        const std::vector<bool> &isInInventory,
                        const std::vector<bool> &isMember,
                        std::size_t entry,
                        bool isSharedByOwners);

/** Returns the running and queued calls of all upstreams. */
LoadSnapshot takeSnapshot(const DeploymentModel &model, const SimulatedUpstreams &upstreams, TimePoint now);

/** Returns the load of an upstream in the newest of @p snapshots, latest first, that is not younger than @p newest. */
std::uint32_t reportedLoad(const std::deque<LoadSnapshot> &snapshots, std::size_t upstream, TimePoint newest);

}
