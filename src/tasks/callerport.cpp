#include "tasks/callerport.h"

#include "http/callencoding.h"
#include "http/headers.h"
#include "http/httpserver.h"
#include "tasks/directory.h"

namespace Plantainweir {
namespace {

HttpResponse jsonResponse(int status, std::string body)
{
    return {.status = status, .fields = {{"Content-Type", "application/json"}}, .body = std::move(body)};
}

HttpResponse directoryResponse(const SharedRouting &routing, const std::string &service, std::mt19937_64 &random)
{
    const TimePoint now = Clock::now();
    if (!routing || !routing->isReady) {
        return encodeReply(refusedReply(RefusalReason::NotReady, now), now);
    }
    const auto answer = makeDirectoryAnswer(*routing, service, random);
    if (!answer) {
        return encodeReply(refusedReply(RefusalReason::UnknownService, now), now);
    }
    return jsonResponse(200, *answer);
}

}

class CallerPort::Private
{
public:
    Private(CallerPort *port, const HttpLimits &limits, std::uint64_t seed)
        : q(port)
        , m_server(limits)
        , m_random(seed)
    {
    }

    void handleRequest(HttpExchangeId exchange, const HttpRequest &request)
    {
        const CallerTarget target = parseCallerTarget(request.target);
        switch (target.resource) {
        case CallerResource::Call:
            handleCall(exchange, request, target);
            return;
        case CallerResource::Directory:
            m_server.respond(exchange, directoryResponse(m_routing, target.service, m_random));
            return;
        case CallerResource::Other:
            m_server.respond(exchange, jsonResponse(404, "{\"error\":\"known paths: /call/SERVICE/... and /directory/SERVICE\"}\n"));
            return;
        }
    }

    void handleCall(HttpExchangeId exchange, const HttpRequest &request, const CallerTarget &target)
    {
        const TimePoint now = Clock::now();
        const auto call = decodeCall(request, target, now);
        if (!call) {
            m_server.respond(exchange, encodeReply(refusedReply(RefusalReason::MalformedRequest, now), now));
            return;
        }
        Q_EMIT q->callReceived({
            .token = {.port = CallPort::Caller, .exchange = exchange},
            .request = *call,
            .message = std::make_shared<const RequestMessage>(makeUpstreamRequest(request, target)),
        });
    }

    CallerPort *q;
    HttpServer m_server;
    std::mt19937_64 m_random; ///< For the order of directory answers.
    SharedRouting m_routing;
    bool m_isDraining = false;
};

CallerPort::CallerPort(const HttpLimits &limits, std::uint64_t seed, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, limits, seed))
{
    connect(&d->m_server, &HttpServer::requestReceived, this, [this](HttpExchangeId exchange, const HttpRequest &request) {
        d->handleRequest(exchange, request);
    });
    connect(&d->m_server, &HttpServer::clientDisconnected, this, [this](HttpExchangeId exchange) {
        Q_EMIT callerDisconnected({.port = CallPort::Caller, .exchange = exchange});
    });
    connect(&d->m_server, &HttpServer::drained, this, &CallerPort::drained);
}

CallerPort::~CallerPort() = default;

bool CallerPort::listen(const Endpoint &endpoint)
{
    return d->m_server.listen(endpoint);
}

quint16 CallerPort::port() const
{
    return d->m_server.port();
}

void CallerPort::setRouting(const SharedRouting &routing)
{
    d->m_routing = routing;
}

void CallerPort::reply(const CallToken &token, const CallReply &reply)
{
    if (token.port != CallPort::Caller) {
        return;
    }
    d->m_server.respond(token.exchange, encodeReply(reply, Clock::now()));
}

void CallerPort::closeAfterResponses()
{
    d->m_server.closeAfterResponses();
}

bool CallerPort::isDrained() const
{
    return d->m_isDraining && d->m_server.connectionCount() == 0;
}

void CallerPort::drain()
{
    d->m_isDraining = true;
    d->m_server.drain();
}

}
