#pragma once

#include "core/time.h"

/** Counts of recent events that decay exponentially. */
namespace Plantainweir {

/** A count of the events of about the last ten seconds. */
struct RecentCount {
    double count = 0.0; ///< At updatedAt.
    TimePoint updatedAt;
};

/** Counts one event. */
void add(RecentCount &recent, TimePoint now);

/** Returns the count at the time @p now. */
double countAt(const RecentCount &recent, TimePoint now);

/** Returns the rate of the events at the time @p now. */
double perSecondAt(const RecentCount &recent, TimePoint now);

}
