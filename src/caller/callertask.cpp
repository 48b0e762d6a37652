#include "caller/callertask.h"

#include "caller/callprogress.h"
#include "caller/directoryanswer.h"
#include "http/headers.h"
#include "http/httpclient.h"
#include "observability/logevents.h"

#include <fmt/core.h>

#include <algorithm>
#include <iterator>
#include <optional>
#include <unordered_map>
#include <utility>

namespace Plantainweir {
namespace {

constexpr std::chrono::seconds DirectoryTimeout{1};
/** How long the caller waits for a call whose deadline is set by the work kind's target. */
constexpr std::chrono::seconds MaximumCallDuration{60};
/** How long the caller still waits after the deadline, since the outcome of a late call arrives after its deadline. */
constexpr std::chrono::seconds OutcomeTransitMargin{2};
constexpr std::size_t ConnectionLimit = 4096;

using LocalCallId = std::uint64_t;

/** A call that has no outcome yet. */
struct ActiveCall {
    OutgoingCall call;
    CallProgress progress;
    std::vector<DirectoryEntry> entries; ///< In the order to try, from the directory answer with which the call started.
    int status = 0;
    std::string body;
    std::uint32_t lostTries = 0;
};

/** The directory answer for one service, and the calls that wait for a newer one. */
struct DirectoryState {
    std::optional<DirectoryAnswer> answer;
    bool isQueryInFlight = false;
    Endpoint queriedEntry; ///< Entry VM that was queried, while a query is in flight.
    std::size_t failures = 0; ///< Consecutive queries without an answer.
    std::vector<LocalCallId> waitingCalls;
};

UnixMilliseconds unixNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

TryResult tryResultOf(const HttpRequestResult &result)
{
    switch (result.outcome) {
    case HttpRequestOutcome::NotSent:
        return {.outcome = TryOutcome::NotSent, .callOutcome = CallOutcome::NotRun, .reason = {}};
    case HttpRequestOutcome::ConnectionLost:
    case HttpRequestOutcome::DeadlinePassed:
        return {.outcome = TryOutcome::NoResponse, .callOutcome = CallOutcome::Unknown, .reason = {}};
    case HttpRequestOutcome::Answered:
        break;
    }
    const auto outcome = valueNamed<CallOutcome>(fieldValue(result.response.fields, Headers::Outcome));
    if (!outcome) {
        return {.outcome = TryOutcome::Replied, .callOutcome = CallOutcome::Unknown, .reason = std::string(nameOf(CallerReason::NoOutcome))};
    }
    return {.outcome = TryOutcome::Replied, .callOutcome = *outcome, .reason = std::string(fieldValue(result.response.fields, Headers::Reason))};
}

}

class CallerTask::Private : public QObject
{
public:
    Private(CallerTask *task, const CallerSettings &settings, std::uint64_t seed)
        : q(task)
        , m_settings(settings)
        , m_random(seed)
        , m_client(HttpLimits{})
        , m_directoryEndpoints(settings.entries)
    {
        connect(&m_client, &HttpClient::finished, this, &Private::handleFinished);
    }

    void start(const OutgoingCall &call)
    {
        const LocalCallId id = ++m_lastCall;
        ActiveCall active{.call = call, .progress = {}, .entries = {}, .status = 0, .body = {}, .lostTries = 0};
        active.progress.repeatability = call.kind.repeatability;
        const bool hasTimeout = m_settings.timeout > Duration::zero();
        active.progress.deadline = call.dueAt + (hasTimeout ? m_settings.timeout : Duration(MaximumCallDuration));
        m_calls.emplace(id, std::move(active));
        beginOrAwaitDirectory(id);
    }

    void beginOrAwaitDirectory(LocalCallId id)
    {
        const std::string service = m_calls.at(id).call.kind.service;
        DirectoryState &directory = m_directories[service];
        const bool isFresh = directory.answer && Clock::now() < directory.answer->expiresAt;
        if (isFresh) {
            begin(id, *directory.answer);
            return;
        }
        directory.waitingCalls.push_back(id);
        queryDirectory(service);
    }

