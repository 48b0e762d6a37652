#include "tasks/entryd.h"

#include "configuration/configurationjson.h"
#include "http/operatorsport.h"
#include "observability/logevents.h"
#include "observability/metrics.h"
#include "tasks/callerport.h"
#include "tasks/controlclient.h"
#include "tasks/directory.h"
#include "tasks/dispatchtask.h"
#include "tasks/peerport.h"
#include "tasks/upstreamport.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>
#include <fmt/core.h>

#include <random>

namespace Plantainweir {
namespace {

constexpr HttpLimits CallerLimits{.headerBytes = 16 * 1024, .bodyBytes = 1024 * 1024, .connections = 10'000};
constexpr HttpLimits UpstreamLimits{.headerBytes = 64 * 1024, .bodyBytes = 8 * 1024 * 1024, .connections = 10'000};
/** Added to the directory answers' time to live, for the transit of an answer and of the call that uses it. */
constexpr std::chrono::milliseconds DirectoryExpiryMargin{500};

/** Returns a name that is unique to this run of the program. */
std::string makeIncarnation(std::uint64_t random)
{
    const auto startedAt = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    return fmt::format("{:x}-{:016x}", startedAt, random);
}

QJsonArray membersOf(const RoutingState &routing)
{
    QJsonArray members;
    for (const EntryMember &member : routing.members) {
        members.append(QJsonObject{
            {"name", QString::fromStdString(member.name)},
            {"incarnation", QString::fromStdString(member.incarnation)},
            {"availabilityZone", QString::fromStdString(member.availabilityZone)},
            {"leaving", member.isLeaving},
        });
    }
    return members;
}

}

class Entryd::Private
{
public:
    Private(Entryd *entryd, const EntrydSettings &settings)
        : q(entryd)
        , m_settings(settings)
        , m_random(settings.seed)
        , m_callerPort(CallerLimits, m_random())
        , m_upstreamPort(UpstreamLimits)
        , m_peerPort(settings.name)
        , m_dispatch(m_metrics, m_random())
        , m_operatorsPort(m_metrics, [this] {
            return status();
        })
    {
        m_routing.self = {
            .name = settings.name,
            .incarnation = makeIncarnation(m_random()),
            .callerEndpoint = settings.callerPort,
            .peerEndpoint = settings.peerPort,
            .availabilityZone = settings.availabilityZone,
        };
        if (settings.control) {
            m_controlClient = std::make_unique<ControlClient>(*settings.control);
        }
    }

    /** Connects the tasks, which communicate by queued signals only. */
    void connectTasks()
    {
        const auto type = Qt::QueuedConnection;
        connect(&m_callerPort, &CallerPort::callReceived, &m_dispatch, &DispatchTask::admit, type);
        connect(&m_callerPort, &CallerPort::callerDisconnected, &m_dispatch, &DispatchTask::abandon, type);
        connect(&m_peerPort, &PeerPort::callReceived, &m_dispatch, &DispatchTask::admit, type);
        connect(&m_peerPort, &PeerPort::forwardFinished, &m_dispatch, &DispatchTask::finishForward, type);
        connect(&m_upstreamPort, &UpstreamPort::finished, &m_dispatch, &DispatchTask::finishAttempt, type);
        connect(&m_dispatch, &DispatchTask::attemptStarted, &m_upstreamPort, &UpstreamPort::send, type);
        connect(&m_dispatch, &DispatchTask::attemptCancelled, &m_upstreamPort, &UpstreamPort::cancel, type);
        connect(&m_dispatch, &DispatchTask::upstreamsOwned, &m_upstreamPort, &UpstreamPort::setConnectionLimits, type);
        connect(&m_dispatch, &DispatchTask::loadReportReady, &m_peerPort, &PeerPort::sendLoadReport, type);
        connect(&m_dispatch, &DispatchTask::forwardCancelled, &m_peerPort, &PeerPort::cancel, type);
        connect(&m_peerPort, &PeerPort::loadReportReceived, &m_dispatch, &DispatchTask::handleLoadReport, type);
        connect(&m_dispatch, &DispatchTask::forwardStarted, &m_peerPort, &PeerPort::forward, type);
        connect(&m_dispatch, &DispatchTask::replyReady, &m_callerPort, &CallerPort::reply, type);
        connect(&m_dispatch, &DispatchTask::replyReady, &m_peerPort, &PeerPort::reply, type);
        connect(
            &m_dispatch,
            &DispatchTask::upstreamDraining,
            q,
            [this](const UpstreamName &name) {
                handleUpstreamDraining(name);
            },
            type);
        connect(
            &m_dispatch,
            &DispatchTask::idle,
            q,
            [this] {
                stopIfDrained();
            },
            type);
        connect(
            &m_callerPort,
            &CallerPort::drained,
            q,
            [this] {
                stopIfDrained();
            },
            type);
        if (m_controlClient) {
            connect(m_controlClient.get(), &ControlClient::updated, q, &Entryd::applyUpdate, type);
            connect(m_controlClient.get(), &ControlClient::connectedChanged, q, [](bool isConnected) {
                logEvent(isConnected ? LogEvent::ControlConnected : LogEvent::ControlLost);
            });
        }
    }

    bool openPorts()
    {
        const auto report = [](const char *port, const Endpoint &endpoint) {
            logEvent(LogEvent::ListenFailed, {{"port", port}, {"endpoint", toString(endpoint)}});
            return false;
        };
        if (!m_callerPort.listen(m_settings.callerPort)) {
            return report("caller-port", m_settings.callerPort);
        }
        if (!m_peerPort.listen(m_settings.peerPort)) {
            return report("peer-port", m_settings.peerPort);
        }
        if (!m_operatorsPort.listen(m_settings.operatorsPort)) {
            return report("operators-port", m_settings.operatorsPort);
        }
        m_routing.self.callerEndpoint.port = m_callerPort.port();
        m_routing.self.peerEndpoint.port = m_peerPort.port();
        return true;
    }

    void applyUpdate(const RoutingUpdate &update)
    {
        const bool isConfigurationChanged = update.rules || !update.services.empty();
        Plantainweir::applyUpdate(m_routing, update);
        if (isConfigurationChanged) {
            logEvent(LogEvent::ConfigurationInForce, {{"rules", m_routing.configuration.rules.version}, {"changed_services", update.services.size()}});
        }
        publishRouting();
    }

    void publishRouting()
    {
        const auto routing = std::make_shared<const RoutingState>(m_routing);
        m_dispatch.setRouting(routing);
        m_callerPort.setRouting(routing);
        m_operatorsPort.setReady(m_routing.isReady && !m_routing.self.isLeaving);
        reportState();
    }

    void reportState()
    {
        if (!m_controlClient) {
            return;
        }
        EntryState state{.self = m_routing.self, .isReady = m_routing.isReady, .upstreamStatuses = {}};
        for (const UpstreamName &name : m_drainingUpstreams) {
            state.upstreamStatuses.push_back({.service = name.service, .upstream = name.upstream, .isLeaving = true});
        }
        m_controlClient->report(state);
    }

    void handleUpstreamDraining(const UpstreamName &name)
    {
        if (m_drainingUpstreams.insert(name).second) {
            reportState();
        }
    }

    void leave()
    {
        if (m_routing.self.isLeaving) {
            return;
        }
        m_routing.self.isLeaving = true;
        deriveOwners(m_routing);
        publishRouting();
        m_callerPort.closeAfterResponses();
        QTimer::singleShot(DirectoryTimeToLive + DirectoryExpiryMargin, q, [this] {
            m_isDraining = true;
            m_callerPort.drain();
            stopIfDrained();
        });
    }

    void stopIfDrained()
    {
        const bool isFinished = m_isDraining && m_callerPort.isDrained() && m_dispatch.openCallCount() == 0;
        if (isFinished) {
            Q_EMIT q->stopped();
        }
    }

    std::string status() const
    {
        const QJsonObject status{
            {"name", QString::fromStdString(m_routing.self.name)},
            {"incarnation", QString::fromStdString(m_routing.self.incarnation)},
            {"ready", m_routing.isReady},
            {"leaving", m_routing.self.isLeaving},
            {"openCalls", static_cast<qint64>(m_dispatch.openCallCount())},
            {"versions", QJsonDocument::fromJson(QByteArray::fromStdString(encodeVersions(m_routing.configuration))).object()},
            {"members", membersOf(m_routing)},
        };
        return QJsonDocument(status).toJson().toStdString();
    }

    Entryd *q;
    EntrydSettings m_settings;
    RandomGenerator m_random;
    Metrics m_metrics;
    RoutingState m_routing;
    std::set<UpstreamName> m_drainingUpstreams;
    CallerPort m_callerPort;
    UpstreamPort m_upstreamPort;
    PeerPort m_peerPort;
    DispatchTask m_dispatch;
    OperatorsPort m_operatorsPort;
    std::unique_ptr<ControlClient> m_controlClient;
    bool m_isDraining = false;
};

Entryd::Entryd(const EntrydSettings &settings, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, settings))
{
    d->connectTasks();
}

Entryd::~Entryd() = default;

bool Entryd::start()
{
    if (!d->openPorts()) {
        return false;
    }
    d->reportState();
    if (d->m_controlClient) {
        d->m_controlClient->start();
    }
    return true;
}

const EntryMember &Entryd::self() const
{
    return d->m_routing.self;
}

void Entryd::applyUpdate(const RoutingUpdate &update)
{
    d->applyUpdate(update);
}

void Entryd::leave()
{
    d->leave();
}

}
