#include "tasks/controld.h"

#include "configuration/configurationjson.h"
#include "observability/logevents.h"
#include "observability/metrics.h"
#include "tasks/controlserver.h"
#include "tasks/distributiontask.h"
#include "tasks/exchangeclient.h"
#include "tasks/exchangeserver.h"
#include "tasks/membershiptask.h"
#include "tasks/platformtask.h"

#include <QTimer>

#include <algorithm>
#include <set>

namespace Plantainweir {
namespace {

/** How long entryd may take to finish the calls in flight. */
constexpr std::chrono::seconds EntrydStopTimeout{60};
/** How long the announcement that this member leaves may take. */
constexpr std::chrono::seconds LeaveAnnouncementTimeout{3};
/** After this long without a heartbeat entryd counts as not serving, even if its stream is open. */
constexpr std::chrono::seconds EntrydHeartbeatTimeout{3};

UnixMilliseconds wallClockNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

}

class Controld::Private
{
public:
    Private(Controld *controld, const ControldSettings &settings, Metrics &metrics)
        : q(controld)
        , m_settings(settings)
        , m_metrics(metrics)
        , m_membership(settings.self, {}, metrics)
        , m_distribution(settings.self.name, settings.self.incarnation)
        , m_exchangeServer(metrics)
        , m_exchangeClient(metrics)
    {
        if (settings.platform) {
            m_platform
                = std::make_unique<PlatformTask>(PlatformSettings{.endpoint = *settings.platform, .scheduler = {}, .seed = settings.self.incarnation}, metrics);
        }
        m_stopTimer.setSingleShot(true);
        m_heartbeatTimer.setSingleShot(true);
        m_handOverTimer.setSingleShot(true);
        m_watcherReturnTimer.setSingleShot(true);
        connectEntry();
        connectDistribution();
        connectExchanges();
        connectPlatform();
        connectStop();
    }

    ~Private()
    {
        // m_controlServer is destroyed last of the tasks; the streams that it then closes must not signal tasks that no
        // longer exist.
        m_controlServer.disconnect(q);
    }

    void connectEntry()
    {
        connect(&m_controlServer, &ControlServer::entryStateReceived, q, [this](const EntryState &state) {
            m_heartbeatTimer.start(EntrydHeartbeatTimeout);
            m_entry = state.isReady ? std::optional(state.self) : std::nullopt;
            publishEntry();
            observeStatuses(state.upstreamStatuses);
        });
        connect(&m_controlServer, &ControlServer::entrydDisconnected, q, [this] {
            m_heartbeatTimer.stop();
            m_entry.reset();
            publishEntry();
            leaveIfEntrydDisconnected();
        });
        connect(&m_heartbeatTimer, &QTimer::timeout, q, [this] {
            logEvent(LogEvent::EntrySilent);
            m_entry.reset();
            publishEntry();
        });
        connect(&m_membership, &MembershipTask::entriesChanged, &m_controlServer, &ControlServer::setMembers);
        connect(&m_distribution, &DistributionTask::rulesChanged, &m_controlServer, &ControlServer::setRules);
        connect(&m_distribution, &DistributionTask::serviceChanged, &m_controlServer, &ControlServer::setService);
        connect(&m_distribution, &DistributionTask::statusesChanged, &m_controlServer, &ControlServer::setUpstreamStatuses);
        connect(&m_distribution, &DistributionTask::completed, q, [this] {
            logEvent(LogEvent::ConfigurationKnown, {{"services", m_distribution.distribution().configuration.services.size()}});
            m_controlServer.setConfigurationComplete();
            Q_EMIT q->ready();
        });
    }

    void connectDistribution()
    {
        connect(&m_distribution, &DistributionTask::objectsChanged, &m_membership, &MembershipTask::setObjects, Qt::QueuedConnection);
        connect(&m_membership, &MembershipTask::peerDigestReceived, &m_distribution, &DistributionTask::handlePeerDigest, Qt::QueuedConnection);
        connect(&m_membership, &MembershipTask::candidatesChanged, &m_distribution, &DistributionTask::setCandidates, Qt::QueuedConnection);
        connect(&m_distribution, &DistributionTask::objectComparisonRequested, &m_exchangeClient, &ExchangeClient::compareObjects, Qt::QueuedConnection);
        connect(&m_distribution, &DistributionTask::pullRequested, &m_exchangeClient, &ExchangeClient::pullObjects, Qt::QueuedConnection);
        connect(&m_exchangeClient, &ExchangeClient::objectsCompared, &m_distribution, &DistributionTask::handleComparison, Qt::QueuedConnection);
        connect(&m_exchangeClient, &ExchangeClient::objectsPulled, &m_distribution, &DistributionTask::handlePulledObjects, Qt::QueuedConnection);
    }

