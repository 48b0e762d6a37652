#pragma once

#include "decision/servicestate.h"

#include <optional>

/**
 * Schedules the calls of one service at one of its owners: queueing, choice of upstream, retries and refusals.
 *
 * step() is deterministic: it gets the state, one event, the time and the random generator, changes the state and
 * appends actions. It reads no clock, uses no sockets and does not depend on message encodings, so that entryd and the
 * policy bench run the same code.
 */
namespace Plantainweir {

/** Handles @p event at the time @p now and appends the resulting actions to @p actions. */
void step(ServiceState &state, const ServiceEvent &event, TimePoint now, RandomGenerator &random, ServiceActions &actions);

/** Returns when the next TimerFired event is due, or nothing if there is no timer. */
std::optional<TimePoint> nextWakeUp(const ServiceState &state);

}
