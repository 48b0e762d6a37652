#include "tasks/storehealthchecktask.h"

#include <QTimer>

namespace Plantainweir {
namespace {

constexpr std::chrono::milliseconds CheckPeriod{1500};
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

    void check()
    {
        m_client.send(m_store, m_codec.encodeHealthCheck(m_name), Clock::now() + CheckTimeout);
    }

    Endpoint m_store;
    GatewayCodec m_codec;
    std::string m_name;
    HttpClient m_client;
    QTimer m_timer;
};

StoreHealthCheckTask::StoreHealthCheckTask(const Endpoint &store, const GatewayCodec &codec, const std::string &name, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(store, codec, name))
{
    connect(&d->m_timer, &QTimer::timeout, this, [this] {
        d->check();
    });
    connect(&d->m_client, &HttpClient::finished, this, [this](HttpRequestId, const HttpRequestResult &result) {
        if (!d->m_codec.isHealthCheckPassed(result)) {
            Q_EMIT failed();
        }
    });
}

StoreHealthCheckTask::~StoreHealthCheckTask() = default;

void StoreHealthCheckTask::start()
{
    d->m_timer.start(CheckPeriod);
}

}
