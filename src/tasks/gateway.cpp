#include "tasks/gateway.h"

#include "controllers/fleetshare.h"
#include "controllers/upstreamregistry.h"
#include "http/httpserver.h"
#include "http/operatorsport.h"
#include "observability/logevents.h"
#include "observability/metrics.h"
#include "tasks/exchangeclient.h"
#include "tasks/exchangeserver.h"
#include "tasks/membershiptask.h"
#include "tasks/proxytask.h"
#include "tasks/proxyupstreamport.h"
#include "tasks/storehealthchecktask.h"
#include "tasks/storewatchtask.h"

#include <QTimer>

#include <algorithm>

namespace Plantainweir {
namespace {

constexpr std::chrono::milliseconds DirectoryTimeToLive{2000};
/** Fewer entry VMs than this in the caller's availability zone are supplemented by others. */
constexpr std::size_t MinimumNearEntries = 2;
/** Callers take so many addresses at most. */
constexpr std::size_t MaximumEntries = 64;
constexpr std::chrono::milliseconds FleetSettlingTime{3000};
constexpr std::chrono::milliseconds RegistrationTime{1500};
constexpr std::chrono::milliseconds RegistrationPause{2000};
/** Time kept between the last answer and the forced end. */
constexpr std::chrono::milliseconds StopMargin{300};

HttpLimits toHttpLimits(const CallerLimits &limits, std::chrono::milliseconds idleTime)
{
    HttpLimits http;
    http.headerBytes = limits.headerBytes;
    http.bodyBytes = limits.bodyBytes;
    http.connections = 3000;
    http.requestTime = std::chrono::duration_cast<std::chrono::milliseconds>(limits.headerTimeout);
    http.idleTime = idleTime;
    return http;
}

MemberRecord memberRecord(const GatewaySettings &settings)
{
    MemberRecord record;
    record.name = settings.name;
    record.incarnation
        = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    record.membershipEndpoint = settings.membershipPort;
    record.exchangeEndpoint = settings.exchangePort;
    record.availabilityZone = settings.availabilityZone;
    return record;
}

}

class Gateway::Private : public QObject
{
public:
    Private(Gateway *gateway, const GatewaySettings &settings, const GatewayCodec &codec)
        : q(gateway)
        , m_settings(settings)
        , m_codec(codec)
        , m_task({.availabilityZone = settings.availabilityZone,
                  .retryShare = settings.retryShare,
                  .retrySlack = fleetShare({.retrySlack = settings.retrySlack, .probesPerSecondPerUpstream = 0.0}, {}, 0).retrySlack,
                  .retryWindow = settings.retryWindow},
                 m_metrics,
                 settings.seed)
        , m_upstreams(codec, HttpLimits{.bodyBytes = 64 * 1024 * 1024})
        , m_callers(toHttpLimits({}, std::chrono::seconds(60)))
        , m_readiness(HttpLimits{.connections = 200})
        , m_directory(HttpLimits{.connections = 1000})
        , m_operators(m_metrics,
                      [] {
                          return std::string("{}");
                      })
        , m_membership(memberRecord(settings), MembershipSettings{}, m_metrics)
        , m_exchangeServer(m_metrics)
        , m_exchangeClient(m_metrics)
        , m_storeHealthCheck(settings.store, codec, settings.name)
        , m_routes(StoreObjectKind::Configuration, settings.store, codec, settings.seed + 1)
        , m_registrations(StoreObjectKind::Upstreams, settings.store, codec, settings.seed + 2)
        , m_storeClient(HttpLimits{})
    {
        connectCalls();
        connectStore();
        connectFleet();
    }

