#pragma once

#include "decision/serviceevents.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

/**
 * The decisions about the calls of one service at one of its owners: which call next, to which upstream, what to
 * retry and what to refuse.
 *
 * A pure step: `step()` takes the state, one event, the time and the random generator, changes the state and appends
 * actions. It reads no clock, opens no socket and knows no encoding; entryd and the policy bench run the same code.
 */
namespace Plantainweir {

using RandomGenerator = std::mt19937_64;

/** One upstream as its owner sees it. */
struct UpstreamState {
    Upstream upstream;
    std::uint32_t inFlight = 0;
    bool isAssigned = true; ///< Whether this owner may send new work to it.
    bool isLeaving = false;
};

/** A call that waits in the queue or runs. */
struct CallState {
    CallArrived arrival;
    std::uint32_t attempts = 0;
    std::uint32_t attemptsInFlight = 0;
};

struct AttemptState {
    CallId call = 0;
    std::size_t upstream = 0; ///< Index into ServiceState::upstreams.
};

/** All that an owner knows of one service. */
struct ServiceState {
    std::vector<UpstreamState> upstreams;
    std::array<std::deque<CallId>, enumCount<Rank>()> queues; ///< In order of arrival; finished calls are skipped.
    std::unordered_map<CallId, CallState> calls;
    std::unordered_map<AttemptId, AttemptState> attempts;
    AttemptId lastAttempt = 0;
    std::multimap<TimePoint, CallId> deadlines; ///< Of queued calls.
};

/** Handles @p event at @p now and appends what has to be done to @p actions. */
void step(ServiceState &state, const ServiceEvent &event, TimePoint now, RandomGenerator &random, ServiceActions &actions);

/** Returns when TimerFired is due next, or nothing. */
std::optional<TimePoint> nextWakeUp(const ServiceState &state);

}
