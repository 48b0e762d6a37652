#pragma once

#include "core/endpoint.h"
#include "decision/peermemory.h"
#include "http/httpmessage.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/** Identifies a request and its pending response; unique within one server. */
using HttpExchangeId = quint64;

/**
 * Task that owns a listening port and its connections.
 *
 * Limits the sizes of headers and bodies, the number of connections, the time in which a request must be complete and the
 * idle time of a connection. One account holds all that clients make the process keep: received bytes, decoded headers, bodies
 * of incomplete requests, bytes that wait while a connection is not read, headers of unanswered requests and responses that
 * clients have not read. If it exceeds the limit, those that hold most for longest are refused or closed
 * (decision/peermemory.h). Pipelined requests with safe methods are processed concurrently and answered in order; a request
 * with another method waits until all requests before it are answered.
 */
class HttpServer : public QObject
{
    Q_OBJECT

public:
    explicit HttpServer(const HttpLimits &limits, QObject *parent = nullptr);
    ~HttpServer() override;

    /** Starts to listen on @p endpoint; port 0 selects a free port. Returns whether the port is open. */
    bool listen(const Endpoint &endpoint);
    /**
     * Pauses or resumes accepting connections. Meanwhile, the system keeps new connections and their requests; at first,
     * accepting is not paused.
     */
    void setAcceptingPaused(bool isPaused);
    /** Returns the port that the server listens on. */
    quint16 port() const;
    /** Returns the number of open connections. */
    std::size_t connectionCount() const;
    /** Returns the number of requests without a response. */
    std::size_t exchangeCount() const;

    /** Changes the limits; the current or next request of each open connection keeps the previous size limits. */
    void setLimits(const HttpLimits &limits);

    /** Sends @p response; does nothing if the client has disconnected. */
    void respond(HttpExchangeId exchange, const HttpResponse &response);
    /** Closes the connection of @p exchange without a complete response, after the bytes of @p partial. */
    void abortExchange(HttpExchangeId exchange, const std::string &partial = {});
    /** From now on, closes each connection after the response to its last pending request; still accepts new connections. */
    void closeAfterResponses();
    /** Stops listening, closes idle connections at once and all others after their responses, then emits drained(). */
    void drain();

Q_SIGNALS:
    /** A complete request was received; exactly one respond() or abortExchange() must follow. */
    void requestReceived(HttpExchangeId exchange, const HttpRequest &request);
    /** The client closed its connection before the response; a later response is discarded. */
    void clientDisconnected(HttpExchangeId exchange);
    /** A request was refused, or a connection closed, in favour of others. */
    void peerReleased(Plantainweir::PeerRelease release);
    /** All connections are closed after drain(). */
    void drained();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
