#pragma once

#include "core/enumnames.h"
#include "core/message.h"
#include "core/time.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/**
 * The key book: what one incarnation of entryd knows of the idempotency keys that are bound to it.
 *
 * A key runs only if its book has no record of it, so that it runs at most once however often and wherever the caller
 * repeats it. Records are kept until a key of that birth is not accepted any more; an older key is never run. All
 * times are wall-clock times of this process alone, which the task derives from the monotonic clock so that they
 * never step back.
 */
namespace Plantainweir {

/** The answer of a finished run. */
using StoredResponse = std::shared_ptr<const ResponseMessage>;

/** Names one request that waits for the outcome of a key. */
using WaiterId = std::uint64_t;

struct IdempotencyLimits {
    std::chrono::milliseconds maximumKeyAge{std::chrono::minutes(2)}; ///< Older keys are never run.
    std::chrono::milliseconds maximumClockSkew{std::chrono::seconds(30)}; ///< Keys may be born this far in the future.
    std::size_t maximumBytes = 128 * 1024 * 1024; ///< Of all records and answers.
};

enum class IdempotencyRecordState {
    Running,
    Finished, ///< The answer is kept.
    Unknown, ///< The run may have happened; the caller is told so as long as the key is remembered.
};

struct IdempotencyRecord {
    IdempotencyRecordState state = IdempotencyRecordState::Running;
    UnixMilliseconds expiresAt; ///< From then on the key is too old to be accepted.
    std::vector<WaiterId> waiters;
    StoredResponse answer; ///< Set if finished.
};

struct IdempotencyTable {
    struct Expiry {
        UnixMilliseconds at;
        std::string key;
        auto operator<=>(const Expiry &) const = default;
    };

    IdempotencyLimits limits;
    std::unordered_map<std::string, IdempotencyRecord> records;
    std::set<Expiry> expiries; ///< One for each record.
    std::size_t bytes = 0;
};

/** What to do with a request that carries a key. */
enum class KeyDecision {
    Run, ///< The first request of this key: run it, then call one of the finish functions.
    Wait, ///< The key runs; the waiter hears its outcome.
    Replay, ///< The key has finished; send the kept answer.
    Unknown, ///< The key may have run; never run it.
    Expired, ///< The key is too old to be known; never run it.
    TimestampInFuture, ///< The key is born further in the future than clocks may differ; it was not run.
    Full, ///< No memory for another key; it was not run.
};

constexpr std::array<EnumName<KeyDecision>, 7> enumNames(KeyDecision)
{
    return {{
        {KeyDecision::Run, "run"},
        {KeyDecision::Wait, "wait"},
        {KeyDecision::Replay, "replay"},
        {KeyDecision::Unknown, "unknown"},
        {KeyDecision::Expired, "expired"},
        {KeyDecision::TimestampInFuture, "not_yet_born"},
        {KeyDecision::Full, "full"},
    }};
}
static_assert(isEnumTableOrdered<KeyDecision>());

struct KeyAdmission {
    KeyDecision decision = KeyDecision::Full;
    StoredResponse answer; ///< Set with KeyDecision::Replay.
};

/** Decides on a request by @p waiter with @p key, born at @p birth; records it if it shall run or wait. */
KeyAdmission admitKey(IdempotencyTable &table, const std::string &key, UnixMilliseconds timestamp, WaiterId waiter, UnixMilliseconds now);

/** The run ended with @p answer, kept from now on. Returns the waiters, the first one being that which ran it. */
std::vector<WaiterId> finishKey(IdempotencyTable &table, const std::string &key, StoredResponse answer);

/** The run may have happened. Returns the waiters. */
std::vector<WaiterId> finishKeyUnknown(IdempotencyTable &table, const std::string &key);

/** The call was certainly not run: forgets the key, so that it may be tried again. Returns the waiters. */
std::vector<WaiterId> eraseKey(IdempotencyTable &table, const std::string &key);

/** Removes @p waiter, who has gone. Returns whether the key still has a waiter. */
bool removeWaiter(IdempotencyTable &table, const std::string &key, WaiterId waiter);

/** Forgets the records whose keys are too old to be accepted; running ones are kept. */
void eraseExpired(IdempotencyTable &table, UnixMilliseconds now);

}
