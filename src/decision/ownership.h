#pragma once

#include "configuration/configuration.h"
#include "core/endpoint.h"

#include <cstddef>
#include <string>
#include <vector>

/** Which entry VMs own the slots of which upstreams: a function of the service and the live members, no agreement. */
namespace Plantainweir {

/** One entry VM as the other members and the callers see it. */
struct EntryMember {
    std::string name; ///< Stays the same over restarts of the VM's programs.
    std::string incarnation; ///< Identifies one run of entryd; idempotency keys are bound to it.
    Endpoint callerEndpoint;
    Endpoint peerEndpoint;
    std::string availabilityZone;
    bool isLeaving = false;
    bool operator==(const EntryMember &) const = default;
};

/** The owners of one service. */
struct ServiceOwners {
    std::vector<EntryMember> owners; ///< Best first; empty if there is no member.
    std::vector<std::size_t> ownerByUpstream; ///< For each upstream of the service, the index of its owner in @ref owners.
};

/**
 * Assigns the upstreams of @p service to owners among @p members.
 *
 * Owners are the members with the highest rendezvous weights (Thaler and Ravishankar, 1998), one for each availability
 * zone of the upstreams and more for a large service, spread evenly over the availability zones. Slots are spread evenly
 * over the owners; an upstream goes to an owner of its own availability zone as long as that one has slots left. Members
 * that leave own nothing, unless all leave. A member that comes or goes moves only services that it owns.
 */
ServiceOwners assignOwners(const Service &service, const std::vector<EntryMember> &members);

/** Returns the weight of @p member for @p key; stable over processes and versions. */
std::uint64_t rendezvousWeight(const std::string &member, const std::string &key);

}
