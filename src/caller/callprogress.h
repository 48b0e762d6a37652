#pragma once

#include "core/outcome.h"
#include "core/time.h"
#include "core/uuidv7.h"
#include "core/work.h"

#include <cstdint>
#include <string>
#include <vector>

/**
 * What a caller decides after each try of a call: finish, or try again with the same key or a new one.
 *
 * Pure; docs/CALLERS.md describes the same rules in words.
 */
namespace Plantainweir {

/** Why a caller itself knows the outcome of a call, without a word of an entry VM. */
enum class CallerReason {
    NoDirectory, ///< No entry VM gave a directory answer in time.
    ConnectFailed, ///< No entry VM could be connected to.
    ConnectionLost, ///< The connection was lost after sending, and no try is left.
    DeadlinePassed, ///< The call's time was over.
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
    NotSent, ///< No byte left.
    Lost, ///< Sent; the connection was lost or the try's time was over before the whole response.
    Replied, ///< The whole response came.
};

struct TryResult {
    TryOutcome outcome = TryOutcome::NotSent;
    CallOutcome callOutcome = CallOutcome::Unknown; ///< Of the response, if replied.
    std::string reason; ///< Of the response, if replied.
};

/** What is known of a call that has no outcome yet. */
struct CallProgress {
    Repeatability repeatability = Repeatability::AtMostOnce;
    UuidV7 key; ///< Names the call; sent as its idempotency key if it must run at most once.
    std::string keyOwner;
    std::vector<UuidV7> earlierKeys; ///< Keys of earlier tries; of at-most-once work only those that no entry VM ran.
    std::uint32_t tries = 0;
    bool mayHaveArrived = false; ///< Whether some try of @ref key may have reached an entry VM.
    TimePoint deadline;
};

enum class NextStep {
    Finish,
    RetrySameKey, ///< At another entry VM, with the same key and the same key owner.
    RetryNewKey, ///< At another entry VM, as if the call had never been tried.
};

struct CallDecision {
    NextStep step = NextStep::Finish;
    CallOutcome outcome = CallOutcome::Unknown; ///< If finished.
    std::string reason; ///< If finished: a word of RefusalReason, UnknownReason or CallerReason; empty if answered.
};

/** Takes the end of a try into @p progress and decides; @p maximumTries bounds the tries of a call. */
CallDecision decideAfterTry(CallProgress &progress, const TryResult &result, std::uint32_t maximumTries, TimePoint now);

}
