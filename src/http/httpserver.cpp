#include "http/httpserver.h"

#include "core/time.h"
#include "http/httpcodec.h"
#include "http/listener.h"
#include "http/tcpstream.h"
#include "observability/logevents.h"

#include <QHostAddress>
#include <QTcpServer>
#include <QTimer>

#include <algorithm>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Plantainweir {
namespace {

constexpr std::chrono::milliseconds SweepPeriod{250};
/** Maximum number of requests of one connection that are processed concurrently. */
constexpr std::size_t MaximumPipelinedRequests = 16;
/** Buffered bytes of undecoded requests above which reading from a connection pauses. */
constexpr std::size_t MaximumUndecodedBytes = 64 * 1024;
constexpr int ListenBacklog = 1024;

HttpResponse errorResponse(DecodeState state)
{
    switch (state) {
    case DecodeState::HeaderTooLarge:
        return {.status = 431, .fields = {{"Content-Type", "text/plain"}}, .body = "request header too large\n"};
    case DecodeState::BodyTooLarge:
        return {.status = 413, .fields = {{"Content-Type", "text/plain"}}, .body = "request body too large\n"};
    case DecodeState::Incomplete:
        return {.status = 503, .fields = {{"Content-Type", "text/plain"}, {"Retry-After", "1"}}, .body = "too many incomplete requests\n"};
    default:
        return {.status = 400, .fields = {{"Content-Type", "text/plain"}}, .body = "malformed request\n"};
    }
}

/** A request without a response, or whose response must be sent after those of earlier requests. */
struct Exchange {
    HttpExchangeId id = 0;
    bool isHead = false; ///< Whether its answer has no body.
    bool isSafe = true; ///< Whether its method is safe (RFC 9110, section 9.2.1), so that it may be processed concurrently.
    std::optional<HttpResponse> response;
};

/** One accepted connection; owned by the server's map of connections. */
struct Connection {
    TcpStream *stream = nullptr;
    std::unique_ptr<HttpRequestDecoder> decoder;
    std::string buffer;
    std::deque<Exchange> exchanges; ///< In the order of their requests.
    TimePoint deadline; ///< Deadline for the rest of the request being received, for the client's close, or end of the idle timeout.
    bool isKeepAlive = true;
    bool hasPartialRequest = false;
    bool isContinueSent = false;
    bool isClosing = false;
    bool isReadingPaused = false;
    std::size_t bufferedBytes = 0; ///< Part of the request being received.
};

bool isSafeMethod(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

}

class HttpServer::Private : public QObject
{
public:
    Private(HttpServer *server, const HttpLimits &limits)
        : q(server)
        , m_limits(limits)
    {
        m_listener.onAccepted = [this](qintptr descriptor) {
            accept(descriptor);
        };
        connect(&m_sweepTimer, &QTimer::timeout, this, &Private::closeExpiredConnections);
        m_sweepTimer.start(SweepPeriod);
    }

    ~Private() override
    {
        // The streams are destroyed after m_connections, and their signals must not reach the destroyed connections.
        for (const auto &[stream, connection] : m_connections) {
            stream->disconnect(this);
        }
    }

    void accept(qintptr descriptor)
    {
        auto *stream = new TcpStream(this);
        stream->adoptSocket(descriptor);
        if (m_connections.size() >= m_limits.connections) {
            stream->close();
            stream->deleteLater();
            return;
        }
        auto connection = std::make_unique<Connection>();
        connection->stream = stream;
        connection->deadline = Clock::now() + m_limits.idleTimeout;
        connection->decoder = std::make_unique<HttpRequestDecoder>(m_limits);
        Connection *raw = connection.get();
        m_connections.emplace(stream, std::move(connection));
        connect(stream, &TcpStream::received, this, [this, raw](const std::string &bytes) {
            receive(*raw, bytes);
        });
        connect(stream, &TcpStream::ended, this, [this, stream] {
            removeConnection(stream);
        });
    }

    void receive(Connection &connection, const std::string &bytes)
    {
        if (connection.isClosing) {
            return;
        }
        connection.buffer.append(bytes);
        decodeAvailable(connection.stream);
    }

    /** Returns whether the next request may be decoded while earlier ones wait for their responses. */
    static bool canDecodeNext(const Connection &connection)
    {
        if (connection.buffer.empty() || connection.isClosing || !connection.isKeepAlive) {
            return false;
        }
        if (connection.exchanges.empty() || connection.hasPartialRequest) {
            return true;
        }
        const bool hasSafeMethod = connection.buffer.starts_with('G') || connection.buffer.starts_with('H') || connection.buffer.starts_with('O');
        return hasSafeMethod && connection.exchanges.back().isSafe && connection.exchanges.size() < MaximumPipelinedRequests;
    }

