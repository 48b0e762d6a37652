#include "decision/recentcount.h"

#include <cmath>

namespace Plantainweir {
namespace {

constexpr std::chrono::seconds TimeConstant{10};

}

void add(RecentCount &recent, TimePoint now)
{
    recent.count = countAt(recent, now) + 1.0;
    recent.updatedAt = now;
}

double countAt(const RecentCount &recent, TimePoint now)
{
    return recent.count * std::exp(-toMilliseconds(now - recent.updatedAt) / toMilliseconds(TimeConstant));
}

double perSecondAt(const RecentCount &recent, TimePoint now)
{
    return countAt(recent, now) / std::chrono::duration<double>(TimeConstant).count();
}

}
