#include "fakes/freeendpoint.h"

#include <QTcpServer>

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace Plantainweir {
namespace {

/** Binds a TCP socket without SO_REUSEADDR, as freeEndpoint() of another process does, and returns the error or 0. */
int errorOfBinding(const Endpoint &endpoint)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(endpoint.port);
    const bool isBound = ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    const int error = isBound ? 0 : errno;
    ::close(descriptor);
    return error;
}

// Two servers of a test got the same port, and the second one could not listen: controldtest failed.
TEST(FreeEndpoint, IsReservedUntilAServerListensOnIt)
{
    const Endpoint endpoint = freeEndpoint();
    EXPECT_EQ(errorOfBinding(endpoint), EADDRINUSE);
    QTcpServer server;
    EXPECT_TRUE(server.listen(QHostAddress::LocalHost, endpoint.port)) << server.errorString().toStdString();
    EXPECT_EQ(errorOfBinding(endpoint), EADDRINUSE);
}

}
}
