#include "soak/soakupstream.h"

#include "http/httpserver.h"

#include <QDateTime>
#include <QTimer>

#include <fmt/core.h>

#include <random>

namespace Plantainweir {
namespace {

constexpr std::uint32_t Slots = 3;
constexpr std::uint32_t QueueLength = 6;
constexpr int ShortestRunMs = 2;
constexpr int LongestRunMs = 200;
constexpr auto RequestIdField = "X-Plantainweir-Request-Id";

}

class SoakUpstream::Private
{
public:
    Private(SoakUpstream *upstream, std::string id, std::string service, std::string availabilityZone, std::uint64_t seed)
        : q(upstream)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_availabilityZone(std::move(availabilityZone))
        , m_random(seed)
        , m_server(HttpLimits{})
    {
        m_server.listen({.address = "127.0.0.1", .port = 0});
        m_proxy = std::make_unique<LoopbackProxy>(Endpoint{.address = "127.0.0.1", .port = m_server.port()});
        connect(&m_server, &HttpServer::requestReceived, q, [this](HttpExchangeId exchange, const HttpRequest &request) {
            handle(exchange, request);
        });
    }

    void handle(HttpExchangeId exchange, const HttpRequest &request)
    {
        const std::string load = fmt::format("{},{},{},100", std::min(m_running, Slots), m_running - std::min(m_running, Slots), Slots);
        HttpResponse response{.status = 200, .fields = {{"X-Plantainweir-Backend-Load", load}, {"X-Plantainweir-Instance-Id", m_id}}, .body = "ok"};
        if (m_oddity == UpstreamOddity::Leaving) {
            response.fields.push_back({.name = "Server-Leaving", .value = "1"});
        }
        if (request.target == "/health") {
            m_server.respond(exchange, response);
            return;
        }
        const std::string requestId(fieldValue(request.fields, RequestIdField));
        response.fields.push_back({.name = RequestIdField, .value = requestId});
        if (fieldValue(request.fields, "X-Plantainweir-Expect-Instance") != m_id) {
            response.status = 421;
            m_server.respond(exchange, response);
            return;
        }
        if (m_oddity == UpstreamOddity::Quiet) {
            response.fields.push_back({.name = "Retry-After", .value = "1.2"});
        }
        if (m_running >= Slots + QueueLength || m_oddity == UpstreamOddity::Quiet) {
            response.status = 503;
            response.fields.push_back({.name = "X-Plantainweir-Not-Executed", .value = "full"});
            m_server.respond(exchange, response);
            return;
        }
        run(exchange, requestId, std::move(response));
    }

    void run(HttpExchangeId exchange, const std::string &requestId, HttpResponse response)
    {
        ++m_running;
        Q_EMIT q->started(requestId);
        response.fields.push_back({.name = "X-Plantainweir-Response-Stamp", .value = "soak." + requestId});
        response.body = requestId;
        const std::chrono::milliseconds work{std::uniform_int_distribution<int>(ShortestRunMs, LongestRunMs)(m_random)};
        const bool isAnswered = m_oddity != UpstreamOddity::Silent;
        QTimer::singleShot(work, q, [this, exchange, isAnswered, response = std::move(response)] {
            --m_running;
            if (isAnswered) {
                m_server.respond(exchange, response);
            }
        });
    }

    SoakUpstream *q;
    std::string m_id;
    std::string m_service;
    std::string m_availabilityZone;
    std::mt19937_64 m_random;
    HttpServer m_server;
    std::unique_ptr<LoopbackProxy> m_proxy;
    qint64 m_startedAtMs = QDateTime::currentMSecsSinceEpoch();
    int m_sequence = 0; ///< Number of the last report to the store.
    std::uint32_t m_running = 0;
    UpstreamOddity m_oddity = UpstreamOddity::None;
};

SoakUpstream::SoakUpstream(const std::string &id, const std::string &service, const std::string &availabilityZone, std::uint64_t seed)
    : d(std::make_unique<Private>(this, id, service, availabilityZone, seed))
{
}

SoakUpstream::~SoakUpstream() = default;

const std::string &SoakUpstream::id() const
{
    return d->m_id;
}

const std::string &SoakUpstream::service() const
{
    return d->m_service;
}

const std::string &SoakUpstream::availabilityZone() const
{
    return d->m_availabilityZone;
}

LoopbackProxy &SoakUpstream::proxy()
{
    return *d->m_proxy;
}

UpstreamOddity SoakUpstream::oddity() const
{
    return d->m_oddity;
}

void SoakUpstream::setOddity(UpstreamOddity oddity)
{
    d->m_oddity = oddity;
}

QJsonObject SoakUpstream::nextReport(const QString &state)
{
    return {{"service", QString::fromStdString(d->m_service)},
            {"address", QString::fromStdString(toString(d->m_proxy->endpoint()))},
            {"zone", QString::fromStdString(d->m_availabilityZone)},
            {"version", "v1"},
            {"slots", static_cast<int>(Slots)},
            {"state", state},
            {"cold", "0ms"},
            {"sequence", ++d->m_sequence},
            {"born", d->m_startedAtMs}};
}

}