    void connectCalls()
    {
        connect(&m_callers, &HttpServer::requestReceived, this, [this](ExchangeId exchange, const HttpRequest &request) {
            m_task.admit({.exchange = exchange, .call = m_codec.decodeCall(request, Clock::now()), .message = std::make_shared<const RequestMessage>(request)});
        });
        connect(&m_callers, &HttpServer::requesterGone, &m_task, &ProxyTask::abandon);
        connect(&m_callers, &HttpServer::drained, this, &Private::stopIfDone);
        connect(&m_task, &ProxyTask::replyReady, this, [this](ExchangeId exchange, const std::string &requestId, const CallReply &reply) {
            m_callers.respond(exchange, m_codec.encodeReply(reply, requestId, Clock::now()));
        });
        connect(&m_task, &ProxyTask::probeStarted, &m_upstreams, &ProxyUpstreamPort::probe);
        connect(&m_task, &ProxyTask::attemptStarted, &m_upstreams, &ProxyUpstreamPort::send);
        connect(&m_task, &ProxyTask::attemptCancelled, &m_upstreams, &ProxyUpstreamPort::cancel);
        connect(&m_upstreams, &ProxyUpstreamPort::probeEnded, &m_task, &ProxyTask::finishProbe);
        connect(&m_upstreams, &ProxyUpstreamPort::attemptEnded, &m_task, &ProxyTask::finishAttempt);
        connect(&m_readiness, &HttpServer::requestReceived, this, [this](ExchangeId exchange, const HttpRequest &request) {
            const int status = !m_codec.isReadinessQuery(request) ? 404 : m_isReady ? 200 : 503;
            m_readiness.respond(exchange, {.status = status, .fields = {{"Content-Type", "text/plain"}}, .body = status == 200 ? "ready\n" : "not ready\n"});
        });
        connect(&m_directory, &HttpServer::requestReceived, this, &Private::answerDirectory);
    }

    void connectStore()
    {
        connect(&m_routes, &StoreWatchTask::objectsReceived, this, &Private::takeRoutes);
        connect(&m_registrations, &StoreWatchTask::objectsReceived, this, &Private::takeUpstreams);
        connect(&m_registrations, &StoreWatchTask::listCompleted, this, [this](const std::vector<std::string> &names) {
            retainListedUpstreams(m_registry, names, Clock::now());
            publishUpstreams();
            updateReadiness();
        });
        connect(&m_registrations, &StoreWatchTask::storeRecovered, this, [this](Duration outage) {
            notePlatformRecovered(m_registry, outage, Clock::now());
        });
        for (StoreWatchTask *watch : {&m_routes, &m_registrations}) {
            const std::string_view kind = nameOf(watch == &m_routes ? StoreObjectKind::Configuration : StoreObjectKind::Upstreams);
            connect(watch, &StoreWatchTask::storeUnreachable, this, [this, kind] {
                logEvent(LogEvent::StoreLost, {{"kind", kind}});
                m_task.setRouteTableFresh(m_routes.isCurrent());
            });
            connect(watch, &StoreWatchTask::storeRecovered, this, [this, kind](Duration outage) {
                logEvent(LogEvent::StoreReturned, {{"kind", kind}, {"away_ms", std::chrono::duration_cast<std::chrono::milliseconds>(outage).count()}});
                m_task.setRouteTableFresh(m_routes.isCurrent());
            });
            connect(watch, &StoreWatchTask::listCompleted, this, [this] {
                m_task.setRouteTableFresh(m_routes.isCurrent());
            });
        }
        // A watch may wait on a connection that is dead without a sign.
        connect(&m_storeHealthCheck, &StoreHealthCheckTask::failed, &m_routes, &StoreWatchTask::restart);
        connect(&m_storeHealthCheck, &StoreHealthCheckTask::failed, &m_registrations, &StoreWatchTask::restart);
        m_lapseTimer.setSingleShot(true);
        connect(&m_lapseTimer, &QTimer::timeout, this, [this] {
            if (removeExpired(m_registry, Clock::now())) {
                publishUpstreams();
            }
            scheduleLapse();
        });
    }

