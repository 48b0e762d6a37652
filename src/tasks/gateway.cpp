#include "tasks/gateway.h"

#include "controllers/fleetshare.h"
#include "controllers/upstreamregistry.h"
#include "http/httpserver.h"
#include "http/operatorsport.h"
#include "observability/logevents.h"
#include "observability/metrics.h"
#include "tasks/credittask.h"
#include "tasks/exchangeclient.h"
#include "tasks/exchangeserver.h"
#include "tasks/membershiptask.h"
#include "tasks/proxytask.h"
#include "tasks/proxyupstreamport.h"
#include "tasks/registrationtask.h"
#include "tasks/storesourcetask.h"

#include <QTimer>

#include <fmt/ranges.h>

#include <algorithm>
#include <set>

namespace Plantainweir {
namespace {

constexpr std::chrono::milliseconds DirectoryTimeToLive{2000};
/** With fewer entry VMs in the caller's availability zone, a directory answer names those of other zones too. */
constexpr std::size_t MinimumLocalEntries = 2;
/** Callers accept at most this many addresses in a directory answer. */
constexpr std::size_t MaximumDirectoryEntries = 64;
/** Descriptors that are kept free for files. */
constexpr std::size_t FileDescriptors = 200;

/** Connections of one port: a part of the descriptors, and an upper limit. The rest is left for the store and other VMs. */
struct PortShare {
    std::size_t connections = 0;
    std::size_t percent = 0;
};

constexpr PortShare CallerShare{.connections = 3000, .percent = 60};
constexpr PortShare ReadinessShare{.connections = 200, .percent = 4};
constexpr PortShare DirectoryShare{.connections = 1000, .percent = 10};
constexpr PortShare OperatorsShare{.connections = 64, .percent = 2};
constexpr PortShare UpstreamShare{.connections = 3000, .percent = 15}; ///< Towards all upstreams.
/** All that the clients of these ports make the process hold, as parts of the memory. They need no bodies. */
constexpr std::size_t QueryMemoryDivisor = 64;
/**
 * Largest body of an upstream's response, and all incomplete responses, all incomplete requests or all answers that callers
 * have not read together, as parts of the memory. A complete response is copied up to three times on its way.
 */
constexpr std::size_t BodyMemoryDivisor = 16;
constexpr std::size_t TotalMemoryDivisor = 8;
/** The same for the request bodies of the calls in flight. Each may be held twice while an upstream reads it slowly. */
constexpr std::size_t CallMemoryDivisor = 4;
/** Memory of the header of a request, of bytes that are not decoded and of connections that are idle. */
constexpr std::size_t HeaderMemory = 512 * 1024;
/** Idle timeout of caller connections until the first configuration arrives. */
constexpr std::chrono::milliseconds InitialIdleTimeout{60'000};
/** Time after which an entry VM reads the store if a whole fleet starts, so that no calls wait. */
constexpr std::chrono::milliseconds FleetStartDelay{5000};
/** Calls that arrive while this VM starts wait in the accept queue for at most this time. */
constexpr std::chrono::milliseconds MaximumAcceptDelay{1000};
constexpr double CapacityUnitsPerCore = 1000.0;
/** How long before the end of the stop time stopped() is emitted if callers are still connected. */
constexpr std::chrono::milliseconds ForcedStopMargin{300};

std::size_t connectionsOf(const PortShare &share, const GatewaySettings &settings)
{
    const std::size_t sockets = settings.descriptors - std::min(settings.descriptors, FileDescriptors);
    return std::clamp<std::size_t>(sockets * share.percent / 100, 1, share.connections);
}

HttpLimits upstreamLimits(const GatewaySettings &settings)
{
    return {.bodyBytes = settings.memoryBytes / BodyMemoryDivisor,
            .totalBytes = settings.memoryBytes / TotalMemoryDivisor,
            .connections = connectionsOf(UpstreamShare, settings)};
}

/** Returns the size of the largest body that is accepted while nobody else holds much. */
std::size_t largestBodyBytes(const GatewaySettings &settings)
{
    const std::size_t received = settings.memoryBytes / TotalMemoryDivisor;
    // A call may take half of what is free (filterMemory).
    const std::size_t inFlight = settings.memoryBytes / CallMemoryDivisor / 2;
    return std::min(received - std::min(received, HeaderMemory), inFlight);
}

HttpLimits toHttpLimits(const CallerLimits &limits, std::chrono::milliseconds idleTimeout, const GatewaySettings &settings)
{
    HttpLimits http;
    http.totalBytes = settings.memoryBytes / TotalMemoryDivisor;
    http.headerBytes = limits.headerBytes;
    http.bodyBytes = limits.bodyBytes;
    http.connections = connectionsOf(CallerShare, settings);
    http.requestTimeout = std::chrono::duration_cast<std::chrono::milliseconds>(limits.headerTimeout);
    http.idleTimeout = idleTimeout;
    return http;
}

/** Returns the limits of a port that answers queries without a body. */
HttpLimits queryLimits(const PortShare &share, const GatewaySettings &settings)
{
    return {.bodyBytes = 0, .totalBytes = settings.memoryBytes / QueryMemoryDivisor, .connections = connectionsOf(share, settings)};
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
    record.capacity = static_cast<std::uint32_t>(settings.processorShare * CapacityUnitsPerCore);
    return record;
}

StoreSourceTaskSettings storeSourceSettings(const GatewaySettings &settings)
{
    const Duration maximumAge = maximumKnowledgeAge(settings.changeBound);
    return {
        .name = settings.name,
        .store = settings.store,
        .source = {.maximumAge = maximumAge,
                   .startDelay = settings.isFleetStarting ? FleetStartDelay : maximumAge,
                   .firstReadDelay = settings.isFleetStarting ? Duration(FleetStartDelay) : Duration(0)},
        .evacuationBound = settings.evacuationBound,
        .seed = settings.seed + 1,
    };
}

RegistrationTaskSettings registrationSettings(const GatewaySettings &settings)
{
    FleetRegistrationSettings registration;
    if (settings.seeds.empty()) {
        // No seed can answer.
        registration.loneTime = Duration(0);
    }
    return {
        .name = settings.name, .membershipEndpoint = settings.membershipPort, .store = settings.store, .registration = registration, .seed = settings.seed + 3};
}

/** Returns all known members as far as registrations in the store depend on them. */
std::vector<RegistrationMember> registrationMembers(const Membership &membership)
{
    std::vector<RegistrationMember> members;
    for (const auto &[name, member] : membership.members) {
        const MemberRecord &record = member.record;
        members.push_back({.name = name,
                           .availabilityZone = record.availabilityZone,
                           .state = record.state,
                           .isLeaving = record.entry && record.entry->isLeaving,
                           .isStoreUnreachable = record.isPlatformUnreachable,
                           .comparedFleetSize = record.comparedFleetSize});
    }
    return members;
}

/** Returns the number of members to reckon with according to the live members that have compared the fleet with the store; zero if none has. */
std::size_t comparedFleetSize(const Membership &membership)
{
    std::size_t size = 0;
    for (const auto &[name, member] : membership.members) {
        size = isLive(member.record.state) ? std::max(size, member.record.comparedFleetSize) : size;
    }
    return size;
}

/** Where members that may feed this one are. */
enum class FeedZone {
    Own,
    Other,
};

/** Returns the live members of @p availabilityZone, or those of all others. */
std::vector<FeedMember> feedMembers(const Membership &membership, const std::string &availabilityZone, FeedZone zone)
{
    std::vector<FeedMember> members;
    for (const auto &[name, member] : membership.members) {
        const MemberRecord &record = member.record;
        const bool isOwnZone = record.availabilityZone == availabilityZone;
        if (isLive(record.state) && isOwnZone == (zone == FeedZone::Own)) {
            members.push_back(
                {.name = name, .feedEndpoint = record.exchangeEndpoint, .capacity = record.capacity, .isStoreUnreachable = record.isPlatformUnreachable});
        }
    }
    return members;
}

void addOrigin(std::vector<LogField> &fields, const StoreObject &object, const KnowledgeOrigin &origin)
{
    fields.insert(fields.end(),
                  {{"object_revision", object.revision.number},
                   {"revision", origin.revision.number},
                   {"era", origin.revision.era},
                   {"source", nameOf(origin.source)},
                   {"member", origin.member}});
}

FleetKnowledge knowledgeOf(const FleetSizeEstimate &fleet)
{
    if (fleet.isConverged) {
        return FleetKnowledge::Converged;
    }
    return fleet.isSettled ? FleetKnowledge::Settled : FleetKnowledge::Unknown;
}

/** Returns the live members as far as limits of the whole fleet depend on them. */
std::vector<CreditMember> creditMembers(const Membership &membership)
{
    std::vector<CreditMember> members;
    for (const auto &[name, member] : membership.members) {
        const MemberRecord &record = member.record;
        if (isLive(record.state)) {
            members.push_back({.name = name,
                               .availabilityZone = record.availabilityZone,
                               .creditEndpoint = record.exchangeEndpoint,
                               .capacity = record.capacity,
                               .isLeaving = record.entry && record.entry->isLeaving});
        }
    }
    return members;
}

}

class Gateway::Private : public QObject
{
public:
    Private(Gateway *gateway, const GatewaySettings &settings, const GatewayCodec &codec)
        : q(gateway)
        , m_settings(settings)
        , m_codec(codec)
        , m_proxy({.name = settings.name,
                   .availabilityZone = settings.availabilityZone,
                   .retryShare = settings.retryShare,
                   .retrySlack = fleetShare({.retrySlack = settings.retrySlack, .probesPerSecondPerUpstream = 0.0}, {}, 0).retrySlack,
                   .retryWindow = settings.retryWindow,
                   .hedgeShare = settings.hedgeShare,
                   .subsetSize = settings.subsetSize,
                   .fullRefusal = settings.fullRefusal,
                   .zoneMemory = settings.zoneMemory},
                  m_metrics,
                  settings.seed)
        , m_upstreamPort(codec, upstreamLimits(settings))
        , m_callerServer(toHttpLimits({}, InitialIdleTimeout, settings))
        , m_readinessServer(queryLimits(ReadinessShare, settings))
        , m_directoryServer(queryLimits(DirectoryShare, settings))
        , m_operatorsPort(m_metrics,
                          [] {
                              return std::string("{}");
                          })
        , m_membership(memberRecord(settings), MembershipSettings{}, m_metrics)
        , m_storeSource(storeSourceSettings(settings), codec, m_metrics)
        , m_exchangeServer(m_metrics)
        , m_exchangeClient(m_metrics)
        , m_credit({.name = settings.name,
                    .availabilityZone = settings.availabilityZone,
                    .endpoint = settings.exchangePort,
                    .tolerance = settings.creditTolerance,
                    .seed = settings.seed + 2},
                   m_metrics)
        , m_registration(registrationSettings(settings), codec, m_metrics)
    {
        m_operatorsPort.setLimits(queryLimits(OperatorsShare, settings));
        m_proxy.setBodyLimit(settings.memoryBytes / CallMemoryDivisor);
        connectCalls();
        connectStore();
        connectFleet();
        connectCredit();
    }

