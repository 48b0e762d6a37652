#pragma once

#include "core/message.h"
#include "core/outcome.h"
#include "core/time.h"

#include <memory>
#include <string>

namespace Plantainweir {

/** The reply to a caller. */
struct CallReply {
    CallOutcome outcome = CallOutcome::NotRun;
    RefusalReason refusal = RefusalReason::NotReady; ///< Valid if not run.
    UnknownReason unknown = UnknownReason::ConnectionLost; ///< Valid if unknown.
    TimePoint retryAt; ///< Valid if not run: earliest time at which the caller should retry.
    std::string keyOwner; ///< With RefusalReason::KeyOwnerRequired: an incarnation that the caller may name as key owner.
    std::shared_ptr<const ResponseMessage> answer; ///< Set if answered.
};

inline CallReply answeredReply(std::shared_ptr<const ResponseMessage> answer)
{
    CallReply reply;
    reply.outcome = CallOutcome::Answered;
    reply.answer = std::move(answer);
    return reply;
}

inline CallReply refusedReply(RefusalReason reason, TimePoint retryAt)
{
    CallReply reply;
    reply.outcome = CallOutcome::NotRun;
    reply.refusal = reason;
    reply.retryAt = retryAt;
    return reply;
}

inline CallReply unknownReply(UnknownReason reason)
{
    CallReply reply;
    reply.outcome = CallOutcome::Unknown;
    reply.unknown = reason;
    return reply;
}

}
