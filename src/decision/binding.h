#pragma once

#include "decision/servicestate.h"

/** Binds waiting calls to free slots, and starts and ends attempts. */
namespace Plantainweir {

/** Puts the call into the queue; @p isRequeued if it has been taken from it before. */
void enqueue(StepContext &context, CallState &call, bool isRequeued);

/** Takes the call out of the queue if it waits. */
void removeFromQueue(ServiceState &state, CallState &call);

/** Starts an attempt of @p call at the upstream. */
AttemptState &startAttempt(StepContext &context, CallState &call, UpstreamIndex upstream);

/** Starts waiting calls for as long as there are slots for them. */
void bindCalls(StepContext &context);

/** Gives up the attempts of the call other than @p kept. */
void cancelAttempts(StepContext &context, CallState &call, AttemptId exceptAttempt);

/** Ends a waiting call that cannot be started any more: refused if it has not run, else "unknown". */
void endQueuedCall(StepContext &context, CallState &call, RefusalReason reason);

/** Hands waiting calls over to co-owners with free slots while the wait here is longer than the way there. */
void handOverCalls(StepContext &context);

}