    ~Private() override
    {
        m_storeSource.closeFeeds();
    }

    void connectCalls()
    {
        connect(&m_callerServer, &HttpServer::requestReceived, this, [this](HttpExchangeId exchange, const HttpRequest &request) {
            m_proxy.admit(
                {.exchange = exchange, .call = m_codec.decodeCall(request, Clock::now()), .message = std::make_shared<const RequestMessage>(request)});
        });
        for (const HttpServer *server : {&m_callerServer, &m_readinessServer, &m_directoryServer}) {
            connect(server, &HttpServer::peerReleased, this, [this](PeerRelease release) {
                m_metrics.addToCounter("plantainweir_peer_releases_total",
                                       "Requests refused and connections closed because clients made this process hold too much.",
                                       std::string(nameOf(release)));
            });
        }
        connect(&m_callerServer, &HttpServer::clientDisconnected, &m_proxy, &ProxyTask::abandon);
        connect(&m_callerServer, &HttpServer::drained, this, &Private::stopIfDone);
        connect(&m_proxy, &ProxyTask::replyReady, this, [this](HttpExchangeId exchange, const std::string &requestId, const CallReply &reply) {
            m_callerServer.respond(exchange, m_codec.encodeReply(reply, requestId, Clock::now()));
        });
        connect(&m_proxy, &ProxyTask::probeStarted, &m_upstreamPort, &ProxyUpstreamPort::probe);
        connect(&m_proxy, &ProxyTask::attemptStarted, &m_upstreamPort, &ProxyUpstreamPort::send);
        connect(&m_proxy, &ProxyTask::attemptCancelled, &m_upstreamPort, &ProxyUpstreamPort::cancel);
        connect(&m_upstreamPort, &ProxyUpstreamPort::connectionOpened, this, [this] {
            m_metrics.addToCounter("plantainweir_upstream_connections_total", "Connections opened to upstreams.");
        });
        connect(&m_upstreamPort, &ProxyUpstreamPort::probeEnded, &m_proxy, &ProxyTask::finishProbe);
        connect(&m_upstreamPort, &ProxyUpstreamPort::attemptEnded, &m_proxy, &ProxyTask::finishAttempt);
        connect(&m_readinessServer, &HttpServer::requestReceived, this, [this](HttpExchangeId exchange, const HttpRequest &request) {
            const int status = !m_codec.isReadinessQuery(request) ? 404 : m_isReady ? 200 : 503;
            m_readinessServer.respond(exchange,
                                      {.status = status, .fields = {{"Content-Type", "text/plain"}}, .body = status == 200 ? "ready\n" : "not ready\n"});
        });
        connect(&m_directoryServer, &HttpServer::requestReceived, this, &Private::answerDirectory);
    }

