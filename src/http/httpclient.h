#pragma once

#include "core/endpoint.h"
#include "core/enumnames.h"
#include "core/time.h"
#include "http/httpmessage.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/** Identifies one request; unique within one client. */
using HttpRequestId = quint64;

/** How a request ended. */
enum class HttpRequestOutcome {
    Answered, ///< The complete response was received.
    NotSent, ///< No byte of the request was sent: no connection could be opened, or the connection limit is reached.
    ConnectionLost, ///< The request was sent, and the connection ended before a complete, valid response.
    DeadlinePassed, ///< The request was sent, and the response was not complete at the deadline.
};

constexpr std::array<EnumName<HttpRequestOutcome>, 4> enumNames(HttpRequestOutcome)
{
    return {{
        {HttpRequestOutcome::Answered, "answered"},
        {HttpRequestOutcome::NotSent, "not_sent"},
        {HttpRequestOutcome::ConnectionLost, "lost"},
        {HttpRequestOutcome::DeadlinePassed, "deadline_passed"},
    }};
}
static_assert(isEnumTableOrdered<HttpRequestOutcome>());

struct HttpRequestResult {
    HttpRequestOutcome outcome = HttpRequestOutcome::NotSent;
    HttpResponse response; ///< Set if answered.
    bool isOutOfConnections = false; ///< Whether it was not sent because there are too many connections to all endpoints together.
};

/**
 * Task that owns the connections to other servers, with limits on the connections to each endpoint and to all together.
 *
 * Sends each request at most once and never retries. There is no queue: if all connections are busy and a limit is reached
 * (decision/outgoingconnections.h), the request ends with HttpRequestOutcome::NotSent.
 */
class HttpClient : public QObject
{
    Q_OBJECT

public:
    explicit HttpClient(const HttpLimits &limits, QObject *parent = nullptr);
    ~HttpClient() override;

    /** Sets the maximum number of open connections to @p endpoint; 64 by default. */
    void setConnectionLimit(const Endpoint &endpoint, std::size_t limit);

    /** Sets the field that servers echo from a request; a response with another value, or without one, is discarded. */
    void setCorrelationField(const std::string &name);

    /** Sends @p request to @p endpoint; finished() is emitted exactly once, after this function has returned. */
    HttpRequestId send(const Endpoint &endpoint, const HttpRequest &request, TimePoint deadline);
    /** Cancels a request by closing its connection; finished() is not emitted. */
    void cancel(HttpRequestId id);

Q_SIGNALS:
    /** Emitted for each connection that is opened, also one that then fails. */
    void connectionOpened();
    void finished(HttpRequestId id, const HttpRequestResult &result);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
