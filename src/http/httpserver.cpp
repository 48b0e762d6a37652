#include "http/httpserver.h"

#include "core/time.h"
#include "http/httpcodec.h"
#include "http/listener.h"
#include "http/tcpstream.h"
#include "observability/logevents.h"

#include <QTimer>

#include <algorithm>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include <malloc.h>

namespace Plantainweir {
namespace {

constexpr std::chrono::milliseconds SweepPeriod{250};
/** Maximum number of requests of one connection that are processed concurrently. */
constexpr std::size_t MaximumPipelinedRequests = 16;
/** Buffered bytes of undecoded requests above which reading from a connection pauses. */
constexpr std::size_t MaximumUndecodedBytes = 64 * 1024;
/** Unsent bytes of responses, or memory of unanswered requests, above which no further request of a connection is decoded. */
constexpr std::size_t MaximumUnreadBytes = 256 * 1024;
constexpr std::size_t MaximumUnansweredBytes = 64 * 1024;
/** What a client must read of its response within UnreadTime to count as reading: 4 KiB a second, the slowest pace of a body. */
constexpr std::size_t ReadStepBytes = 8 * 1024;
/** Capacity of an empty buffer above which its memory is freed. */
constexpr std::size_t MaximumIdleCapacity = 4 * 1024;
/** Memory of a connection without messages: its objects, their allocations and the notifiers of its socket. */
constexpr std::size_t ConnectionOverhead = 2 * 1024;

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
    std::size_t headerBytes = 0; ///< Memory of its header until it is answered. Bodies belong to the receiver of the request.
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
    bool isBodyStarted = false;
    TimePoint bodyStartedAt; ///< Valid if isBodyStarted.
    bool isClosing = false;
    bool isReadingPaused = false;
    std::size_t heldBytes = 0; ///< Part of the server's sum.
    bool hasMessage = false; ///< Whether a request is incomplete or unanswered, or a response is not sent.
    TimePoint heldSince; ///< When hasMessage last changed.
    std::size_t unreadBytes = 0; ///< What its client had not acknowledged at readAt, and responses since then; zero if all are sent.
    TimePoint readAt; ///< When the client had last read a whole ReadStepBytes.
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
        connect(&m_listener, &Listener::accepted, this, &Private::accept);
        connect(&m_listener, &Listener::acceptFailed, this, &Private::handleAcceptFailure);
        connect(&m_sweepTimer, &QTimer::timeout, this, &Private::sweep);
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
        if (m_connections.size() >= m_limits.connections && !replaceConnection()) {
            stream->close();
            stream->deleteLater();
            return;
        }
        auto connection = std::make_unique<Connection>();
        connection->stream = stream;
        connection->deadline = Clock::now() + m_limits.idleTimeout;
        connection->heldSince = Clock::now();
        connection->decoder = std::make_unique<HttpRequestDecoder>(m_limits);
        Connection *raw = connection.get();
        m_connections.emplace(stream, std::move(connection));
        connect(stream, &TcpStream::received, this, [this, raw](const std::string &bytes) {
            receive(*raw, bytes);
        });
        connect(stream, &TcpStream::sent, this, [this, stream] {
            decodeAvailable(stream);
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
        if (connection.stream->unsentBytes() > MaximumUnreadBytes) {
            return false;
        }
        if (connection.exchanges.empty() || connection.hasPartialRequest) {
            return true;
        }
        const bool hasSafeMethod = connection.buffer.starts_with('G') || connection.buffer.starts_with('H') || connection.buffer.starts_with('O');
        return hasSafeMethod && connection.exchanges.back().isSafe && connection.exchanges.size() < MaximumPipelinedRequests
               && unansweredBytes(connection) < MaximumUnansweredBytes;
    }

    /** Returns the memory of the headers of requests without a response. */
    static std::size_t unansweredBytes(const Connection &connection)
    {
        std::size_t bytes = 0;
        for (const Exchange &exchange : connection.exchanges) {
            bytes += exchange.headerBytes;
        }
        return bytes;
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
            if (connection.buffer.size() < connection.buffer.capacity() / 2 && connection.buffer.capacity() > MaximumIdleCapacity) {
                connection.buffer.shrink_to_fit();
            }
            updateHeldBytes(connection);
            // At once: until the next event, many other connections may receive as much.
            releaseHeldBytes();
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
            extendDeadline(connection);
            sendContinue(connection);
            return false;
        }
        if (state != DecodeState::Complete) {
            rejectRequest(connection, state);
            return false;
        }
        if (measureForRequest(connection.decoder->memoryBytes(), m_heldBytes - connection.heldBytes, m_limits.totalBytes) == PeerRequestMeasure::Refuse) {
            logEvent(LogEvent::MemoryLimitReached, {{"measure", "refused"}, {"bytes", m_heldBytes}, {"largest", connection.decoder->memoryBytes()}});
            rejectRequest(connection, DecodeState::Incomplete);
            Q_EMIT q->peerReleased(PeerRelease::RequestRefused);
            return false;
        }
        takeRequest(connection);
        return true;
    }

