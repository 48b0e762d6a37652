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
 * The idempotency table of one incarnation of entryd, with a record for each key that this incarnation owns.
 *
 * A call runs only if the table has no record of its key, so it runs at most once, no matter how often or through which
 * entry VM the caller repeats it. A record is stored until its key is too old to be accepted; a call with an older key
 * never runs. All times are wall-clock times of this process, which the task derives from the monotonic clock so that
 * they never go backwards.
 */
namespace Plantainweir {

/** The response of a finished call, stored for repetitions of its key. */
using StoredResponse = std::shared_ptr<const ResponseMessage>;

/** Identifies one request that waits for the outcome of a key. */
using WaiterId = std::uint64_t;

struct IdempotencyLimits {
    std::chrono::milliseconds maximumKeyAge{std::chrono::minutes(2)}; ///< Calls with older keys never run.
    std::chrono::milliseconds maximumClockSkew{std::chrono::seconds(30)}; ///< How far the timestamp of a key may lie in the future.
    std::size_t maximumBytes = 128 * 1024 * 1024; ///< Memory of all records and responses.
};

enum class IdempotencyRecordState {
    Running,
    Finished, ///< The response is stored.
    Unknown, ///< The call may have run; repetitions get this outcome until the record expires.
};

struct IdempotencyRecord {
    IdempotencyRecordState state = IdempotencyRecordState::Running;
    UnixMilliseconds expiresAt; ///< Time from which the key is too old to be accepted.
    std::vector<WaiterId> waiters;
    StoredResponse answer; ///< Set in state Finished.
};

struct IdempotencyTable {
    struct Expiry {
        UnixMilliseconds at;
        std::string key;
        auto operator<=>(const Expiry &) const = default;
    };

    IdempotencyLimits limits;
    std::unordered_map<std::string, IdempotencyRecord> records;
    std::set<Expiry> expiries; ///< One entry for each record.
    std::size_t bytes = 0; ///< Approximate memory of all records and responses.
};

/** Decision on a request that carries an idempotency key. */
enum class KeyDecision {
    Run, ///< The first request with this key: run it, then call finishKey(), finishKeyUnknown() or eraseKey().
    Wait, ///< A call with this key is running; the request waits for its outcome.
    Replay, ///< The call has finished; send the stored response.
    Unknown, ///< The call may have run and must not run again.
    Expired, ///< The key is too old to have a record; the call may have run and must not run again.
    TimestampInFuture, ///< The timestamp of the key exceeds the maximum clock skew; the call was not run.
    Full, ///< The table has no memory for another key; the call was not run.
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
    StoredResponse answer; ///< Set if the decision is Replay.
};

/** Decides on the request @p waiter with @p key, whose time is @p timestamp, and records it if the decision is Run or Wait. */
KeyAdmission admitKey(IdempotencyTable &table, const std::string &key, UnixMilliseconds timestamp, WaiterId waiter, UnixMilliseconds now);

/** Stores @p answer as the outcome of @p key. Returns the waiting requests; the first one started the call. */
std::vector<WaiterId> finishKey(IdempotencyTable &table, const std::string &key, StoredResponse answer);

/** Records that the call of @p key may have run. Returns the waiting requests. */
std::vector<WaiterId> finishKeyUnknown(IdempotencyTable &table, const std::string &key);

/** Erases the record of a call that certainly did not run, so that its key may be used again. Returns the waiting requests. */
std::vector<WaiterId> eraseKey(IdempotencyTable &table, const std::string &key);

/** Removes @p waiter, whose caller has disconnected. Returns whether other requests wait for the key. */
bool removeWaiter(IdempotencyTable &table, const std::string &key, WaiterId waiter);

/** Erases the records whose keys are too old to be accepted, except those of running calls. */
void eraseExpired(IdempotencyTable &table, UnixMilliseconds now);

}