    void connectStore()
    {
        connect(&m_storeSource, &StoreSourceTask::objectsChanged, this, &Private::applyObjects);
        connect(&m_storeSource, &StoreSourceTask::listed, this, &Private::updateReadiness);
        connect(&m_storeSource, &StoreSourceTask::currentChanged, &m_proxy, &ProxyTask::setRouteTableFresh);
        connect(&m_storeSource, &StoreSourceTask::storeRecovered, this, [this](Duration outage) {
            notePlatformRecovered(m_upstreamRegistry, outage, Clock::now());
        });
        connect(&m_storeSource, &StoreSourceTask::reachabilityChanged, &m_membership, &MembershipTask::setPlatformUnreachable);
        m_expiryTimer.setSingleShot(true);
        connect(&m_expiryTimer, &QTimer::timeout, this, [this] {
            if (removeExpired(m_upstreamRegistry, Clock::now())) {
                publishUpstreams();
            }
            scheduleExpiry();
        });
    }

    void connectFleet()
    {
        connect(&m_membership, &MembershipTask::candidatesChanged, this, [this] {
            m_registration.setMembers(registrationMembers(m_membership.membership()));
        });
        connect(&m_registration, &RegistrationTask::membersRegistered, this, [this](const std::vector<Endpoint> &endpoints) {
            std::vector<Endpoint> seeds = m_settings.seeds;
            seeds.insert(seeds.end(), endpoints.begin(), endpoints.end());
            m_membership.setSeeds(seeds);
        });
        connect(&m_storeSource, &StoreSourceTask::eraChanged, &m_registration, &RegistrationTask::noteEra);
        connect(&m_registration, &RegistrationTask::fleetCompared, &m_membership, &MembershipTask::setComparedFleetSize);
        connect(&m_membership, &MembershipTask::entriesChanged, this, [this](const std::vector<EntryMember> &entries) {
            m_entries = entries;
            logEvent(LogEvent::EntriesChanged, {{"entries", entries.size()}});
            updateFleetShare();
        });
        m_convergenceTimer.setSingleShot(true);
        connect(&m_convergenceTimer, &QTimer::timeout, this, &Private::updateFleetShare);
        connect(&m_membership, &MembershipTask::candidatesChanged, this, [this] {
            const Membership &membership = m_membership.membership();
            const std::vector<FeedMember> members = feedMembers(membership, m_settings.availabilityZone, FeedZone::Own);
            const bool isSmallZone = members.size() < MinimumMembersWithReaders;
            m_storeSource.setMembers(members,
                                     membership.isSynchronized,
                                     isSmallZone ? feedMembers(membership, m_settings.availabilityZone, FeedZone::Other) : std::vector<FeedMember>());
        });
        connect(&m_membership, &MembershipTask::memberComparisonRequested, &m_exchangeClient, &ExchangeClient::compareMembers, Qt::QueuedConnection);
        connect(&m_exchangeServer, &ExchangeServer::membersRequested, this, [this](ExchangeCallId call, const BucketDigests &digests, const std::string &zone) {
            m_exchangeServer.replyWithMembers(call, recordsInDifferingBuckets(m_membership.membership(), digests, zone));
        });
        // Entry VMs exchange members only; a call for objects gets an empty answer, so that it does not stay open.
        connect(&m_exchangeServer, &ExchangeServer::versionsRequested, this, [this](ExchangeCallId call) {
            m_exchangeServer.replyWithVersions(call, {});
        });
        connect(&m_exchangeServer, &ExchangeServer::objectsRequested, this, [this](ExchangeCallId call) {
            m_exchangeServer.replyWithObjects(call, {});
        });
        connect(&m_exchangeClient, &ExchangeClient::membersCompared, this, [this](const Endpoint &, const std::optional<std::vector<MemberRecord>> &records) {
            if (records) {
                m_membership.mergeRecords(*records);
            }
        });
    }

