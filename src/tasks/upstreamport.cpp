#include "tasks/upstreamport.h"

#include "core/parsenumber.h"
#include "http/headers.h"
#include "http/httpclient.h"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace Plantainweir {
namespace {

constexpr int ServerErrorStatus = 500;
constexpr int UnavailableStatus = 503;
/**
 * An upstream's connection limit is divided by this, since former owners whose calls still run hold connections beside
 * the current owner.
 */
constexpr std::uint32_t ConnectionLimitDivisor = 4;

HttpRequest makeRequest(const OutgoingAttempt &attempt, TimePoint now)
{
    HttpRequest request = *attempt.message;
    const auto remaining = std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(attempt.deadline - now).count());
    request.fields.push_back({.name = Headers::TimeoutMs, .value = std::to_string(remaining)});
    request.fields.push_back({.name = Headers::WorkKind, .value = attempt.workKind});
    if (!attempt.idempotencyKey.empty()) {
        request.fields.push_back({.name = Headers::IdempotencyKey, .value = attempt.idempotencyKey});
    }
    return request;
}

AttemptOutcome outcomeOf(const HttpRequestResult &result)
{
    switch (result.outcome) {
    case HttpRequestOutcome::NotSent:
        return AttemptOutcome::NotSent;
    case HttpRequestOutcome::ConnectionLost:
        return AttemptOutcome::ConnectionLost;
    case HttpRequestOutcome::DeadlinePassed:
        return AttemptOutcome::DeadlinePassed;
    case HttpRequestOutcome::Answered:
        break;
    }
    const bool isShed = result.response.status == UnavailableStatus && !fieldValue(result.response.fields, Headers::NotRun).empty();
    if (isShed) {
        return AttemptOutcome::Shed;
    }
    return result.response.status >= ServerErrorStatus ? AttemptOutcome::ServerError : AttemptOutcome::Succeeded;
}

std::optional<std::uint32_t> parseNumberAfter(std::string_view text, std::string_view name)
{
    const auto start = text.find(name);
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view rest = text.substr(start + name.size());
    return parseNumber<std::uint32_t>(rest.substr(0, rest.find(';')));
}

}

std::optional<LoadReport> parseLoadReport(const HttpFields &fields)
{
    const std::string_view load = fieldValue(fields, Headers::Load);
    const bool isDraining = fieldValue(fields, Headers::UpstreamState) == "draining";
    const auto busy = parseNumberAfter(load, "busy=");
    if (!busy && !isDraining) {
        return std::nullopt;
    }
    return LoadReport{.busySlots = busy.value_or(0), .queuedCalls = parseNumberAfter(load, "queued=").value_or(0), .isDraining = isDraining};
}

class UpstreamPort::Private
{
public:
    explicit Private(const HttpLimits &limits)
        : m_client(limits)
    {
    }

    HttpClient m_client;
    std::unordered_map<HttpRequestId, AttemptToken> m_attemptByRequest;
    std::map<AttemptToken, HttpRequestId> m_requestByAttempt;
};

UpstreamPort::UpstreamPort(const HttpLimits &limits, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(limits))
{
    connect(&d->m_client, &HttpClient::finished, this, [this](HttpRequestId id, const HttpRequestResult &result) {
        const auto found = d->m_attemptByRequest.find(id);
        if (found == d->m_attemptByRequest.end()) {
            return;
        }
        const AttemptToken token = found->second;
        d->m_attemptByRequest.erase(found);
        d->m_requestByAttempt.erase(token);
        const bool hasResponse = result.outcome == HttpRequestOutcome::Answered;
        Q_EMIT finished({
            .token = token,
            .outcome = outcomeOf(result),
            .report = hasResponse ? parseLoadReport(result.response.fields) : std::nullopt,
            .response = hasResponse ? std::make_shared<const ResponseMessage>(result.response) : nullptr,
        });
    });
}

UpstreamPort::~UpstreamPort() = default;

void UpstreamPort::setConnectionLimits(const std::vector<Upstream> &upstreams)
{
    for (const Upstream &upstream : upstreams) {
        d->m_client.setConnectionLimit(upstream.endpoint, std::max(upstream.slots, upstream.connectionLimit / ConnectionLimitDivisor));
    }
}

void UpstreamPort::send(const OutgoingAttempt &attempt)
{
    const HttpRequestId id = d->m_client.send(attempt.endpoint, makeRequest(attempt, Clock::now()), attempt.deadline);
    d->m_attemptByRequest.emplace(id, attempt.token);
    d->m_requestByAttempt.emplace(attempt.token, id);
}

void UpstreamPort::cancel(const AttemptToken &token)
{
    const auto found = d->m_requestByAttempt.find(token);
    if (found == d->m_requestByAttempt.end()) {
        return;
    }
    d->m_client.cancel(found->second);
    d->m_attemptByRequest.erase(found->second);
    d->m_requestByAttempt.erase(found);
}

}
