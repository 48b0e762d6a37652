#include "decision/urgency.h"

#include <algorithm>

namespace Plantainweir {
namespace {

/** Long enough for priorities of which an entry VM gets a call only now and then. */
constexpr std::chrono::seconds PriorityMemory{20};
/** The configuration names few priorities; more are of no use here. */
constexpr std::size_t MaximumPriorities = 64;

}

void recordPriority(Urgency &urgency, std::uint32_t priority, TimePoint now)
{
    std::erase_if(urgency.seenAt, [now](const auto &row) {
        return now - row.second > PriorityMemory;
    });
    if (urgency.seenAt.size() < MaximumPriorities || urgency.seenAt.contains(priority)) {
        urgency.seenAt[priority] = now;
    }
}

bool isLessUrgent(const Urgency &urgency, std::uint32_t priority, TimePoint now)
{
    return std::any_of(urgency.seenAt.begin(), urgency.seenAt.lower_bound(priority), [now](const auto &row) {
        return now - row.second <= PriorityMemory;
    });
}

}
