#include "core/endpoint.h"

#include "core/parsenumber.h"

#include <QHostAddress>
#include <QString>
#include <fmt/core.h>

namespace Plantainweir {

std::optional<Endpoint> parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::string address = text.substr(0, colon);
    const bool isBracketed = address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (isBracketed) {
        address = address.substr(1, address.size() - 2);
    }
    const auto port = parseNumber<std::uint16_t>(std::string_view(text).substr(colon + 1));
    const QHostAddress parsed(QString::fromStdString(address));
    const bool isIpv6 = parsed.protocol() == QAbstractSocket::IPv6Protocol;
    if (!port || parsed.isNull() || isBracketed != isIpv6) {
        return std::nullopt;
    }
    return Endpoint{.address = address, .port = *port};
}

std::string toString(const Endpoint &endpoint)
{
    const bool isIpv6 = endpoint.address.find(':') != std::string::npos;
    return isIpv6 ? fmt::format("[{}]:{}", endpoint.address, endpoint.port) : fmt::format("{}:{}", endpoint.address, endpoint.port);
}

}
