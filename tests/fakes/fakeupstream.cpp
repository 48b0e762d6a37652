#include "fakes/fakeupstream.h"

#include "core/parsenumber.h"
#include "http/headers.h"
#include "http/httpserver.h"

#include <QJsonObject>
#include <QTimer>
#include <QUrl>
#include <QUrlQuery>
#include <fmt/format.h>

#include <algorithm>

namespace Plantainweir {
namespace {

/** The part of an answer that FakeReplyKind::CloseInAnswer sends before the connection closes. */
constexpr auto PartialAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n{\"upstream\":";

std::string executionKey(const HttpRequest &request)
{
    const auto key = fieldValue(request.fields, Headers::IdempotencyKey);
    if (!key.empty()) {
        return std::string(key);
    }
    const QUrl url(QString::fromStdString(request.target));
    return QUrlQuery(url).queryItemValue(QStringLiteral("call")).toStdString();
}

FakeWork toWork(HttpExchangeId exchange, const HttpRequest &request, TimePoint now)
{
    FakeWork work{
        .id = exchange, .key = executionKey(request), .workKind = std::string(fieldValue(request.fields, Headers::WorkKind)), .deadline = TimePoint::max()};
    if (const auto timeout = parseNumber<std::uint32_t>(fieldValue(request.fields, Headers::TimeoutMs))) {
        work.deadline = now + std::chrono::milliseconds(*timeout);
    }
    return work;
}

}

class FakeUpstream::Private : public QObject
{
public:
    Private(const FakeUpstreamSettings &settings, std::uint64_t seed)
        : m_server(HttpLimits{})
        , m_random(seed)
    {
        m_state.settings = settings;
        m_state.startedAt = Clock::now();
        m_timer.setSingleShot(true);
        m_timer.setTimerType(Qt::PreciseTimer);
        connect(&m_timer, &QTimer::timeout, this, &Private::advanceToNow);
        connect(&m_server, &HttpServer::requestReceived, this, &Private::receive);
        connect(&m_server, &HttpServer::clientDisconnected, this, &Private::handleRequesterGone);
    }

    void receive(HttpExchangeId exchange, const HttpRequest &request)
    {
        const TimePoint now = Clock::now();
        const FakeWork work = toWork(exchange, request, now);
        m_keys.emplace(exchange, work.key);
        FakeReplies replies;
        receiveWork(m_state, work, now, m_random, replies);
        send(replies);
        armTimer();
    }

    void handleRequesterGone(HttpExchangeId exchange)
    {
        m_keys.erase(exchange);
        cancel(m_state, exchange);
        advanceToNow();
    }

    void advanceToNow()
    {
        FakeReplies replies;
        advance(m_state, Clock::now(), m_random, replies);
        send(replies);
        armTimer();
    }

    void armTimer()
    {
        m_timer.stop();
        if (const auto wakeUp = nextWakeUp(m_state)) {
            const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(*wakeUp - Clock::now());
            m_timer.start(std::max(remaining, std::chrono::milliseconds(0)));
        }
    }

    void send(const FakeReplies &replies)
    {
        for (const FakeReply &reply : replies) {
            sendReply(reply);
        }
    }

    void sendReply(const FakeReply &reply)
    {
        const std::string key = m_keys[reply.id];
        m_keys.erase(reply.id);
        switch (reply.kind) {
        case FakeReplyKind::Answer:
            m_server.respond(reply.id, response(200, fmt::format("{{\"upstream\":\"{}\",\"call\":\"{}\"}}\n", m_state.settings.name, key)));
            return;
        case FakeReplyKind::ServerError:
            m_server.respond(reply.id, response(500, "{\"error\":\"failed\"}\n"));
            return;
        case FakeReplyKind::ShedNotRun:
            m_server.respond(reply.id, notRun("shed"));
            return;
        case FakeReplyKind::ExpiredNotRun:
            m_server.respond(reply.id, notRun("deadline_passed"));
            return;
        case FakeReplyKind::Close:
            m_server.abortExchange(reply.id);
            return;
        case FakeReplyKind::CloseInAnswer:
            m_server.abortExchange(reply.id, PartialAnswer);
            return;
        }
    }

    HttpResponse response(int status, std::string body) const
    {
        const bool isLoadHidden = m_state.fault == FakeFault::FalseLoad;
        const std::size_t busy = isLoadHidden ? 0 : m_state.running.size();
        const std::size_t queued = isLoadHidden ? 0 : m_state.queue.size();
        HttpResponse response{.status = status, .fields = {{"Content-Type", "application/json"}}, .body = std::move(body)};
        response.fields.push_back({Headers::Load, fmt::format("busy={};queued={}", busy, queued)});
        if (m_state.drainingSince) {
            response.fields.push_back({Headers::UpstreamState, "draining"});
        }
        return response;
    }

    HttpResponse notRun(const std::string &reason) const
    {
        HttpResponse refusal = response(503, fmt::format("{{\"not_run\":\"{}\"}}\n", reason));
        refusal.fields.push_back({Headers::NotRun, reason});
        return refusal;
    }

    HttpServer m_server;
    QTimer m_timer;
    std::mt19937_64 m_random;
    FakeUpstreamState m_state;
    Endpoint m_endpoint;
    std::unordered_map<HttpExchangeId, std::string> m_keys; ///< Keys of the requests that are not answered yet.
};

FakeUpstream::FakeUpstream(const FakeUpstreamSettings &settings, std::uint64_t seed, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(settings, seed))
{
}

FakeUpstream::~FakeUpstream() = default;

bool FakeUpstream::listen(const Endpoint &endpoint)
{
    if (!d->m_server.listen(endpoint)) {
        return false;
    }
    d->m_endpoint = {.address = endpoint.address, .port = d->m_server.port()};
    return true;
}

Endpoint FakeUpstream::endpoint() const
{
    return d->m_endpoint;
}

void FakeUpstream::setFault(FakeFault fault)
{
    d->m_state.fault = fault;
    d->advanceToNow();
}

void FakeUpstream::setDraining(bool isDraining)
{
    Plantainweir::setDraining(d->m_state, isDraining, Clock::now());
}

void FakeUpstream::setSlowFactor(double factor)
{
    d->m_state.slowFactor = factor;
}

const FakeUpstreamState &FakeUpstream::state() const
{
    return d->m_state;
}

std::uint32_t FakeUpstream::executions(const std::string &key) const
{
    const auto found = d->m_state.executions.find(key);
    return found == d->m_state.executions.end() ? 0 : found->second.started;
}

QJsonObject FakeUpstream::toJson() const
{
    const FakeUpstreamState &state = d->m_state;
    const auto number = [](std::uint64_t value) {
        return static_cast<qint64>(value);
    };
    return {
        {"name", QString::fromStdString(state.settings.name)},
        {"endpoint", QString::fromStdString(toString(d->m_endpoint))},
        {"fault", QString::fromUtf8(nameOf(state.fault).data())},
        {"draining", state.drainingSince.has_value()},
        {"slowFactor", state.slowFactor},
        {"busy", number(state.running.size())},
        {"queued", number(state.queue.size())},
        {"arrived", number(state.counts.arrived)},
        {"started", number(state.counts.started)},
        {"completed", number(state.counts.completed)},
        {"cancelled", number(state.counts.cancelled)},
        {"shed", number(state.counts.shed)},
        {"expired", number(state.counts.expired)},
        {"arrivedWhileDraining", number(state.counts.arrivedWhileDraining)},
        {"lastArrivalAfterDrainMs", toMilliseconds(state.counts.lastArrivalAfterDrain)},
    };
}

}
