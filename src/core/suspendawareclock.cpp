#include "core/suspendawareclock.h"

#include <ctime>

namespace Plantainweir {

TimePoint suspendAwareNow()
{
    timespec time{};
    if (::clock_gettime(CLOCK_BOOTTIME, &time) != 0) {
        return Clock::now();
    }
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

}
