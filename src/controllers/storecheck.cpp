#include "controllers/storecheck.h"

#include <algorithm>

namespace Plantainweir {
namespace {

WatchFinding findingOf(const ChangesAnswer &answer, const StoreRevision &watched, ReadConsistency consistency)
{
    if (answer.revision.era != watched.era) {
        return answer.revision.era < watched.era ? WatchFinding::Unproven : WatchFinding::Missed;
    }
    if (answer.outcome == StoreReadOutcome::RevisionGone) {
        // A stale answer may come from before the revision, a consistent one has lost the changes after it.
        return consistency == ReadConsistency::Consistent ? WatchFinding::Missed : WatchFinding::Unproven;
    }
    if (answer.hasChanges) {
        return WatchFinding::Missed;
    }
    return answer.revision < watched ? WatchFinding::Unproven : WatchFinding::Complete;
}

}

void adoptAnswer(StoreCheck &check, const ChangesAnswer &answer)
{
    const auto asked = std::find_if(check.watches.begin(), check.watches.end(), [&check](const CheckedWatch &checked) {
        return checked.watch.kind == check.asked;
    });
    check.asked.reset();
    check.era = std::max(check.era, answer.revision.era);
    if (asked == check.watches.end()) {
        return;
    }
    asked->finding = findingOf(answer, std::max(asked->watch.revision, asked->watch.completeUntil), check.consistency);
    asked->completeUntil = answer.revision;
    for (auto next = asked + 1; next != check.watches.end(); ++next) {
        if (answer.outcome == StoreReadOutcome::Page && answer.revision == std::max(next->watch.revision, next->watch.completeUntil)) {
            next->finding = WatchFinding::Complete;
            next->completeUntil = answer.revision;
        } else if (next->watch.isDue) {
            check.asked = next->watch.kind;
            return;
        }
    }
}

bool needsConsistentAnswer(const StoreCheck &check)
{
    return check.consistency == ReadConsistency::Stale && std::any_of(check.watches.begin(), check.watches.end(), [](const CheckedWatch &checked) {
               return checked.watch.isDue && checked.finding == WatchFinding::Unproven;
           });
}

ReadConsistency consistencyOfNextCheck(const StoreCheckPace &pace, std::optional<TimePoint> verifiedAt, TimePoint now)
{
    // The check that is closest to the end of the period verifies.
    const bool isDue = !verifiedAt || now + pace.period / 2 > *verifiedAt + pace.verificationPeriod;
    return isDue ? ReadConsistency::Consistent : ReadConsistency::Stale;
}

}
