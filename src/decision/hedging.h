#pragma once

#include "decision/servicestate.h"

/**
 * Hedging: a second attempt of an idempotent call while the first one is slow, mostly in slots that are idle otherwise.
 *
 * Hedges are limited by a token bucket. A hedge that finishes first returns its token, so that hedging continues while
 * an upstream is at fault, and stops when the calls themselves take long.
 */
namespace Plantainweir {

/** Schedules the next check of a running attempt. */
void scheduleCheck(StepContext &context, AttemptId id, const AttemptState &attempt);

/** Checks a running attempt: records whether it is overdue, hedges its call if necessary, and schedules the next check. */
void checkAttempt(StepContext &context, AttemptId id);

/** Returns the token of a hedge that finished before the first attempt. */
void refundHedge(ServiceState &state);

}
