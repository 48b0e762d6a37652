#include "http/httpserver.h"

#include "core/time.h"
#include "http/httpcodec.h"

#include <QHostAddress>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <unordered_map>

namespace Plantainweir {
namespace {

constexpr std::chrono::milliseconds SweepPeriod{250};
constexpr qint64 ReadBufferBytes = 64 * 1024;
constexpr int ListenBacklog = 1024;

HttpResponse errorResponse(DecodeState state)
{
    switch (state) {
    case DecodeState::HeaderTooLarge:
        return {.status = 431, .fields = {{"Content-Type", "text/plain"}}, .body = "request header too large\n"};
    case DecodeState::BodyTooLarge:
        return {.status = 413, .fields = {{"Content-Type", "text/plain"}}, .body = "request body too large\n"};
    default:
        return {.status = 400, .fields = {{"Content-Type", "text/plain"}}, .body = "malformed request\n"};
    }
}

/** One accepted connection; owned by the server's table. */
struct Connection {
    QTcpSocket *socket = nullptr;
    std::unique_ptr<HttpRequestDecoder> decoder;
    std::string buffer;
    ExchangeId exchange = 0; ///< Zero while no request waits for its response.
    TimePoint deadline; ///< For a whole request, or for the first byte of the next one.
    bool isKeepAlive = true;
    bool hasPartialRequest = false;
    bool isContinueSent = false;
    bool isClosing = false;
};

}

class HttpServer::Private : public QObject
{
public:
    Private(HttpServer *server, const HttpLimits &limits)
        : q(server)
        , m_limits(limits)
    {
        connect(&m_listener, &QTcpServer::newConnection, this, &Private::acceptConnections);
        connect(&m_sweep, &QTimer::timeout, this, &Private::closeOverdue);
        m_sweep.start(SweepPeriod);
    }

    ~Private() override
    {
        // The listener closes the sockets after the connections have ended; none of them may report then.
        for (const auto &[socket, connection] : m_connections) {
            socket->disconnect(this);
        }
    }

    void acceptConnections()
    {
        while (QTcpSocket *socket = m_listener.nextPendingConnection()) {
            if (m_connections.size() >= m_limits.connections) {
                socket->abort();
                socket->deleteLater();
                continue;
            }
            addConnection(socket);
        }
    }

    void addConnection(QTcpSocket *socket)
    {
        socket->setParent(this);
        socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        socket->setReadBufferSize(ReadBufferBytes);
        auto connection = std::make_unique<Connection>();
        connection->socket = socket;
        connection->deadline = Clock::now() + m_limits.idleTime;
        connection->decoder = std::make_unique<HttpRequestDecoder>(m_limits);
        Connection *raw = connection.get();
        m_connections.emplace(socket, std::move(connection));
        connect(socket, &QTcpSocket::readyRead, this, [this, raw] {
            receive(*raw);
        });
        connect(socket, &QTcpSocket::disconnected, this, [this, socket] {
            removeConnection(socket);
        });
    }

    void receive(Connection &connection)
    {
        if (connection.isClosing) {
            connection.socket->readAll();
            return;
        }
        // The next request stays in the socket's bounded buffer until this one is answered.
        if (connection.exchange != 0) {
            return;
        }
        const QByteArray bytes = connection.socket->readAll();
        connection.buffer.append(bytes.constData(), static_cast<std::size_t>(bytes.size()));
        decodeNext(connection);
    }

    void decodeNext(Connection &connection)
    {
        if (connection.buffer.empty()) {
            return;
        }
        if (!connection.hasPartialRequest) {
            connection.hasPartialRequest = true;
            connection.deadline = Clock::now() + m_limits.requestTime;
        }
        const DecodeState state = connection.decoder->decode(connection.buffer);
        if (state == DecodeState::Incomplete) {
            sendContinue(connection);
            return;
        }
        if (state != DecodeState::Complete) {
            sendAndClose(connection, encodeResponse(errorResponse(state), false));
            return;
        }
        connection.isKeepAlive = connection.decoder->isKeepAlive();
        connection.exchange = ++m_lastExchange;
        m_exchanges.emplace(connection.exchange, &connection);
        Q_EMIT q->requestReceived(connection.exchange, connection.decoder->takeRequest());
    }

    void sendContinue(Connection &connection)
    {
        if (connection.isContinueSent || !connection.decoder->isContinueExpected()) {
            return;
        }
        connection.isContinueSent = true;
        connection.socket->write("HTTP/1.1 100 Continue\r\n\r\n");
    }

    void sendAndClose(Connection &connection, const std::string &bytes)
    {
        connection.isClosing = true;
        connection.deadline = Clock::now() + m_limits.requestTime;
        connection.socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
        connection.socket->disconnectFromHost();
    }