    void connectCredit()
    {
        connect(&m_proxy, &ProxyTask::creditRequested, &m_credit, &CreditTask::request);
        connect(&m_proxy, &ProxyTask::creditCancelled, &m_credit, &CreditTask::cancel);
        connect(&m_proxy, &ProxyTask::creditReturned, &m_credit, &CreditTask::giveBack);
        connect(&m_credit, &CreditTask::decided, &m_proxy, &ProxyTask::finishCredit);
        connect(&m_membership, &MembershipTask::candidatesChanged, this, &Private::updateCreditMembers);
    }

    void updateCreditMembers()
    {
        const Membership &membership = m_membership.membership();
        // The members that know each other may be a part of the fleet only.
        const FleetKnowledge knowledge = m_registration.isFleetCompared() ? knowledgeOf(m_fleetSize) : FleetKnowledge::Unknown;
        m_credit.setMembers(creditMembers(membership), knowledge, comparedFleetSize(membership));
    }

    bool start()
    {
        const std::vector<std::pair<HttpServer *, Endpoint>> servers{
            {&m_callerServer, m_settings.callerPort}, {&m_readinessServer, m_settings.readinessPort}, {&m_directoryServer, m_settings.directoryPort}};
        for (const auto &[server, endpoint] : servers) {
            if (!server->listen(endpoint)) {
                return reportListenFailure(endpoint);
            }
        }
        // Refusals would use up the callers' retries, and other VMs may be starting too.
        m_callerServer.setAcceptingPaused(true);
        QTimer::singleShot(MaximumAcceptDelay, this, [this] {
            m_callerServer.setAcceptingPaused(false);
        });
        if (!m_operatorsPort.listen(m_settings.operatorsPort)) {
            return reportListenFailure(m_settings.operatorsPort);
        }
        m_exchangeServer.addService(m_storeSource.feedService());
        if (!m_exchangeServer.listen(m_settings.exchangePort)) {
            return reportListenFailure(m_settings.exchangePort);
        }
        if (!m_credit.listen()) {
            return reportListenFailure(m_settings.exchangePort);
        }
        if (!m_membership.listen()) {
            return reportListenFailure(m_settings.membershipPort);
        }
        m_membership.setSeeds(m_settings.seeds);
        m_storeSource.start();
        m_registration.setMembers(registrationMembers(m_membership.membership()));
        return true;
    }

