#pragma once

#include "core/enumnames.h"
#include "core/time.h"

#include <set>
#include <string>
#include <vector>

/**
 * What is known about the cold start of an upstream whose calls are limited meanwhile.
 *
 * A cold upstream bears a few calls a second from the whole fleet, and fails beyond that. Its registration and its answers to
 * probes tell how long it stays cold. It may become cold again at any moment, so that an answer counts only for a short time.
 * Free functions over a plain struct; the time is a parameter.
 */
namespace Plantainweir {

enum class Coldness {
    Warm,
    Cold, ///< Each call needs a credit of the limit that the fleet shares.
    Unknown, ///< There is no recent answer to a probe, so no call may be sent.
};

constexpr std::array<EnumName<Coldness>, 3> enumNames(Coldness)
{
    return {{
        {Coldness::Warm, "warm"},
        {Coldness::Cold, "cold"},
        {Coldness::Unknown, "unknown"},
    }};
}
static_assert(isEnumTableOrdered<Coldness>());

struct ColdStart {
    TimePoint coldUntil; ///< End of the cold start, as told last.
    TimePoint toldAt; ///< When the last probe was sent that was answered; the epoch if none was.
    TimePoint creditRetryAt; ///< No credit for calls to the upstream is requested before this time.
};

/** Records a registration that says that the upstream is cold until @p coldUntil. It may be older than the last answer. */
void recordRegistration(ColdStart &start, TimePoint coldUntil);

/**
 * Records the answer to a probe that was sent at @p probedAt: the upstream stays cold for @p coldTime.
 *
 * The answer is as old as its probe, because it may have been given at any time since then. It is ignored if a later probe has
 * been answered.
 */
void recordAnswer(ColdStart &start, Duration coldTime, TimePoint probedAt, TimePoint now);

Coldness coldnessOf(const ColdStart &start, TimePoint now);

/** Upstreams that became cold or warm, by id in order. */
struct ColdChanges {
    std::vector<std::string> cold;
    std::vector<std::string> warm; ///< Those that are warm or gone.
    bool operator==(const ColdChanges &) const = default;
};

/** Returns what differs between the cold upstreams @p before and @p now. */
ColdChanges coldChanges(const std::set<std::string> &before, const std::set<std::string> &now);

}
