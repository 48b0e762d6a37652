#include "tasks/storewatchtask.h"

#include <QTimer>

namespace Plantainweir {
namespace {

constexpr std::size_t MaximumPageBytes = 16 * 1024 * 1024;
constexpr std::chrono::milliseconds ListTimeout{1000};
/** The store answers a watch without changes after this time; the platform permits at most 30 s. */
constexpr std::chrono::milliseconds LongPollTimeout{20'000};
/** Added to the long poll's timeout for the transit of the answer. */
constexpr std::chrono::milliseconds AnswerTransitMargin{1500};

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
        connect(&m_client, &HttpClient::finished, this, [this](HttpRequestId, const HttpRequestResult &result) {
            handleAnswer(result);
        });
    }

    void handleEvent(const StoreWatchEvent &event)
    {
        const bool wasFailing = m_watch.failures > 0;
        const auto actions = step(m_watch, event, Clock::now(), m_random);
        if (!wasFailing && m_watch.failures > 0) {
            Q_EMIT q->storeUnreachable();
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

    void execute(const SendStoreList &action)
    {
        if (action.afterName.empty()) {
            m_listedNames.clear();
        }
        m_currentRequest = m_client.send(m_store, m_codec.encodeList(m_kind, action.afterName), Clock::now() + ListTimeout);
    }

    void execute(const SendStoreWatch &action)
    {
        m_currentRequest
            = m_client.send(m_store, m_codec.encodeWatch(m_kind, action.revision, LongPollTimeout), Clock::now() + LongPollTimeout + AnswerTransitMargin);
    }

    void execute(const CompleteStoreList &)
    {
        Q_EMIT q->listCompleted(m_listedNames);
    }

    void execute(const ReportStoreRecovered &action)
    {
        Q_EMIT q->storeRecovered(action.outage);
    }

    void handleAnswer(const HttpRequestResult &result)
    {
        const bool isWatch = m_watch.phase == StoreWatchPhase::Watching;
        StorePage page;
        switch (m_codec.decodePage(m_kind, result, isWatch, page)) {
        case StoreReadOutcome::Failed:
            handleEvent(StoreCallFailed{});
            return;
        case StoreReadOutcome::RevisionGone:
            handleEvent(StoreHistoryCompacted{});
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
        if (!page.objects.empty()) {
            Q_EMIT q->objectsReceived(page.objects);
        }
        handleEvent(StoreChangesReceived{page.revision, page.objects.empty()});
    }

    void handlePage(const StorePage &page)
    {
        for (const StoreObject &object : page.objects) {
            m_listedNames.push_back(object.name);
        }
        Q_EMIT q->objectsReceived(page.objects);
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
    std::vector<std::string> m_listedNames;
    HttpRequestId m_currentRequest = 0;
};

StoreWatchTask::StoreWatchTask(StoreObjectKind kind, const Endpoint &store, const GatewayCodec &codec, std::uint64_t seed, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, kind, store, codec, seed))
{
}

StoreWatchTask::~StoreWatchTask() = default;

void StoreWatchTask::start()
{
    d->handleEvent(StoreTimerFired{});
}

void StoreWatchTask::restart()
{
    if (d->m_watch.phase != StoreWatchPhase::Pausing) {
        d->m_client.cancel(d->m_currentRequest);
        d->handleEvent(StoreCallFailed{});
    }
}

bool StoreWatchTask::isListed() const
{
    return d->m_watch.isListed;
}

bool StoreWatchTask::isCurrent() const
{
    return d->m_watch.isListed && d->m_watch.failures == 0;
}

}
