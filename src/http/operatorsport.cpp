#include "http/operatorsport.h"

#include "http/httpserver.h"
#include "observability/metrics.h"

namespace Plantainweir {
namespace {

constexpr HttpLimits OperatorLimits{.headerBytes = 8 * 1024, .bodyBytes = 0, .connections = 64};

HttpResponse textResponse(int status, std::string body, const char *type = "text/plain; charset=utf-8")
{
    return {.status = status, .fields = {{"Content-Type", type}}, .body = std::move(body)};
}

}

class OperatorsPort::Private
{
public:
    Private(const Metrics &metrics, std::function<std::string()> status)
        : m_metrics(metrics)
        , m_makeStatus(std::move(status))
        , m_server(OperatorLimits)
    {
    }

    HttpResponse respondTo(const HttpRequest &request) const
    {
        if (request.method != "GET") {
            return textResponse(405, "only GET is allowed\n");
        }
        if (request.target == "/metrics") {
            return textResponse(200, m_metrics.toText(), "text/plain; version=0.0.4; charset=utf-8");
        }
        if (request.target == "/healthz") {
            return textResponse(200, "ok\n");
        }
        if (request.target == "/readyz") {
            return m_isReady ? textResponse(200, "ready\n") : textResponse(503, "not ready\n");
        }
        if (request.target == "/status") {
            return textResponse(200, m_makeStatus(), "application/json");
        }
        return textResponse(404, "known paths: /metrics /healthz /readyz /status\n");
    }

    const Metrics &m_metrics;
    std::function<std::string()> m_makeStatus;
    HttpServer m_server;
    bool m_isReady = false;
};

OperatorsPort::OperatorsPort(const Metrics &metrics, std::function<std::string()> status, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(metrics, std::move(status)))
{
    connect(&d->m_server, &HttpServer::requestReceived, this, [this](HttpExchangeId exchange, const HttpRequest &request) {
        d->m_server.respond(exchange, d->respondTo(request));
    });
}

OperatorsPort::~OperatorsPort() = default;

void OperatorsPort::setLimits(const HttpLimits &limits)
{
    d->m_server.setLimits(limits);
}

bool OperatorsPort::listen(const Endpoint &endpoint)
{
    return d->m_server.listen(endpoint);
}

quint16 OperatorsPort::port() const
{
    return d->m_server.port();
}

void OperatorsPort::setReady(bool isReady)
{
    d->m_isReady = isReady;
}

}