    /** Gives the client time for the body, as long as it sends it fast enough. */
    void extendDeadline(Connection &connection) const
    {
        if (!connection.decoder->isHeaderComplete()) {
            return;
        }
        if (!connection.isBodyStarted) {
            connection.isBodyStarted = true;
            connection.bodyStartedAt = Clock::now();
        }
        const std::chrono::milliseconds paceTime(1000 * connection.decoder->bodyBytes() / m_limits.bodyBytesPerSecond);
        connection.deadline = connection.bodyStartedAt + std::max(m_limits.requestTimeout, m_limits.idleTimeout) + paceTime;
    }

    /** Returns the approximate memory that the client of @p connection makes this process hold. */
    static std::size_t heldBytes(const Connection &connection)
    {
        const std::size_t received = connection.buffer.capacity() + connection.decoder->memoryBytes() + unansweredBytes(connection);
        // Other connections are read as soon as bytes arrive.
        const std::size_t waiting = connection.isReadingPaused ? connection.stream->waitingBytes() : 0;
        return received + waiting + unreadBytes(connection) + ConnectionOverhead;
    }

    void updateHeldBytes(Connection &connection)
    {
        const std::size_t bytes = heldBytes(connection);
        const bool isUnsent = connection.stream->unsentBytes() > 0;
        noteReading(connection, isUnsent ? connection.stream->unacknowledgedBytes() : 0);
        const bool hasMessage = !connection.exchanges.empty() || connection.hasPartialRequest || isUnsent;
        if (hasMessage != connection.hasMessage) {
            connection.hasMessage = hasMessage;
            connection.heldSince = Clock::now();
        }
        m_heldBytes = m_heldBytes - connection.heldBytes + bytes;
        m_mostHeldBytes = std::max(m_mostHeldBytes, m_heldBytes);
        connection.heldBytes = bytes;
    }

    /** The socket accepts more only after the client has read a third of a large buffer, so that unsentBytes() is too coarse. */
    static void noteReading(Connection &connection, std::size_t unread)
    {
        const bool isFirst = connection.unreadBytes == 0;
        if (unread > 0 && (isFirst || unread + ReadStepBytes <= connection.unreadBytes)) {
            connection.readAt = Clock::now();
            connection.unreadBytes = unread;
        }
        connection.unreadBytes = unread == 0 ? 0 : std::max(connection.unreadBytes, unread);
    }

    std::vector<PeerHolding> holdings() const
    {
        std::vector<PeerHolding> holdings;
        holdings.reserve(m_connections.size());
        for (const auto &[stream, connection] : m_connections) {
            holdings.push_back({.connection = reinterpret_cast<std::uintptr_t>(stream),
                                .bytes = connection->heldBytes,
                                .since = connection->heldSince,
                                .activity = activityOf(*connection),
                                .readAt = connection->readAt});
        }
        return holdings;
    }

    static PeerActivity activityOf(const Connection &connection)
    {
        if (!connection.exchanges.empty()) {
            return PeerActivity::Answering;
        }
        if (connection.stream->unsentBytes() > 0) {
            return PeerActivity::Unread;
        }
        if (connection.isClosing) {
            return PeerActivity::Closing;
        }
        return connection.hasPartialRequest ? PeerActivity::Receiving : PeerActivity::Idle;
    }

    /** Closes connections if all of them together hold too much. */
    void releaseHeldBytes()
    {
        if (m_heldBytes <= m_limits.totalBytes) {
            return;
        }
        for (const auto &[stream, connection] : m_connections) {
            updateHeldBytes(*connection);
        }
        const std::vector<std::uint64_t> released = connectionsToRelease(holdings(), m_limits.totalBytes, Clock::now());
        if (released.empty()) {
            return;
        }
        logEvent(LogEvent::MemoryLimitReached, {{"measure", "released"}, {"bytes", m_heldBytes}, {"connections", released.size()}});
        for (const std::uint64_t stream : released) {
            release(reinterpret_cast<TcpStream *>(static_cast<std::uintptr_t>(stream)));
            Q_EMIT q->peerReleased(PeerRelease::MemoryHeld);
        }
    }

    /** Refuses the incomplete request of a connection, or closes it if its client has to read responses first. */
    void release(TcpStream *stream)
    {
        const auto found = m_connections.find(stream);
        if (found == m_connections.end()) {
            return;
        }
        Connection &connection = *found->second;
        if (activityOf(connection) != PeerActivity::Receiving) {
            removeConnection(stream);
            return;
        }
        rejectRequest(connection, DecodeState::Incomplete);
        updateHeldBytes(connection);
    }

