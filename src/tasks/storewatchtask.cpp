#include "tasks/storewatchtask.h"

#include "core/suspendawareclock.h"
#include "observability/logevents.h"

#include <QTimer>

namespace Plantainweir {
namespace {

constexpr std::size_t MaximumPageBytes = 16 * 1024 * 1024;
constexpr std::chrono::milliseconds ListTimeout{1000};
/** The store answers a watch without changes after this time, the longest that the platform permits. */
constexpr std::chrono::milliseconds LongPollTimeout{30'000};
/** Added to the long poll's timeout for the transit of the answer. */
constexpr std::chrono::milliseconds AnswerTransitMargin{1500};
/** An answer that arrived while the VM was suspended for longer than this may have waited to be read. */
constexpr std::chrono::milliseconds MaximumSuspension{50};

/** Returns the time for which the VM has been suspended since it booted, up to a constant. */
Duration suspendedTime()
{
    return suspendAwareNow() - Clock::now();
}

}

class StoreWatchTask::Private : public QObject
{
public:
    Private(StoreWatchTask *task, StoreObjectKind kind, const Endpoint &store, const GatewayCodec &codec, std::uint64_t seed)
        : q(task)
        , m_kind(kind)
        , m_store(store)
        , m_codec(codec)
        , m_client(HttpLimits{.bodyBytes = MaximumPageBytes})
        , m_random(seed)
    {
        m_timer.setSingleShot(true);
        m_timer.setTimerType(Qt::PreciseTimer);
        connect(&m_timer, &QTimer::timeout, this, [this] {
            handleEvent(StoreTimerFired{});
        });
        connect(&m_client, &HttpClient::finished, this, [this](HttpRequestId id, const HttpRequestResult &result) {
            if (id == m_currentRequest) {
                handleAnswer(result);
            }
        });
    }

    void start()
    {
        m_watch = {.changeBatchInterval = m_watch.changeBatchInterval, .minimumBackoff = m_watch.minimumBackoff, .era = m_watch.era};
        m_isStarted = true;
        handleEvent(StoreTimerFired{});
    }

    void stop()
    {
        m_isStarted = false;
        m_timer.stop();
        m_client.cancel(m_currentRequest);
        m_currentRequest = 0;
        m_watch.phase = StoreWatchPhase::Pausing;
    }

    void handleEvent(const StoreWatchEvent &event)
    {
        const bool wasFailing = m_watch.failures > 0;
        const std::uint64_t era = m_watch.era;
        const auto actions = step(m_watch, event, Clock::now(), m_random);
        if (!wasFailing && m_watch.failures > 0) {
            Q_EMIT q->storeUnreachable();
        }
        if (m_watch.era > era) {
            Q_EMIT q->eraSeen(m_watch.era);
        }
        for (const StoreWatchAction &action : actions) {
            std::visit(
                [this](const auto &alternative) {
                    execute(alternative);
                },
                action);
        }
        if (m_watch.phase == StoreWatchPhase::Pausing) {
            const Duration wait = std::max(Duration(0), Duration(m_watch.resumeAt - Clock::now()));
            m_timer.start(std::chrono::ceil<std::chrono::milliseconds>(wait));
        }
    }

    void send(const HttpRequest &request, std::chrono::milliseconds timeout)
    {
        m_sentAt = suspendAwareNow();
        m_suspendedBefore = suspendedTime();
        m_currentRequest = m_client.send(m_store, request, Clock::now() + timeout);
    }

    void execute(const SendStoreList &action)
    {
        send(m_codec.encodeList(m_kind, action.afterName, ReadConsistency::Consistent), ListTimeout);
        if (action.afterName.empty()) {
            m_listedObjects.clear();
            m_listStartedAt = m_sentAt;
        }
    }

    void execute(const SendStoreWatch &action)
    {
        send(m_codec.encodeWatch(m_kind, action.revision.number, LongPollTimeout, ReadConsistency::Consistent), LongPollTimeout + AnswerTransitMargin);
        m_completeUntil = action.revision;
        Q_EMIT q->watchStarted();
    }

    void execute(const CompleteStoreList &action)
    {
        Q_EMIT q->deltaReceived(
            {.kind = m_kind, .isComplete = true, .revision = action.revision, .objects = std::move(m_listedObjects)}, m_listStartedAt, m_listStartedAt);
        m_listedObjects.clear();
    }

    void execute(const ReportStoreRecovered &action)
    {
        Q_EMIT q->storeRecovered(action.outage);
    }

