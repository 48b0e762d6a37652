#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace Plantainweir {

/** An address by IP number. */
struct Endpoint {
    std::string address; ///< IPv4 or IPv6 number, never a name.
    std::uint16_t port = 0;
    auto operator<=>(const Endpoint &) const = default;
};

/** Reads `IP:port` or `[IPv6]:port`; returns nothing for other text. */
std::optional<Endpoint> parseEndpoint(const std::string &text);

/** Writes @p endpoint as parseEndpoint() reads it. */
std::string toString(const Endpoint &endpoint);

}