    void queryDirectory(const std::string &service)
    {
        DirectoryState &directory = m_directories[service];
        if (directory.isQueryInFlight) {
            return;
        }
        directory.isQueryInFlight = true;
        const Endpoint entry = m_directoryEndpoints.front();
        directory.queriedEntry = entry;
        const HttpRequest request{.method = "GET", .target = "/directory/" + service, .fields = {}, .body = {}};
        m_serviceByQuery.emplace(m_client.send(entry, request, Clock::now() + DirectoryTimeout), service);
    }

    void handleFinished(HttpRequestId id, const HttpRequestResult &result)
    {
        if (const auto query = m_serviceByQuery.find(id); query != m_serviceByQuery.end()) {
            const std::string service = query->second;
            m_serviceByQuery.erase(query);
            handleDirectory(service, result);
            return;
        }
        const auto sent = m_callByRequest.find(id);
        const LocalCallId call = sent->second;
        m_callByRequest.erase(sent);
        handleTry(call, result);
    }

    void handleDirectory(const std::string &service, const HttpRequestResult &result)
    {
        DirectoryState &directory = m_directories[service];
        directory.isQueryInFlight = false;
        const bool isAnswered = result.outcome == HttpRequestOutcome::Answered && result.response.status == 200;
        const auto answer = isAnswered ? parseDirectory(result.response.body) : std::nullopt;
        if (!answer) {
            handleDirectoryFailure(service, directory);
            return;
        }
        directory.failures = 0;
        directory.answer = answer;
        updateDirectoryEndpoints(answer->entries);
        for (const LocalCallId id : std::exchange(directory.waitingCalls, {})) {
            begin(id, *answer);
        }
    }

    /**
     * Queries go to the entry VMs of the newest answer first and then to those of the settings, since VMs are replaced.
     */
    void updateDirectoryEndpoints(const std::vector<DirectoryEntry> &entries)
    {
        m_directoryEndpoints.clear();
        for (const DirectoryEntry &entry : entries) {
            m_directoryEndpoints.push_back(entry.address);
        }
        std::copy_if(m_settings.entries.begin(), m_settings.entries.end(), std::back_inserter(m_directoryEndpoints), [this](const Endpoint &entry) {
            return std::find(m_directoryEndpoints.begin(), m_directoryEndpoints.end(), entry) == m_directoryEndpoints.end();
        });
    }

    /** Moves an entry VM that did not answer to the end of the query order. */
    void moveToEnd(const Endpoint &entry)
    {
        const auto found = std::find(m_directoryEndpoints.begin(), m_directoryEndpoints.end(), entry);
        if (found != m_directoryEndpoints.end()) {
            std::rotate(found, found + 1, m_directoryEndpoints.end());
        }
    }

    std::optional<DirectoryAnswer> parseDirectory(const std::string &body) const
    {
        return valueOr(
            [&body]() -> Result<std::optional<DirectoryAnswer>> {
                BOOST_LEAF_AUTO(answer, parseDirectoryAnswer(body, Clock::now()));
                return std::optional(answer);
            },
            [](const Error &error) {
                logEvent(LogEvent::DirectoryMalformed, {{"error", error.message}});
                return std::optional<DirectoryAnswer>();
            });
    }

    /** Queries the next entry VM; once all have failed, ends the calls that wait for an answer. */
    void handleDirectoryFailure(const std::string &service, DirectoryState &directory)
    {
        moveToEnd(directory.queriedEntry);
        if (++directory.failures < m_directoryEndpoints.size()) {
            queryDirectory(service);
            return;
        }
        directory.failures = 0;
        logEvent(LogEvent::DirectoryUnavailable, {{"service", service}});
        for (const LocalCallId id : std::exchange(directory.waitingCalls, {})) {
            finish(id, {.step = NextStep::Finish, .outcome = CallOutcome::NotRun, .reason = std::string(nameOf(CallerReason::NoDirectory))});
        }
    }

    void begin(LocalCallId id, const DirectoryAnswer &answer)
    {
        ActiveCall &active = m_calls.at(id);
        active.entries = answer.entries;
        assignKey(active, active.entries.front());
        send(id, active.entries.front());
    }

    void assignKey(ActiveCall &active, const DirectoryEntry &entry)
    {
        active.progress.key = makeUuidV7(unixNow(), m_random);
        active.progress.keyOwner = entry.keyOwner;
        active.progress.mayHaveArrived = false;
    }

