#pragma once

#include "decision/servicestate.h"

/** Maintains the state of the upstreams and the set of those with free slots. */
namespace Plantainweir {

/** Sets the upstreams that are assigned to this owner. Running attempts at other upstreams continue. */
void assignUpstreams(StepContext &context, const UpstreamsAssigned &event);

/** Records that an upstream is leaving or has returned. */
void changeLeaving(StepContext &context, const UpstreamLeaving &event);

/** Updates the free slots after a change of the upstream's state. It must be called after each change. */
void refreshUpstream(ServiceState &state, UpstreamIndex index, TimePoint now);

/** Updates the upstream's state when an attempt ends. */
void recordAttemptEnd(StepContext &context, const AttemptState &attempt, AttemptOutcome outcome);

/**
 * Updates the upstream's state when an attempt is cancelled.
 *
 * If the attempt is overdue, its age is recorded as a lower bound of its latency.
 */
void recordCancellation(StepContext &context, const AttemptState &attempt);

/** Records that an attempt takes longer than expected, and ejects an upstream with many such attempts. */
void recordOverdue(StepContext &context, AttemptState &attempt);

/** Ejects the upstream unless too many upstreams are ejected already. */
void tryEject(StepContext &context, UpstreamIndex index);

/** Returns whether so many attempts at the upstream are overdue that it receives no new calls. */
bool isStalled(const UpstreamState &upstream);

/** Handles the end of an upstream's backoff or ejection. */
void onUpstreamTimer(StepContext &context, UpstreamIndex index);

}
