#pragma once

#include "decision/servicestate.h"

/**
 * A second attempt beside a slow first one, for idempotent calls and into slots that are idle otherwise.
 *
 * Hedges draw on a budget that a hedge which wins refills: where the calls themselves are long, hedges die out; where
 * an upstream is at fault, they go on.
 */
namespace Plantainweir {

/** Schedules the next look at a running attempt. */
void scheduleCheck(StepContext &context, AttemptId id, const AttemptState &attempt);

/** Looks at a running attempt: notes that it is overdue, hedges its call, schedules the next look. */
void checkAttempt(StepContext &context, AttemptId id);

/** Returns the token of a hedge that won over the first attempt. */
void refundHedge(ServiceState &state);

}
