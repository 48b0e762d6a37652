#include "fakes/rawserver.h"

#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <sys/socket.h>

namespace Plantainweir {
namespace {

class SocketConnection : public RawConnection
{
public:
    SocketConnection(QTcpSocket *socket, int index, std::string request)
        : m_socket(socket)
        , m_index(index)
        , m_request(std::move(request))
    {
    }

    int index() const override
    {
        return m_index;
    }

    std::string request() const override
    {
        return m_request;
    }

    void write(const std::string &bytes) override
    {
        m_socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
        m_socket->flush();
    }

    void writeAfter(std::chrono::milliseconds delay, const std::string &bytes) override
    {
        QTimer::singleShot(delay, m_socket, [socket = m_socket, bytes] {
            socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
        });
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
    int m_index;
    std::string m_request;
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
        const int index = d->m_acceptedCount++;
        QObject::connect(socket, &QTcpSocket::readyRead, &d->m_server, [this, socket, index] {
            if (socket->peek(socket->bytesAvailable()).contains("\r\n\r\n")) {
                SocketConnection connection(socket, index, socket->readAll().toStdString());
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