    /**
     * Decodes requests from the buffer as long as they may be processed concurrently. A request that must wait for earlier
     * responses stays in the buffer undecoded: it is not accepted yet, so the server owes it no response if the connection closes.
     */
    void decodeAvailable(TcpStream *stream)
    {
        auto found = m_connections.find(stream);
        // A slot connected to requestReceived() may respond immediately, which can remove the connection.
        while (found != m_connections.end() && canDecodeNext(*found->second) && decodeRequest(*found->second)) {
            found = m_connections.find(stream);
        }
        if (found != m_connections.end()) {
            Connection &connection = *found->second;
            connection.isReadingPaused = !canDecodeNext(connection) && connection.buffer.size() > MaximumUndecodedBytes;
            stream->setReadingPaused(connection.isReadingPaused);
        }
    }

    /** Decodes one request and returns whether it was complete and valid. */
    bool decodeRequest(Connection &connection)
    {
        if (!connection.hasPartialRequest) {
            connection.hasPartialRequest = true;
            connection.deadline = Clock::now() + m_limits.requestTimeout;
        }
        const DecodeState state = connection.decoder->decode(connection.buffer);
        if (state == DecodeState::Incomplete) {
            countBufferedBytes(connection, connection.decoder->bodyBytes() + connection.buffer.size());
            sendContinue(connection);
            limitBufferedBytes();
            return false;
        }
        countBufferedBytes(connection, 0);
        if (state != DecodeState::Complete) {
            rejectRequest(connection, state);
            return false;
        }
        takeRequest(connection);
        return true;
    }

    void countBufferedBytes(Connection &connection, std::size_t bytes)
    {
        m_bufferedBytes = m_bufferedBytes - connection.bufferedBytes + bytes;
        connection.bufferedBytes = bytes;
    }

    /** Refuses the largest incomplete request if all of them together are too large. */
    void limitBufferedBytes()
    {
        if (m_bufferedBytes <= m_limits.totalBytes) {
            return;
        }
        const auto largest = std::max_element(m_connections.begin(), m_connections.end(), [](const auto &left, const auto &right) {
            return left.second->bufferedBytes < right.second->bufferedBytes;
        });
        logEvent(LogEvent::MemoryLimitReached, {{"messages", "incomplete_requests"}, {"bytes", m_bufferedBytes}, {"largest", largest->second->bufferedBytes}});
        countBufferedBytes(*largest->second, 0);
        rejectRequest(*largest->second, DecodeState::Incomplete);
    }

    void takeRequest(Connection &connection)
    {
        connection.isKeepAlive = connection.decoder->isKeepAlive();
        HttpRequest request = connection.decoder->takeRequest();
        const HttpExchangeId id = ++m_lastExchangeId;
        connection.exchanges.push_back({.id = id, .isHead = request.method == "HEAD", .isSafe = isSafeMethod(request.method), .response = std::nullopt});
        connection.decoder = std::make_unique<HttpRequestDecoder>(m_limits);
        if (connection.buffer.empty()) {
            connection.buffer.shrink_to_fit();
        }
        connection.hasPartialRequest = false;
        connection.isContinueSent = false;
        m_exchanges.emplace(id, &connection);
        Q_EMIT q->requestReceived(id, request);
    }

    void sendContinue(Connection &connection)
    {
        if (connection.isContinueSent || !connection.decoder->isContinueExpected()) {
            return;
        }
        connection.isContinueSent = true;
        connection.stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    }

    /** Responds with an error to a request that cannot be received, after the responses to earlier requests. */
    void rejectRequest(Connection &connection, DecodeState state)
    {
        connection.isKeepAlive = false;
        connection.hasPartialRequest = false;
        connection.buffer.clear();
        const HttpExchangeId id = ++m_lastExchangeId;
        connection.exchanges.push_back({.id = id, .isSafe = true, .response = std::nullopt});
        m_exchanges.emplace(id, &connection);
        respond(id, errorResponse(state));
    }

    void closeGracefully(Connection &connection)
    {
        connection.isClosing = true;
        connection.deadline = Clock::now() + m_limits.requestTimeout;
        connection.stream->finishWriting();
    }

    void respond(HttpExchangeId id, const HttpResponse &response)
    {
        const auto found = m_exchanges.find(id);
        if (found == m_exchanges.end()) {
            return;
        }
        Connection &connection = *found->second;
        m_exchanges.erase(found);
        for (Exchange &exchange : connection.exchanges) {
            if (exchange.id == id) {
                exchange.response = response;
            }
        }
        sendReadyResponses(connection);
        if (unreadBytes(connection) > 0) {
            QMetaObject::invokeMethod(this, &Private::limitUnreadBytes, Qt::QueuedConnection);
        }
    }

    /** Returns the bytes of responses that the client has not read, or that wait for the response to an earlier request. */
    static std::size_t unreadBytes(const Connection &connection)
    {
        std::size_t bytes = connection.stream->unsentBytes();
        for (const Exchange &exchange : connection.exchanges) {
            bytes += exchange.response ? exchange.response->body.size() : 0;
        }
        return bytes;
    }

