#pragma once

#include "configuration/configuration.h"
#include "configuration/upstreamstatus.h"
#include "decision/ownership.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Plantainweir {

/** Identifies an upstream of a service. */
struct UpstreamName {
    std::string service;
    std::string upstream;
    auto operator<=>(const UpstreamName &) const = default;
};

/** The data that one entry VM uses for routing. It is replaced as a whole when a part of it changes. */
struct RoutingState {
    bool isReady = false; ///< Whether a complete configuration has arrived.
    EntryMember self;
    Configuration configuration;
    std::vector<EntryMember> members; ///< Members that serve calls, including this one.
    std::set<UpstreamName> leavingUpstreams; ///< Upstreams reported as leaving, regardless of the inventory.
    std::map<std::string, ServiceOwners, std::less<>> owners; ///< By service. Computed by deriveOwners().
};

/** Changes to a RoutingState. */
struct RoutingUpdate {
    std::optional<Rules> rules;
    std::vector<Service> services;
    std::optional<std::vector<EntryMember>> members; ///< The complete list of members, if it changed.
    std::vector<UpstreamStatus> upstreamStatuses;
};

/**
 * Applies @p update to @p state.
 *
 * Rules and services replace the known ones only if their version is higher. The list of members is replaced as a
 * whole. The state becomes ready with the first update that contains rules.
 */
void applyUpdate(RoutingState &state, const RoutingUpdate &update);

/** Recomputes RoutingState::owners from the configuration and the members, which always include this entry VM. */
void deriveOwners(RoutingState &state);

/** Returns the service called @p name, or null if there is none or it was removed. */
const Service *findService(const RoutingState &state, std::string_view name);

/** Returns the work kind called @p name, or null. */
const WorkKind *findWorkKind(const RoutingState &state, std::string_view name);

/** Returns the member with @p incarnation, or null. */
const EntryMember *findMemberByIncarnation(const RoutingState &state, std::string_view incarnation);

/** Returns whether this entry VM owns slots of @p service. */
bool isOwner(const RoutingState &state, std::string_view service);

/** Returns the member called @p name, or null. */
const EntryMember *findMember(const RoutingState &state, std::string_view name);

/** Returns the names of the owners of @p service other than this entry VM, in the order of ServiceOwners::owners. */
std::vector<std::string> otherOwners(const RoutingState &state, std::string_view service);

/** Returns the first owner of @p service in ServiceOwners::owners that is not this entry VM, or null. */
const EntryMember *findOtherOwner(const RoutingState &state, std::string_view service);

/** Returns the upstreams of @p service whose slots this entry VM owns. Leaving ones are marked as draining. */
std::vector<Upstream> ownedUpstreams(const RoutingState &state, const Service &service);

}