    void handleAnswer(const HttpRequestResult &result)
    {
        const bool isWatch = m_watch.phase == StoreWatchPhase::Watching;
        StorePage page;
        const StoreReadOutcome outcome = m_codec.decodePage(m_kind, result, isWatch, page);
        if (page.ignoredObjects > 0) {
            logEvent(LogEvent::ObjectsUnnamed, {{"kind", nameOf(m_kind)}, {"objects", page.ignoredObjects}});
        }
        if (outcome != StoreReadOutcome::Failed && page.revision.era < m_watch.era) {
            logEvent(LogEvent::StoreAnswerOutdated, {{"kind", nameOf(m_kind)}, {"era", page.revision.era}, {"known_era", m_watch.era}});
        }
        switch (outcome) {
        case StoreReadOutcome::Failed:
            handleEvent(StoreCallFailed{});
            return;
        case StoreReadOutcome::RevisionGone:
            handleEvent(StoreHistoryCompacted{page.revision.era});
            return;
        case StoreReadOutcome::Page:
            break;
        }
        if (isWatch) {
            handleChanges(page);
        } else {
            handlePage(page);
        }
    }

    void handleChanges(const StorePage &page)
    {
        if (page.isIncomplete || !continues(m_watch, page.revision)) {
            // What is missing may be the newest change, so that nothing is confirmed until the next list.
            handleEvent(StoreChangesReceived{.revision = page.revision, .isEmpty = page.objects.empty(), .isIncomplete = page.isIncomplete});
            return;
        }
        const bool wasSuspended = suspendedTime() - m_suspendedBefore > MaximumSuspension;
        Q_EMIT q->deltaReceived(
            {.kind = m_kind, .isComplete = false, .revision = page.revision, .objects = page.objects}, wasSuspended ? m_sentAt : suspendAwareNow(), m_sentAt);
        handleEvent(StoreChangesReceived{page.revision, page.objects.empty()});
    }

    void handlePage(const StorePage &page)
    {
        m_listedObjects.insert(m_listedObjects.end(), page.objects.begin(), page.objects.end());
        handleEvent(StorePageReceived{page.revision, page.lastName, page.hasMore});
    }

    StoreWatchTask *q;
    StoreObjectKind m_kind;
    Endpoint m_store;
    GatewayCodec m_codec;
    HttpClient m_client;
    std::mt19937_64 m_random;
    QTimer m_timer;
    StoreWatch m_watch;
    std::vector<StoreObject> m_listedObjects;
    HttpRequestId m_currentRequest = 0;
    bool m_isStarted = false;
    StoreRevision m_completeUntil; ///< Revision of the store up to which the watch that waits has missed nothing.
    TimePoint m_sentAt; ///< When the call in flight was sent.
    TimePoint m_listStartedAt;
    Duration m_suspendedBefore{};
};

StoreWatchTask::StoreWatchTask(StoreObjectKind kind, const Endpoint &store, const GatewayCodec &codec, std::uint64_t seed, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, kind, store, codec, seed))
{
}

StoreWatchTask::~StoreWatchTask() = default;

void StoreWatchTask::setChangeBatchInterval(Duration interval)
{
    d->m_watch.changeBatchInterval = interval;
}

void StoreWatchTask::setMinimumBackoff(Duration backoff)
{
    d->m_watch.minimumBackoff = backoff;
}

void StoreWatchTask::start()
{
    d->start();
}

void StoreWatchTask::stop()
{
    d->stop();
}

void StoreWatchTask::restart()
{
    if (d->m_watch.phase != StoreWatchPhase::Pausing) {
        d->m_client.cancel(d->m_currentRequest);
        d->handleEvent(StoreCallFailed{});
    }
}

void StoreWatchTask::listMissedChanges()
{
    if (d->m_watch.phase == StoreWatchPhase::Watching) {
        d->m_client.cancel(d->m_currentRequest);
        d->handleEvent(StoreChangesMissed{});
    }
}

void StoreWatchTask::setKnownEra(std::uint64_t era)
{
    if (era <= d->m_watch.era) {
        return;
    }
    if (!d->m_isStarted) {
        d->m_watch.era = era;
        return;
    }
    if (d->m_watch.phase == StoreWatchPhase::Watching) {
        d->m_client.cancel(d->m_currentRequest);
    }
    d->handleEvent(StoreEraSeen{era});
}

void StoreWatchTask::setCompleteUntil(const StoreRevision &revision)
{
    d->m_completeUntil = std::max(d->m_completeUntil, revision);
}

std::optional<WaitingWatch> StoreWatchTask::waitingWatch() const
{
    if (d->m_watch.phase != StoreWatchPhase::Watching) {
        return std::nullopt;
    }
    return WaitingWatch{.kind = d->m_kind, .revision = d->m_watch.revision, .completeUntil = d->m_completeUntil, .since = d->m_sentAt};
}

bool StoreWatchTask::isFollowing() const
{
    return d->m_watch.isListed && d->m_watch.failures == 0;
}

}
