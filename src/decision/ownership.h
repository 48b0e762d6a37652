#pragma once

#include "configuration/configuration.h"
#include "core/endpoint.h"

#include <cstddef>
#include <string>
#include <vector>

/** Assigns the slots of upstreams to entry VMs: a function of the service and the live members, without consensus. */
namespace Plantainweir {

/** One entry VM as known to the other members and the callers. */
struct EntryMember {
    std::string name; ///< Does not change when the programs on the VM restart.
    std::string incarnation; ///< Identifies one run of entryd. Idempotency keys are bound to it.
    Endpoint callerEndpoint;
    Endpoint peerEndpoint;
    std::string availabilityZone;
    bool isLeaving = false;
    bool operator==(const EntryMember &) const = default;
};

/** The owners of one service. */
struct ServiceOwners {
    std::vector<EntryMember> owners; ///< In the order described at assignOwners(). Empty if there are no members.
    std::vector<std::size_t> ownerByUpstream; ///< For each upstream of the service, the index of its owner in @ref owners.
};

/**
 * Assigns the upstreams of @p service to owners among @p members.
 *
 * Owners are the members with the highest rendezvous weights (Thaler and Ravishankar, 1998), one for each availability
 * zone of the upstreams and more for a large service. They are ordered by weight, with the first member of each
 * availability zone before all second ones, and so on. Slots are distributed evenly over the owners. An upstream is
 * assigned to an owner in its own availability zone while such an owner is below its limit of slots. Leaving members own
 * nothing, unless all members are leaving. A member that joins or leaves changes only the services that it owns.
 */
ServiceOwners assignOwners(const Service &service, const std::vector<EntryMember> &members);

/** Returns the rendezvous weight of @p member for @p key. It is the same in all processes and versions. */
std::uint64_t rendezvousWeight(const std::string &member, const std::string &key);

}