    void send(LocalCallId id, const DirectoryEntry &entry)
    {
        const ActiveCall &active = m_calls.at(id);
        m_client.setConnectionLimit(entry.address, ConnectionLimit);
        const TimePoint now = Clock::now();
        const TimePoint wholeCall = active.progress.deadline + OutcomeTransitMargin;
        const bool hasTryTimeout = m_settings.tryTimeout > Duration::zero();
        const TimePoint deadline = hasTryTimeout ? std::min(wholeCall, now + m_settings.tryTimeout) : wholeCall;
        m_callByRequest.emplace(m_client.send(entry.address, makeRequest(active, now), deadline), id);
    }

    HttpRequest makeRequest(const ActiveCall &active, TimePoint now) const
    {
        const std::string key = toString(active.progress.key);
        const char separator = active.call.target.find('?') == std::string::npos ? '?' : '&';
        HttpRequest request{
            .method = active.call.method,
            .target = fmt::format("/call/{}{}{}call={}", active.call.kind.service, active.call.target, separator, key),
            .fields = {{Headers::WorkKind, active.call.kind.name}, {Headers::Caller, m_settings.caller}},
            .body = active.call.body,
        };
        if (m_settings.timeout > Duration::zero()) {
            const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(active.progress.deadline - now);
            request.fields.push_back({.name = Headers::TimeoutMs, .value = std::to_string(std::max<std::int64_t>(0, remaining.count()))});
        }
        if (active.call.kind.repeatability == Repeatability::AtMostOnce) {
            request.fields.push_back({.name = Headers::IdempotencyKey, .value = key});
            request.fields.push_back({.name = Headers::KeyOwner, .value = active.progress.keyOwner});
        }
        return request;
    }

    void handleTry(LocalCallId id, const HttpRequestResult &result)
    {
        ActiveCall &active = m_calls.at(id);
        const TryResult tried = tryResultOf(result);
        active.lostTries += result.outcome == HttpRequestOutcome::ConnectionLost ? 1 : 0;
        if (tried.outcome == TryOutcome::Replied) {
            active.status = result.response.status;
            active.body = result.response.body;
        } else {
            expireDirectory(active.call.kind.service);
        }
        const CallDecision decision = decideAfterTry(active.progress, tried, m_settings.maximumTries, Clock::now());
        if (decision.step == NextStep::Finish) {
            finish(id, decision);
            return;
        }
        const DirectoryEntry &next = active.entries[active.progress.tries % active.entries.size()];
        if (decision.step == NextStep::RetryNewKey) {
            active.progress.earlierKeys.push_back(active.progress.key);
            assignKey(active, next);
        }
        send(id, next);
    }

    /** Expires the directory answer, which may be outdated since an entry VM in it could not be reached. */
    void expireDirectory(const std::string &service)
    {
        DirectoryState &directory = m_directories[service];
        if (directory.answer) {
            directory.answer->expiresAt = Clock::now();
        }
    }

    void finish(LocalCallId id, const CallDecision &decision)
    {
        const ActiveCall &active = m_calls.at(id);
        const FinishedCall finished{
            .kind = active.call.kind,
            .key = active.progress.key,
            .earlierKeys = active.progress.earlierKeys,
            .outcome = decision.outcome,
            .reason = decision.reason,
            .status = active.status,
            .body = active.body,
            .latency = Clock::now() - active.call.dueAt,
            .tries = active.progress.tries,
            .lostTries = active.lostTries,
        };
        m_calls.erase(id);
        Q_EMIT q->finished(finished);
    }

    CallerTask *q;
    CallerSettings m_settings;
    std::mt19937_64 m_random;
    HttpClient m_client;
    LocalCallId m_lastCall = 0;
    std::vector<Endpoint> m_directoryEndpoints; ///< Entry VMs to query, in this order.
    std::unordered_map<LocalCallId, ActiveCall> m_calls;
    std::unordered_map<HttpRequestId, LocalCallId> m_callByRequest;
    std::unordered_map<HttpRequestId, std::string> m_serviceByQuery;
    std::unordered_map<std::string, DirectoryState> m_directories;
};

CallerTask::CallerTask(const CallerSettings &settings, std::uint64_t seed, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, settings, seed))
{
}

CallerTask::~CallerTask() = default;

void CallerTask::call(const OutgoingCall &call)
{
    d->start(call);
}

}