    void connectFleet()
    {
        connect(&m_membership, &MembershipTask::entriesChanged, this, [this](const std::vector<EntryMember> &entries) {
            m_entries = entries;
            logEvent(LogEvent::EntriesChanged, {{"entries", entries.size()}});
            noteFleetSize();
        });
        connect(&m_membership, &MembershipTask::memberComparisonRequested, &m_exchangeClient, &ExchangeClient::compareMembers, Qt::QueuedConnection);
        connect(&m_exchangeServer, &ExchangeServer::membersRequested, this, [this](ExchangeCallId call, const BucketDigests &digests) {
            m_exchangeServer.answerMembers(call, recordsInDifferingBuckets(m_membership.membership(), digests));
        });
        connect(&m_exchangeClient, &ExchangeClient::membersCompared, this, [this](const Endpoint &, const std::optional<std::vector<MemberRecord>> &records) {
            if (records) {
                m_membership.mergeRecords(*records);
            }
        });
        connect(&m_storeClient, &HttpClient::finished, this, &Private::handleRegistrationAnswer);
        m_fleetTimer.setSingleShot(true);
        connect(&m_fleetTimer, &QTimer::timeout, this, [this] {
            m_fleet.isConverged = true;
            noteFleetSize();
            // The seeds led nowhere: they are down, or this is the first entry VM.
            const bool isAlone = liveMembers(m_membership.membership()).size() <= 1;
            if (isAlone && m_registration == 0) {
                registerSelf();
            }
        });
    }

    bool start()
    {
        const std::vector<std::pair<HttpServer *, Endpoint>> servers{
            {&m_callers, m_settings.callerPort}, {&m_readiness, m_settings.readinessPort}, {&m_directory, m_settings.directoryPort}};
        for (const auto &[server, endpoint] : servers) {
            if (!server->listen(endpoint)) {
                return reportClosedPort(endpoint);
            }
        }
        if (!m_operators.listen(m_settings.operatorsPort)) {
            return reportClosedPort(m_settings.operatorsPort);
        }
        if (!m_exchangeServer.listen(m_settings.exchangePort)) {
            return reportClosedPort(m_settings.exchangePort);
        }
        if (!m_membership.listen()) {
            return reportClosedPort(m_settings.membershipPort);
        }
        m_membership.setSeeds(m_settings.seeds);
        m_routes.start();
        m_registrations.start();
        m_storeHealthCheck.start();
        if (m_settings.seeds.empty()) {
            registerSelf();
        }
        m_fleetTimer.start(FleetSettlingTime);
        return true;
    }

    static bool reportClosedPort(const Endpoint &endpoint)
    {
        logEvent(LogEvent::ListenFailed, {{"endpoint", toString(endpoint)}});
        return false;
    }

    void takeRoutes(const std::vector<StoreObject> &objects)
    {
        for (const StoreObject &item : objects) {
            const auto *table = std::get_if<RouteTable>(&item.value);
            if (table == nullptr || item.isDeleted) {
                logEvent(LogEvent::ObjectUnusable, {{"kind", nameOf(StoreObjectKind::Configuration)}, {"name", item.name}, {"revision", item.revision}});
                continue;
            }
            if (m_task.setRouteTable(*table)) {
                adoptLimits(table->limits);
                publishUpstreams();
            }
        }
        m_task.setRouteTableFresh(true);
        updateReadiness();
    }

    /** Idle connections live as long as the longest idle time that callers may still go by. */
    void adoptLimits(const CallerLimits &limits)
    {
        m_longestIdleTime = std::max(m_longestIdleTime, std::chrono::duration_cast<std::chrono::milliseconds>(limits.idleTimeout));
        m_callers.setLimits(toHttpLimits(limits, m_longestIdleTime));
    }

    void takeUpstreams(const std::vector<StoreObject> &objects)
    {
        const TimePoint now = Clock::now();
        for (const StoreObject &item : objects) {
            const auto *record = std::get_if<UpstreamRecord>(&item.value);
            if (record != nullptr && !item.isDeleted) {
                updateUpstream(m_registry, *record, item.revision, now);
                continue;
            }
            if (!item.isDeleted) {
                logEvent(LogEvent::ObjectUnusable, {{"kind", nameOf(StoreObjectKind::Upstreams)}, {"name", item.name}, {"revision", item.revision}});
            }
            removeUpstream(m_registry, item.name, now);
        }
        publishUpstreams();
    }

