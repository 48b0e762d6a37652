#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>

/** Knows which calls of a service at one entry VM are less urgent than others, so that scarce room goes to those first. */
namespace Plantainweir {

/** The priorities of the calls of one service. */
struct Urgency {
    std::map<std::uint32_t, TimePoint> seenAt; ///< Time of the last call of each priority.
};

/** Records a call of @p priority; zero is the highest. */
void recordPriority(Urgency &urgency, std::uint32_t priority, TimePoint now);

/** Returns whether calls of a higher priority came lately. */
bool isLessUrgent(const Urgency &urgency, std::uint32_t priority, TimePoint now);

}
