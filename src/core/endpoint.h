#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace Plantainweir {

/** An IP address and a port. */
struct Endpoint {
    std::string address; ///< Numeric IPv4 or IPv6 address, never a host name.
    std::uint16_t port = 0;
    auto operator<=>(const Endpoint &) const = default;
};

/** Parses `IP:port` or `[IPv6]:port`; returns nothing for other text. */
std::optional<Endpoint> parseEndpoint(const std::string &text);

/** Formats @p endpoint in the form that parseEndpoint() accepts. */
std::string toString(const Endpoint &endpoint);

}