    Connection *takeExchange(ExchangeId exchange)
    {
        const auto found = m_exchanges.find(exchange);
        if (found == m_exchanges.end()) {
            return nullptr;
        }
        Connection *connection = found->second;
        m_exchanges.erase(found);
        connection->exchange = 0;
        return connection;
    }

    void respond(ExchangeId exchange, const HttpResponse &response)
    {
        Connection *connection = takeExchange(exchange);
        if (connection == nullptr) {
            return;
        }
        const bool isKept = connection->isKeepAlive && !m_isClosingAfterResponses;
        const std::string bytes = encodeResponse(response, isKept);
        if (!isKept) {
            sendAndClose(*connection, bytes);
            return;
        }
        connection->socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
        connection->decoder = std::make_unique<HttpRequestDecoder>(m_limits);
        connection->hasPartialRequest = false;
        connection->isContinueSent = false;
        connection->deadline = Clock::now() + m_limits.idleTime;
        if (connection->buffer.empty() && connection->socket->bytesAvailable() == 0) {
            return;
        }
        QMetaObject::invokeMethod(
            this,
            [this, socket = QPointer<QTcpSocket>(connection->socket)] {
                resume(socket);
            },
            Qt::QueuedConnection);
    }

    void resume(QTcpSocket *socket)
    {
        const auto found = m_connections.find(socket);
        if (found != m_connections.end()) {
            receive(*found->second);
        }
    }

    void abandon(ExchangeId exchange, const std::string &partial)
    {
        Connection *connection = takeExchange(exchange);
        if (connection == nullptr) {
            return;
        }
        if (partial.empty()) {
            connection->socket->abort();
            return;
        }
        sendAndClose(*connection, partial);
    }

    void removeConnection(QTcpSocket *socket)
    {
        const auto found = m_connections.find(socket);
        if (found == m_connections.end()) {
            return;
        }
        const ExchangeId exchange = found->second->exchange;
        m_exchanges.erase(exchange);
        socket->disconnect(this);
        socket->deleteLater();
        m_connections.erase(found);
        if (exchange != 0) {
            Q_EMIT q->requesterGone(exchange);
        }
        reportDrained();
    }

    void closeOverdue()
    {
        const TimePoint now = Clock::now();
        std::vector<QTcpSocket *> overdue;
        for (const auto &[socket, connection] : m_connections) {
            if (connection->exchange == 0 && connection->deadline <= now) {
                overdue.push_back(socket);
            }
        }
        for (QTcpSocket *socket : overdue) {
            socket->abort();
            removeConnection(socket);
        }
    }

    void drain()
    {
        m_isDraining = true;
        m_isClosingAfterResponses = true;
        m_listener.close();
        std::vector<QTcpSocket *> idle;
        for (const auto &[socket, connection] : m_connections) {
            // A request that is arriving is still read, answered and closed.
            if (connection->exchange == 0 && !connection->hasPartialRequest && socket->bytesAvailable() == 0) {
                idle.push_back(socket);
            }
        }
        for (QTcpSocket *socket : idle) {
            socket->disconnectFromHost();
        }
        reportDrained();
    }

    void reportDrained()
    {
        if (m_isDraining && m_connections.empty()) {
            Q_EMIT q->drained();
        }
    }

    HttpServer *q;
    HttpLimits m_limits;
    QTcpServer m_listener;
    QTimer m_sweep;
    ExchangeId m_lastExchange = 0;
    bool m_isDraining = false;
    bool m_isClosingAfterResponses = false;
    std::unordered_map<QTcpSocket *, std::unique_ptr<Connection>> m_connections;
    std::unordered_map<ExchangeId, Connection *> m_exchanges;
};

HttpServer::HttpServer(const HttpLimits &limits, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, limits))
{
}

HttpServer::~HttpServer() = default;

bool HttpServer::listen(const Endpoint &endpoint)
{
    d->m_listener.setListenBacklogSize(ListenBacklog);
    return d->m_listener.listen(QHostAddress(QString::fromStdString(endpoint.address)), endpoint.port);
}

quint16 HttpServer::port() const
{
    return d->m_listener.serverPort();
}

std::size_t HttpServer::connectionCount() const
{
    return d->m_connections.size();
}

std::size_t HttpServer::exchangeCount() const
{
    return d->m_exchanges.size();
}

void HttpServer::respond(ExchangeId exchange, const HttpResponse &response)
{
    d->respond(exchange, response);
}

void HttpServer::abandon(ExchangeId exchange, const std::string &partial)
{
    d->abandon(exchange, partial);
}

void HttpServer::closeAfterResponses()
{
    d->m_isClosingAfterResponses = true;
}

void HttpServer::drain()
{
    d->drain();
}

}
