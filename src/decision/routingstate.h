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

/** Names an upstream of a service. */
struct UpstreamName {
    std::string service;
    std::string upstream;
    auto operator<=>(const UpstreamName &) const = default;
};

/** What one entry VM knows for routing; replaced as a whole when any of it changes. */
struct RoutingState {
    bool isReady = false; ///< Whether a complete configuration has arrived.
    EntryMember self;
    Configuration configuration;
    std::vector<EntryMember> members; ///< Members that serve, including this one.
    std::set<UpstreamName> leavingUpstreams; ///< Upstreams that are known to leave, whatever the inventory says.
    std::map<std::string, ServiceOwners, std::less<>> owners; ///< By service; derived by deriveOwners().
};

/** News for a RoutingState. */
struct RoutingUpdate {
    std::optional<Rules> rules;
    std::vector<Service> services;
    std::optional<std::vector<EntryMember>> members; ///< All members, if they changed.
    std::vector<UpstreamStatus> upstreamStatuses;
};

/**
 * Adopts @p update: objects only at a higher version than the known one, members as a whole.
 *
 * The state is ready from the first update on that leaves it with rules.
 */
void applyUpdate(RoutingState &state, const RoutingUpdate &update);

/** Recomputes RoutingState::owners from the configuration and the members, of which this entry VM is always one. */
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

/** Returns the names of the owners of @p service other than this entry VM, best first. */
std::vector<std::string> otherOwners(const RoutingState &state, std::string_view service);

/** Returns the best owner of @p service that is another entry VM, or null. */
const EntryMember *findOtherOwner(const RoutingState &state, std::string_view service);

/** Returns the upstreams of @p service whose slots this entry VM owns; those known to leave are marked as draining. */
std::vector<Upstream> ownedUpstreams(const RoutingState &state, const Service &service);

}
