#include "tasks/credittask.h"

#include "controllers/fleetcredit.h"
#include "core/suspendawareclock.h"
#include "observability/logevents.h"
#include "observability/metrics.h"
#include "rpc/creditmessages.h"

#include <QHostAddress>
#include <QNetworkDatagram>
#include <QTimer>
#include <QUdpSocket>

#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

namespace Plantainweir {
namespace {

QHostAddress toAddress(const Endpoint &endpoint)
{
    return QHostAddress(QString::fromStdString(endpoint.address));
}

ProcessInstance drawInstance(std::mt19937_64 &random)
{
    return std::max<ProcessInstance>(1, random());
}

}

class CreditTask::Private
{
public:
    Private(CreditTask *task, const CreditTaskSettings &settings, Metrics &metrics)
        : q(task)
        , m_settings(settings)
        , m_metrics(metrics)
        , m_random(settings.seed)
        , m_credit(makeFleetCredit(settings.name, settings.availabilityZone, drawInstance(m_random), suspendAwareNow()))
    {
        m_timer.setSingleShot(true);
        m_timer.setTimerType(Qt::PreciseTimer);
        connect(&m_timer, &QTimer::timeout, task, [this] {
            handleEvent(CreditTimerFired{});
        });
        m_decisionTimer.setSingleShot(true);
        connect(&m_decisionTimer, &QTimer::timeout, task, [this] {
            emitDecisions();
        });
        connect(&m_socket, &QUdpSocket::readyRead, task, [this] {
            readDatagrams();
        });
    }

    void readDatagrams()
    {
        while (m_socket.hasPendingDatagrams()) {
            const QNetworkDatagram received = m_socket.receiveDatagram(static_cast<qint64>(MaximumCreditDatagramBytes) + 1);
            const QByteArray bytes = received.data();
            m_metrics.addToCounter("plantainweir_credit_received_bytes_total", "Payload bytes of credit datagrams received.", {}, bytes.size());
            const auto message = decodeCreditMessage(bytes.toStdString());
            if (!message) {
                m_metrics.addToCounter("plantainweir_credit_dropped_total", "Credit datagrams dropped because they are too large or malformed.");
                continue;
            }
            const Endpoint from{received.senderAddress().toString().toStdString(), static_cast<std::uint16_t>(received.senderPort())};
            handleEvent(CreditMessageReceived{from, *message});
        }
    }

    void handleEvent(const CreditEvent &event)
    {
        CreditActions actions = step(m_credit, event, suspendAwareNow(), m_random);
        for (const OutgoingCreditMessage &outgoing : actions.messages) {
            send(outgoing);
        }
        std::move(actions.decisions.begin(), actions.decisions.end(), std::back_inserter(m_decisions));
        if (!m_decisions.empty()) {
            m_decisionTimer.start(0);
        }
        schedule();
        report();
    }

    void send(const OutgoingCreditMessage &outgoing)
    {
        const std::string bytes = encodeCreditMessage(outgoing.message);
        m_socket.writeDatagram(bytes.data(), static_cast<qint64>(bytes.size()), toAddress(outgoing.to), outgoing.to.port);
        m_metrics.addToCounter("plantainweir_credit_sent_bytes_total", "Payload bytes of credit datagrams sent.", {}, static_cast<double>(bytes.size()));
        m_metrics.addToCounter("plantainweir_credit_sent_total", "Credit datagrams sent.");
    }

    void emitDecisions()
    {
        for (const DecidedRequest &decided : std::exchange(m_decisions, {})) {
            const std::string label = fmt::format("{}_{}", nameOf(decided.line.kind), nameOf(decided.decision.outcome));
            m_metrics.addToCounter("plantainweir_credit_decisions_total", "Decided requests for credit, by kind of limit and outcome.", label);
            Q_EMIT q->decided(decided.id, decided.decision);
        }
    }

