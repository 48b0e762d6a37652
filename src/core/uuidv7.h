#pragma once

#include "core/time.h"

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

/** UUIDs of version 7 (RFC 9562, section 5.7), which carry the time of their birth; idempotency keys are such UUIDs. */
namespace Plantainweir {

/** A UUID of version 7; compares in the order of its bytes, which is the order of birth by millisecond. */
struct UuidV7 {
    std::array<std::uint8_t, 16> bytes{};
    auto operator<=>(const UuidV7 &) const = default;
};

/**
 * Makes a UUID that is born at @p now.
 *
 * Takes its 74 random bits from @p random, which the program seeds from std::random_device and a test from a number.
 */
UuidV7 makeUuidV7(UnixMilliseconds now, std::mt19937_64 &random);

/** Reads the 36 letters `xxxxxxxx-xxxx-7xxx-[89ab]xxx-xxxxxxxxxxxx`, in either case; returns nothing for other text. */
std::optional<UuidV7> parseUuidV7(std::string_view text);

/** Writes @p uuid in lower case as parseUuidV7() reads it; equal UUIDs have equal texts. */
std::string toString(const UuidV7 &uuid);

/** Returns when @p uuid was born, by the clock of whoever made it. */
UnixMilliseconds timestampOf(const UuidV7 &uuid);

}