    void publishUpstreams()
    {
        const std::vector<RegisteredUpstream> upstreams = registeredUpstreams(m_registry);
        for (const RegisteredUpstream &upstream : upstreams) {
            m_upstreams.setConnectionLimit(upstream.endpoint, connectionLimitOf(upstream));
        }
        const auto draining = std::count_if(upstreams.begin(), upstreams.end(), [](const RegisteredUpstream &upstream) {
            return upstream.isDraining;
        });
        logEvent(LogEvent::UpstreamsChanged, {{"registered", upstreams.size()}, {"draining", draining}});
        m_task.setUpstreams(upstreams);
        noteFleetSize();
        scheduleLapse();
    }

    std::size_t connectionLimitOf(const RegisteredUpstream &upstream) const
    {
        const auto service = m_task.table().services.find(upstream.service);
        const std::size_t limit = service == m_task.table().services.end() ? 0 : service->second.connectionLimit;
        return connectionShare(limit, m_fleet);
    }

    void scheduleLapse()
    {
        if (const auto next = nextExpiry(m_registry)) {
            m_lapseTimer.start(std::chrono::ceil<std::chrono::milliseconds>(std::max(Duration(0), Duration(*next - Clock::now()))));
        }
    }

    void noteFleetSize()
    {
        m_fleet.largestSize = std::max(m_fleet.largestSize, liveMembers(m_membership.membership()).size());
        const FleetLimits limits{.retrySlack = m_settings.retrySlack, .probesPerSecondPerUpstream = m_settings.probesPerSecondPerUpstream};
        m_task.setFleetShare(fleetShare(limits, m_fleet, m_registry.entries.size()));
    }

    void updateReadiness()
    {
        const bool isReady = !m_isLeaving && m_task.table().version != 0 && m_registrations.isListed();
        if (isReady == m_isReady) {
            return;
        }
        m_isReady = isReady;
        m_operators.setReady(isReady);
        logEvent(LogEvent::ReadinessChanged, {{"ready", isReady}, {"routes", m_task.table().version}});
        publishSelf();
    }

    void publishSelf()
    {
        if (!m_isReady) {
            m_membership.setEntry(std::nullopt);
            return;
        }
        m_membership.setEntry(selfEntry());
    }

    EntryMember selfEntry() const
    {
        return {
            .name = m_settings.name,
            .incarnation = std::to_string(selfRecord(m_membership.membership()).incarnation),
            .callerEndpoint = m_settings.callerPort,
            .peerEndpoint = m_settings.membershipPort,
            .availabilityZone = m_settings.availabilityZone,
            .isLeaving = m_isLeaving,
        };
    }

    void answerDirectory(ExchangeId exchange, const HttpRequest &request)
    {
        const auto query = m_codec.decodeDirectoryQuery(request);
        if (!query) {
            m_directory.respond(exchange, {.status = 404, .fields = {{"Content-Type", "text/plain"}}, .body = "no such resource\n"});
            return;
        }
        m_directory.respond(exchange, m_codec.encodeDirectoryAnswer(entriesFor(query->availabilityZone), DirectoryTimeToLive));
    }

    /** Returns the entry VMs that serve, those of @p availabilityZone alone if there are enough. */
    std::vector<Endpoint> entriesFor(const std::string &availabilityZone) const
    {
        std::vector<Endpoint> near;
        std::vector<Endpoint> far;
        const auto &suspects = m_membership.membership().suspects;
        for (const EntryMember &entry : m_entries) {
            if (entry.isLeaving || suspects.contains(entry.name)) {
                continue;
            }
            (entry.availabilityZone == availabilityZone ? near : far).push_back(entry.callerEndpoint);
        }
        if (near.size() < MinimumNearEntries) {
            near.insert(near.end(), far.begin(), far.end());
        }
        near.resize(std::min(near.size(), MaximumEntries));
        return near;
    }

