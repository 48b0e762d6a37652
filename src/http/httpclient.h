#pragma once

#include "core/endpoint.h"
#include "core/enumnames.h"
#include "core/time.h"
#include "http/httpmessage.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/** Names one sent request; never used twice by one client. */
using HttpRequestId = quint64;

/** What became of a request. */
enum class HttpRequestOutcome {
    Answered, ///< The whole response came.
    NotSent, ///< No byte of the request left: no connection, or the connection limit is reached.
    ConnectionLost, ///< Sent, and the connection closed or broke before the whole response.
    DeadlinePassed, ///< Sent, and no whole response came before the deadline.
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
};

/**
 * Task that owns the connections to other servers, at most a given number to each endpoint.
 *
 * Writes each request at most once, on one connection; it never repeats one by itself. It has no queue: a request for
 * which there is no free connection below the limit is not sent, and says so.
 */
class HttpClient : public QObject
{
    Q_OBJECT

public:
    explicit HttpClient(const HttpLimits &limits, QObject *parent = nullptr);
    ~HttpClient() override;

    /** Sets how many connections to @p endpoint may be open; 64 unless set. */
    void setConnectionLimit(const Endpoint &endpoint, std::size_t limit);

    /** Names a field that servers echo; a response with another value than its request's is dropped. */
    void setCorrelationField(const std::string &name);

    /** Sends @p request to @p endpoint; finished() follows exactly once, never from within this call. */
    HttpRequestId send(const Endpoint &endpoint, const HttpRequest &request, TimePoint deadline);
    /** Gives a request up by closing its connection; finished() does not follow. */
    void cancel(HttpRequestId id);

Q_SIGNALS:
    void finished(HttpRequestId id, const HttpRequestResult &result);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
