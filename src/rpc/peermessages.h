#pragma once

#include "decision/serviceevents.h"
#include "filters/callreply.h"
#include "filters/callrequest.h"
#include "peer.pb.h"

/** Encoding of forwarded calls, their replies and load reports. Deadlines are sent as the remaining time. */
namespace Plantainweir {

/** A decoded forwarded call. */
struct ForwardedCall {
    CallRequest request;
    RequestMessage message;
};

/** Load report that an owner of a service sends to a co-owner. */
struct OwnerLoadReport {
    std::string service;
    PeerLoadReport report; ///< Names the sender of the message as its peer.
};

plantainweir::peer::v1::LoadReport toMessage(const OwnerLoadReport &load);
OwnerLoadReport fromMessage(const plantainweir::peer::v1::LoadReport &message);

plantainweir::peer::v1::ForwardRequest toMessage(const CallRequest &request, const RequestMessage &message, TimePoint now);

/** Returns nothing if the origin in @p message is unknown or is CallOrigin::Caller. */
std::optional<ForwardedCall> fromMessage(const plantainweir::peer::v1::ForwardRequest &message, TimePoint now);

plantainweir::peer::v1::ForwardReply toMessage(const CallReply &reply, TimePoint now);

/** Returns nothing if the outcome or the reason in @p message is unknown. */
std::optional<CallReply> fromMessage(const plantainweir::peer::v1::ForwardReply &message, TimePoint now);

}
