#include "tasks/storelisttask.h"

#include "core/suspendawareclock.h"

namespace Plantainweir {
namespace {

constexpr std::size_t MaximumPageBytes = 16 * 1024 * 1024;
constexpr std::chrono::milliseconds PageTimeout{1000};

}

class StoreListTask::Private : public QObject
{
public:
    Private(StoreListTask *task, StoreObjectKind kind, const Endpoint &store, const GatewayCodec &codec)
        : q(task)
        , m_store(store)
        , m_codec(codec)
        , m_client(HttpLimits{.bodyBytes = MaximumPageBytes})
    {
        m_delta.kind = kind;
        m_delta.isComplete = true;
        connect(&m_client, &HttpClient::finished, this, [this](HttpRequestId, const HttpRequestResult &result) {
            handleAnswer(result);
        });
    }

    void requestPage(const std::string &after)
    {
        m_afterName = after;
        m_client.send(m_store, m_codec.encodeList(m_delta.kind, after, m_consistency), Clock::now() + PageTimeout);
    }

    void handleAnswer(const HttpRequestResult &result)
    {
        StorePage page;
        if (m_codec.decodePage(m_delta.kind, result, false, page) != StoreReadOutcome::Page) {
            Q_EMIT q->failed();
            return;
        }
        if (page.hasMore && page.lastName <= m_afterName) {
            // The same pages would come again.
            Q_EMIT q->failed();
            return;
        }
        if (isSet(m_delta.revision) && page.revision.era != m_delta.revision.era) {
            // The store has returned from a copy since the first page was read.
            Q_EMIT q->failed();
            return;
        }
        // Objects of the first page may have changed since it was read, and later pages do not show that.
        m_delta.revision = isSet(m_delta.revision) ? m_delta.revision : page.revision;
        m_delta.objects.insert(m_delta.objects.end(), page.objects.begin(), page.objects.end());
        if (page.hasMore) {
            requestPage(page.lastName);
        } else {
            Q_EMIT q->listed(m_delta, m_sentAt);
        }
    }

    StoreListTask *q;
    Endpoint m_store;
    GatewayCodec m_codec;
    HttpClient m_client;
    ReadConsistency m_consistency = ReadConsistency::Consistent;
    TimePoint m_sentAt;
    StoreDelta m_delta;
    std::string m_afterName; ///< Last name of the previous page.
};

StoreListTask::StoreListTask(StoreObjectKind kind, const Endpoint &store, const GatewayCodec &codec, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, kind, store, codec))
{
}

StoreListTask::~StoreListTask() = default;

void StoreListTask::start(ReadConsistency consistency)
{
    d->m_consistency = consistency;
    d->m_sentAt = suspendAwareNow();
    d->m_delta.revision = {};
    d->m_delta.objects.clear();
    d->requestPage({});
}

}
