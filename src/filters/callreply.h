#pragma once

#include "core/message.h"
#include "core/outcome.h"
#include "core/time.h"

#include <memory>
#include <string>

namespace Plantainweir {

/** What a caller is told about its call. */
struct CallReply {
    CallOutcome outcome = CallOutcome::NotRun;
    RefusalReason refusal = RefusalReason::NotReady; ///< Valid if not run.
    UnknownReason unknown = UnknownReason::ConnectionLost; ///< Valid if unknown.
    TimePoint retryAt; ///< Valid if not run: when to come again.
    std::string keyOwner; ///< With RefusalReason::KeyOwnerRequired: an incarnation to name.
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
