#include "tasks/storechecktask.h"

#include "core/suspendawareclock.h"

#include <map>

namespace Plantainweir {
namespace {

constexpr std::size_t MaximumAnswerBytes = 16 * 1024 * 1024;
constexpr std::chrono::milliseconds CheckTimeout{800};
/** The store answers at once, with the changes that there are; it may take zero for its default. */
constexpr std::chrono::milliseconds ShortestWait{1};

}

class StoreCheckTask::Private : public QObject
{
public:
    Private(StoreCheckTask *task, const Endpoint &store, const GatewayCodec &codec)
        : q(task)
        , m_store(store)
        , m_codec(codec)
        , m_client(HttpLimits{.bodyBytes = MaximumAnswerBytes})
    {
        connect(&m_client, &HttpClient::finished, this, &Private::handleAnswer);
    }

    void ask(const StoreCheck &check, const StoreRevision &revision)
    {
        const HttpRequest request = m_codec.encodeWatch(*check.asked, revision.number, ShortestWait, check.consistency);
        m_checks.emplace(m_client.send(m_store, request, check.deadline), check);
    }

    void handleAnswer(HttpRequestId id, const HttpRequestResult &result)
    {
        StoreCheck check = m_checks.extract(id).mapped();
        StorePage page;
        const StoreReadOutcome outcome = m_codec.decodePage(*check.asked, result, true, page);
        if (outcome == StoreReadOutcome::Failed) {
            Q_EMIT q->failed();
            return;
        }
        adoptAnswer(check,
                    {.outcome = outcome, .revision = page.revision, .hasChanges = !page.objects.empty() || page.ignoredObjects > 0 || page.isIncomplete});
        if (!check.asked) {
            Q_EMIT q->finished(check);
            return;
        }
        for (const CheckedWatch &checked : check.watches) {
            if (checked.watch.kind == check.asked) {
                ask(check, checked.watch.revision);
            }
        }
    }

    StoreCheckTask *q;
    Endpoint m_store;
    GatewayCodec m_codec;
    HttpClient m_client;
    std::map<HttpRequestId, StoreCheck> m_checks; ///< Those in flight.
};

StoreCheckTask::StoreCheckTask(const Endpoint &store, const GatewayCodec &codec, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, store, codec))
{
}

StoreCheckTask::~StoreCheckTask() = default;

void StoreCheckTask::check(const std::vector<WaitingWatch> &watches, ReadConsistency consistency, const StoreRevision &knownRevision)
{
    StoreCheck check{.consistency = consistency, .startedAt = suspendAwareNow(), .deadline = Clock::now() + CheckTimeout, .watches = {}, .asked = {}};
    for (const WaitingWatch &watch : watches) {
        check.watches.push_back({.watch = watch});
    }
    check.asked = watches.empty() ? StoreObjectKind::Configuration : watches.front().kind;
    d->ask(check, watches.empty() ? knownRevision : watches.front().revision);
}

}
