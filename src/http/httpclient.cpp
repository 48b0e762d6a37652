#include "http/httpclient.h"

#include "decision/outgoingconnections.h"
#include "http/httpcodec.h"
#include "http/tcpstream.h"
#include "observability/logevents.h"

#include <QTimer>

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace Plantainweir {
namespace {

constexpr std::size_t DefaultConnectionLimit = 64;
/** Shorter than the usual idle timeout of servers, so that a request is seldom sent on a connection that the server closes. */
constexpr std::chrono::seconds DefaultIdleTimeout{4};
/** Time before the server's announced idle timeout at which an idle connection is closed, to avoid a race with the server's close. */
constexpr std::chrono::milliseconds IdleTimeoutMargin{1500};
constexpr std::chrono::milliseconds SweepPeriod{500};
/** Shortest time between two log lines about too many connections. */
constexpr std::chrono::seconds LimitLogInterval{1};
/** A server that sends more responses to other requests before the expected one is considered broken. */
constexpr int MaximumForeignResponses = 8;

/** One outgoing connection; it carries one request at a time. */
struct ClientConnection {
    Endpoint endpoint;
    TcpStream *stream = nullptr;
    std::unique_ptr<HttpResponseDecoder> decoder;
    std::string buffer;
    std::string unsentBytes; ///< The encoded request, until the connection is open.
    HttpRequestId requestId = 0; ///< Zero while idle.
    bool isRequestSent = false;
    bool isHead = false;
    std::size_t bufferedBytes = 0; ///< Part of the response that has been received.
    int foreignResponses = 0; ///< Responses to other requests that were received instead.
    std::string correlation; ///< The request's value of the correlation field.
    TimePoint deadline; ///< Deadline of the request, or end of the idle timeout.
};

}

class HttpClient::Private : public QObject
{
public:
    Private(HttpClient *client, const HttpLimits &limits)
        : q(client)
        , m_limits(limits)
    {
        m_deadlineTimer.setSingleShot(true);
        m_deadlineTimer.setTimerType(Qt::PreciseTimer);
        connect(&m_deadlineTimer, &QTimer::timeout, this, &Private::expireDeadlines);
        connect(&m_sweepTimer, &QTimer::timeout, this, &Private::closeIdleConnections);
        m_sweepTimer.start(SweepPeriod);
    }

    HttpRequestId send(const Endpoint &endpoint, const HttpRequest &request, TimePoint deadline)
    {
        const HttpRequestId id = ++m_lastRequestId;
        ClientConnection *connection = takeIdleConnection(endpoint);
        const bool isReused = connection != nullptr;
        if (!isReused) {
            const ConnectionMeasure measure = makeRoom(endpoint);
            if (measure == ConnectionMeasure::RefuseEndpoint || measure == ConnectionMeasure::RefuseTotal) {
                refuse(id, measure);
                return id;
            }
            connection = openConnection(endpoint);
        }
        connection->requestId = id;
        connection->deadline = deadline;
        connection->isRequestSent = false;
        connection->isHead = request.method == "HEAD";
        connection->decoder = std::make_unique<HttpResponseDecoder>(m_limits, connection->isHead);
        connection->buffer.clear();
        connection->foreignResponses = 0;
        connection->unsentBytes = encodeRequest(request, toString(endpoint));
        connection->correlation = m_correlationField.empty() ? std::string() : std::string(fieldValue(request.fields, m_correlationField));
        m_pendingRequests.emplace(id, connection);
        addDeadline(deadline, id);
        if (isReused) {
            writeRequest(*connection);
        }
        return id;
    }

    ClientConnection *takeIdleConnection(const Endpoint &endpoint)
    {
        auto &idle = m_idleConnections[endpoint];
        while (!idle.empty()) {
            ClientConnection *connection = idle.back();
            idle.pop_back();
            if (connection->stream->isOpen() && connection->deadline > Clock::now()) {
                return connection;
            }
            removeConnection(connection);
        }
        return nullptr;
    }

    /** Decides about a new connection to @p endpoint, and closes the idlest connection if that one takes its place. */
    ConnectionMeasure makeRoom(const Endpoint &endpoint)
    {
        const auto limit = m_connectionLimits.find(endpoint);
        const ConnectionMeasure measure = measureForConnection({
            .toEndpoint = m_connectionCounts[endpoint],
            .endpointLimit = limit == m_connectionLimits.end() ? DefaultConnectionLimit : limit->second,
            .total = m_connections.size(),
            .totalLimit = m_limits.connections,
            .hasIdle = m_connections.size() > m_pendingRequests.size(),
        });
        if (measure == ConnectionMeasure::ReplaceIdle) {
            closeIdlestConnection();
        }
        return measure;
    }

    void closeIdlestConnection()
    {
        ClientConnection *idlest = nullptr;
        for (const auto &[endpoint, idle] : m_idleConnections) {
            if (!idle.empty() && (idlest == nullptr || idle.front()->deadline < idlest->deadline)) {
                idlest = idle.front();
            }
        }
        removeFromIdleConnections(idlest);
        removeConnection(idlest);
    }

    void refuse(HttpRequestId id, ConnectionMeasure measure)
    {
        const bool isOutOfConnections = measure == ConnectionMeasure::RefuseTotal;
        if (isOutOfConnections && m_nextLimitLog <= Clock::now()) {
            m_nextLimitLog = Clock::now() + LimitLogInterval;
            logEvent(LogEvent::ConnectionLimitReached, {{"connections", m_connections.size()}});
        }
        QMetaObject::invokeMethod(
            this,
            [this, id, isOutOfConnections] {
                Q_EMIT q->finished(id, {.outcome = HttpRequestOutcome::NotSent, .response = {}, .isOutOfConnections = isOutOfConnections});
            },
            Qt::QueuedConnection);
    }

    ClientConnection *openConnection(const Endpoint &endpoint)
    {
        ++m_connectionCounts[endpoint];
        auto connection = std::make_unique<ClientConnection>();
        connection->endpoint = endpoint;
        connection->stream = new TcpStream(this);
        ClientConnection *raw = connection.get();
        m_connections.emplace(raw, std::move(connection));
        connect(raw->stream, &TcpStream::connected, this, [this, raw] {
            writeRequest(*raw);
        });
        connect(raw->stream, &TcpStream::received, this, [this, raw](const std::string &bytes) {
            receive(raw, bytes);
        });
        connect(raw->stream, &TcpStream::ended, this, [this, raw](StreamEnd end) {
            handleEnded(raw, end);
        });
        raw->stream->connectTo(endpoint);
        Q_EMIT q->connectionOpened();
        return raw;
    }

    void writeRequest(ClientConnection &connection)
    {
        if (connection.requestId == 0) {
            return;
        }
        connection.isRequestSent = true;
        connection.stream->write(std::exchange(connection.unsentBytes, {}));
    }

    void receive(ClientConnection *connection, const std::string &bytes)
    {
        if (connection->requestId == 0) {
            // After unsolicited bytes, responses can no longer be matched to requests.
            removeFromIdleConnections(connection);
            removeConnection(connection);
            return;
        }
        connection->buffer.append(bytes);
        DecodeState state = connection->decoder->decode(connection->buffer);
        while (state == DecodeState::Complete && isResponseToOtherRequest(*connection)) {
            // A late or duplicate response to an earlier request; the expected response follows it.
            logForeignResponse(*connection);
            if (++connection->foreignResponses > MaximumForeignResponses) {
                finish(connection, HttpRequestOutcome::ConnectionLost, false);
                return;
            }
            connection->decoder = std::make_unique<HttpResponseDecoder>(m_limits, connection->isHead);
            state = connection->decoder->decode(connection->buffer);
        }
        if (state == DecodeState::Incomplete) {
            countBufferedBytes(*connection, connection->decoder->bodyBytes() + connection->buffer.size());
            limitBufferedBytes();
            return;
        }
        if (state != DecodeState::Complete) {
            logEvent(LogEvent::MalformedResponse,
                     {{"endpoint", toString(connection->endpoint)}, {"request", connection->correlation}, {"reason", nameOf(state)}});
            finish(connection, HttpRequestOutcome::ConnectionLost, false);
            return;
        }
        const bool isReusable = connection->decoder->isKeepAlive() && connection->buffer.empty() && connection->stream->unsentBytes() == 0;
        finish(connection, HttpRequestOutcome::Answered, isReusable);
    }

    void countBufferedBytes(ClientConnection &connection, std::size_t bytes)
    {
        m_bufferedBytes = m_bufferedBytes - connection.bufferedBytes + bytes;
        connection.bufferedBytes = bytes;
    }

    /** Ends the largest incomplete response if all of them together are too large. */
    void limitBufferedBytes()
    {
        if (m_bufferedBytes <= m_limits.totalBytes) {
            return;
        }
        const auto largest = std::max_element(m_pendingRequests.begin(), m_pendingRequests.end(), [](const auto &left, const auto &right) {
            return left.second->bufferedBytes < right.second->bufferedBytes;
        });
        logEvent(LogEvent::MemoryLimitReached, {{"messages", "incomplete_responses"}, {"bytes", m_bufferedBytes}, {"largest", largest->second->bufferedBytes}});
        finish(largest->second, HttpRequestOutcome::ConnectionLost, false);
    }

    /**
     * Returns whether the decoded response belongs to another request. Requests with and without a value share connections, so a
     * response without one does not belong to a request with one.
     */
    bool isResponseToOtherRequest(const ClientConnection &connection) const
    {
        return !m_correlationField.empty() && connection.decoder->field(m_correlationField) != connection.correlation;
    }

    void logForeignResponse(const ClientConnection &connection) const
    {
        logEvent(LogEvent::ForeignResponse,
                 {{"endpoint", toString(connection.endpoint)},
                  {"request", connection.correlation},
                  {"echoed", std::string(connection.decoder->field(m_correlationField))}});
    }

    void handleEnded(ClientConnection *connection, StreamEnd end)
    {
        if (connection->requestId == 0) {
            removeFromIdleConnections(connection);
            removeConnection(connection);
            return;
        }
        if (!connection->isRequestSent) {
            finish(connection, HttpRequestOutcome::NotSent, false);
            return;
        }
        const bool isComplete = end == StreamEnd::Finished && connection->decoder->finish() == DecodeState::Complete && !isResponseToOtherRequest(*connection);
        finish(connection, isComplete ? HttpRequestOutcome::Answered : HttpRequestOutcome::ConnectionLost, false);
    }

    void finish(ClientConnection *connection, HttpRequestOutcome outcome, bool isReusable)
    {
        const HttpRequestId id = connection->requestId;
        HttpRequestResult result{.outcome = outcome, .response = {}};
        std::chrono::milliseconds idleTimeout = DefaultIdleTimeout;
        if (outcome == HttpRequestOutcome::Answered) {
            idleTimeout = connection->decoder->keepAliveTimeout().value_or(DefaultIdleTimeout + IdleTimeoutMargin) - IdleTimeoutMargin;
            result.response = connection->decoder->takeResponse();
        }
        endRequest(connection, isReusable, idleTimeout);
        Q_EMIT q->finished(id, result);
    }

    /** Ends the request of @p connection; then keeps the connection as idle if it is reusable, else closes it. */
    void endRequest(ClientConnection *connection, bool isReusable, std::chrono::milliseconds idleTimeout = {})
    {
        countBufferedBytes(*connection, 0);
        m_deadlines.erase({connection->deadline, connection->requestId});
        m_pendingRequests.erase(connection->requestId);
        connection->requestId = 0;
        if (!isReusable) {
            removeConnection(connection);
            return;
        }
        connection->buffer.shrink_to_fit();
        connection->deadline = Clock::now() + idleTimeout;
        m_idleConnections[connection->endpoint].push_back(connection);
    }

    void removeFromIdleConnections(ClientConnection *connection)
    {
        auto &idle = m_idleConnections[connection->endpoint];
        idle.erase(std::remove(idle.begin(), idle.end(), connection), idle.end());
    }

    void removeConnection(ClientConnection *connection)
    {
        connection->stream->disconnect(this);
        connection->stream->close();
        connection->stream->deleteLater();
        --m_connectionCounts[connection->endpoint];
        m_connections.erase(connection);
    }

    void cancel(HttpRequestId id)
    {
        const auto found = m_pendingRequests.find(id);
        if (found != m_pendingRequests.end()) {
            endRequest(found->second, false);
        }
    }

    void addDeadline(TimePoint deadline, HttpRequestId id)
    {
        m_deadlines.insert({deadline, id});
        if (m_deadlines.begin()->second == id) {
            armDeadlineTimer();
        }
    }

    void armDeadlineTimer()
    {
        if (m_deadlines.empty()) {
            return;
        }
        const auto remaining = m_deadlines.begin()->first - Clock::now();
        m_deadlineTimer.start(std::max(std::chrono::ceil<std::chrono::milliseconds>(remaining), std::chrono::milliseconds(0)));
    }

    void expireDeadlines()
    {
        const TimePoint now = Clock::now();
        while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
            ClientConnection *connection = m_pendingRequests.at(m_deadlines.begin()->second);
            finish(connection, connection->isRequestSent ? HttpRequestOutcome::DeadlinePassed : HttpRequestOutcome::NotSent, false);
        }
        armDeadlineTimer();
    }

    void closeIdleConnections()
    {
        const TimePoint now = Clock::now();
        std::vector<ClientConnection *> expired;
        for (auto &[endpoint, idle] : m_idleConnections) {
            std::copy_if(idle.begin(), idle.end(), std::back_inserter(expired), [now](const ClientConnection *connection) {
                return connection->deadline <= now;
            });
        }
        for (ClientConnection *connection : expired) {
            removeFromIdleConnections(connection);
            removeConnection(connection);
        }
    }

    HttpClient *q;
    HttpLimits m_limits;
    std::string m_correlationField;
    QTimer m_deadlineTimer;
    QTimer m_sweepTimer;
    HttpRequestId m_lastRequestId = 0;
    std::size_t m_bufferedBytes = 0; ///< Of all incomplete responses.
    TimePoint m_nextLimitLog;
    std::map<Endpoint, std::size_t> m_connectionLimits;
    std::map<Endpoint, std::size_t> m_connectionCounts;
    std::map<Endpoint, std::vector<ClientConnection *>> m_idleConnections;
    std::unordered_map<ClientConnection *, std::unique_ptr<ClientConnection>> m_connections;
    std::unordered_map<HttpRequestId, ClientConnection *> m_pendingRequests;
    std::set<std::pair<TimePoint, HttpRequestId>> m_deadlines;
};

HttpClient::HttpClient(const HttpLimits &limits, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, limits))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::setConnectionLimit(const Endpoint &endpoint, std::size_t limit)
{
    d->m_connectionLimits[endpoint] = limit;
}

void HttpClient::setCorrelationField(const std::string &name)
{
    d->m_correlationField = name;
}

HttpRequestId HttpClient::send(const Endpoint &endpoint, const HttpRequest &request, TimePoint deadline)
{
    return d->send(endpoint, request, deadline);
}

void HttpClient::cancel(HttpRequestId id)
{
    d->cancel(id);
}

}
