#include "tasks/membershiptask.h"

#include "observability/logevents.h"
#include "observability/metrics.h"
#include "rpc/membershipmessages.h"

#include <QHostAddress>
#include <QNetworkDatagram>
#include <QTimer>
#include <QUdpSocket>

namespace Plantainweir {
namespace {

/** Changes that follow another one within this time are published together, since the work for each grows with the fleet. */
constexpr std::chrono::milliseconds PublishInterval{50};

QHostAddress toAddress(const Endpoint &endpoint)
{
    return QHostAddress(QString::fromStdString(endpoint.address));
}

}

class MembershipTask::Private
{
public:
    Private(MembershipTask *task, const MemberRecord &self, const MembershipSettings &settings, Metrics &metrics)
        : q(task)
        , m_random(self.incarnation)
        , m_membership(makeMembership(self, settings, Clock::now(), m_random))
        , m_metrics(metrics)
    {
        m_timer.setSingleShot(true);
        m_timer.setTimerType(Qt::PreciseTimer);
        connect(&m_timer, &QTimer::timeout, task, [this] {
            handleEvent(MembershipTimerFired{});
        });
        m_publishTimer.setSingleShot(true);
        connect(&m_publishTimer, &QTimer::timeout, task, [this] {
            if (m_hasUnpublishedChanges) {
                publishMembers();
            }
        });
        connect(&m_socket, &QUdpSocket::readyRead, task, [this] {
            readDatagrams();
        });
    }

    void readDatagrams()
    {
        while (m_socket.hasPendingDatagrams()) {
            const QNetworkDatagram received = m_socket.receiveDatagram(static_cast<qint64>(MaximumDatagramBytes) + 1);
            const QByteArray bytes = received.data();
            count("plantainweir_membership_received_bytes_total", "Payload bytes of datagrams received.", static_cast<double>(bytes.size()));
            count("plantainweir_membership_received_total", "Datagrams received.");
            const auto datagram = decodeDatagram(bytes.toStdString());
            if (!datagram) {
                count("plantainweir_membership_dropped_total", "Datagrams dropped because they are too large or malformed.");
                continue;
            }
            const Endpoint from{received.senderAddress().toString().toStdString(), static_cast<std::uint16_t>(received.senderPort())};
            handleEvent(DatagramReceived{from, *datagram});
        }
    }

    void handleEvent(const MembershipEvent &event)
    {
        const MembershipActions actions = step(m_membership, event, Clock::now(), m_random);
        for (const OutgoingDatagram &outgoing : actions.datagrams) {
            send(outgoing);
        }
        schedule();
        emitChanges(actions);
        if (actions.synchronizeWith) {
            Q_EMIT q->memberComparisonRequested(*actions.synchronizeWith, m_membership.digests, actions.synchronizedZone);
        }
        if (actions.peerDigest) {
            Q_EMIT q->peerDigestReceived(*actions.peerDigest);
        }
        reportLeave();
    }

    void send(const OutgoingDatagram &outgoing)
    {
        const std::string bytes = encodeDatagram(outgoing.datagram);
        if (bytes.size() > MaximumDatagramBytes) {
            count("plantainweir_membership_oversized_total", "Datagrams not sent because they are too large.");
            return;
        }
        m_socket.writeDatagram(bytes.data(), static_cast<qint64>(bytes.size()), toAddress(outgoing.to), outgoing.to.port);
        count("plantainweir_membership_sent_bytes_total", "Payload bytes of datagrams sent.", static_cast<double>(bytes.size()));
        count("plantainweir_membership_sent_total", "Datagrams sent.");
    }

    void schedule()
    {
        const Duration wait = std::max(Duration(0), Duration(nextDeadline(m_membership) - Clock::now()));
        m_timer.start(std::chrono::ceil<std::chrono::milliseconds>(wait));
    }

