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

/** The values that the tasks of entryd send to each other. */
namespace Plantainweir {

/** The message that an upstream gets; shared, since a call may be sent more than once. */
using SharedRequest = std::shared_ptr<const RequestMessage>;
using SharedResponse = std::shared_ptr<const ResponseMessage>;
using SharedRouting = std::shared_ptr<const RoutingState>;

/** The port that a call came by and that its reply leaves by. */
enum class CallPort {
    Caller,
    Peer,
};

/** Names a call towards the port that it came by. */
struct CallToken {
    CallPort port = CallPort::Caller;
    std::uint64_t exchange = 0;
    auto operator<=>(const CallToken &) const = default;
};

/** A call as a port hands it in. */
struct IncomingCall {
    CallToken token;
    CallRequest request;
    SharedRequest message;
};

/** Names an attempt of any service. */
struct AttemptToken {
    std::uint32_t service = 0;
    AttemptId attempt = 0;
    auto operator<=>(const AttemptToken &) const = default;
};

/** An attempt at an upstream. */
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
    SharedResponse response; ///< Set if a whole response came.
};

/** A call on its way to another entry VM. */
struct OutgoingForward {
    std::uint64_t id = 0;
    Endpoint endpoint;
    CallRequest request;
    SharedRequest message;
};

/** A load report on its way to a co-owner. */
struct OutgoingLoadReport {
    Endpoint endpoint;
    OwnerLoadReport load; ///< The port fills in the sender.
};

/** How a forwarded call ended. */
enum class ForwardOutcome {
    Replied,
    NotSent, ///< The other entry VM was known to be unreachable; nothing left.
    Lost, ///< It may have arrived.
};

struct ForwardResult {
    std::uint64_t id = 0;
    ForwardOutcome outcome = ForwardOutcome::Lost;
    CallReply reply; ///< Valid if replied.
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
