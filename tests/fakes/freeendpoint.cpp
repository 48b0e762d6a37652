#include "fakes/freeendpoint.h"

#include <QTcpServer>
#include <QUdpSocket>

#include <random>

namespace Plantainweir {
namespace {

constexpr std::uint16_t FirstPort = 10'000;
/** Below the ephemeral ports of Linux, which start at 32,768 by default. */
constexpr std::uint16_t LastPort = 32'000;

}

Endpoint freeEndpoint()
{
    std::random_device random;
    std::uniform_int_distribution<std::uint16_t> distribution(FirstPort, LastPort);
    while (true) {
        const std::uint16_t port = distribution(random);
        QTcpServer server;
        QUdpSocket socket;
        if (server.listen(QHostAddress::LocalHost, port) && socket.bind(QHostAddress::LocalHost, port)) {
            return {.address = "127.0.0.1", .port = port};
        }
    }
}

}