    static bool reportListenFailure(const Endpoint &endpoint)
    {
        logEvent(LogEvent::ListenFailed, {{"endpoint", toString(endpoint)}});
        return false;
    }

    void applyObjects(StoreObjectKind kind, const std::vector<StoreObject> &objects, const KnowledgeOrigin &origin)
    {
        switch (kind) {
        case StoreObjectKind::Configuration:
            applyRouteTables(objects, origin);
            return;
        case StoreObjectKind::Upstreams:
            applyUpstreamRecords(objects);
            return;
        case StoreObjectKind::Evacuations:
            applyEvacuations(objects);
            return;
        case StoreObjectKind::EntryVms:
            return;
        }
    }

    void applyRouteTables(const std::vector<StoreObject> &objects, const KnowledgeOrigin &origin)
    {
        for (const StoreObject &object : objects) {
            const auto *table = std::get_if<RouteTable>(&object.value);
            if (table == nullptr || object.isDeleted) {
                logEvent(LogEvent::ObjectUnusable,
                         {{"kind", nameOf(StoreObjectKind::Configuration)}, {"name", object.name}, {"revision", object.revision.number}});
                continue;
            }
            const std::uint64_t previous = m_proxy.table().version;
            if (m_proxy.setRouteTable(*table)) {
                reportRoutesInForce(object, *table, previous, origin);
                applyCallerLimits(table->limits);
                m_credit.setTable(*table);
                publishUpstreams();
            } else if (table->version < previous) {
                reportRoutesOutdated(object, *table, previous, origin);
            }
        }
        updateReadiness();
    }

