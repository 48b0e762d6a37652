#include "tasks/registrationtask.h"

#include "core/suspendawareclock.h"
#include "http/httpclient.h"
#include "observability/logevents.h"
#include "observability/metrics.h"
#include "tasks/storelisttask.h"

#include <QTimer>

#include <map>
#include <set>
#include <utility>

namespace Plantainweir {
namespace {

constexpr std::chrono::milliseconds WriteTimeout{1500};
constexpr int FirstRedirectionStatus = 300;
constexpr int MissingStatus = 404;
constexpr int ConflictStatus = 409;

UnixMilliseconds wallClockNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

RegistrationWriteOutcome outcomeOf(const HttpRequestResult &result)
{
    if (result.outcome != HttpRequestOutcome::Answered) {
        return RegistrationWriteOutcome::Failed;
    }
    switch (result.response.status) {
    case MissingStatus:
        return RegistrationWriteOutcome::Missing;
    case ConflictStatus:
        return RegistrationWriteOutcome::Exists;
    default:
        return result.response.status < FirstRedirectionStatus ? RegistrationWriteOutcome::Written : RegistrationWriteOutcome::Failed;
    }
}

/** Returns the records of the entry VMs in @p objects; those that cannot be read are logged. */
std::vector<EntryVmRecord> recordsOf(const std::vector<StoreObject> &objects)
{
    std::vector<EntryVmRecord> records;
    for (const StoreObject &object : objects) {
        if (const auto *record = std::get_if<EntryVmRecord>(&object.value)) {
            records.push_back(*record);
        } else if (!object.isDeleted) {
            logEvent(LogEvent::ObjectUnusable, {{"kind", nameOf(StoreObjectKind::EntryVms)}, {"name", object.name}, {"revision", object.revision.number}});
        }
    }
    return records;
}

}

class RegistrationTask::Private : public QObject
{
public:
    Private(RegistrationTask *task, const RegistrationTaskSettings &settings, const GatewayCodec &codec, Metrics &metrics)
        : q(task)
        , m_settings(settings)
        , m_codec(codec)
        , m_metrics(metrics)
        , m_random(settings.seed)
        , m_registration(makeFleetRegistration(settings.name, settings.registration, suspendAwareNow()))
        , m_client(HttpLimits{})
        , m_list(StoreObjectKind::EntryVms, settings.store, codec)
    {
        connect(&m_client, &HttpClient::finished, this, &Private::handleAnswer);
        connect(&m_list, &StoreListTask::listed, this, [this](const StoreDelta &delta) {
            handleEvent(RegistrationsListed{.records = recordsOf(delta.objects), .wallClock = wallClockNow(), .era = delta.revision.era});
            reportList(delta.objects.size());
        });
        connect(&m_list, &StoreListTask::failed, this, [this] {
            reportFailure("list");
            handleEvent(RegistrationsListed{.records = std::nullopt, .wallClock = wallClockNow(), .era = m_registration.era});
        });
        m_timer.setSingleShot(true);
        connect(&m_timer, &QTimer::timeout, this, [this] {
            handleEvent(RegistrationTimerFired{});
        });
    }

    void handleEvent(const RegistrationEvent &event)
    {
        const TimePoint now = suspendAwareNow();
        for (const RegistrationAction &action : step(m_registration, event, now, m_random)) {
            std::visit(
                [this](const auto &alternative) {
                    carryOut(alternative);
                },
                action);
        }
        schedule();
    }

    void schedule()
    {
        const TimePoint now = suspendAwareNow();
        const auto next = nextDeadline(m_registration, now);
        if (!next) {
            m_timer.stop();
            return;
        }
        m_timer.start(std::chrono::ceil<std::chrono::milliseconds>(Duration(*next - now)));
    }

