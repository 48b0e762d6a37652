#include "tasks/storehealthchecktask.h"

#include "core/suspendawareclock.h"

#include <QTimer>

#include <map>

namespace Plantainweir {
namespace {

constexpr std::chrono::milliseconds CheckTimeout{800};

}

class StoreHealthCheckTask::Private
{
public:
    Private(const Endpoint &store, const GatewayCodec &codec, const std::string &name)
        : m_store(store)
        , m_codec(codec)
        , m_name(name)
        , m_client(HttpLimits{})
    {
    }

    Endpoint m_store;
    GatewayCodec m_codec;
    std::string m_name;
    HttpClient m_client;
    QTimer m_timer;
    std::map<HttpRequestId, TimePoint> m_sentAt; ///< Of the checks in flight.
};

StoreHealthCheckTask::StoreHealthCheckTask(const Endpoint &store, const GatewayCodec &codec, const std::string &name, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(store, codec, name))
{
    connect(&d->m_timer, &QTimer::timeout, this, &StoreHealthCheckTask::check);
    connect(&d->m_client, &HttpClient::finished, this, [this](HttpRequestId id, const HttpRequestResult &result) {
        const auto sent = d->m_sentAt.find(id);
        const TimePoint sentAt = sent->second;
        d->m_sentAt.erase(sent);
        if (d->m_codec.isHealthCheckPassed(result)) {
            Q_EMIT passed(sentAt);
        } else {
            Q_EMIT failed();
        }
    });
}

StoreHealthCheckTask::~StoreHealthCheckTask() = default;

void StoreHealthCheckTask::start(Duration period)
{
    d->m_timer.start(std::chrono::duration_cast<std::chrono::milliseconds>(period));
}

void StoreHealthCheckTask::stop()
{
    d->m_timer.stop();
}

void StoreHealthCheckTask::check()
{
    const HttpRequestId id = d->m_client.send(d->m_store, d->m_codec.encodeHealthCheck(d->m_name), Clock::now() + CheckTimeout);
    d->m_sentAt.emplace(id, suspendAwareNow());
}

}
