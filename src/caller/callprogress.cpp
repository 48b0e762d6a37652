#include "caller/callprogress.h"

#include <algorithm>

namespace Plantainweir {
namespace {

/** Reasons for "not run" after which another entry VM may succeed at once. */
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

/**
 * An at-most-once call keeps its key once an entry VM may have received it, so that the key owner recognises the retry.
 */
CallDecision retry(const CallProgress &progress)
{
    const bool needsSameKey = progress.mayHaveArrived && progress.repeatability == Repeatability::AtMostOnce;
    return {.step = needsSameKey ? NextStep::RetrySameKey : NextStep::RetryNewKey, .outcome = CallOutcome::Unknown, .reason = {}};
}

/** Ends a call whose last try did not run it. An earlier try without a response may have, or may still arrive and run. */
CallDecision finishNotRun(const CallProgress &progress, std::string_view reason)
{
    return progress.mayHaveRun ? finish(CallOutcome::Unknown, nameOf(CallerReason::ConnectionLost)) : finish(CallOutcome::NotRun, reason);
}

CallDecision decideAfterReply(const CallProgress &progress, const TryResult &result, bool mayRetry)
{
    if (result.callOutcome == CallOutcome::NotRun) {
        return mayRetry && isRetryableElsewhere(result.reason) ? retry(progress) : finishNotRun(progress, result.reason);
    }
    if (!mayRetry || result.callOutcome == CallOutcome::Answered) {
        return finish(result.callOutcome, result.reason);
    }
    return progress.repeatability == Repeatability::Idempotent ? retry(progress) : finish(CallOutcome::Unknown, result.reason);
}

}

CallDecision decideAfterTry(CallProgress &progress, const TryResult &result, std::uint32_t maximumTries, TimePoint now)
{
    ++progress.tries;
    const bool hasDeadlinePassed = now >= progress.deadline;
    const bool mayRetry = !hasDeadlinePassed && progress.tries < maximumTries;
    const bool hasUnknownOutcome = result.outcome == TryOutcome::Replied && result.callOutcome == CallOutcome::Unknown;
    progress.mayHaveRun = progress.mayHaveRun || result.outcome == TryOutcome::NoResponse || hasUnknownOutcome;
    if (result.outcome == TryOutcome::Replied) {
        return decideAfterReply(progress, result, mayRetry);
    }
    progress.mayHaveArrived = progress.mayHaveArrived || result.outcome == TryOutcome::NoResponse;
    if (mayRetry) {
        return retry(progress);
    }
    if (!progress.mayHaveRun) {
        return finish(CallOutcome::NotRun, nameOf(CallerReason::ConnectFailed));
    }
    return finish(CallOutcome::Unknown, nameOf(hasDeadlinePassed ? CallerReason::DeadlinePassed : CallerReason::ConnectionLost));
}

}
