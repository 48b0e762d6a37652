#include "tasks/storelisttask.h"

#include "core/suspendawareclock.h"

#include <algorithm>
#include <iterator>

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
        const StoreReadOutcome outcome = m_codec.decodePage(m_delta.kind, result, false, page);
        const bool isStuck = page.hasMore && page.lastName <= m_afterName;
        const bool isRead = outcome == StoreReadOutcome::Page || outcome == StoreReadOutcome::CutOff;
        if (!isRead || (isStuck && !page.isIncomplete)) {
            // If it is stuck, the same pages would come again.
            Q_EMIT q->failed();
            return;
        }
        // Objects of the first page may have changed since it was read, and later pages do not show that.
        m_delta.revision = m_delta.revision == 0 ? page.revision : m_delta.revision;
        std::copy_if(page.objects.begin(), page.objects.end(), std::back_inserter(m_delta.objects), [this, &page](const StoreObject &object) {
            // The damage may have given an entry the name of another one.
            return !page.isIncomplete || object.name > m_afterName;
        });
        m_delta.isComplete = !isStuck;
        m_delta.isPartial = isStuck;
        if (page.hasMore && !isStuck) {
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
    d->m_delta.revision = 0;
    d->m_delta.objects.clear();
    d->requestPage({});
}

}
