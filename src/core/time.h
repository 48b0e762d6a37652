#pragma once

#include <chrono>

/** Time types. Decision code never reads a clock: functions that need the time have a parameter `now`, and state stores deadlines. */
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
