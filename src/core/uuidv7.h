#pragma once

#include "core/time.h"

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

/** UUIDs of version 7 (RFC 9562, section 5.7), which contain a timestamp; idempotency keys are such UUIDs. */
namespace Plantainweir {

/** A UUID of version 7; compares by its bytes and so by its timestamp in milliseconds. */
struct UuidV7 {
    std::array<std::uint8_t, 16> bytes{};
    auto operator<=>(const UuidV7 &) const = default;
};

/**
 * Makes a UUID with the timestamp @p now.
 *
 * Its 74 random bits are from @p random, which programs seed from std::random_device and tests from a constant.
 */
UuidV7 makeUuidV7(UnixMilliseconds now, std::mt19937_64 &random);

/** Parses the 36 characters `xxxxxxxx-xxxx-7xxx-[89ab]xxx-xxxxxxxxxxxx`, in either case; returns nothing for other text. */
std::optional<UuidV7> parseUuidV7(std::string_view text);

/** Formats @p uuid in lower case in the form that parseUuidV7() accepts; equal UUIDs have equal texts. */
std::string toString(const UuidV7 &uuid);

/** Returns the timestamp of @p uuid, which is from the clock of the process that made it. */
UnixMilliseconds timestampOf(const UuidV7 &uuid);

}
