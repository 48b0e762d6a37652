#pragma once

#include "core/endpoint.h"
#include "http/httpmessage.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/** Names one request that waits for its response; never used twice by one server. */
using HttpExchangeId = quint64;

/**
 * Task that owns a listening port and its connections.
 *
 * Bounds header size, body size, the number of connections, the time to a whole request and the idle time before
 * anything is buffered beyond them. Pipelined requests with safe methods run side by side, and are answered in their order;
 * any other one waits until those before it are answered.
 */
class HttpServer : public QObject
{
    Q_OBJECT

public:
    explicit HttpServer(const HttpLimits &limits, QObject *parent = nullptr);
    ~HttpServer() override;

    /** Starts to listen on @p endpoint; port 0 picks a free one. Returns whether the port is open. */
    bool listen(const Endpoint &endpoint);
    /** Returns the port that the server listens on. */
    quint16 port() const;
    /** Returns the number of open connections. */
    std::size_t connectionCount() const;
    /** Returns the number of requests that wait for their responses. */
    std::size_t exchangeCount() const;

    /** Changes the limits; a request that is arriving keeps those it began with. */
    void setLimits(const HttpLimits &limits);

    /** Sends @p response; does nothing if the requester has gone. */
    void respond(HttpExchangeId exchange, const HttpResponse &response);
    /** Closes the connection of @p exchange without a response, after the first @p bytes of @p partial. */
    void abortExchange(HttpExchangeId exchange, const std::string &partial = {});
    /** From now on each response closes its connection; new connections are still taken. */
    void closeAfterResponses();
    /** Stops to listen, closes idle connections and each other one after its response, then emits drained(). */
    void drain();

Q_SIGNALS:
    /** A whole request has come; exactly one respond() or abandon() must follow. */
    void requestReceived(HttpExchangeId exchange, const HttpRequest &request);
    /** The requester closed its connection before the response; a response will reach nobody. */
    void clientDisconnected(HttpExchangeId exchange);
    /** No connection is open any more after drain(). */
    void drained();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
