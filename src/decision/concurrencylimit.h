#pragma once

#include <cstdint>

/** The learnt number of calls that an upstream runs well at the same time, from one up to its slots. */
namespace Plantainweir {

struct ConcurrencyLimit {
    double limit = 1.0;
    std::uint32_t slots = 1; ///< From the inventory; the limit stays at or below it.
};

/** Returns a limit of all slots, for an upstream that is known to be warm. */
ConcurrencyLimit fullLimit(std::uint32_t slots);

/** Returns a limit of one call that grows with each success: slow start. */
ConcurrencyLimit slowStart(std::uint32_t slots);

/** Returns the calls that may run at the same time, at least one. */
std::uint32_t allowedCalls(const ConcurrencyLimit &limit);

/** Raises the limit after a success; @p isSlow (latency well above the peers') lowers it instead. */
void recordSuccess(ConcurrencyLimit &limit, bool isSlow);

/** Lowers the limit after the upstream shed a call while @p inFlight others ran. */
void recordShed(ConcurrencyLimit &limit, std::uint32_t inFlight);

/** Takes over a new number of slots from the inventory. */
void changeSlots(ConcurrencyLimit &limit, std::uint32_t slots);

}
