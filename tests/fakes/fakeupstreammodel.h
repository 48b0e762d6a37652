#pragma once

#include "core/enumnames.h"
#include "core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

/** Model of a fake upstream without sockets and clock: slots, a bounded queue, faults and counts of executions. */
namespace Plantainweir {

/** Identifies a request at one fake upstream. */
using WorkId = std::uint64_t;

/** Fault of a fake upstream; lasts until another value is set. */
enum class FakeFault {
    None,
    Shed, ///< Refuses all new work as not run.
    FailFast, ///< Answers all new work with a server error at once; counted as executed.
    Stall, ///< Starts work and finishes none until the fault ends.
    FalseLoad, ///< Reports no busy slots and an empty queue, whatever the load.
    CloseBeforeRun, ///< Closes the connection without an answer; nothing is executed.
    CloseAfterRun, ///< Executes, then closes the connection without an answer.
    CloseInAnswer, ///< Executes, then closes the connection in the middle of the answer.
};

constexpr std::array<EnumName<FakeFault>, 8> enumNames(FakeFault)
{
    return {{
        {FakeFault::None, "none"},
        {FakeFault::Shed, "shed"},
        {FakeFault::FailFast, "fail_fast"},
        {FakeFault::Stall, "stall"},
        {FakeFault::FalseLoad, "false_load"},
        {FakeFault::CloseBeforeRun, "close_before_run"},
        {FakeFault::CloseAfterRun, "close_after_run"},
        {FakeFault::CloseInAnswer, "close_in_answer"},
    }};
}
static_assert(isEnumTableOrdered<FakeFault>());

/** How a request ends for its requester. */
enum class FakeReplyKind {
    Answer,
    ServerError,
    ShedNotRun, ///< Refused because the queue is full or by FakeFault::Shed; not executed.
    ExpiredNotRun, ///< The deadline passed before a slot was free; not executed.
    Close, ///< The connection is closed without an answer.
    CloseInAnswer, ///< The connection is closed after a part of the answer.
};

struct FakeUpstreamSettings {
    std::string name = "upstream";
    std::uint32_t slots = 3;
    std::size_t queueLength = 16;
    Duration serviceTime = std::chrono::milliseconds(5); ///< Mean of an exponential distribution.
    Duration coldStart{}; ///< Time after the start in which executions take longer.
    double coldStartFactor = 5.0; ///< Factor of the service time during the cold start.
};

struct FakeWork {
    WorkId id = 0;
    std::string key; ///< Identity of the call, by which executions are counted.
    std::string workKind;
    TimePoint deadline = TimePoint::max();
};

struct FakeReply {
    WorkId id = 0;
    FakeReplyKind kind = FakeReplyKind::Answer;
};

/** Executions of one key. */
struct FakeExecutions {
    std::string workKind;
    std::uint32_t started = 0;
    std::uint32_t completed = 0;
};

struct FakeUpstreamCounts {
    std::uint64_t arrived = 0;
    std::uint64_t started = 0;
    std::uint64_t completed = 0;
    std::uint64_t cancelled = 0; ///< The requester disconnected while the work ran or was queued.
    std::uint64_t shed = 0;
    std::uint64_t expired = 0;
    std::uint64_t arrivedWhileDraining = 0;
    Duration lastArrivalAfterDrain{}; ///< From the start of draining to the latest arrival.
};

struct FakeExecution {
    FakeWork work;
    TimePoint finishAt;
};

struct FakeUpstreamState {
    FakeUpstreamSettings settings;
    TimePoint startedAt;
    FakeFault fault = FakeFault::None;
    double slowFactor = 1.0; ///< Factor of the service time of work that starts after the change.
    std::optional<TimePoint> drainingSince;
    std::deque<FakeWork> queue;
    std::map<WorkId, FakeExecution> running;
    FakeUpstreamCounts counts;
    std::unordered_map<std::string, FakeExecutions> executions;
};

using FakeReplies = std::vector<FakeReply>;

/** Starts, queues or refuses @p work. */
void receiveWork(FakeUpstreamState &state, const FakeWork &work, TimePoint now, std::mt19937_64 &random, FakeReplies &replies);
/** Finishes work whose service time has passed, then starts queued work. */
void advance(FakeUpstreamState &state, TimePoint now, std::mt19937_64 &random, FakeReplies &replies);
/** Drops the work of a requester that disconnected. It is never completed, but counts as executed if it was started. */
void cancel(FakeUpstreamState &state, WorkId id);
/** Starts or ends draining. */
void setDraining(FakeUpstreamState &state, bool isDraining, TimePoint now);
/** Returns when advance() must be called next, or nothing if it need not be. */
std::optional<TimePoint> nextWakeUp(const FakeUpstreamState &state);

}