    void emitChanges(const MembershipActions &actions)
    {
        for (const MemberRecord &record : actions.changes) {
            reportChange(record);
        }
        if (actions.isRefuted) {
            logEvent(LogEvent::MemberRefuted, {{"incarnation", selfRecord(m_membership).incarnation}});
        }
        if (actions.isResumed) {
            logEvent(LogEvent::ProcessResumed);
        }
        m_hasUnpublishedChanges = m_hasUnpublishedChanges || !actions.changes.empty();
        if (m_hasUnpublishedChanges && !m_publishTimer.isActive()) {
            publishMembers();
        }
    }

    void publishMembers()
    {
        m_hasUnpublishedChanges = false;
        m_publishTimer.start(PublishInterval);
        m_metrics.setGauge("plantainweir_members", "Members that are alive or suspect.", static_cast<double>(liveMembers(m_membership).size()));
        Q_EMIT q->candidatesChanged(watcherCandidates(m_membership));
        std::vector<EntryMember> entries = servingEntries(m_membership);
        if (entries != m_entries) {
            m_entries = std::move(entries);
            Q_EMIT q->entriesChanged(m_entries);
        }
    }

    void reportChange(const MemberRecord &record)
    {
        if (record.name != m_membership.self && record.state != MemberState::Alive) {
            logEvent(LogEvent::MemberStateChanged, {{"member", record.name}, {"state", nameOf(record.state)}, {"incarnation", record.incarnation}});
        }
        m_metrics.addToCounter("plantainweir_member_changes_total", "Changes of member records, by new state.", std::string(nameOf(record.state)));
    }

    void reportLeave()
    {
        const bool isAnnounced = liveMembers(m_membership).empty() || !isSelfRecordPending(m_membership);
        if (selfRecord(m_membership).state == MemberState::Left && isAnnounced && !m_isLeaveReported) {
            m_isLeaveReported = true;
            Q_EMIT q->leaveAnnounced();
        }
    }

    void count(const std::string &name, const std::string &help, double amount = 1.0)
    {
        m_metrics.addToCounter(name, help, {}, amount);
    }

    MembershipTask *q;
    std::mt19937_64 m_random;
    Membership m_membership;
    Metrics &m_metrics;
    QUdpSocket m_socket;
    QTimer m_timer;
    QTimer m_publishTimer; ///< Active for PublishInterval after the members were published.
    bool m_hasUnpublishedChanges = false;
    std::vector<EntryMember> m_entries;
    bool m_isLeaveReported = false;
};

MembershipTask::MembershipTask(const MemberRecord &self, const MembershipSettings &settings, Metrics &metrics, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, self, settings, metrics))
{
}

MembershipTask::~MembershipTask() = default;

bool MembershipTask::listen()
{
    const Endpoint &endpoint = selfRecord(d->m_membership).membershipEndpoint;
    if (!d->m_socket.bind(toAddress(endpoint), endpoint.port, QAbstractSocket::DontShareAddress)) {
        return false;
    }
    d->handleEvent(MembershipTimerFired{});
    Q_EMIT candidatesChanged(watcherCandidates(d->m_membership));
    return true;
}

void MembershipTask::setSeeds(const std::vector<Endpoint> &seeds)
{
    d->handleEvent(SeedsChanged{seeds});
}

void MembershipTask::setEntry(const std::optional<EntryMember> &entry)
{
    d->handleEvent(EntryChanged{entry});
}

void MembershipTask::setComparedFleetSize(std::size_t fleetSize)
{
    d->handleEvent(FleetCompared{fleetSize});
}

void MembershipTask::setPlatformUnreachable(bool isUnreachable)
{
    d->handleEvent(PlatformReachabilityChanged{isUnreachable});
}

void MembershipTask::setObjects(std::uint64_t digest, const std::vector<ObjectVersion> &announcedVersions)
{
    d->handleEvent(ObjectsChanged{digest, announcedVersions});
}

void MembershipTask::mergeRecords(const std::vector<MemberRecord> &records)
{
    d->handleEvent(RecordsReceived{records});
}

void MembershipTask::leave()
{
    d->handleEvent(LeaveRequested{});
}

const Membership &MembershipTask::membership() const
{
    return d->m_membership;
}

}
