#include "fakes/rawserver.h"

#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>

#include <sys/socket.h>

namespace Plantainweir {
namespace {

class SocketConnection : public RawConnection
{
public:
    explicit SocketConnection(QTcpSocket *socket)
        : m_socket(socket)
    {
    }

    void write(const std::string &bytes) override
    {
        m_socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
        m_socket->flush();
    }

    void finish() override
    {
        m_socket->disconnectFromHost();
    }

    void reset() override
    {
        const linger hard{.l_onoff = 1, .l_linger = 0};
        ::setsockopt(static_cast<int>(m_socket->socketDescriptor()), SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
        m_socket->abort();
    }

private:
    QPointer<QTcpSocket> m_socket;
};

}

class RawServer::Private
{
public:
    QTcpServer m_server;
    int m_acceptedCount = 0;
};

RawServer::RawServer()
    : d(std::make_unique<Private>())
{
    d->m_server.listen(QHostAddress::LocalHost);
    QObject::connect(&d->m_server, &QTcpServer::newConnection, &d->m_server, [this] {
        QTcpSocket *socket = d->m_server.nextPendingConnection();
        ++d->m_acceptedCount;
        QObject::connect(socket, &QTcpSocket::readyRead, &d->m_server, [this, socket] {
            if (socket->peek(socket->bytesAvailable()).contains("\r\n\r\n")) {
                socket->readAll();
                SocketConnection connection(socket);
                onRequest(connection);
            }
        });
    });
}

RawServer::~RawServer() = default;

Endpoint RawServer::endpoint() const
{
    return {.address = "127.0.0.1", .port = d->m_server.serverPort()};
}

int RawServer::acceptedCount() const
{
    return d->m_acceptedCount;
}

void RawServer::close()
{
    d->m_server.close();
}

}
