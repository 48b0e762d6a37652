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

/** The decisions of a fake upstream: slots, a bounded queue, faults and the count of executions. No sockets, no clock. */
namespace Plantainweir {

/** Names one request at one fake upstream. */
using WorkId = std::uint64_t;

/** How a fake upstream misbehaves until told otherwise. */
enum class FakeFault {
    None,
    Shed, ///< Answers "not run" to all new work.
    FailFast, ///< Answers all new work with a server error at once; counted as executed.
    Stall, ///< Starts work and finishes none until the fault ends.
    FalseLoad, ///< Reports neither busy slots nor a queue.
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

/** What the requester gets. */
enum class FakeReplyKind {
    Answer,
    ServerError,
    ShedNotRun, ///< Refused for load or by a fault; not executed.
    ExpiredNotRun, ///< The deadline passed before a slot was free; not executed.
    Close, ///< The connection is closed without an answer.
    CloseInAnswer, ///< The connection is closed after a part of the answer.
};

struct FakeUpstreamSettings {
    std::string name = "upstream";
    std::uint32_t slots = 3;
    std::size_t queueLength = 16;
    Duration serviceTime = std::chrono::milliseconds(5); ///< Mean of an exponential distribution.
    Duration coldStart{}; ///< How long after its start the upstream is slower.
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
    std::uint64_t cancelled = 0; ///< The requester went away while the work ran or waited.
    std::uint64_t shed = 0;
    std::uint64_t expired = 0;
    std::uint64_t arrivedWhileDraining = 0;
    Duration lastArrivalAfterDrain{}; ///< From the start of draining to the newest arrival.
};

struct FakeExecution {
    FakeWork work;
    TimePoint finishAt;
};

struct FakeUpstreamState {
    FakeUpstreamSettings settings;
    TimePoint startedAt;
    FakeFault fault = FakeFault::None;
    double slowFactor = 1.0; ///< Factor of the service time of work that starts from now on.
    std::optional<TimePoint> drainingSince;
    std::deque<FakeWork> queue;
    std::map<WorkId, FakeExecution> running;
    FakeUpstreamCounts counts;
    std::unordered_map<std::string, FakeExecutions> executions;
};

using FakeReplies = std::vector<FakeReply>;

/** Takes @p work in: starts, queues or refuses it. */
void receiveWork(FakeUpstreamState &state, const FakeWork &work, TimePoint now, std::mt19937_64 &random, FakeReplies &replies);
/** Finishes work whose time has come and starts queued work. */
void advance(FakeUpstreamState &state, TimePoint now, std::mt19937_64 &random, FakeReplies &replies);
/** Drops the work of a requester that went away; it is not finished, and counts as executed if it was started. */
void cancel(FakeUpstreamState &state, WorkId id);
/** Starts or ends draining. */
void setDraining(FakeUpstreamState &state, bool isDraining, TimePoint now);
/** Returns when advance() is due next, or nothing. */
std::optional<TimePoint> nextWakeUp(const FakeUpstreamState &state);

}
