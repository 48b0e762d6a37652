#pragma once

#include <cstdint>

/** An adaptive limit on the concurrent calls at an upstream, between one and its number of slots. */
namespace Plantainweir {

struct ConcurrencyLimit {
    double limit = 1.0;
    std::uint32_t slots = 1; ///< Upper bound of the limit, from the inventory.
};

/** Returns a limit of all slots, for an upstream that needs no slow start. */
ConcurrencyLimit fullLimit(std::uint32_t slots);

/** Returns a limit of one call that grows with each success: slow start. */
ConcurrencyLimit slowStart(std::uint32_t slots);

/** Returns how many calls may run at the same time, at least one. */
std::uint32_t allowedCalls(const ConcurrencyLimit &limit);

/** Raises the limit after a success, or lowers it if the upstream is slow compared with its peers (@p isSlow). */
void recordSuccess(ConcurrencyLimit &limit, bool isSlow);

/** Lowers the limit to @p inFlight, the other calls in flight, after the upstream shed a call. */
void recordShed(ConcurrencyLimit &limit, std::uint32_t inFlight);

/** Sets a new number of slots from the inventory. */
void changeSlots(ConcurrencyLimit &limit, std::uint32_t slots);

}
