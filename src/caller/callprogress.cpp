#include "caller/callprogress.h"

#include <algorithm>

namespace Plantainweir {
namespace {

/** Reasons of "not run" for which another entry VM may do better at once. */
constexpr std::array RetryableElsewhere{RefusalReason::NotReady, RefusalReason::OwnerUnreachable};

bool isRetryableElsewhere(const std::string &reason)
{
    return std::any_of(RetryableElsewhere.begin(), RetryableElsewhere.end(), [&reason](RefusalReason retryable) {
        return nameOf(retryable) == reason;
    });
}

CallDecision finish(CallOutcome outcome, std::string_view reason)
{
    return {.step = NextStep::Finish, .outcome = outcome, .reason = std::string(reason)};
}

/** Once a key may have been received it stays the call's key, so that its owner can tell a retry from a new call. */
CallDecision retry(const CallProgress &progress)
{
    const bool needsSameKey = progress.mayHaveArrived && progress.repeatability == Repeatability::AtMostOnce;
    return {.step = needsSameKey ? NextStep::RetrySameKey : NextStep::RetryNewKey, .outcome = CallOutcome::Unknown, .reason = {}};
}

CallDecision decideAfterReply(const CallProgress &progress, const TryResult &result, bool mayRetry)
{
    if (!mayRetry || result.callOutcome == CallOutcome::Answered) {
        return finish(result.callOutcome, result.reason);
    }
    if (result.callOutcome == CallOutcome::NotRun) {
        return isRetryableElsewhere(result.reason) ? retry(progress) : finish(CallOutcome::NotRun, result.reason);
    }
    return progress.repeatability == Repeatability::Idempotent ? retry(progress) : finish(CallOutcome::Unknown, result.reason);
}

}

CallDecision decideAfterTry(CallProgress &progress, const TryResult &result, std::uint32_t maximumTries, TimePoint now)
{
    ++progress.tries;
    const bool isTimeOver = now >= progress.deadline;
    const bool mayRetry = !isTimeOver && progress.tries < maximumTries;
    if (result.outcome == TryOutcome::Replied) {
        return decideAfterReply(progress, result, mayRetry);
    }
    progress.mayHaveArrived = progress.mayHaveArrived || result.outcome == TryOutcome::Lost;
    if (mayRetry) {
        return retry(progress);
    }
    if (!progress.mayHaveArrived) {
        return finish(CallOutcome::NotRun, nameOf(CallerReason::ConnectFailed));
    }
    return finish(CallOutcome::Unknown, nameOf(isTimeOver ? CallerReason::DeadlinePassed : CallerReason::ConnectionLost));
}

}
