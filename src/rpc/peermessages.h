#pragma once

#include "decision/serviceevents.h"
#include "filters/callreply.h"
#include "filters/callrequest.h"
#include "peer.pb.h"

/** Encoding of forwarded calls and their replies. Deadlines travel as the time that remains. */
namespace Plantainweir {

/** A forwarded call as it arrives. */
struct ForwardedCall {
    CallRequest request;
    RequestMessage message;
};

/** How an owner of a service stands, as it tells a co-owner. */
struct OwnerLoadReport {
    std::string service;
    PeerLoadReport report; ///< Its peer is the sender.
};

plantainweir::peer::v1::LoadReport toMessage(const OwnerLoadReport &load);
OwnerLoadReport fromMessage(const plantainweir::peer::v1::LoadReport &message);

plantainweir::peer::v1::ForwardRequest toMessage(const CallRequest &request, const RequestMessage &message, TimePoint now);

/** Returns nothing if a word in @p message is unknown. */
std::optional<ForwardedCall> fromMessage(const plantainweir::peer::v1::ForwardRequest &message, TimePoint now);

plantainweir::peer::v1::ForwardReply toMessage(const CallReply &reply, TimePoint now);

/** Returns nothing if a word in @p message is unknown. */
std::optional<CallReply> fromMessage(const plantainweir::peer::v1::ForwardReply &message, TimePoint now);

}
