#pragma once

#include "decision/dispatch.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

/** The policies that the policy bench compares, and the baseline policies as a step function like the product's. */
namespace Plantainweir {

/** How calls are spread over upstreams. */
enum class Policy {
    Random, ///< Each entry VM picks an upstream at random.
    RoundRobin, ///< Each entry VM selects the upstreams in turn.
    LeastOutstanding, ///< Each entry VM picks the upstream with the fewest of its own calls in flight.
    TwoChoicesReported, ///< The less loaded of two random upstreams by their latest load reports (Mitzenmacher, 2001).
    Product, ///< The decisions of entryd.
    Oracle, ///< One queue with perfect, undelayed knowledge of slots and faults.
};

constexpr std::array<EnumName<Policy>, 6> enumNames(Policy)
{
    return {{
        {Policy::Random, "random"},
        {Policy::RoundRobin, "round-robin"},
        {Policy::LeastOutstanding, "least-outstanding"},
        {Policy::TwoChoicesReported, "two-choices-reported"},
        {Policy::Product, "product"},
        {Policy::Oracle, "oracle"},
    }};
}
static_assert(isEnumTableOrdered<Policy>());

/** State of one upstream under a baseline policy. */
struct BaselineUpstream {
    Upstream upstream;
    std::uint32_t outstanding = 0; ///< Calls that this entry VM has in flight there.
    std::uint32_t reportedLoad = 0; ///< Running and queued calls by the latest report that has arrived.
    bool isLeaving = false;
};

/** A call in flight under a baseline policy. */
struct BaselineCall {
    CallArrived arrival;
    std::uint32_t attempts = 0;
};

/** State of one service at an entry VM under a baseline policy, which sends each call at once and queues none. */
struct BaselineState {
    Policy policy = Policy::Random;
    std::vector<BaselineUpstream> upstreams;
    std::unordered_map<CallId, BaselineCall> calls;
    std::unordered_map<AttemptId, std::pair<CallId, std::size_t>> attempts; ///< Call and index into upstreams.
    AttemptId lastAttempt = 0;
    std::size_t nextUpstream = 0; ///< For round-robin.
};

/** Handles @p event like the product's step(); retries idempotent calls, and other calls that have certainly not run. */
void step(BaselineState &state, const ServiceEvent &event, TimePoint now, RandomGenerator &random, ServiceActions &actions);

}
