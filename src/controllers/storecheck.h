#pragma once

#include "controllers/storeobject.h"
#include "core/time.h"

#include <optional>
#include <vector>

/**
 * Checks that the store answers, and that the watches that wait for its changes have missed none.
 *
 * The answer to a watch may be lost, and its connection then stays silent, while the store answers on every other one. A
 * check therefore asks on another connection for the changes since the revision from which a watch waits, and does not
 * wait for them. Only such an answer can show that the watch has missed something. A stale answer costs a tenth of a
 * consistent one, but may be seconds old.
 *
 * A pure step function without I/O; StoreCheckTask runs it. All times are suspend-aware (core/suspendawareclock.h).
 */
namespace Plantainweir {

/** A watch that waits for the changes of a kind after a revision. */
struct WaitingWatch {
    StoreObjectKind kind = StoreObjectKind::Configuration;
    StoreRevision revision;
    StoreRevision completeUntil; ///< Newest revision of the store up to which a check found nothing missing.
    TimePoint since; ///< When it was sent.
    bool isDue = true; ///< Whether the check asks about it. Otherwise it is only confirmed if the answers about others do so.
    bool operator==(const WaitingWatch &) const = default;
};

/** What a check found out about a watch. */
enum class WatchFinding {
    Unproven, ///< The answer is too old, or does not reach back to the revision of the watch.
    Complete, ///< There was no change for the watch to report.
    Missed, ///< The store has a change that the watch has not reported, or is in a later era.
};

constexpr std::array<EnumName<WatchFinding>, 3> enumNames(WatchFinding)
{
    return {{
        {WatchFinding::Unproven, "unproven"},
        {WatchFinding::Complete, "complete"},
        {WatchFinding::Missed, "missed"},
    }};
}
static_assert(isEnumTableOrdered<WatchFinding>());

struct CheckedWatch {
    WaitingWatch watch;
    WatchFinding finding = WatchFinding::Unproven;
    StoreRevision completeUntil; ///< If complete: the revision of the store when it answered.
};

/** One check; it asks about one watch after the other. */
struct StoreCheck {
    ReadConsistency consistency = ReadConsistency::Stale;
    TimePoint startedAt;
    TimePoint deadline; ///< Of the whole check, on Clock.
    std::vector<CheckedWatch> watches; ///< Those that waited when the check started.
    std::optional<StoreObjectKind> asked; ///< The kind whose changes the call in flight asks for.
    std::uint64_t era = 0; ///< Newest era of the store that an answer has shown.
};

/** Answer to the question for the changes of the kind that was asked for. */
struct ChangesAnswer {
    StoreReadOutcome outcome = StoreReadOutcome::Failed;
    StoreRevision revision; ///< Of the store when it answered.
    bool hasChanges = false;
};

/**
 * Adopts @p answer, which must not have failed, and sets StoreCheck::asked to the kind to ask for next, or to nothing if the
 * check has ended. A watch that is known to be complete up to the store's own revision is not asked about, because there is
 * nothing to report; nor is one that is not due.
 */
void adoptAnswer(StoreCheck &check, const ChangesAnswer &answer);

/** Returns whether a stale answer left a watch that is due unproven, so that a consistent one is needed. */
bool needsConsistentAnswer(const StoreCheck &check);

/** How often a member that reads the store checks it. */
struct StoreCheckPace {
    Duration period{}; ///< Interval between checks.
    Duration verificationPeriod{}; ///< Interval between consistent answers. Stale ones may hide a change for that long.
    bool operator==(const StoreCheckPace &) const = default;
};

/**
 * Returns how the store is to be asked now so that consistent answers come in the intervals of @p pace, to within half a period.
 * @param verifiedAt is as of when consistent answers have confirmed the objects, if they have.
 */
ReadConsistency consistencyOfNextCheck(const StoreCheckPace &pace, std::optional<TimePoint> verifiedAt, TimePoint now);

}
