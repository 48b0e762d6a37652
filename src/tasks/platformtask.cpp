#include "tasks/platformtask.h"

#include "configuration/configurationcheck.h"
#include "configuration/configurationjson.h"
#include "http/httpclient.h"
#include "observability/logevents.h"
#include "observability/metrics.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>

#include <algorithm>
#include <utility>

namespace Plantainweir {
namespace {

/** Limits of one answer, large enough for a list of all objects. */
constexpr HttpLimits PlatformHttpLimits{.headerBytes = 16 * 1024, .bodyBytes = 64 * 1024 * 1024, .connections = 16};
/** How long the task's own lists and watches may queue; practically unlimited, since no caller waits for them. */
constexpr std::chrono::hours UnlimitedQueueingTime{24};

/** Purpose of a call, which decides how its answer is handled. */
enum class CallPurpose {
    Snapshot,
    Watch,
    VirtualMachines,
    List,
    Write,
};

/** A call that is queued or waits for its answer. */
struct PlatformCall {
    CallPurpose purpose = CallPurpose::Snapshot;
    PlatformCallKind kind = PlatformCallKind::Read;
    HttpRequest request;
    std::chrono::milliseconds answerTimeout{};
    TimePoint deadline;
};

QJsonObject encodeRejected(const PlatformStatus &status)
{
    QJsonObject rejected;
    for (const auto &[name, object] : status.rejected) {
        rejected.insert(QString::fromStdString(name),
                        QJsonObject{{"version", static_cast<double>(object.version)}, {"fault", QString::fromStdString(object.fault)}});
    }
    return rejected;
}

template<typename Object>
std::optional<std::string> firstError(const Object &object)
{
    const std::vector<ConfigurationError> errors = validate(object);
    return errors.empty() ? std::nullopt : std::optional(errors.front().message);
}

}

std::string encodePlatformStatus(const PlatformStatus &status)
{
    QJsonObject calls;
    for (const auto &[kind, count] : status.calls) {
        calls.insert(QString::fromUtf8(nameOf(kind).data()), static_cast<double>(count));
    }
    const QJsonObject object{
        {"state", QString::fromUtf8(nameOf(status.state).data())},
        {"revision", static_cast<double>(status.revision)},
        {"rejected", encodeRejected(status)},
        {"calls", calls},
    };
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

class PlatformTask::Private : public QObject
{
public:
    Private(PlatformTask *task, const PlatformSettings &settings, Metrics &metrics)
        : q(task)
        , m_settings(settings)
        , m_metrics(metrics)
        , m_random(settings.seed)
        , m_client(PlatformHttpLimits)
    {
        m_schedulerTimer.setSingleShot(true);
        m_schedulerTimer.setTimerType(Qt::PreciseTimer);
        connect(&m_schedulerTimer, &QTimer::timeout, this, [this] {
            handleEvent(PlatformTimerFired{});
        });
        m_virtualMachineTimer.setSingleShot(true);
        connect(&m_virtualMachineTimer, &QTimer::timeout, this, &Private::listVirtualMachines);
        connect(&m_client, &HttpClient::finished, this, &Private::handleFinished);
        registerCounters();
    }

    /** Creates all counters at 0, so that a scrape shows them before their first event. */
    void registerCounters()
    {
        for (const auto &row : enumNames(PlatformCallKind{})) {
            countCall(row.value, 0.0);
        }
        for (const auto &row : enumNames(PlatformRejection{})) {
            countRejection(row.value, 0.0);
        }
        for (const auto &row : enumNames(HttpRequestOutcome{})) {
            countFailure(row.value, 0.0);
        }
        countInvalidObject(0.0);
    }

    PlatformCallId submit(PlatformCall call)
    {
        const PlatformCallId id = ++m_lastCall;
        const PlatformCallSubmitted submitted{.id = id, .kind = call.kind, .deadline = call.deadline};
        m_calls.emplace(id, std::move(call));
        // Queued, so that no result is emitted before this function has returned the id of the call.
        QMetaObject::invokeMethod(
            this,
            [this, submitted] {
                handleEvent(submitted);
            },
            Qt::QueuedConnection);
        return id;
    }

    bool isPending(CallPurpose purpose) const
    {
        return std::any_of(m_calls.begin(), m_calls.end(), [purpose](const auto &entry) {
            return entry.second.purpose == purpose;
        });
    }

    void submitSnapshot()
    {
        if (isPending(CallPurpose::Snapshot)) {
            return;
        }
        submit({.purpose = CallPurpose::Snapshot,
                .kind = PlatformCallKind::Read,
                .request = listRequest(std::string(ObjectPrefix)),
                .answerTimeout = m_settings.callTimeout,
                .deadline = Clock::now() + UnlimitedQueueingTime});
    }

    void submitWatch()
    {
        if (!m_isWatching || isPending(CallPurpose::Watch)) {
            return;
        }
        // After a failed watch the platform is asked to answer at once, to find out soon whether it is up again.
        const std::chrono::milliseconds wait = m_hasWatchFailed ? std::chrono::milliseconds(0) : m_settings.longPollTimeout;
        submit({.purpose = CallPurpose::Watch,
                .kind = PlatformCallKind::Watch,
                .request = watchRequest(std::string(ObjectPrefix), m_status.revision, wait),
                .answerTimeout = wait + m_settings.callTimeout,
                .deadline = Clock::now() + UnlimitedQueueingTime});
    }

    void listVirtualMachines()
    {
        if (!m_isListingVirtualMachines || isPending(CallPurpose::VirtualMachines)) {
            return;
        }
        submit({.purpose = CallPurpose::VirtualMachines,
                .kind = PlatformCallKind::VirtualMachineList,
                .request = virtualMachineListRequest(),
                .answerTimeout = m_settings.callTimeout,
                .deadline = Clock::now() + UnlimitedQueueingTime});
    }

    void handleEvent(const PlatformCallSchedulerEvent &event)
    {
        const TimePoint now = Clock::now();
        for (const PlatformCallSchedulerAction &action : step(m_scheduler, m_settings.scheduler, event, now, m_random)) {
            std::visit(
                [this, now](const auto &each) {
                    execute(each, now);
                },
                action);
        }
        updateState();
    }

    void execute(const SendPlatformCall &action, TimePoint now)
    {
        const PlatformCall &call = m_calls.at(action.id);
        countCall(call.kind, 1.0);
        const bool hasCallerDeadline = call.purpose == CallPurpose::Write || call.purpose == CallPurpose::List;
        const TimePoint answerDeadline = now + call.answerTimeout;
        const TimePoint deadline = hasCallerDeadline ? std::min(call.deadline, answerDeadline) : answerDeadline;
        m_callByRequest.emplace(m_client.send(m_settings.endpoint, call.request, deadline), action.id);
    }

    void execute(const RejectPlatformCall &action, TimePoint /*now*/)
    {
        countRejection(action.reason, 1.0);
        complete(action.id, {.outcome = HttpRequestOutcome::NotSent, .response = {}});
    }

    void execute(const SchedulePlatformTimer &action, TimePoint now)
    {
        m_schedulerTimer.start(std::chrono::ceil<std::chrono::milliseconds>(std::max(action.at - now, Duration::zero())));
    }

    void handleFinished(HttpRequestId request, const HttpRequestResult &result)
    {
        const auto entry = m_callByRequest.find(request);
        if (entry == m_callByRequest.end()) {
            return;
        }
        const PlatformCallId id = entry->second;
        m_callByRequest.erase(entry);
        const bool isAnswered = isPlatformAnswer(result);
        m_hasBeenAnswered = m_hasBeenAnswered || isAnswered;
        if (!isAnswered) {
            countFailure(result.outcome, 1.0);
        }
        handleEvent(PlatformCallFinished{.id = id, .isAnswered = isAnswered});
        complete(id, result);
    }

    void complete(PlatformCallId id, const HttpRequestResult &result)
    {
        const auto entry = m_calls.find(id);
        const CallPurpose purpose = entry->second.purpose;
        m_calls.erase(entry);
        switch (purpose) {
        case CallPurpose::Snapshot:
            handleSnapshot(result);
            return;
        case CallPurpose::Watch:
            handleWatch(result);
            return;
        case CallPurpose::VirtualMachines:
            handleVirtualMachines(result);
            return;
        case CallPurpose::List:
            Q_EMIT q->listed(id, objectsOf(result));
            return;
        case CallPurpose::Write:
            Q_EMIT q->written(id, decodeWriteResult(result));
            return;
        }
    }

    std::optional<PlatformObjects> objectsOf(const HttpRequestResult &result) const
    {
        return valueOr(
            [&result]() -> Result<std::optional<PlatformObjects>> {
                BOOST_LEAF_AUTO(objects, decodeObjects(result));
                return std::optional(std::move(objects));
            },
            [](const Error &) {
                return std::optional<PlatformObjects>();
            });
    }

    void handleSnapshot(const HttpRequestResult &result)
    {
        const auto objects = objectsOf(result);
        if (!objects) {
            submitSnapshot();
            return;
        }
        m_status.revision = objects->revision;
        observe(*objects);
        submitWatch();
        Q_EMIT q->snapshotObserved();
    }

    void handleWatch(const HttpRequestResult &result)
    {
        if (!m_isWatching) {
            return;
        }
        if (isRevisionGone(result)) {
            submitSnapshot();
            return;
        }
        const auto objects = objectsOf(result);
        m_hasWatchFailed = !objects;
        if (objects) {
            m_status.revision = objects->revision;
            observe(*objects);
        }
        submitWatch();
    }

    void handleVirtualMachines(const HttpRequestResult &result)
    {
        const auto machines = valueOr(
            [&result]() -> Result<std::optional<std::vector<VirtualMachine>>> {
                BOOST_LEAF_AUTO(list, decodeVirtualMachines(result));
                return std::optional(std::move(list));
            },
            [](const Error &) {
                return std::optional<std::vector<VirtualMachine>>();
            });
        if (machines) {
            Q_EMIT q->virtualMachinesObserved(*machines);
        }
        if (m_isListingVirtualMachines) {
            m_virtualMachineTimer.start(m_settings.virtualMachineListPeriod);
        }
    }

    void observe(const PlatformObjects &objects)
    {
        for (const PlatformObject &object : objects.objects) {
            const auto fault = valueOr(
                [this, &object] {
                    return observe(object);
                },
                [](const Error &error) {
                    return std::optional(error.message);
                });
            if (fault) {
                reject(object, *fault);
            } else {
                m_status.rejected.erase(object.name);
            }
        }
    }

    /** Validates @p object and emits its contents; returns the error message for an invalid object. */
    Result<std::optional<std::string>> observe(const PlatformObject &object)
    {
        if (object.name == RulesObjectName) {
            BOOST_LEAF_AUTO(rules, decodeRules(object.value));
            rules.version = object.version;
            auto fault = firstError(rules);
            if (!fault) {
                Q_EMIT q->rulesObserved(rules);
            }
            return fault;
        }
        if (!object.name.starts_with(ServiceObjectPrefix)) {
            return std::nullopt;
        }
        BOOST_LEAF_AUTO(service, decodeService(object.value));
        service.version = object.version;
        auto fault = firstError(service);
        if (!fault && serviceObjectName(service.name) != object.name) {
            fault = "the service's name is \"" + service.name + "\"; allowed: the object's name without its prefix";
        }
        if (!fault) {
            Q_EMIT q->serviceObserved(service);
        }
        return fault;
    }

    void reject(const PlatformObject &object, const std::string &fault)
    {
        RejectedObject &rejected = m_status.rejected[object.name];
        if (rejected.version == object.version) {
            return;
        }
        rejected = {.version = object.version, .fault = fault};
        countInvalidObject(1.0);
        logEvent(LogEvent::ConfigurationRejected, {{"object", object.name}, {"version", object.version}, {"fault", fault}});
    }

    void countCall(PlatformCallKind kind, double amount)
    {
        m_status.calls[kind] += static_cast<std::uint64_t>(amount);
        m_metrics.addToCounter("plantainweir_platform_calls_total", "Calls sent to the platform.", std::string(nameOf(kind)), amount);
    }

    void countRejection(PlatformRejection reason, double amount)
    {
        m_metrics.addToCounter("plantainweir_platform_rejections_total", "Platform calls given up unsent.", std::string(nameOf(reason)), amount);
    }

    /** Counts a failed call. An answer with a server error is a failure too. */
    void countFailure(HttpRequestOutcome outcome, double amount)
    {
        m_metrics.addToCounter("plantainweir_platform_failures_total", "Platform calls that failed.", std::string(nameOf(outcome)), amount);
    }

    void countInvalidObject(double amount)
    {
        m_metrics.addToCounter("plantainweir_configuration_rejections_total", "Configuration objects that arrived with a fault.", {}, amount);
    }

    void updateState()
    {
        PlatformState state = m_status.state;
        if (m_scheduler.breaker != BreakerState::Closed) {
            state = PlatformState::Down;
        } else if (m_hasBeenAnswered || state == PlatformState::Down) {
            state = PlatformState::Up;
        }
        if (state == m_status.state) {
            return;
        }
        m_status.state = state;
        logEvent(state == PlatformState::Up ? LogEvent::PlatformUp : LogEvent::PlatformDown, {{"endpoint", toString(m_settings.endpoint)}});
        Q_EMIT q->platformStateChanged(state);
    }

    PlatformTask *q;
    PlatformSettings m_settings;
    Metrics &m_metrics;
    std::mt19937_64 m_random;
    HttpClient m_client;
    QTimer m_schedulerTimer;
    QTimer m_virtualMachineTimer;
    PlatformCallScheduler m_scheduler;
    PlatformStatus m_status;
    PlatformCallId m_lastCall = 0;
    std::map<PlatformCallId, PlatformCall> m_calls;
    std::map<HttpRequestId, PlatformCallId> m_callByRequest;
    bool m_isWatching = false;
    bool m_hasWatchFailed = false;
    bool m_isListingVirtualMachines = false;
    bool m_hasBeenAnswered = false;
};

PlatformTask::PlatformTask(const PlatformSettings &settings, Metrics &metrics, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, settings, metrics))
{
}

PlatformTask::~PlatformTask() = default;

void PlatformTask::startWatching()
{
    d->m_isWatching = true;
    d->submitSnapshot();
}

void PlatformTask::stopWatching()
{
    d->m_isWatching = false;
}

void PlatformTask::startListingVirtualMachines()
{
    d->m_isListingVirtualMachines = true;
    d->listVirtualMachines();
}

void PlatformTask::stopListingVirtualMachines()
{
    d->m_isListingVirtualMachines = false;
    d->m_virtualMachineTimer.stop();
}

void PlatformTask::refresh()
{
    d->submitSnapshot();
}

PlatformCallId PlatformTask::list(const std::string &prefix, TimePoint deadline)
{
    return d->submit({.purpose = CallPurpose::List,
                      .kind = PlatformCallKind::Read,
                      .request = listRequest(prefix),
                      .answerTimeout = d->m_settings.callTimeout,
                      .deadline = deadline});
}

PlatformCallId PlatformTask::write(const std::string &name, const std::string &value, std::uint64_t base, TimePoint deadline)
{
    return d->submit({.purpose = CallPurpose::Write,
                      .kind = PlatformCallKind::Write,
                      .request = writeRequest(name, value, base),
                      .answerTimeout = d->m_settings.callTimeout,
                      .deadline = deadline});
}

PlatformStatus PlatformTask::status() const
{
    return d->m_status;
}

}
