#include "tasks/proxyupstreamport.h"

#include <unordered_map>

namespace Plantainweir {
namespace {

ProxyAttemptOutcome outcomeOf(HttpRequestOutcome outcome)
{
    switch (outcome) {
    case HttpRequestOutcome::NotSent:
        return ProxyAttemptOutcome::NotSent;
    case HttpRequestOutcome::DeadlinePassed:
        return ProxyAttemptOutcome::DeadlinePassed;
    case HttpRequestOutcome::ConnectionLost:
    case HttpRequestOutcome::Answered:
        break;
    }
    return ProxyAttemptOutcome::ConnectionLost;
}

}

class ProxyUpstreamPort::Private
{
public:
    Private(ProxyUpstreamPort *port, const GatewayCodec &codec, const HttpLimits &limits)
        : q(port)
        , m_codec(codec)
        , m_client(limits)
    {
        m_client.setCorrelationField(codec.correlationField);
    }

    void finish(HttpRequestId id, const HttpRequestResult &result)
    {
        if (const auto probe = m_probes.find(id); probe != m_probes.end()) {
            const OutgoingProbe sent = std::move(probe->second);
            m_probes.erase(probe);
            finishProbe(sent, result);
            return;
        }
        const auto attempt = m_attempts.find(id);
        if (attempt == m_attempts.end()) {
            return;
        }
        const ProxyAttemptId attemptId = attempt->second;
        m_attempts.erase(attempt);
        m_requestByAttempt.erase(attemptId);
        finishAttempt(attemptId, result);
    }

    void finishProbe(const OutgoingProbe &probe, const HttpRequestResult &result)
    {
        ProbeEnded ended{.id = probe.id, .outcome = ProbeOutcome::Unreachable, .load = {}, .notice = {}};
        if (result.isOutOfConnections) {
            // That this process has no connection left says nothing about the upstream, which is therefore not ejected.
            ended.outcome = ProbeOutcome::Unhealthy;
        }
        if (result.outcome == HttpRequestOutcome::Answered) {
            const DecodedProbeResponse decoded = m_codec.decodeProbeResponse(result.response, probe.upstream);
            ended.outcome = decoded.outcome;
            ended.load = decoded.load;
            ended.notice = decoded.notice;
            ended.coldTime = decoded.coldTime;
        }
        Q_EMIT q->probeEnded(ended);
    }

    void finishAttempt(ProxyAttemptId id, const HttpRequestResult &result)
    {
        ProxyAttemptResult attempt{.ended = {.id = id, .outcome = outcomeOf(result.outcome), .isOutOfConnections = result.isOutOfConnections},
                                   .response = nullptr};
        if (result.outcome == HttpRequestOutcome::Answered) {
            const DecodedAttemptResponse decoded = m_codec.decodeAttemptResponse(result.response);
            attempt.ended.outcome = decoded.outcome;
            attempt.ended.load = decoded.load;
            attempt.ended.notice = decoded.notice;
            attempt.response = std::make_shared<const ResponseMessage>(result.response);
        }
        Q_EMIT q->attemptEnded(attempt);
    }

    ProxyUpstreamPort *q;
    GatewayCodec m_codec;
    HttpClient m_client;
    std::unordered_map<HttpRequestId, OutgoingProbe> m_probes;
    std::unordered_map<HttpRequestId, ProxyAttemptId> m_attempts;
    std::unordered_map<ProxyAttemptId, HttpRequestId> m_requestByAttempt;
};

ProxyUpstreamPort::ProxyUpstreamPort(const GatewayCodec &codec, const HttpLimits &limits, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, codec, limits))
{
    connect(&d->m_client, &HttpClient::connectionOpened, this, &ProxyUpstreamPort::connectionOpened);
    connect(&d->m_client, &HttpClient::finished, this, [this](HttpRequestId id, const HttpRequestResult &result) {
        d->finish(id, result);
    });
}

ProxyUpstreamPort::~ProxyUpstreamPort() = default;

void ProxyUpstreamPort::setConnectionLimit(const Endpoint &endpoint, std::size_t limit)
{
    d->m_client.setConnectionLimit(endpoint, limit);
}

void ProxyUpstreamPort::probe(const OutgoingProbe &probe)
{
    const HttpRequestId id = d->m_client.send(probe.upstream.endpoint, d->m_codec.encodeProbe(probe.healthPath), probe.deadline);
    d->m_probes.emplace(id, probe);
}

void ProxyUpstreamPort::send(const OutgoingProxyAttempt &attempt)
{
    const HttpRequest request = d->m_codec.encodeAttempt(attempt, Clock::now());
    const HttpRequestId id = d->m_client.send(attempt.upstream.endpoint, request, attempt.deadline);
    d->m_attempts.emplace(id, attempt.id);
    d->m_requestByAttempt.emplace(attempt.id, id);
}

void ProxyUpstreamPort::cancel(ProxyAttemptId id)
{
    const auto found = d->m_requestByAttempt.find(id);
    if (found == d->m_requestByAttempt.end()) {
        return;
    }
    d->m_client.cancel(found->second);
    d->m_attempts.erase(found->second);
    d->m_requestByAttempt.erase(found);
}

}
