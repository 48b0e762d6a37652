#include "caller/loadgeneratortask.h"

#include <QTimer>

#include <algorithm>

namespace Plantainweir {

class LoadGeneratorTask::Private : public QObject
{
public:
    Private(LoadGeneratorTask *task, const LoadGeneratorSettings &settings, CallerTask *caller, std::uint64_t seed)
        : q(task)
        , m_settings(settings)
        , m_caller(caller)
        , m_random(seed)
    {
        m_timer.setSingleShot(true);
        m_timer.setTimerType(Qt::PreciseTimer);
        connect(&m_timer, &QTimer::timeout, this, &Private::sendDue);
        connect(caller, &CallerTask::finished, this, &Private::handleFinished);
    }

    void start()
    {
        m_startedAt = Clock::now();
        sendDue();
    }

    /** Scheduled time of the next call, rounded up to the resolution of the timer. */
    TimePoint nextDue() const
    {
        return m_startedAt + std::chrono::ceil<std::chrono::milliseconds>(m_nextOffset);
    }

    void sendDue()
    {
        while (m_sent < m_settings.count && nextDue() <= Clock::now()) {
            sendCall(nextDue());
            m_nextOffset += fromMilliseconds(std::exponential_distribution<double>(m_settings.callsPerSecond / 1000.0)(m_random));
        }
        if (m_sent < m_settings.count) {
            const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(nextDue() - Clock::now());
            m_timer.start(std::max(remaining, std::chrono::milliseconds(0)));
        }
    }

    void sendCall(TimePoint due)
    {
        ++m_sent;
        OutgoingCall call = m_settings.prototype;
        call.kind = drawWorkKind(m_settings.mix, m_random);
        if (call.target == "/") {
            call.target += call.kind.name;
        }
        call.dueAt = due;
        m_caller->call(call);
    }

    void handleFinished(const FinishedCall &call)
    {
        ++m_finished;
        Q_EMIT q->callFinished(call);
        reportFinished();
    }

    void reportFinished()
    {
        if (m_finished == m_settings.count && m_sent == m_settings.count) {
            Q_EMIT q->finished();
        }
    }

    void stop()
    {
        m_timer.stop();
        m_settings.count = m_sent;
        reportFinished();
    }

    LoadGeneratorTask *q;
    LoadGeneratorSettings m_settings;
    CallerTask *m_caller;
    std::mt19937_64 m_random;
    QTimer m_timer;
    TimePoint m_startedAt;
    Duration m_nextOffset{};
    std::uint64_t m_sent = 0;
    std::uint64_t m_finished = 0;
};

LoadGeneratorTask::LoadGeneratorTask(const LoadGeneratorSettings &settings, CallerTask *caller, std::uint64_t seed, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, settings, caller, seed))
{
}

LoadGeneratorTask::~LoadGeneratorTask() = default;

void LoadGeneratorTask::start()
{
    d->start();
}

void LoadGeneratorTask::stop()
{
    d->stop();
}

}
