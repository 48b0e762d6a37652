#pragma once

#include "decision/servicestate.h"

/** Binds queued calls to upstreams with free slots, and starts and ends attempts. */
namespace Plantainweir {

/** Adds the call to the queue. @p isRequeued is true if it was queued before. */
void enqueue(StepContext &context, CallState &call, bool isRequeued);

/** Removes the call from the queue if it is queued. */
void removeFromQueue(ServiceState &state, CallState &call);

/** Starts an attempt of @p call at the upstream. */
AttemptState &startAttempt(StepContext &context, CallState &call, UpstreamIndex upstream);

/** Starts queued calls while upstreams have free slots. */
void bindCalls(StepContext &context);

/** Cancels all attempts of the call except @p exceptAttempt. */
void cancelAttempts(StepContext &context, CallState &call, AttemptId exceptAttempt);

/**
 * Removes a call that can no longer be started in time from the queue, and ends it unless an attempt is running.
 *
 * The call is refused with @p reason if it has not run, otherwise its outcome is "unknown".
 */
void endQueuedCall(StepContext &context, CallState &call, RefusalReason reason);

/** Hands queued calls over to co-owners with open slots while the expected wait exceeds the hand-over round trip. */
void handOverCalls(StepContext &context);

}