    void registerSelf()
    {
        const EntryVmRecord record{.name = m_settings.name, .membershipEndpoint = m_settings.membershipPort};
        m_registration = m_storeClient.send(m_settings.store, m_codec.encodeRegistration(record, m_isRegistrationKnown), Clock::now() + RegistrationTime);
    }

    void listEntryVms()
    {
        m_entryVmList = m_storeClient.send(m_settings.store, m_codec.encodeList(StoreObjectKind::EntryVms, {}), Clock::now() + RegistrationTime);
    }

    void handleRegistrationAnswer(SendId id, const SendResult &result)
    {
        const bool isAnswered = result.outcome == SendOutcome::Answered;
        if (id == m_registration) {
            const bool isConflict = isAnswered && result.response.status == 409;
            const bool isWritten = isAnswered && result.response.status < 300;
            m_isRegistrationKnown = isConflict;
            if (isWritten) {
                listEntryVms();
            } else {
                QTimer::singleShot(isConflict ? std::chrono::milliseconds(0) : RegistrationPause, this, &Private::registerSelf);
            }
            return;
        }
        if (id != m_entryVmList) {
            return;
        }
        StorePage page;
        if (m_codec.decodePage(StoreObjectKind::EntryVms, result, false, page) != StoreReadOutcome::Page) {
            QTimer::singleShot(RegistrationPause, this, &Private::listEntryVms);
            return;
        }
        std::vector<Endpoint> seeds = m_settings.seeds;
        for (const StoreObject &item : page.objects) {
            if (const auto *record = std::get_if<EntryVmRecord>(&item.value)) {
                seeds.push_back(record->membershipEndpoint);
            }
        }
        m_membership.setSeeds(seeds);
    }

    void leave()
    {
        if (m_isLeaving) {
            return;
        }
        m_isLeaving = true;
        m_isReady = false;
        m_membership.setEntry(selfEntry());
        m_callers.closeAfterResponses();
        if (m_registration != 0) {
            m_storeClient.send(m_settings.store, m_codec.encodeDeregistration(m_settings.name), Clock::now() + RegistrationTime);
        }
        const auto stopTime = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.stopTime);
        QTimer::singleShot(stopTime / 2, this, [this] {
            m_task.refuseNewCalls();
            m_isDraining = true;
            m_membership.leave();
            m_callers.drain();
            stopIfDone();
        });
        QTimer::singleShot(std::max(stopTime - StopMargin, stopTime / 2), this, [this] {
            Q_EMIT q->stopped();
        });
    }

    void stopIfDone()
    {
        if (m_isDraining && m_callers.connectionCount() == 0) {
            Q_EMIT q->stopped();
        }
    }

    Gateway *q;
    GatewaySettings m_settings;
    GatewayCodec m_codec;
    Metrics m_metrics;
    ProxyTask m_task;
    ProxyUpstreamPort m_upstreams;
    HttpServer m_callers;
    HttpServer m_readiness;
    HttpServer m_directory;
    OperatorsPort m_operators;
    MembershipTask m_membership;
    ExchangeServer m_exchangeServer;
    ExchangeClient m_exchangeClient;
    StoreHealthCheckTask m_storeHealthCheck;
    StoreWatchTask m_routes;
    StoreWatchTask m_registrations;
    HttpClient m_storeClient;
    UpstreamRegistry m_registry;
    QTimer m_lapseTimer;
    QTimer m_fleetTimer;
    std::vector<EntryMember> m_entries;
    std::chrono::milliseconds m_longestIdleTime{0};
    FleetSizeEstimate m_fleet;
    SendId m_registration = 0;
    SendId m_entryVmList = 0;
    bool m_isRegistrationKnown = false;
    bool m_isReady = false;
    bool m_isLeaving = false;
    bool m_isDraining = false;
};

Gateway::Gateway(const GatewaySettings &settings, const GatewayCodec &codec, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, settings, codec))
{
}

Gateway::~Gateway() = default;

bool Gateway::start()
{
    return d->start();
}

void Gateway::leave()
{
    d->leave();
}

}
