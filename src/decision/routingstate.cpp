#include "decision/routingstate.h"

#include "configuration/adoption.h"

#include <algorithm>

namespace Plantainweir {
namespace {

/** Replaces the entry for this entry VM in the list of members by its own, current description. */
void replaceSelf(RoutingState &state)
{
    std::erase_if(state.members, [&state](const EntryMember &member) {
        return member.name == state.self.name;
    });
    state.members.push_back(state.self);
}

}

void applyUpdate(RoutingState &state, const RoutingUpdate &update)
{
    if (update.rules && adopt(state.configuration, *update.rules)) {
        state.isReady = true;
    }
    for (const Service &service : update.services) {
        adopt(state.configuration, service);
    }
    if (update.members) {
        state.members = *update.members;
    }
    for (const UpstreamStatus &status : update.upstreamStatuses) {
        const UpstreamName name{.service = status.service, .upstream = status.upstream};
        if (status.isLeaving) {
            state.leavingUpstreams.insert(name);
        } else {
            state.leavingUpstreams.erase(name);
        }
    }
    deriveOwners(state);
}

void deriveOwners(RoutingState &state)
{
    replaceSelf(state);
    state.owners.clear();
    for (const auto &[name, service] : state.configuration.services) {
        if (!service.isRemoved) {
            state.owners.emplace(name, assignOwners(service, state.members));
        }
    }
}

const Service *findService(const RoutingState &state, std::string_view name)
{
    const auto found = state.configuration.services.find(name);
    const bool exists = found != state.configuration.services.end() && !found->second.isRemoved;
    return exists ? &found->second : nullptr;
}

const WorkKind *findWorkKind(const RoutingState &state, std::string_view name)
{
    const auto &kinds = state.configuration.rules.workKinds;
    const auto found = std::find_if(kinds.begin(), kinds.end(), [name](const WorkKind &kind) {
        return kind.name == name;
    });
    return found == kinds.end() ? nullptr : &*found;
}

const EntryMember *findMemberByIncarnation(const RoutingState &state, std::string_view incarnation)
{
    const auto found = std::find_if(state.members.begin(), state.members.end(), [incarnation](const EntryMember &member) {
        return member.incarnation == incarnation;
    });
    return found == state.members.end() ? nullptr : &*found;
}

const EntryMember *findMember(const RoutingState &state, std::string_view name)
{
    const auto found = std::find_if(state.members.begin(), state.members.end(), [name](const EntryMember &member) {
        return member.name == name;
    });
    return found == state.members.end() ? nullptr : &*found;
}

std::vector<std::string> otherOwners(const RoutingState &state, std::string_view service)
{
    std::vector<std::string> names;
    const auto found = state.owners.find(service);
    if (found == state.owners.end()) {
        return names;
    }
    for (const EntryMember &owner : found->second.owners) {
        if (owner.incarnation != state.self.incarnation) {
            names.push_back(owner.name);
        }
    }
    return names;
}

bool isOwner(const RoutingState &state, std::string_view service)
{
    const auto found = state.owners.find(service);
    if (found == state.owners.end()) {
        return false;
    }
    const auto &owners = found->second.owners;
    return std::any_of(owners.begin(), owners.end(), [&state](const EntryMember &owner) {
        return owner.incarnation == state.self.incarnation;
    });
}

const EntryMember *findOtherOwner(const RoutingState &state, std::string_view service)
{
    const auto found = state.owners.find(service);
    if (found == state.owners.end()) {
        return nullptr;
    }
    const auto &owners = found->second.owners;
    const auto other = std::find_if(owners.begin(), owners.end(), [&state](const EntryMember &owner) {
        return owner.incarnation != state.self.incarnation;
    });
    return other == owners.end() ? nullptr : &*other;
}

std::vector<Upstream> ownedUpstreams(const RoutingState &state, const Service &service)
{
    std::vector<Upstream> owned;
    const auto found = state.owners.find(service.name);
    if (found == state.owners.end()) {
        return owned;
    }
    const ServiceOwners &assignment = found->second;
    for (std::size_t index = 0; index < assignment.ownerByUpstream.size(); ++index) {
        if (assignment.owners[assignment.ownerByUpstream[index]].incarnation == state.self.incarnation) {
            Upstream upstream = service.upstreams[index];
            upstream.isDraining |= state.leavingUpstreams.contains({.service = service.name, .upstream = upstream.name});
            owned.push_back(std::move(upstream));
        }
    }
    return owned;
}

}
