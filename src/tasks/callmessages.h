#pragma once

#include "core/message.h"
#include "core/time.h"
#include "decision/dispatch.h"
#include "decision/routingstate.h"
#include "filters/callreply.h"
#include "filters/callrequest.h"
#include "rpc/peermessages.h"

#include <QMetaType>

#include <cstdint>
#include <memory>
#include <string>

/** Messages between the tasks of entryd. */
namespace Plantainweir {

/** The request for an upstream; shared, since a call may have several attempts. */
using SharedRequest = std::shared_ptr<const RequestMessage>;
using SharedResponse = std::shared_ptr<const ResponseMessage>;
using SharedRouting = std::shared_ptr<const RoutingState>;

/** The port that received a call and sends its reply. */
enum class CallPort {
    Caller,
    Peer,
};

/** Identifies a call at the port that received it. */
struct CallToken {
    CallPort port = CallPort::Caller;
    std::uint64_t exchange = 0;
    auto operator<=>(const CallToken &) const = default;
};

/** A call that a port received. */
struct IncomingCall {
    CallToken token;
    CallRequest request;
    SharedRequest message;
};

/** Identifies an attempt among those of all services. */
struct AttemptToken {
    std::uint32_t service = 0;
    AttemptId attempt = 0;
    auto operator<=>(const AttemptToken &) const = default;
};

/** An attempt to be sent to an upstream. */
struct OutgoingAttempt {
    AttemptToken token;
    Endpoint endpoint;
    TimePoint deadline;
    std::string workKind;
    std::string idempotencyKey; ///< Empty if the call has none.
    SharedRequest message;
};

/** How an attempt at an upstream ended. */
struct AttemptResult {
    AttemptToken token;
    AttemptOutcome outcome = AttemptOutcome::ConnectionLost;
    std::optional<LoadReport> report;
    SharedResponse response; ///< Set if a complete response was received.
};

/** A call to be forwarded to another entry VM. */
struct OutgoingForward {
    std::uint64_t id = 0;
    Endpoint endpoint;
    CallRequest request;
    SharedRequest message;
};

/** A load report to be sent to a co-owner. */
struct OutgoingLoadReport {
    Endpoint endpoint;
    OwnerLoadReport load; ///< PeerPort sets the sender.
};

/** How a forwarded call ended. */
enum class ForwardOutcome {
    Replied,
    NotSent, ///< The other entry VM was known to be unreachable, and nothing was sent.
    ConnectionLost, ///< The call may have arrived.
};

struct ForwardResult {
    std::uint64_t id = 0;
    ForwardOutcome outcome = ForwardOutcome::ConnectionLost;
    CallReply reply; ///< Set if the outcome is Replied.
};

}

Q_DECLARE_METATYPE(Plantainweir::IncomingCall)
Q_DECLARE_METATYPE(Plantainweir::CallToken)
Q_DECLARE_METATYPE(Plantainweir::CallReply)
Q_DECLARE_METATYPE(Plantainweir::OutgoingAttempt)
Q_DECLARE_METATYPE(Plantainweir::AttemptToken)
Q_DECLARE_METATYPE(Plantainweir::AttemptResult)
Q_DECLARE_METATYPE(Plantainweir::OutgoingForward)
Q_DECLARE_METATYPE(Plantainweir::ForwardResult)
Q_DECLARE_METATYPE(Plantainweir::OutgoingLoadReport)
Q_DECLARE_METATYPE(Plantainweir::OwnerLoadReport)
Q_DECLARE_METATYPE(Plantainweir::SharedRouting)