    /** Closes the connection with the most unread bytes if those of all connections together are too many. */
    void limitUnreadBytes()
    {
        std::size_t total = 0;
        std::size_t most = 0;
        TcpStream *largest = nullptr;
        for (const auto &[stream, connection] : m_connections) {
            const std::size_t bytes = unreadBytes(*connection);
            total += bytes;
            if (bytes > most) {
                most = bytes;
                largest = stream;
            }
        }
        if (total > m_limits.totalBytes) {
            logEvent(LogEvent::MemoryLimitReached, {{"messages", "unread_responses"}, {"bytes", total}, {"largest", most}});
            removeConnection(largest);
        }
    }

    /** Sends the responses that are ready, in the order of their requests. */
    void sendReadyResponses(Connection &connection)
    {
        while (!connection.exchanges.empty() && connection.exchanges.front().response) {
            const HttpResponse response = std::move(*connection.exchanges.front().response);
            const bool isHead = connection.exchanges.front().isHead;
            connection.exchanges.pop_front();
            const bool isLast = connection.exchanges.empty();
            // A client treats requests after a response with "Connection: close" as not processed, so only the last response may close.
            const bool isKeepAlive = !isLast || (connection.isKeepAlive && !m_isClosingAfterResponses);
            connection.stream->write(encodeResponse(response, isKeepAlive, isHead));
            if (!isKeepAlive) {
                closeGracefully(connection);
                return;
            }
        }
        connection.deadline = Clock::now() + (connection.hasPartialRequest ? m_limits.requestTimeout : m_limits.idleTimeout);
        if (connection.buffer.empty() && !connection.isReadingPaused) {
            return;
        }
        QMetaObject::invokeMethod(
            this,
            [this, stream = connection.stream] {
                decodeAvailable(stream);
            },
            Qt::QueuedConnection);
    }

    void abortExchange(HttpExchangeId id, const std::string &partial)
    {
        const auto found = m_exchanges.find(id);
        if (found == m_exchanges.end()) {
            return;
        }
        Connection &connection = *found->second;
        if (partial.empty()) {
            removeConnection(connection.stream);
            return;
        }
        connection.stream->write(partial);
        closeGracefully(connection);
    }

    void removeConnection(TcpStream *stream)
    {
        const auto found = m_connections.find(stream);
        if (found == m_connections.end()) {
            return;
        }
        std::vector<HttpExchangeId> unanswered;
        for (const Exchange &exchange : found->second->exchanges) {
            if (m_exchanges.erase(exchange.id) != 0) {
                unanswered.push_back(exchange.id);
            }
        }
        countBufferedBytes(*found->second, 0);
        stream->disconnect(this);
        stream->close();
        stream->deleteLater();
        m_connections.erase(found);
        for (const HttpExchangeId exchange : unanswered) {
            Q_EMIT q->clientDisconnected(exchange);
        }
        emitIfDrained();
    }

    void closeExpiredConnections()
    {
        const TimePoint now = Clock::now();
        std::vector<TcpStream *> expired;
        for (const auto &[stream, connection] : m_connections) {
            if (connection->exchanges.empty() && connection->deadline <= now) {
                expired.push_back(stream);
            }
        }
        for (TcpStream *stream : expired) {
            removeConnection(stream);
        }
    }

    /** Returns the connections without a request. One that is being received is still answered before its connection closes. */
    std::vector<TcpStream *> idleStreams() const
    {
        std::vector<TcpStream *> idle;
        for (const auto &[stream, connection] : m_connections) {
            if (connection->exchanges.empty() && !connection->hasPartialRequest && !connection->isClosing) {
                idle.push_back(stream);
            }
        }
        return idle;
    }

    void drain()
    {
        m_isDraining = true;
        m_isClosingAfterResponses = true;
        // Connections that the system has accepted, and requests that it has received, would be lost with the sockets.
        while (m_listener.waitForNewConnection(0)) {
        }
        m_listener.close();
        for (TcpStream *stream : idleStreams()) {
            stream->readArrived();
        }
        for (TcpStream *stream : idleStreams()) {
            closeGracefully(*m_connections.at(stream));
        }
        emitIfDrained();
    }

    void emitIfDrained()
    {
        if (m_isDraining && m_connections.empty()) {
            Q_EMIT q->drained();
        }
    }

    HttpServer *q;
    HttpLimits m_limits;
    Listener m_listener;
    QTimer m_sweepTimer;
    HttpExchangeId m_lastExchangeId = 0;
    std::size_t m_bufferedBytes = 0; ///< Of all incomplete requests.
    bool m_isDraining = false;
    bool m_isClosingAfterResponses = false;
    std::unordered_map<TcpStream *, std::unique_ptr<Connection>> m_connections;
    std::unordered_map<HttpExchangeId, Connection *> m_exchanges;
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

void HttpServer::setAcceptingPaused(bool isPaused)
{
    if (isPaused) {
        d->m_listener.pauseAccepting();
    } else {
        d->m_listener.resumeAccepting();
    }
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

void HttpServer::setLimits(const HttpLimits &limits)
{
    d->m_limits = limits;
}

void HttpServer::respond(HttpExchangeId exchange, const HttpResponse &response)
{
    d->respond(exchange, response);
}

void HttpServer::abortExchange(HttpExchangeId exchange, const std::string &partial)
{
    d->abortExchange(exchange, partial);
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