    /** Closes a connection in favour of a new one; returns whether there is one to be closed. */
    bool replaceConnection()
    {
        const auto replaced = connectionToReplace(holdings(), Clock::now());
        if (!replaced) {
            return false;
        }
        auto *stream = reinterpret_cast<TcpStream *>(static_cast<std::uintptr_t>(*replaced));
        const PeerActivity activity = activityOf(*m_connections.at(stream));
        logEvent(LogEvent::ConnectionReplaced, {{"connections", m_connections.size()}, {"activity", nameOf(activity)}});
        if (activity == PeerActivity::Receiving) {
            // The client learns that its request has not run. Its descriptor is needed at once, so that nothing else is awaited.
            stream->write(encodeResponse(errorResponse(DecodeState::Incomplete), false, false));
        }
        removeConnection(stream);
        Q_EMIT q->peerReleased(PeerRelease::ConnectionReplaced);
        return true;
    }

    /** Accepting pauses until the next sweep, which frees a descriptor for the connection that waits. */
    void handleAcceptFailure()
    {
        logEvent(LogEvent::AcceptFailed, {{"connections", m_connections.size()}});
        m_isAcceptingAgain = true;
    }

    void acceptAgain()
    {
        if (!m_isAcceptingAgain || m_isAcceptingPaused || m_isDraining) {
            return;
        }
        m_isAcceptingAgain = false;
        replaceConnection();
        m_listener.resume();
    }

    void sweep()
    {
        closeExpiredConnections();
        acceptAgain();
        lookAtHeldBytes();
        // Otherwise the allocator keeps what a crowd has made it allocate.
        if (m_mostHeldBytes > m_limits.totalBytes / 2 && m_heldBytes < m_mostHeldBytes / 2) {
            m_mostHeldBytes = m_heldBytes;
            ::malloc_trim(0);
        }
    }

    /** There is no event for bytes that arrive while reading is paused, nor for a part of a response that the client reads. */
    void lookAtHeldBytes()
    {
        for (const auto &[stream, connection] : m_connections) {
            if (connection->isReadingPaused || connection->unreadBytes > 0) {
                updateHeldBytes(*connection);
            }
        }
        releaseHeldBytes();
    }

    void takeRequest(Connection &connection)
    {
        connection.isKeepAlive = connection.decoder->isKeepAlive();
        const HttpRequest request = connection.decoder->takeRequest();
        const HttpExchangeId id = ++m_lastExchangeId;
        connection.exchanges.push_back({.id = id,
                                        .isHead = request.method == "HEAD",
                                        .isSafe = isSafeMethod(request.method),
                                        .headerBytes = memorySize(request.fields) + request.target.size(),
                                        .response = std::nullopt});
        connection.decoder = std::make_unique<HttpRequestDecoder>(m_limits);
        connection.hasPartialRequest = false;
        connection.isContinueSent = false;
        connection.isBodyStarted = false;
        m_exchanges.emplace(id, &connection);
        updateHeldBytes(connection);
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
        connection.buffer = {};
        connection.decoder = std::make_unique<HttpRequestDecoder>(m_limits);
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
                exchange.headerBytes = 0;
            }
        }
        sendReadyResponses(connection);
        updateHeldBytes(connection);
        if (m_heldBytes > m_limits.totalBytes) {
            // The slot that responds may be called while a request of this or another connection is decoded.
            QMetaObject::invokeMethod(this, &Private::releaseHeldBytes, Qt::QueuedConnection);
        }
    }

    /** Returns the bytes of responses that the client has not read, or that wait for the response to an earlier request. */
    static std::size_t unreadBytes(const Connection &connection)
    {
        std::size_t bytes = connection.stream->unsentBytes();
        for (const Exchange &exchange : connection.exchanges) {
            bytes += exchange.response ? memorySize(*exchange.response) : 0;
        }
        return bytes;
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
        if (connection.hasPartialRequest) {
            extendDeadline(connection);
        }
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
        m_heldBytes -= found->second->heldBytes;
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
        m_listener.acceptWaiting();
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
    std::size_t m_heldBytes = 0; ///< Of all connections.
    std::size_t m_mostHeldBytes = 0; ///< Since memory was last returned to the system.
    bool m_isAcceptingPaused = false;
    bool m_isAcceptingAgain = false; ///< Whether accepting has failed and is to be resumed.
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
    return d->m_listener.listen(endpoint);
}

void HttpServer::setAcceptingPaused(bool isPaused)
{
    d->m_isAcceptingPaused = isPaused;
    if (isPaused) {
        d->m_listener.pause();
    } else {
        d->m_listener.resume();
    }
}

quint16 HttpServer::port() const
{
    return d->m_listener.port();
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
