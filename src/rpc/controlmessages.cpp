#include "rpc/controlmessages.h"

#include <limits>

namespace Plantainweir {

ControlProtocol::Endpoint toMessage(const Endpoint &endpoint)
{
    ControlProtocol::Endpoint message;
    message.set_address(endpoint.address);
    message.set_port(endpoint.port);
    return message;
}

ControlProtocol::Upstream toMessage(const Upstream &upstream)
{
    ControlProtocol::Upstream message;
    message.set_name(upstream.name);
    *message.mutable_endpoint() = toMessage(upstream.endpoint);
    message.set_availability_zone(upstream.availabilityZone);
    message.set_slots(upstream.slots);
    message.set_connection_limit(upstream.connectionLimit);
    message.set_draining(upstream.isDraining);
    return message;
}

ControlProtocol::Service toMessage(const Service &service)
{
    ControlProtocol::Service message;
    message.set_name(service.name);
    message.set_version(service.version);
    message.set_removed(service.isRemoved);
    for (const Upstream &upstream : service.upstreams) {
        *message.add_upstreams() = toMessage(upstream);
    }
    return message;
}

ControlProtocol::WorkKind toMessage(const WorkKind &workKind)
{
    ControlProtocol::WorkKind message;
    message.set_name(workKind.name);
    message.set_rank(std::string(nameOf(workKind.rank)));
    message.set_target_microseconds(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(workKind.target).count()));
    message.set_worth(workKind.worth);
    message.set_repeatability(std::string(nameOf(workKind.repeatability)));
    return message;
}

ControlProtocol::Rules toMessage(const Rules &rules)
{
    ControlProtocol::Rules message;
    message.set_version(rules.version);
    for (const WorkKind &workKind : rules.workKinds) {
        *message.add_work_kinds() = toMessage(workKind);
    }
    message.set_probes_per_second(rules.probesPerSecond);
    return message;
}

ControlProtocol::EntryMember toMessage(const EntryMember &member)
{
    ControlProtocol::EntryMember message;
    message.set_name(member.name);
    message.set_incarnation(member.incarnation);
    *message.mutable_caller_endpoint() = toMessage(member.callerEndpoint);
    *message.mutable_peer_endpoint() = toMessage(member.peerEndpoint);
    message.set_availability_zone(member.availabilityZone);
    message.set_leaving(member.isLeaving);
    return message;
}

ControlProtocol::UpstreamStatus toMessage(const UpstreamStatus &status)
{
    ControlProtocol::UpstreamStatus message;
    message.set_service(status.service);
    message.set_upstream(status.upstream);
    message.set_leaving(status.isLeaving);
    return message;
}

ControlProtocol::EntryState toMessage(const EntryState &state)
{
    ControlProtocol::EntryState message;
    *message.mutable_self() = toMessage(state.self);
    message.set_ready(state.isReady);
    for (const UpstreamStatus &status : state.upstreamStatuses) {
        *message.add_upstream_statuses() = toMessage(status);
    }
    return message;
}

std::optional<Endpoint> fromMessage(const ControlProtocol::Endpoint &message)
{
    if (message.port() > std::numeric_limits<std::uint16_t>::max()) {
        return std::nullopt;
    }
    // parseEndpoint() rejects addresses that are not IP addresses.
    return parseEndpoint(toString(Endpoint{message.address(), static_cast<std::uint16_t>(message.port())}));
}

std::optional<Upstream> fromMessage(const ControlProtocol::Upstream &message)
{
    const auto endpoint = fromMessage(message.endpoint());
    if (!endpoint || message.name().empty()) {
        return std::nullopt;
    }
    return Upstream{.name = message.name(),
                    .endpoint = *endpoint,
                    .availabilityZone = message.availability_zone(),
                    .slots = message.slots(),
                    .connectionLimit = message.connection_limit(),
                    .isDraining = message.draining()};
}

std::optional<Service> fromMessage(const ControlProtocol::Service &message)
{
    if (message.name().empty()) {
        return std::nullopt;
    }
    Service service{.name = message.name(), .version = message.version(), .isRemoved = message.removed(), .upstreams = {}};
    for (const ControlProtocol::Upstream &row : message.upstreams()) {
        const auto upstream = fromMessage(row);
        if (!upstream) {
            return std::nullopt;
        }
        service.upstreams.push_back(*upstream);
    }
    return service;
}

std::optional<WorkKind> fromMessage(const ControlProtocol::WorkKind &message)
{
    constexpr auto MaximumTarget = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::hours(24));
    const auto rank = valueNamed<Rank>(message.rank());
    const auto repeatability = valueNamed<Repeatability>(message.repeatability());
    const bool isTargetValid = message.target_microseconds() <= static_cast<std::uint64_t>(MaximumTarget.count());
    if (!rank || !repeatability || !isTargetValid || message.name().empty()) {
        return std::nullopt;
    }
    return WorkKind{.name = message.name(),
                    .rank = *rank,
                    .target = std::chrono::microseconds(message.target_microseconds()),
                    .worth = message.worth(),
                    .repeatability = *repeatability};
}

std::optional<Rules> fromMessage(const ControlProtocol::Rules &message)
{
    Rules rules{.version = message.version(), .workKinds = {}, .probesPerSecond = message.probes_per_second()};
    for (const ControlProtocol::WorkKind &row : message.work_kinds()) {
        const auto workKind = fromMessage(row);
        if (!workKind) {
            return std::nullopt;
        }
        rules.workKinds.push_back(*workKind);
    }
    return rules;
}

std::optional<EntryMember> fromMessage(const ControlProtocol::EntryMember &message)
{
    const auto callerEndpoint = fromMessage(message.caller_endpoint());
    const auto peerEndpoint = fromMessage(message.peer_endpoint());
    if (!callerEndpoint || !peerEndpoint || message.name().empty() || message.incarnation().empty()) {
        return std::nullopt;
    }
    return EntryMember{.name = message.name(),
                       .incarnation = message.incarnation(),
                       .callerEndpoint = *callerEndpoint,
                       .peerEndpoint = *peerEndpoint,
                       .availabilityZone = message.availability_zone(),
                       .isLeaving = message.leaving()};
}

std::optional<UpstreamStatus> fromMessage(const ControlProtocol::UpstreamStatus &message)
{
    if (message.service().empty() || message.upstream().empty()) {
        return std::nullopt;
    }
    return UpstreamStatus{.service = message.service(), .upstream = message.upstream(), .isLeaving = message.leaving()};
}

std::optional<EntryState> fromMessage(const ControlProtocol::EntryState &message)
{
    const auto self = fromMessage(message.self());
    if (!self) {
        return std::nullopt;
    }
    EntryState state{.self = *self, .isReady = message.ready(), .upstreamStatuses = {}};
    for (const ControlProtocol::UpstreamStatus &row : message.upstream_statuses()) {
        const auto status = fromMessage(row);
        if (!status) {
            return std::nullopt;
        }
        state.upstreamStatuses.push_back(*status);
    }
    return state;
}

}
