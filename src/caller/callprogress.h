#pragma once

#include "core/outcome.h"
#include "core/time.h"
#include "core/uuidv7.h"
#include "core/work.h"

#include <cstdint>
#include <string>
#include <vector>

/**
 * Decisions of a caller after each try of a call: finish, or retry with the same key or a new one.
 *
 * Free of side effects; docs/CALLERS.md describes the same rules.
 */
namespace Plantainweir {

/** Reason for an outcome that no entry VM reported, so that the caller determines it itself. */
enum class CallerReason {
    NoDirectory, ///< No entry VM gave a directory answer in time.
    ConnectFailed, ///< No entry VM could be connected to.
    ConnectionLost, ///< The connection was lost or a try timed out after sending, and no try is left.
    DeadlinePassed, ///< The deadline of the call passed.
    NoOutcome, ///< The response does not carry an outcome.
};

constexpr std::array<EnumName<CallerReason>, 5> enumNames(CallerReason)
{
    return {{
        {CallerReason::NoDirectory, "caller_no_directory"},
        {CallerReason::ConnectFailed, "caller_connect_failed"},
        {CallerReason::ConnectionLost, "caller_connection_lost"},
        {CallerReason::DeadlinePassed, "caller_deadline_passed"},
        {CallerReason::NoOutcome, "caller_no_outcome"},
    }};
}
static_assert(isEnumTableOrdered<CallerReason>());

/** How one try at one entry VM ended. */
enum class TryOutcome {
    NotSent, ///< No byte was sent.
    NoResponse, ///< Sent, but the connection was lost or the try timed out before the complete response arrived.
    Replied, ///< A complete response was received.
};

struct TryResult {
    TryOutcome outcome = TryOutcome::NotSent;
    CallOutcome callOutcome = CallOutcome::Unknown; ///< Of the response, if the outcome is Replied.
    std::string reason; ///< Of the response, if the outcome is Replied.
};

/** State of a call that has no outcome yet. */
struct CallProgress {
    Repeatability repeatability = Repeatability::AtMostOnce;
    UuidV7 key; ///< Identifies the call; sent as its idempotency key if it must run at most once.
    std::string keyOwner;
    std::vector<UuidV7> earlierKeys; ///< Keys of earlier tries; for at-most-once work only keys under which no entry VM ran the call.
    std::uint32_t tries = 0;
    bool mayHaveArrived = false; ///< Whether some try of @ref key may have reached an entry VM.
    bool mayHaveRun = false; ///< Whether some try, with any key, may have run the call or may still run it.
    TimePoint deadline;
};

enum class NextStep {
    Finish,
    RetrySameKey, ///< At another entry VM, with the same key and key owner.
    RetryNewKey, ///< At another entry VM, as a new call.
};

struct CallDecision {
    NextStep step = NextStep::Finish;
    CallOutcome outcome = CallOutcome::Unknown; ///< Set if the call is finished.
    std::string reason; ///< Set if the call is finished: a name of RefusalReason, UnknownReason or CallerReason; empty if answered.
};

/** Records the result of a try in @p progress and decides the next step; a call gets at most @p maximumTries tries. */
CallDecision decideAfterTry(CallProgress &progress, const TryResult &result, std::uint32_t maximumTries, TimePoint now);

}