    void reportRoutesInForce(const StoreObject &object, const RouteTable &table, std::uint64_t previous, const KnowledgeOrigin &origin)
    {
        std::vector<LogField> fields{{"version", table.version}, {"previous", previous}};
        addOrigin(fields, object, origin);
        fields.insert(fields.end(), {{"routes", table.routes.size()}, {"services", table.services.size()}, {"accounts", table.accounts.size()}});
        logEvent(LogEvent::RoutesInForce, fields);
        m_metrics.setGauge("plantainweir_route_table_version", "Version of the route table that is in force.", static_cast<double>(table.version));
        m_metrics.addToCounter(
            "plantainweir_route_tables_total", "Route tables that were put into force, by their source.", std::string(nameOf(origin.source)));
    }

    static void reportRoutesOutdated(const StoreObject &object, const RouteTable &table, std::uint64_t inForce, const KnowledgeOrigin &origin)
    {
        std::vector<LogField> fields{{"version", table.version}, {"in_force", inForce}};
        addOrigin(fields, object, origin);
        logEvent(LogEvent::RoutesOutdated, fields);
    }

    /**
     * Applies new limits. The idle timeout stays the longest one of all configurations so far, since callers may still
     * rely on it.
     */
    void applyCallerLimits(const CallerLimits &limits)
    {
        m_longestIdleTimeout = std::max(m_longestIdleTimeout, std::chrono::duration_cast<std::chrono::milliseconds>(limits.idleTimeout));
        m_callerServer.setLimits(toHttpLimits(limits, m_longestIdleTimeout, m_settings));
        const std::size_t largest = largestBodyBytes(m_settings);
        if (limits.bodyBytes > largest) {
            logEvent(LogEvent::BodyLimitTooLarge, {{"configured", limits.bodyBytes}, {"served", largest}});
        }
    }