    void schedule()
    {
        const auto next = nextDeadline(m_credit);
        if (!next) {
            m_timer.stop();
            return;
        }
        if (m_timer.isActive() && m_timerDue == *next) {
            return;
        }
        m_timerDue = *next;
        const Duration wait = std::max(Duration(0), Duration(*next - suspendAwareNow()));
        m_timer.start(std::chrono::ceil<std::chrono::milliseconds>(wait));
    }

    /** Reports changes of the keepers and of this VM's own work as a keeper. */
    void report()
    {
        if (m_credit.keeper.held != m_reportedShare) {
            m_metrics.setGauge("plantainweir_credit_held_share", "Part of all limits of the whole fleet that this VM keeps.", m_credit.keeper.held);
            const bool isKeeper = m_credit.keeper.held > 0.0;
            if (isKeeper != (m_reportedShare > 0.0)) {
                logEvent(LogEvent::CreditKeepingChanged, {{"keeping", isKeeper}});
            }
            m_reportedShare = m_credit.keeper.held;
        }
        const std::vector<std::string> &keepers = m_credit.delegator.keepers;
        if (keepers != m_reportedKeepers) {
            m_reportedKeepers = keepers;
            m_metrics.setGauge(
                "plantainweir_credit_keepers", "Keepers of the limits of the whole fleet that this VM uses.", static_cast<double>(keepers.size()));
            m_metrics.addToCounter("plantainweir_credit_keeper_changes_total", "Changes of the keepers that this VM uses.");
            logEvent(LogEvent::CreditKeepersChanged,
                     {{"keepers", fmt::format("{}", fmt::join(keepers, ","))}, {"fleet", largestFleetSize(m_credit.delegator.fleetSize).size}});
        }
    }

    CreditTask *q;
    CreditTaskSettings m_settings;
    Metrics &m_metrics;
    std::mt19937_64 m_random;
    FleetCredit m_credit;
    QUdpSocket m_socket;
    QTimer m_timer;
    TimePoint m_timerDue;
    QTimer m_decisionTimer;
    std::vector<DecidedRequest> m_decisions; ///< To be emitted from the event loop.
    double m_reportedShare = 0.0;
    std::vector<std::string> m_reportedKeepers;
};

CreditTask::CreditTask(const CreditTaskSettings &settings, Metrics &metrics, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, settings, metrics))
{
}

CreditTask::~CreditTask() = default;

bool CreditTask::listen()
{
    const Endpoint &endpoint = d->m_settings.endpoint;
    return d->m_socket.bind(toAddress(endpoint), endpoint.port, QAbstractSocket::DontShareAddress);
}

void CreditTask::setTable(const RouteTable &table)
{
    CreditLimits limits = creditLimits(table, d->m_settings.tolerance);
    if (limits != d->m_credit.limits) {
        d->handleEvent(CreditLimitsChanged{std::move(limits)});
    }
}

void CreditTask::setMembers(const std::vector<CreditMember> &members, FleetKnowledge knowledge, std::size_t comparedFleetSize)
{
    d->handleEvent(CreditMembersChanged{.members = members, .knowledge = knowledge, .comparedFleetSize = comparedFleetSize});
}

bool CreditTask::isLimited(const CreditLine &line) const
{
    return termsOf(d->m_credit.limits, line).has_value();
}

void CreditTask::request(CreditRequestId id, const CreditLine &line, TimePoint deadline)
{
    d->handleEvent(CreditRequested{.id = id, .line = line, .deadline = deadline});
}

void CreditTask::cancel(CreditRequestId id)
{
    const auto decided = std::find_if(d->m_decisions.begin(), d->m_decisions.end(), [id](const DecidedRequest &request) {
        return request.id == id;
    });
    if (decided == d->m_decisions.end()) {
        d->handleEvent(CreditCancelled{id});
        return;
    }
    const CreditDecision decision = decided->decision;
    d->m_decisions.erase(decided);
    giveBack(decision);
}

void CreditTask::giveBack(const CreditDecision &decision)
{
    if (decision.outcome == CreditOutcome::Granted) {
        d->handleEvent(CreditGivenBack{decision.credit});
    }
}

void CreditTask::leave()
{
    d->handleEvent(CreditLeaveRequested{});
}

}