    void connectExchanges()
    {
        connect(&m_membership, &MembershipTask::memberComparisonRequested, &m_exchangeClient, &ExchangeClient::compareMembers, Qt::QueuedConnection);
        connect(
            &m_exchangeClient,
            &ExchangeClient::membersCompared,
            q,
            [this](const Endpoint &, const auto &records) {
                if (records) {
                    m_membership.mergeRecords(*records);
                }
            },
            Qt::QueuedConnection);
        connect(
            &m_exchangeServer,
            &ExchangeServer::membersRequested,
            q,
            [this](ExchangeCallId call, const BucketDigests &digests, const std::string &zone) {
                m_exchangeServer.replyWithMembers(call, recordsInDifferingBuckets(m_membership.membership(), digests, zone));
            },
            Qt::QueuedConnection);
        connect(
            &m_exchangeServer,
            &ExchangeServer::versionsRequested,
            q,
            [this](ExchangeCallId call, const BucketDigests &digests) {
                m_exchangeServer.replyWithVersions(call, versionsInDifferingBuckets(m_distribution.distribution(), digests));
            },
            Qt::QueuedConnection);
        connect(
            &m_exchangeServer,
            &ExchangeServer::objectsRequested,
            q,
            [this](ExchangeCallId call, const std::vector<std::string> &keys) {
                m_exchangeServer.replyWithObjects(call, objectsOf(m_distribution.distribution(), keys));
            },
            Qt::QueuedConnection);
    }

    void connectPlatform()
    {
        if (m_platform == nullptr) {
            return;
        }
        connect(
            &m_distribution,
            &DistributionTask::watcherChanged,
            q,
            [this](bool isWatcher) {
                setWatching(isWatcher);
            },
            Qt::QueuedConnection);
        connect(m_platform.get(), &PlatformTask::serviceObserved, &m_distribution, &DistributionTask::handlePlatformService, Qt::QueuedConnection);
        connect(m_platform.get(), &PlatformTask::rulesObserved, &m_distribution, &DistributionTask::handlePlatformRules, Qt::QueuedConnection);
        connect(m_platform.get(), &PlatformTask::snapshotObserved, &m_distribution, &DistributionTask::handlePlatformSnapshot, Qt::QueuedConnection);
        connect(
            m_platform.get(),
            &PlatformTask::virtualMachinesObserved,
            q,
            [this](const std::vector<VirtualMachine> &virtualMachines) {
                applyVirtualMachines(virtualMachines);
            },
            Qt::QueuedConnection);
        connect(
            m_platform.get(),
            &PlatformTask::platformStateChanged,
            q,
            [this](PlatformState state) {
                updateHandOverTimer(state);
            },
            Qt::QueuedConnection);
        connect(&m_handOverTimer, &QTimer::timeout, q, [this] {
            handOverWatching();
        });
        connect(&m_watcherReturnTimer, &QTimer::timeout, q, [this] {
            m_membership.setPlatformUnreachable(false);
        });
    }

    void connectStop()
    {
        connect(&m_stopTimer, &QTimer::timeout, q, [this] {
            announceLeave();
        });
        connect(&m_membership, &MembershipTask::leaveAnnounced, q, [this] {
            finish();
        });
    }

    void publishEntry()
    {
        std::optional<EntryMember> entry = m_entry;
        if (entry) {
            entry->isLeaving = entry->isLeaving || m_isStopping;
        }
        m_membership.setEntry(entry);
    }

    void observeStatuses(const std::vector<UpstreamStatus> &statuses)
    {
        const std::set<UpstreamStatus> current(statuses.begin(), statuses.end());
        for (const UpstreamStatus &status : current) {
            m_distribution.observeStatus(status, wallClockNow());
        }
        for (UpstreamStatus status : m_observedStatuses) {
            if (status.isLeaving && !current.contains(status)) {
                status.isLeaving = false;
                m_distribution.observeStatus(status, wallClockNow());
            }
        }
        m_observedStatuses = current;
    }

    void setWatching(bool isWatching)
    {
        logEvent(LogEvent::WatcherChanged, {{"watching", isWatching}});
        m_metrics.setGauge("plantainweir_platform_watcher", "One while this member watches the platform.", isWatching ? 1.0 : 0.0);
        updateHandOverTimer(m_platform->status().state);
        if (isWatching) {
            m_platform->startWatching();
            m_platform->startListingVirtualMachines();
        } else {
            m_platform->stopWatching();
            m_platform->stopListingVirtualMachines();
        }
    }

    /**
     * Starts the hand-over timer of a watcher that cannot reach the platform, otherwise stops it. Without the delay, an
     * outage of the platform would make all members take turns as watchers.
     */
    void updateHandOverTimer(PlatformState state)
    {
        if (state == PlatformState::Up || !m_distribution.distribution().isWatcher) {
            m_handOverTimer.stop();
        } else if (!m_handOverTimer.isActive()) {
            m_handOverTimer.start(m_settings.watcherHandOverDelay);
        }
    }

    void handOverWatching()
    {
        m_membership.setPlatformUnreachable(true);
        m_watcherReturnTimer.start(m_settings.watcherReturnDelay);
    }

