#pragma once

#include "decision/servicestate.h"

/** Keeps what is known of the upstreams, and which of them have free slots. */
namespace Plantainweir {

/** Takes over the upstreams that this owner holds; attempts at the others go on. */
void assignUpstreams(StepContext &context, const UpstreamsAssigned &event);

/** Notes that an upstream leaves or is back. */
void changeLeaving(StepContext &context, const UpstreamLeaving &event);

/** Takes the upstream's new state over into the free slots; to be called after each change of it. */
void refreshUpstream(ServiceState &state, UpstreamIndex index, TimePoint now);

/** Learns from an attempt that ended after @p elapsed. */
void recordAttemptEnd(StepContext &context, const AttemptState &attempt, AttemptOutcome outcome);

/** Learns from an attempt that was given up: it would have taken longer. */
void recordCancellation(StepContext &context, const AttemptState &attempt);

/** Notes that an attempt runs for longer than expected, and ejects a stalled upstream. */
void recordOverdue(StepContext &context, AttemptState &attempt);

/** Ejects the upstream unless too many are ejected. */
void tryEject(StepContext &context, UpstreamIndex index);

/** Returns whether attempts at the upstream do not end as they should. */
bool isStalled(const UpstreamState &upstream);

/** Lets an upstream be used again after its hold or ejection. */
void onUpstreamTimer(StepContext &context, UpstreamIndex index);

}
