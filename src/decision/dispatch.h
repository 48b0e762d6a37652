#pragma once

#include "decision/servicestate.h"

#include <optional>

/**
 * The decisions about the calls of one service at one of its owners: which call next, to which upstream, what to
 * retry and what to refuse.
 *
 * A pure step: `step()` takes the state, one event, the time and the random generator, changes the state and appends
 * actions. It reads no clock, opens no socket and knows no encoding; entryd and the policy bench run the same code.
 */
namespace Plantainweir {

/** Handles @p event at @p now and appends what has to be done to @p actions. */
void step(ServiceState &state, const ServiceEvent &event, TimePoint now, RandomGenerator &random, ServiceActions &actions);

/** Returns when TimerFired is due next, or nothing. */
std::optional<TimePoint> nextWakeUp(const ServiceState &state);

}