    /**
     * Adds the VMs in the platform's list to the seeds. The list lags, so it is not used as the list of members.
     * Upstreams on VMs that the platform is about to stop count as leaving.
     */
    void applyVirtualMachines(const std::vector<VirtualMachine> &virtualMachines)
    {
        std::vector<Endpoint> seeds = m_settings.seeds;
        std::set<std::string> leavingAddresses;
        for (const VirtualMachine &virtualMachine : virtualMachines) {
            if (virtualMachine.state == VirtualMachineState::Leaving) {
                leavingAddresses.insert(virtualMachine.address);
            } else {
                seeds.push_back({virtualMachine.address, m_settings.self.membershipEndpoint.port});
            }
        }
        m_membership.setSeeds(seeds);
        observeLeavingAddresses(leavingAddresses);
    }

    void observeLeavingAddresses(const std::set<std::string> &leavingAddresses)
    {
        std::vector<UpstreamStatus> changed;
        for (const auto &[name, service] : m_distribution.distribution().configuration.services) {
            for (const Upstream &upstream : service.upstreams) {
                const bool isLeaving = leavingAddresses.contains(upstream.endpoint.address);
                if (isLeaving != m_leavingAddresses.contains(upstream.endpoint.address)) {
                    changed.push_back({.service = name, .upstream = upstream.name, .isLeaving = isLeaving});
                }
            }
        }
        m_leavingAddresses = leavingAddresses;
        for (const UpstreamStatus &status : changed) {
            m_distribution.observeStatus(status, wallClockNow());
        }
    }

    void stop()
    {
        if (m_isStopping) {
            return;
        }
        m_isStopping = true;
        publishEntry();
        m_stopTimer.start(EntrydStopTimeout);
        leaveIfEntrydDisconnected();
    }

    void leaveIfEntrydDisconnected()
    {
        if (m_isStopping && !m_controlServer.hasEntryd()) {
            announceLeave();
        }
    }

    void announceLeave()
    {
        if (m_isLeaveAnnounced) {
            finish();
            return;
        }
        m_isLeaveAnnounced = true;
        m_stopTimer.start(LeaveAnnouncementTimeout);
        m_membership.leave();
    }

    void finish()
    {
        m_stopTimer.stop();
        Q_EMIT q->stopped();
    }

    Controld *q;
    ControldSettings m_settings;
    Metrics &m_metrics;
    ControlServer m_controlServer;
    MembershipTask m_membership;
    DistributionTask m_distribution;
    ExchangeServer m_exchangeServer;
    ExchangeClient m_exchangeClient;
    std::unique_ptr<PlatformTask> m_platform;
    QTimer m_heartbeatTimer;
    QTimer m_stopTimer;
    QTimer m_handOverTimer;
    QTimer m_watcherReturnTimer;
    std::optional<EntryMember> m_entry;
    std::set<UpstreamStatus> m_observedStatuses; ///< From entryd's latest report.
    std::set<std::string> m_leavingAddresses; ///< Of VMs that the platform is about to stop.
    bool m_isStopping = false;
    bool m_isLeaveAnnounced = false;
};

Controld::Controld(const ControldSettings &settings, Metrics &metrics, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, settings, metrics))
{
}

Controld::~Controld() = default;

std::optional<ListenFailure> Controld::start()
{
    const MemberRecord &self = d->m_settings.self;
    if (!d->m_controlServer.listen(d->m_settings.controlEndpoint)) {
        return ListenFailure{"control-port", d->m_settings.controlEndpoint};
    }
    if (!d->m_exchangeServer.listen(self.exchangeEndpoint)) {
        return ListenFailure{"exchange-port", self.exchangeEndpoint};
    }
    d->m_membership.setSeeds(d->m_settings.seeds);
    if (!d->m_membership.listen()) {
        return ListenFailure{"membership-port", self.membershipEndpoint};
    }
    return std::nullopt;
}

void Controld::stop()
{
    d->stop();
}

std::string Controld::status() const
{
    const Distribution &distribution = d->m_distribution.distribution();
    const Membership &membership = d->m_membership.membership();
    std::string members;
    for (const auto &[name, member] : membership.members) {
        const bool isServing = member.record.entry.has_value();
        const bool isLeaving = isServing && member.record.entry->isLeaving;
        members += fmt::format(R"({}"{}":{{"state":"{}","incarnation":{},"serving":{},"leaving":{}}})",
                               members.empty() ? "" : ",",
                               name,
                               nameOf(member.record.state),
                               member.record.incarnation,
                               isServing,
                               isLeaving);
    }
    return fmt::format(
        R"({{"complete":{},"watcher":{},"objects_digest":"{:016x}","rules_version":{},"services":{},"versions":{},"members":{{{}}},"platform":{}}})"
        "\n",
        distribution.isComplete,
        distribution.isWatcher,
        combine(distribution.digests),
        distribution.configuration.rules.version,
        distribution.configuration.services.size(),
        encodeVersions(distribution.configuration),
        members,
        d->m_platform == nullptr ? "null" : encodePlatformStatus(d->m_platform->status()));
}

}