    void applyUpstreamRecords(const std::vector<StoreObject> &objects)
    {
        const TimePoint now = Clock::now();
        for (const StoreObject &object : objects) {
            const auto *record = std::get_if<UpstreamRecord>(&object.value);
            if (record != nullptr && !object.isDeleted) {
                updateUpstream(m_upstreamRegistry, *record, now);
                continue;
            }
            if (!object.isDeleted) {
                logEvent(LogEvent::ObjectUnusable, {{"kind", nameOf(StoreObjectKind::Upstreams)}, {"name", object.name}, {"revision", object.revision.number}});
            }
            removeUpstream(m_upstreamRegistry, object.name, now);
        }
        publishUpstreams();
    }

    void applyEvacuations(const std::vector<StoreObject> &objects)
    {
        for (const StoreObject &object : objects) {
            if (object.isDeleted) {
                m_evacuatedZones.erase(object.name);
            } else {
                m_evacuatedZones.insert(object.name);
            }
        }
        logEvent(LogEvent::EvacuationsChanged, {{"zones", fmt::format("{}", fmt::join(m_evacuatedZones, ","))}});
        m_metrics.setGauge("plantainweir_evacuated_zones", "Availability zones that operators want to be empty.", static_cast<double>(m_evacuatedZones.size()));
        m_proxy.setEvacuatedZones(m_evacuatedZones);
    }

    void publishUpstreams()
    {
        std::vector<RegisteredUpstream> upstreams = registeredUpstreams(m_upstreamRegistry);
        for (RegisteredUpstream &upstream : upstreams) {
            upstream.isColdLimited = isColdLimited(upstream);
            m_upstreamPort.setConnectionLimit(upstream.endpoint, connectionLimitOf(upstream));
        }
        const auto draining = std::count_if(upstreams.begin(), upstreams.end(), [](const RegisteredUpstream &upstream) {
            return upstream.isDraining;
        });
        logEvent(LogEvent::UpstreamsChanged, {{"registered", upstreams.size()}, {"draining", draining}});
        m_proxy.setUpstreams(upstreams);
        updateFleetShare();
        scheduleExpiry();
    }

    bool isColdLimited(const RegisteredUpstream &upstream) const
    {
        return m_credit.isLimited({.kind = CreditKind::ColdUpstream, .scope = upstream.service, .upstream = upstream.id});
    }

    std::size_t connectionLimitOf(const RegisteredUpstream &upstream) const
    {
        const auto service = m_proxy.table().services.find(upstream.service);
        const std::size_t limit = service == m_proxy.table().services.end() ? 0 : service->second.connectionLimit;
        return connectionShare(limit, m_fleetSize);
    }

    void scheduleExpiry()
    {
        if (const auto next = nextExpiry(m_upstreamRegistry)) {
            m_expiryTimer.start(std::chrono::ceil<std::chrono::milliseconds>(std::max(Duration(0), Duration(*next - Clock::now()))));
        }
    }

    void updateFleetShare()
    {
        const TimePoint now = Clock::now();
        const FleetKnowledge before = knowledgeOf(m_fleetSize);
        observeFleetSize(m_fleetSize, liveMembers(m_membership.membership()).size(), now);
        if (knowledgeOf(m_fleetSize) != before) {
            updateCreditMembers();
        }
        const auto settling = nextSettling(m_fleetSize, now);
        if (const auto next = settling ? settling : nextFleetSizeChange(m_fleetSize, now)) {
            m_convergenceTimer.start(std::chrono::ceil<std::chrono::milliseconds>(*next - now));
        }
        const FleetLimits limits{.retrySlack = m_settings.retrySlack, .probesPerSecondPerUpstream = m_settings.probesPerSecondPerUpstream};
        m_proxy.setFleetShare(fleetShare(limits, m_fleetSize, m_upstreamRegistry.entries.size()));
    }

