#pragma once

#include "core/enumnames.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <variant>
#include <vector>

/**
 * Schedules calls to the platform by priority, with a rate limit, backoff with jitter and a circuit breaker.
 *
 * A pure step function without I/O; PlatformTask runs it and owns the connections.
 */
namespace Plantainweir {

/** Kinds of platform calls, by descending priority. */
enum class PlatformCallKind {
    Write,
    Read, ///< One object, or all objects below a prefix in one call.
    Watch,
    VirtualMachineList,
};

constexpr std::array<EnumName<PlatformCallKind>, 4> enumNames(PlatformCallKind)
{
    return {{
        {PlatformCallKind::Write, "write"},
        {PlatformCallKind::Read, "read"},
        {PlatformCallKind::Watch, "watch"},
        {PlatformCallKind::VirtualMachineList, "virtual_machine_list"},
    }};
}
static_assert(isEnumTableOrdered<PlatformCallKind>());

/** State of the circuit breaker between this process and the platform. */
enum class BreakerState {
    Closed,
    Open, ///< No call is sent until the backoff has passed.
    HalfOpen, ///< One trial call is sent; its result closes the breaker or opens it again.
};

constexpr std::array<EnumName<BreakerState>, 3> enumNames(BreakerState)
{
    return {{
        {BreakerState::Closed, "closed"},
        {BreakerState::Open, "open"},
        {BreakerState::HalfOpen, "half_open"},
    }};
}
static_assert(isEnumTableOrdered<BreakerState>());

/** Reasons for dropping a queued platform call. */
enum class PlatformRejection {
    QueueFull,
    DeadlinePassed, ///< The call could not be sent before its deadline.
};

constexpr std::array<EnumName<PlatformRejection>, 2> enumNames(PlatformRejection)
{
    return {{
        {PlatformRejection::QueueFull, "queue_full"},
        {PlatformRejection::DeadlinePassed, "deadline_passed"},
    }};
}
static_assert(isEnumTableOrdered<PlatformRejection>());

/** Identifies one call; unique within the process. */
using PlatformCallId = std::uint64_t;

struct PlatformCallSchedulerSettings {
    double callsPerSecond = 5.0;
    std::uint32_t burst = 10; ///< Capacity of the token bucket in calls.
    std::uint32_t maximumCallsInFlight = 4;
    std::size_t queueLimit = 1024; ///< Queued calls of all kinds together.
    std::uint32_t failuresToOpen = 5; ///< Consecutive failures that open the circuit breaker.
    Duration minimumBackoff = std::chrono::milliseconds(100);
    Duration maximumBackoff = std::chrono::seconds(5);
};

struct WaitingPlatformCall {
    PlatformCallId id = 0;
    TimePoint deadline; ///< The call is rejected if it has not been sent by then.
};

/** Queued calls, calls in flight, and the state of the rate limit and the circuit breaker. */
struct PlatformCallScheduler {
    std::array<std::deque<WaitingPlatformCall>, enumCount<PlatformCallKind>()> waiting;
    std::map<PlatformCallId, PlatformCallKind> inFlight;
    /** Time at which the token bucket is full again; each call moves it by one token period (GCRA, ITU-T I.371). */
    TimePoint bucketFullAt;
    TimePoint backoffUntil; ///< No call is sent before this time.
    std::uint32_t failuresInRow = 0;
    BreakerState breaker = BreakerState::Closed;
    std::optional<PlatformCallId> trial; ///< The call in flight whose result opens or closes a half-open breaker.
};

struct PlatformCallSubmitted {
    PlatformCallId id = 0;
    PlatformCallKind kind = PlatformCallKind::Read;
    TimePoint deadline; ///< Time by which the call must be sent.
};
struct PlatformCallFinished {
    PlatformCallId id = 0;
    bool isAnswered = false; ///< Whether the platform responded. A refusal counts as a response, a server error does not.
};
struct PlatformTimerFired {
};
using PlatformCallSchedulerEvent = std::variant<PlatformCallSubmitted, PlatformCallFinished, PlatformTimerFired>;

struct SendPlatformCall {
    PlatformCallId id = 0;
};
struct RejectPlatformCall {
    PlatformCallId id = 0;
    PlatformRejection reason = PlatformRejection::QueueFull;
};
/** Requests a PlatformTimerFired event at this time instead of any earlier request. */
struct SchedulePlatformTimer {
    TimePoint at;
};
using PlatformCallSchedulerAction = std::variant<SendPlatformCall, RejectPlatformCall, SchedulePlatformTimer>;

/** Applies @p event to @p scheduler and returns the resulting actions in order. */
std::vector<PlatformCallSchedulerAction> step(PlatformCallScheduler &scheduler,
                                              const PlatformCallSchedulerSettings &settings,
                                              const PlatformCallSchedulerEvent &event,
                                              TimePoint now,
                                              std::mt19937_64 &random);

/** Returns the number of queued calls. */
std::size_t waitingCount(const PlatformCallScheduler &scheduler);

}
