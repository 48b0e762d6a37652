#pragma once

#include "configuration/configuration.h"
#include "configuration/upstreamstatus.h"
#include "decision/ownership.h"

#include "control.pb.h"

#include <optional>

/**
 * Conversions between the messages of proto/control.proto and the plain structs of the decisions.
 *
 * Messages come from other processes and are validated: fromMessage() returns nothing if a field is out of its range, an
 * address is not an IP address or a name is not in its table.
 */
namespace Plantainweir {

namespace ControlProtocol = plantainweir::control::v1;

/** State that entryd reports to its controld. */
struct EntryState {
    EntryMember self;
    bool isReady = false;
    std::vector<UpstreamStatus> upstreamStatuses; ///< Upstreams that announced in a response that they are draining.
    bool operator==(const EntryState &) const = default;
};

ControlProtocol::Endpoint toMessage(const Endpoint &endpoint);
ControlProtocol::Upstream toMessage(const Upstream &upstream);
ControlProtocol::Service toMessage(const Service &service);
ControlProtocol::WorkKind toMessage(const WorkKind &workKind);
ControlProtocol::Rules toMessage(const Rules &rules);
ControlProtocol::EntryMember toMessage(const EntryMember &member);
ControlProtocol::UpstreamStatus toMessage(const UpstreamStatus &status);
ControlProtocol::EntryState toMessage(const EntryState &state);

std::optional<Endpoint> fromMessage(const ControlProtocol::Endpoint &message);
std::optional<Upstream> fromMessage(const ControlProtocol::Upstream &message);
std::optional<Service> fromMessage(const ControlProtocol::Service &message);
std::optional<WorkKind> fromMessage(const ControlProtocol::WorkKind &message);
std::optional<Rules> fromMessage(const ControlProtocol::Rules &message);
std::optional<EntryMember> fromMessage(const ControlProtocol::EntryMember &message);
std::optional<UpstreamStatus> fromMessage(const ControlProtocol::UpstreamStatus &message);
std::optional<EntryState> fromMessage(const ControlProtocol::EntryState &message);

}
