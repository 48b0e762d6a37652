#include "fakes/freeendpoint.h"

#include <QUdpSocket>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <deque>
#include <memory>
#include <random>

namespace Plantainweir {
namespace {

constexpr std::uint16_t FirstPort = 10'000;
/** Below the ephemeral ports of Linux, which start at 32,768 by default. */
constexpr std::uint16_t LastPort = 32'000;
/** More than the servers of any test, and below the limit of descriptors of a process. */
constexpr std::size_t MaximumReservations = 256;

/** A TCP port that is bound, but not listening: others can bind it only with SO_REUSEADDR. */
class PortReservation
{
public:
    explicit PortReservation(std::uint16_t port)
        : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        // Without the option, binding fails on a port that any other socket has bound, a reservation included.
        m_isHeld = ::bind(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
        // A listening socket may share the port only if both sockets have the option.
        const int isReusable = 1;
        m_isHeld = m_isHeld && ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &isReusable, sizeof(isReusable)) == 0;
    }

    ~PortReservation()
    {
        ::close(m_descriptor);
    }

    PortReservation(const PortReservation &) = delete;
    PortReservation &operator=(const PortReservation &) = delete;

    bool isHeld() const
    {
        return m_isHeld;
    }

private:
    int m_descriptor;
    bool m_isHeld = false;
};

}

Endpoint freeEndpoint()
{
    static std::deque<std::unique_ptr<PortReservation>> s_reservations;
    std::random_device random;
    std::uniform_int_distribution<std::uint16_t> distribution(FirstPort, LastPort);
    while (true) {
        const std::uint16_t port = distribution(random);
        auto reservation = std::make_unique<PortReservation>(port);
        QUdpSocket socket;
        if (!reservation->isHeld() || !socket.bind(QHostAddress::LocalHost, port)) {
            continue;
        }
        s_reservations.push_back(std::move(reservation));
        if (s_reservations.size() > MaximumReservations) {
            s_reservations.pop_front();
        }
        return {.address = "127.0.0.1", .port = port};
    }
}

}
