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
 * Decides when calls to the platform are sent: priorities, a rate limit, backoff with jitter and a circuit breaker.
 *
 * A pure step; PlatformTask runs it and owns the connections.
 */
namespace Plantainweir {

/** Kinds of platform calls, in the order in which waiting ones are sent. */
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
    Open, ///< No call is sent until a deadline.
    HalfOpen, ///< One trial call is sent; its result decides.
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

/** Why a platform call was given up unsent. */
enum class PlatformRejection {
    QueueFull,
    DeadlinePassed, ///< Its turn did not come in time.
};

constexpr std::array<EnumName<PlatformRejection>, 2> enumNames(PlatformRejection)
{
    return {{
        {PlatformRejection::QueueFull, "queue_full"},
        {PlatformRejection::DeadlinePassed, "deadline_passed"},
    }};
}
static_assert(isEnumTableOrdered<PlatformRejection>());

/** Names one call; never used twice in a process. */
using PlatformCallId = std::uint64_t;

struct PlatformCallSchedulerSettings {
    double callsPerSecond = 5.0;
    std::uint32_t burst = 10; ///< Calls that may be sent at once after a pause.
    std::uint32_t maximumCallsInFlight = 4;
    std::size_t queueLimit = 1024; ///< Waiting calls, over all kinds.
    std::uint32_t failuresToOpen = 5; ///< Failures in a row that open the breaker.
    Duration minimumBackoff = std::chrono::milliseconds(100);
    Duration maximumBackoff = std::chrono::seconds(5);
};

struct WaitingPlatformCall {
    PlatformCallId id = 0;
    TimePoint deadline; ///< It is given up if its turn has not come by then.
};

/** State of the budget. */
struct PlatformCallScheduler {
    std::array<std::deque<WaitingPlatformCall>, enumCount<PlatformCallKind>()> waiting;
    std::map<PlatformCallId, PlatformCallKind> inFlight;
    /** When the token bucket is full again; later sends push it on (GCRA, ITU-T I.371). */
    TimePoint bucketFullAt;
    TimePoint backoffUntil; ///< No call is sent before, after a failure.
    std::uint32_t failuresInRow = 0;
    BreakerState breaker = BreakerState::Closed;
    std::optional<PlatformCallId> trial; ///< The call in flight that decides a half-open breaker.
};

struct PlatformCallSubmitted {
    PlatformCallId id = 0;
    PlatformCallKind kind = PlatformCallKind::Read;
    TimePoint deadline; ///< For its turn to come.
};
struct PlatformCallFinished {
    PlatformCallId id = 0;
    bool isAnswered = false; ///< The platform answered; a refusal is an answer, a server error is none.
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
/** PlatformTimerFired shall come at this time; replaces an earlier one. */
struct SchedulePlatformTimer {
    TimePoint at;
};
using PlatformCallSchedulerAction = std::variant<SendPlatformCall, RejectPlatformCall, SchedulePlatformTimer>;

/** Takes @p event into @p budget and returns what is to be done, in this order. */
std::vector<PlatformCallSchedulerAction> step(PlatformCallScheduler &scheduler,
                                              const PlatformCallSchedulerSettings &settings,
                                              const PlatformCallSchedulerEvent &event,
                                              TimePoint now,
                                              std::mt19937_64 &random);

/** Returns the number of waiting calls. */
std::size_t waitingCount(const PlatformCallScheduler &scheduler);

}
