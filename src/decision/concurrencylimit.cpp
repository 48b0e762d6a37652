#include "decision/concurrencylimit.h"

#include <algorithm>

namespace Plantainweir {
namespace {

constexpr double IncreasePerSuccess = 0.5;
constexpr double DecreaseWhenSlow = 0.9;

void clampLimit(ConcurrencyLimit &limit)
{
    limit.limit = std::clamp(limit.limit, 1.0, static_cast<double>(std::max<std::uint32_t>(limit.slots, 1)));
}

}

ConcurrencyLimit fullLimit(std::uint32_t slots)
{
    return {.limit = static_cast<double>(slots), .slots = slots};
}

ConcurrencyLimit slowStart(std::uint32_t slots)
{
    return {.limit = 1.0, .slots = slots};
}

std::uint32_t allowedCalls(const ConcurrencyLimit &limit)
{
    return static_cast<std::uint32_t>(limit.limit);
}

void recordSuccess(ConcurrencyLimit &limit, bool isSlow)
{
    limit.limit = isSlow ? limit.limit * DecreaseWhenSlow : limit.limit + IncreasePerSuccess / limit.limit;
    clampLimit(limit);
}

void recordShed(ConcurrencyLimit &limit, std::uint32_t inFlight)
{
    limit.limit = std::min(limit.limit, static_cast<double>(inFlight));
    clampLimit(limit);
}

void changeSlots(ConcurrencyLimit &limit, std::uint32_t slots)
{
    const bool wasFull = limit.limit >= static_cast<double>(limit.slots);
    limit.slots = slots;
    if (wasFull) {
        limit.limit = static_cast<double>(slots);
    }
    clampLimit(limit);
}

}
