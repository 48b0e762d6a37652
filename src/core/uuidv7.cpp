#include "core/uuidv7.h"

#include <cstddef>

namespace Plantainweir {
namespace {

constexpr std::size_t TextLength = 36;
constexpr std::size_t TimestampBytes = 6;
constexpr std::size_t VersionByte = 6;
constexpr std::size_t VariantByte = 8;
constexpr std::uint8_t Version = 0x70;
constexpr std::uint8_t VersionMask = 0xf0;
constexpr std::uint8_t Variant = 0x80;
constexpr std::uint8_t VariantMask = 0xc0;
constexpr std::string_view HexDigits = "0123456789abcdef";

/** Returns whether the text form has a hyphen before byte @p index. */
constexpr bool isAfterHyphen(std::size_t index)
{
    return index == 4 || index == 6 || index == 8 || index == 10;
}

std::optional<std::uint8_t> hexDigitValue(char letter)
{
    if (letter >= '0' && letter <= '9') {
        return static_cast<std::uint8_t>(letter - '0');
    }
    if (letter >= 'a' && letter <= 'f') {
        return static_cast<std::uint8_t>(letter - 'a' + 10);
    }
    if (letter >= 'A' && letter <= 'F') {
        return static_cast<std::uint8_t>(letter - 'A' + 10);
    }
    return std::nullopt;
}

bool isVersion7(const UuidV7 &uuid)
{
    return (uuid.bytes[VersionByte] & VersionMask) == Version && (uuid.bytes[VariantByte] & VariantMask) == Variant;
}

}

UuidV7 makeUuidV7(UnixMilliseconds now, std::mt19937_64 &random)
{
    UuidV7 uuid;
    const auto milliseconds = static_cast<std::uint64_t>(now.time_since_epoch().count());
    for (std::size_t index = 0; index < TimestampBytes; ++index) {
        uuid.bytes[index] = static_cast<std::uint8_t>(milliseconds >> (8 * (TimestampBytes - 1 - index)));
    }
    const std::uint64_t first = random();
    const std::uint64_t second = random();
    for (std::size_t index = TimestampBytes; index < VariantByte; ++index) {
        uuid.bytes[index] = static_cast<std::uint8_t>(first >> (8 * (index - TimestampBytes)));
    }
    for (std::size_t index = VariantByte; index < uuid.bytes.size(); ++index) {
        uuid.bytes[index] = static_cast<std::uint8_t>(second >> (8 * (index - VariantByte)));
    }
    uuid.bytes[VersionByte] = static_cast<std::uint8_t>((uuid.bytes[VersionByte] & ~VersionMask) | Version);
    uuid.bytes[VariantByte] = static_cast<std::uint8_t>((uuid.bytes[VariantByte] & ~VariantMask) | Variant);
    return uuid;
}

std::optional<UuidV7> parseUuidV7(std::string_view text)
{
    if (text.size() != TextLength) {
        return std::nullopt;
    }
    UuidV7 uuid;
    std::size_t position = 0;
    for (std::size_t index = 0; index < uuid.bytes.size(); ++index) {
        if (isAfterHyphen(index) && text[position++] != '-') {
            return std::nullopt;
        }
        const auto high = hexDigitValue(text[position++]);
        const auto low = hexDigitValue(text[position++]);
        if (!high || !low) {
            return std::nullopt;
        }
        uuid.bytes[index] = static_cast<std::uint8_t>((*high << 4) | *low);
    }
    return isVersion7(uuid) ? std::optional(uuid) : std::nullopt;
}

std::string toString(const UuidV7 &uuid)
{
    std::string text;
    text.reserve(TextLength);
    for (std::size_t index = 0; index < uuid.bytes.size(); ++index) {
        if (isAfterHyphen(index)) {
            text.push_back('-');
        }
        text.push_back(HexDigits[uuid.bytes[index] >> 4]);
        text.push_back(HexDigits[uuid.bytes[index] & 0x0f]);
    }
    return text;
}

UnixMilliseconds timestampOf(const UuidV7 &uuid)
{
    std::int64_t milliseconds = 0;
    for (std::size_t index = 0; index < TimestampBytes; ++index) {
        milliseconds = (milliseconds << 8) | uuid.bytes[index];
    }
    return UnixMilliseconds(std::chrono::milliseconds(milliseconds));
}

}
