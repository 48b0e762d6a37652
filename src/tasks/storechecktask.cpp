#include "tasks/storechecktask.h"

#include <QTimer>

namespace Plantainweir {
namespace {

constexpr std::chrono::milliseconds CheckPeriod{1500};
constexpr std::chrono::milliseconds CheckTime{800};

}

class StoreCheckTask::Private
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
        m_client.send(m_store, m_codec.encodeCheck(m_name), Clock::now() + CheckTime);
    }

    Endpoint m_store;
    GatewayCodec m_codec;
    std::string m_name;
    HttpClient m_client;
    QTimer m_timer;
};

StoreCheckTask::StoreCheckTask(const Endpoint &store, const GatewayCodec &codec, const std::string &name, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(store, codec, name))
{
    connect(&d->m_timer, &QTimer::timeout, this, [this] {
        d->check();
    });
    connect(&d->m_client, &HttpClient::finished, this, [this](SendId, const SendResult &result) {
        if (!d->m_codec.isCheckPassed(result)) {
            Q_EMIT failed();
        }
    });
}

StoreCheckTask::~StoreCheckTask() = default;

void StoreCheckTask::start()
{
    d->m_timer.start(CheckPeriod);
}

}