    void updateReadiness()
    {
        const bool isReady = !m_isLeaving && m_proxy.table().version != 0 && m_storeSource.isListed();
        if (isReady == m_isReady) {
            return;
        }
        m_isReady = isReady;
        m_callerServer.setAcceptingPaused(false);
        m_operatorsPort.setReady(isReady);
        logEvent(LogEvent::ReadinessChanged, {{"ready", isReady}, {"routes", m_proxy.table().version}});
        publishSelfEntry();
    }

    void publishSelfEntry()
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

    void answerDirectory(HttpExchangeId exchange, const HttpRequest &request)
    {
        const auto query = m_codec.decodeDirectoryQuery(request);
        if (!query) {
            m_directoryServer.respond(exchange, {.status = 404, .fields = {{"Content-Type", "text/plain"}}, .body = "no such resource\n"});
            return;
        }
        m_directoryServer.respond(exchange, m_codec.encodeDirectoryAnswer(directoryEntries(query->availabilityZone), DirectoryTimeToLive));
    }

    /** Returns the serving entry VMs of @p availabilityZone; if they are too few, those of other zones follow. */
    std::vector<Endpoint> directoryEntries(const std::string &availabilityZone) const
    {
        std::vector<Endpoint> local;
        std::vector<Endpoint> remote;
        const auto &suspects = m_membership.membership().suspects;
        for (const EntryMember &entry : m_entries) {
            if (entry.isLeaving || suspects.contains(entry.name)) {
                continue;
            }
            (entry.availabilityZone == availabilityZone ? local : remote).push_back(entry.callerEndpoint);
        }
        if (local.size() < MinimumLocalEntries) {
            local.insert(local.end(), remote.begin(), remote.end());
        }
        local.resize(std::min(local.size(), MaximumDirectoryEntries));
        return local;
    }

    void leave()
    {
        if (m_isLeaving) {
            return;
        }
        m_isLeaving = true;
        m_isReady = false;
        m_membership.setEntry(selfEntry());
        m_credit.leave();
        m_callerServer.closeAfterResponses();
        const auto stopTime = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.stopTime);
        const auto interruptedAfter = std::max(stopTime - ForcedStopMargin, stopTime / 2);
        m_proxy.setInterruption(Clock::now() + interruptedAfter);
        // Other timers may fire a twentieth early, and interrupt calls that have time left.
        QTimer::singleShot(stopTime / 2, Qt::PreciseTimer, this, [this] {
            m_proxy.refuseNewCalls();
            m_isDraining = true;
            // By now another entry VM has registered itself in place of this one.
            m_registration.leave();
            m_membership.leave();
            m_callerServer.drain();
            stopIfDone();
        });
        QTimer::singleShot(interruptedAfter, Qt::PreciseTimer, this, [this] {
            Q_EMIT q->stopped();
        });
    }

    void stopIfDone()
    {
        if (m_isDraining && m_callerServer.connectionCount() == 0) {
            Q_EMIT q->stopped();
        }
    }

    Gateway *q;
    GatewaySettings m_settings;
    GatewayCodec m_codec;
    Metrics m_metrics;
    ProxyTask m_proxy;
    ProxyUpstreamPort m_upstreamPort;
    HttpServer m_callerServer;
    HttpServer m_readinessServer;
    HttpServer m_directoryServer;
    OperatorsPort m_operatorsPort;
    MembershipTask m_membership;
    StoreSourceTask m_storeSource;
    ExchangeServer m_exchangeServer;
    ExchangeClient m_exchangeClient;
    CreditTask m_credit;
    RegistrationTask m_registration;
    UpstreamRegistry m_upstreamRegistry;
    std::set<std::string> m_evacuatedZones;
    QTimer m_expiryTimer;
    QTimer m_convergenceTimer;
    std::vector<EntryMember> m_entries;
    std::chrono::milliseconds m_longestIdleTimeout{0};
    FleetSizeEstimate m_fleetSize;
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
