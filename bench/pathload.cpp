#include "pathload.h"

#include "http/httpclient.h"

#include <QSocketNotifier>

#include <random>
#include <sys/timerfd.h>
#include <unistd.h>
#include <unordered_map>

namespace Plantainweir {
namespace {

constexpr std::chrono::seconds CallTimeout{5};
constexpr std::size_t Connections = 512;
constexpr int SuccessStatus = 200;

timespec toTimespec(TimePoint point)
{
    const auto sinceEpoch = std::chrono::duration_cast<std::chrono::nanoseconds>(point.time_since_epoch()).count();
    constexpr std::int64_t NanosecondsPerSecond = 1'000'000'000;
    return {.tv_sec = sinceEpoch / NanosecondsPerSecond, .tv_nsec = sinceEpoch % NanosecondsPerSecond};
}

/** A call that waits for its answer. */
struct SentCall {
    std::size_t target = 0;
    TimePoint plannedAt;
    bool isCounted = false;
};

}

class OpenLoopLoad::Private
{
public:
    Private(OpenLoopLoad *load, const LoadSettings &settings)
        : q(load)
        , m_settings(settings)
        , m_client(HttpLimits{})
        , m_random(settings.seed)
        , m_timer(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
        , m_notifier(m_timer, QSocketNotifier::Read)
    {
        m_results.resize(settings.targets.size());
        m_planned = (settings.callsPerTarget + settings.warmUpCalls) * settings.targets.size();
        for (const LoadTarget &target : settings.targets) {
            m_client.setConnectionLimit(target.endpoint, Connections);
        }
    }

    ~Private()
    {
        m_notifier.setEnabled(false);
        ::close(m_timer);
    }

    Q_DISABLE_COPY_MOVE(Private)

    void arm()
    {
        const itimerspec when{.it_interval = {}, .it_value = toTimespec(m_nextAt)};
        timerfd_settime(m_timer, TFD_TIMER_ABSTIME, &when, nullptr);
    }

    void sendDue()
    {
        std::uint64_t expirations = 0;
        static_cast<void>(::read(m_timer, &expirations, sizeof(expirations)));
        const TimePoint now = Clock::now();
        std::exponential_distribution<double> gap(m_settings.callsPerSecond * static_cast<double>(m_settings.targets.size()));
        while (m_sent < m_planned && m_nextAt <= now) {
            send(m_nextAt);
            m_nextAt += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(m_random)));
        }
        if (m_sent < m_planned) {
            arm();
        }
    }

    void send(TimePoint plannedAt)
    {
        const std::size_t target = m_sent % m_settings.targets.size();
        const bool isCounted = m_sent >= m_settings.warmUpCalls * m_settings.targets.size();
        ++m_sent;
        const LoadTarget &to = m_settings.targets[target];
        const HttpRequestId id = m_client.send(to.endpoint, to.request, Clock::now() + CallTimeout);
        m_calls.emplace(id, SentCall{.target = target, .plannedAt = plannedAt, .isCounted = isCounted});
    }

    void finish(HttpRequestId id, const HttpRequestResult &result)
    {
        const SentCall call = m_calls.extract(id).mapped();
        if (call.isCounted) {
            LoadResult &target = m_results[call.target];
            target.latenciesMs.push_back(toMilliseconds(Clock::now() - call.plannedAt));
            target.failed += result.outcome == HttpRequestOutcome::Answered && result.response.status == SuccessStatus ? 0 : 1;
        }
        if (m_sent == m_planned && m_calls.empty()) {
            Q_EMIT q->finished();
        }
    }

    OpenLoopLoad *q;
    LoadSettings m_settings;
    HttpClient m_client;
    std::mt19937_64 m_random;
    int m_timer;
    QSocketNotifier m_notifier;
    TimePoint m_nextAt;
    std::size_t m_planned = 0;
    std::size_t m_sent = 0;
    std::unordered_map<HttpRequestId, SentCall> m_calls;
    std::vector<LoadResult> m_results;
};

OpenLoopLoad::OpenLoopLoad(const LoadSettings &settings, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, settings))
{
    connect(&d->m_notifier, &QSocketNotifier::activated, this, [this] {
        d->sendDue();
    });
    connect(&d->m_client, &HttpClient::finished, this, [this](HttpRequestId id, const HttpRequestResult &result) {
        d->finish(id, result);
    });
}

OpenLoopLoad::~OpenLoopLoad() = default;

void OpenLoopLoad::start()
{
    d->m_nextAt = Clock::now();
    d->arm();
}

const std::vector<LoadResult> &OpenLoopLoad::results() const
{
    return d->m_results;
}

class ClosedLoopLoad::Private
{
public:
    Private(const LoadTarget &target, std::size_t inFlight, TimePoint deadline)
        : m_target(target)
        , m_inFlight(inFlight)
        , m_deadline(deadline)
        , m_client(HttpLimits{})
    {
        m_client.setConnectionLimit(target.endpoint, inFlight);
    }

    void send()
    {
        m_client.send(m_target.endpoint, m_target.request, Clock::now() + CallTimeout);
    }

    LoadTarget m_target;
    std::size_t m_inFlight;
    TimePoint m_deadline;
    HttpClient m_client;
    std::size_t m_answered = 0;
};

ClosedLoopLoad::ClosedLoopLoad(const LoadTarget &target, std::size_t inFlight, TimePoint deadline, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(target, inFlight, deadline))
{
    connect(&d->m_client, &HttpClient::finished, this, [this](HttpRequestId, const HttpRequestResult &result) {
        d->m_answered += result.outcome == HttpRequestOutcome::Answered && result.response.status == SuccessStatus ? 1 : 0;
        if (Clock::now() < d->m_deadline) {
            d->send();
            return;
        }
        if (--d->m_inFlight == 0) {
            Q_EMIT finished();
        }
    });
}

ClosedLoopLoad::~ClosedLoopLoad() = default;

void ClosedLoopLoad::start()
{
    for (std::size_t index = 0; index < d->m_inFlight; ++index) {
        d->send();
    }
}

std::size_t ClosedLoopLoad::answered() const
{
    return d->m_answered;
}

}
