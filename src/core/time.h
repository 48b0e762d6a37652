#pragma once

#include <chrono>

/** Time types. Decisions never read a clock: each function that needs the time takes `now`, and state stores deadlines. */
namespace Plantainweir {

/** The monotonic clock of all deadlines inside one process. */
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = std::chrono::nanoseconds;

/** Wall-clock time in milliseconds since the Unix epoch; used only in idempotency keys and logs. */
using UnixMilliseconds = std::chrono::sys_time<std::chrono::milliseconds>;

/** Returns @p duration in fractional milliseconds. */
constexpr double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/** Returns @p milliseconds as a Duration. */
constexpr Duration fromMilliseconds(double milliseconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

}