    void carryOut(const WriteRegistration &action)
    {
        // Clocks of different VMs may differ, by little compared with the time for which a size is valid.
        const auto validity = std::chrono::duration_cast<std::chrono::milliseconds>(action.fleetSizeValidUntil - suspendAwareNow());
        const EntryVmRecord record{.name = m_settings.name,
                                   .membershipEndpoint = m_settings.membershipEndpoint,
                                   .fleetSize = action.fleetSize,
                                   .fleetSizeValidUntil = wallClockNow() + validity};
        m_write = m_client.send(m_settings.store, m_codec.encodeRegistration(record, action.isUpdate), Clock::now() + WriteTimeout);
    }

    void carryOut(const ListRegistrations &action)
    {
        m_list.start(action.consistency);
    }

    void carryOut(const RemoveRegistration &action)
    {
        m_client.send(m_settings.store, m_codec.encodeDeregistration(action.name), Clock::now() + WriteTimeout);
    }

    void carryOut(const PingRegistered &action)
    {
        Q_EMIT q->membersRegistered(action.endpoints);
    }

    void carryOut(const AnnounceComparison &action)
    {
        logEvent(LogEvent::FleetCompared, {{"fleet", action.fleetSize}, {"unanswered", action.unanswered}});
        Q_EMIT q->fleetCompared(action.fleetSize);
    }

    void handleAnswer(HttpRequestId id, const HttpRequestResult &result)
    {
        const RegistrationWriteOutcome outcome = outcomeOf(result);
        if (id != m_write) {
            // A registration that could not be removed is removed later, once it is old.
            if (outcome == RegistrationWriteOutcome::Failed) {
                reportFailure("remove");
            }
            return;
        }
        m_write = 0;
        m_metrics.addToCounter(
            "plantainweir_registration_writes_total", "Writes of this VM's registration in the store, by outcome.", std::string(nameOf(outcome)));
        if (outcome == RegistrationWriteOutcome::Failed) {
            reportFailure("write");
        }
        const bool isAnswered = result.outcome == HttpRequestOutcome::Answered;
        handleEvent(RegistrationWritten{.outcome = outcome, .era = isAnswered ? m_codec.decodeStoreEra(result.response) : m_registration.era});
    }

    static void reportFailure(const char *call)
    {
        logEvent(LogEvent::RegistrationFailed, {{"call", call}});
    }

    void reportList(std::size_t registered)
    {
        const auto counts = std::make_pair(registered, m_registration.unknown.size());
        if (std::exchange(m_reportedCounts, counts) == counts) {
            return;
        }
        m_metrics.setGauge("plantainweir_registered_entry_vms", "Entry VMs that are registered in the store.", static_cast<double>(counts.first));
        m_metrics.setGauge("plantainweir_unknown_entry_vms", "Registered entry VMs that this one does not know.", static_cast<double>(counts.second));
        logEvent(LogEvent::RegistrationsListed, {{"registered", counts.first}, {"unknown", counts.second}});
    }

    RegistrationTask *q;
    RegistrationTaskSettings m_settings;
    GatewayCodec m_codec;
    Metrics &m_metrics;
    std::mt19937_64 m_random;
    FleetRegistration m_registration;
    HttpClient m_client;
    StoreListTask m_list;
    QTimer m_timer;
    HttpRequestId m_write = 0; ///< The write in flight.
    std::pair<std::size_t, std::size_t> m_reportedCounts;
};

RegistrationTask::RegistrationTask(const RegistrationTaskSettings &settings, const GatewayCodec &codec, Metrics &metrics, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, settings, codec, metrics))
{
}

RegistrationTask::~RegistrationTask() = default;

void RegistrationTask::setMembers(const std::vector<RegistrationMember> &members)
{
    d->handleEvent(RegistrationMembersChanged{members});
}

void RegistrationTask::noteEra(std::uint64_t era)
{
    d->handleEvent(RegistrationEraSeen{era});
}

void RegistrationTask::leave()
{
    d->handleEvent(RegistrationLeaveRequested{});
}

bool RegistrationTask::isFleetCompared() const
{
    return d->m_registration.isCompared;
}

}
