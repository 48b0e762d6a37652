#include "decision/coldstart.h"

#include <algorithm>
#include <iterator>

namespace Plantainweir {
namespace {

/** Age up to which the answer to a probe tells whether an upstream is cold. */
constexpr std::chrono::milliseconds MaximumAnswerAge{150};
/** Longest cold start that an upstream can claim; a longer one is cut to this. */
constexpr std::chrono::minutes MaximumColdTime{5};

}

void recordRegistration(ColdStart &start, TimePoint coldUntil)
{
    start.coldUntil = std::max(start.coldUntil, coldUntil);
}

void recordAnswer(ColdStart &start, Duration coldTime, TimePoint probedAt, TimePoint now)
{
    if (probedAt < start.toldAt) {
        return;
    }
    start.coldUntil = now + std::clamp(coldTime, Duration(0), Duration(MaximumColdTime));
    start.toldAt = probedAt;
}

Coldness coldnessOf(const ColdStart &start, TimePoint now)
{
    if (start.toldAt == TimePoint{} || now - start.toldAt > MaximumAnswerAge) {
        return Coldness::Unknown;
    }
    return start.coldUntil > now ? Coldness::Cold : Coldness::Warm;
}

ColdChanges coldChanges(const std::set<std::string> &before, const std::set<std::string> &now)
{
    ColdChanges changes;
    std::set_difference(now.begin(), now.end(), before.begin(), before.end(), std::back_inserter(changes.cold));
    std::set_difference(before.begin(), before.end(), now.begin(), now.end(), std::back_inserter(changes.warm));
    return changes;
}

}
