#include "controlfleet.h"

#include "configuration/configurationjson.h"
#include "observability/metrics.h"
#include "tasks/controlclient.h"
#include "tasks/platformtask.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QFile>
#include <QProcess>
#include <QTcpSocket>
#include <QTimer>

#include <unistd.h>

#include <algorithm>
#include <functional>
#include <numeric>
#include <vector>

namespace Plantainweir {
namespace {

constexpr std::chrono::seconds StartTimeout{60};
constexpr std::chrono::seconds SettleTime{6};
constexpr std::chrono::seconds IdleTime{10};
constexpr std::chrono::seconds ChangePeriod{5};
constexpr quint16 PortsPerProcess = 5;
/** Headers of IPv4 and UDP. */
constexpr double DatagramOverheadBytes = 28.0;
/** Connection set-up, HTTP/2 settings and headers, and TCP acknowledgements of one exchange, both directions. */
constexpr double ExchangeOverheadBytes = 2000.0;

bool runUntil(const std::function<bool()> &condition, TimePoint limit)
{
    while (!condition() && Clock::now() < limit) {
        QEventLoop loop;
        QTimer::singleShot(std::chrono::milliseconds(2), &loop, &QEventLoop::quit);
        loop.exec();
    }
    return condition();
}

QString endpointText(quint16 port)
{
    return QString("127.0.0.1:%1").arg(port);
}

/** One controld, and the routing state that it last sent to its entryd. */
struct Daemon {
    quint16 firstPort = 0;
    std::unique_ptr<QProcess> process;
    std::unique_ptr<ControlClient> client;
    std::uint64_t rulesVersion = 0;
    TimePoint rulesAt;
    std::size_t members = 0;
};

/** Counters of one daemon at one time. */
struct DaemonCounters {
    double bytes = 0.0;
    double platformCalls = 0.0;
    double processorSeconds = 0.0;
    double residentMib = 0.0;
};

QByteArray readMetrics(const Daemon &daemon)
{
    QTcpSocket socket;
    socket.connectToHost(QHostAddress::LocalHost, daemon.firstPort + 3);
    socket.write("GET /metrics HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n");
    QByteArray answer;
    while (socket.waitForReadyRead(2000)) {
        answer += socket.readAll();
    }
    return answer;
}

/** Returns the sum of the samples of the metric @p name. */
double sumOf(const QByteArray &metrics, const QByteArray &name)
{
    double sum = 0.0;
    for (const QByteArray &line : metrics.split('\n')) {
        const bool isSample = line.startsWith(name + ' ') || line.startsWith(name + '{');
        sum += isSample ? line.mid(line.lastIndexOf(' ') + 1).toDouble() : 0.0;
    }
    return sum;
}

double processorSeconds(qint64 process)
{
    QFile file(QString("/proc/%1/stat").arg(process));
    if (!file.open(QIODevice::ReadOnly)) {
        return 0.0;
    }
    const QByteArray text = file.readAll();
    const QList<QByteArray> fields = text.mid(text.lastIndexOf(')') + 2).split(' ');
    constexpr int UserTime = 11;
    constexpr int SystemTime = 12;
    return (fields[UserTime].toDouble() + fields[SystemTime].toDouble()) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double residentMib(qint64 process)
{
    QFile file(QString("/proc/%1/status").arg(process));
    if (!file.open(QIODevice::ReadOnly)) {
        return 0.0;
    }
    for (const QByteArray &line : file.readAll().split('\n')) {
        if (line.startsWith("VmRSS:")) {
            return line.mid(6).trimmed().split(' ').first().toDouble() / 1024.0;
        }
    }
    return 0.0;
}

DaemonCounters readDaemon(const Daemon &daemon)
{
    const QByteArray metrics = readMetrics(daemon);
    const double datagrams = sumOf(metrics, "plantainweir_membership_sent_total") + sumOf(metrics, "plantainweir_membership_received_total");
    const double exchanges = sumOf(metrics, "plantainweir_exchange_calls_total") + sumOf(metrics, "plantainweir_exchange_served_total");
    DaemonCounters counters;
    for (const char *name : {"plantainweir_membership_sent_bytes_total",
                             "plantainweir_membership_received_bytes_total",
                             "plantainweir_exchange_sent_bytes_total",
                             "plantainweir_exchange_received_bytes_total"}) {
        counters.bytes += sumOf(metrics, name);
    }
    counters.bytes += datagrams * DatagramOverheadBytes + exchanges * ExchangeOverheadBytes;
    counters.platformCalls = sumOf(metrics, "plantainweir_platform_calls_total");
    counters.processorSeconds = processorSeconds(daemon.process->processId());
    counters.residentMib = residentMib(daemon.process->processId());
    return counters;
}

std::unique_ptr<QProcess> startProcess(const QString &program, const QStringList &arguments)
{
    auto process = std::make_unique<QProcess>();
    process->setStandardOutputFile(QProcess::nullDevice());
    process->setStandardErrorFile(QProcess::nullDevice());
    process->start(QCoreApplication::applicationDirPath() + '/' + program, arguments);
    return process;
}

}

class ControlFleet::Private : public QObject
{
public:
    Private(std::size_t members, quint16 firstPort)
        : m_platformPort(firstPort)
        , m_platformProcess(startProcess("plantainweir-fake-platform", {"--platform-port", endpointText(firstPort)}))
        , m_platform({.endpoint = {"127.0.0.1", firstPort}}, m_metrics)
    {
        m_daemons.resize(members);
        for (std::size_t index = 0; index < members; ++index) {
            m_daemons[index].firstPort = static_cast<quint16>(firstPort + PortsPerProcess * (index + 1));
        }
        for (std::size_t index = 0; index < members; ++index) {
            start(index);
        }
        connect(&m_platform, &PlatformTask::written, this, [this](PlatformCallId, const WriteResult &result) {
            if (result.outcome == WriteOutcome::Accepted) {
                m_version = result.version;
                m_writtenAt = Clock::now();
            }
        });
    }

    ~Private() override
    {
        for (Daemon &daemon : m_daemons) {
            daemon.client.reset();
            daemon.process->terminate();
        }
        m_platformProcess->terminate();
        m_platformProcess->waitForFinished();
        for (Daemon &daemon : m_daemons) {
            if (daemon.process->state() != QProcess::NotRunning && !daemon.process->waitForFinished()) {
                daemon.process->kill();
            }
        }
    }

    void start(std::size_t index)
    {
        Daemon &daemon = m_daemons[index];
        const quint16 port = daemon.firstPort;
        const QString seeds = endpointText(m_daemons.front().firstPort + 1) + ',' + endpointText(m_daemons.back().firstPort + 1);
        const QString name = QString("member%1").arg(index);
        daemon.process = startProcess("plantainweir-controld",
                                      {"--name",
                                       name,
                                       "--availability-zone",
                                       "regina",
                                       "--control-port",
                                       endpointText(port),
                                       "--membership-port",
                                       endpointText(port + 1),
                                       "--exchange-port",
                                       endpointText(port + 2),
                                       "--operators-port",
                                       endpointText(port + 3),
                                       "--seeds",
                                       seeds,
                                       "--platform",
                                       endpointText(m_platformPort)});
        daemon.client = std::make_unique<ControlClient>(Endpoint{"127.0.0.1", port});
        connect(daemon.client.get(), &ControlClient::updated, this, [&daemon](const RoutingUpdate &update) {
            if (update.members) {
                daemon.members = update.members->size();
            }
            if (update.rules) {
                daemon.rulesVersion = update.rules->version;
                daemon.rulesAt = Clock::now();
            }
        });
        EntryState state;
        state.self = {.name = name.toStdString(),
                      .incarnation = "run" + std::to_string(index),
                      .callerEndpoint = {"127.0.0.1", 1},
                      .peerEndpoint = {"127.0.0.1", 2},
                      .availabilityZone = "regina"};
        state.isReady = true;
        daemon.client->report(state);
        daemon.client->start();
    }

    bool allDaemons(const std::function<bool(const Daemon &)> &condition) const
    {
        return std::all_of(m_daemons.begin(), m_daemons.end(), condition);
    }

    /** Changes the rules. Returns the milliseconds until every controld had sent them to its entryd, or nothing if the target of 11 s was missed. */
    std::optional<double> changeRules()
    {
        const std::uint64_t before = m_version;
        const Rules rules{.version = 0, .workKinds = {{.name = "sale", .target = std::chrono::milliseconds(100)}}, .probesPerSecond = ++m_probesPerSecond};
        const TimePoint limit = Clock::now() + std::chrono::seconds(11);
        m_platform.write(std::string(RulesObjectName), encodeRules(rules), before, limit);
        const auto isApplied = [this, before] {
            return m_version > before && allDaemons([this](const Daemon &daemon) {
                       return daemon.rulesVersion >= m_version;
                   });
        };
        if (!runUntil(isApplied, limit)) {
            return std::nullopt;
        }
        TimePoint last = m_writtenAt;
        for (const Daemon &daemon : m_daemons) {
            last = std::max(last, daemon.rulesAt);
        }
        return toMilliseconds(last - m_writtenAt);
    }

    std::vector<DaemonCounters> readAll() const
    {
        std::vector<DaemonCounters> readings;
        readings.reserve(m_daemons.size());
        for (const Daemon &daemon : m_daemons) {
            readings.push_back(readDaemon(daemon));
        }
        return readings;
    }

    double totalBytes() const
    {
        const std::vector<DaemonCounters> readings = readAll();
        return std::accumulate(readings.begin(), readings.end(), 0.0, [](double sum, const DaemonCounters &counters) {
            return sum + counters.bytes;
        });
    }

    bool waitUntilConverged()
    {
        const TimePoint limit = Clock::now() + StartTimeout;
        const bool isPlatformUp = runUntil(
            [this] {
                const auto time = changeRules();
                return time.has_value();
            },
            limit);
        return isPlatformUp
               && runUntil(
                   [this] {
                       return allDaemons([this](const Daemon &daemon) {
                           return daemon.members == m_daemons.size();
                       });
                   },
                   limit);
    }

    quint16 m_platformPort;
    std::unique_ptr<QProcess> m_platformProcess;
    Metrics m_metrics;
    PlatformTask m_platform;
    std::vector<Daemon> m_daemons;
    std::uint64_t m_version = 0;
    TimePoint m_writtenAt;
    double m_probesPerSecond = 0.0;
};

ControlFleet::ControlFleet(std::size_t members, quint16 firstPort)
    : d(std::make_unique<Private>(members, firstPort))
{
}

ControlFleet::~ControlFleet() = default;

std::optional<QJsonObject> ControlFleet::measure(std::chrono::seconds duration)
{
    if (!d->waitUntilConverged()) {
        return std::nullopt;
    }
    const auto never = [] {
        return false;
    };
    runUntil(never, Clock::now() + SettleTime);
    const double idleBytes = d->totalBytes();
    runUntil(never, Clock::now() + IdleTime);
    const double idleBytesPerSecond = (d->totalBytes() - idleBytes) / static_cast<double>(IdleTime.count());
    const TimePoint start = Clock::now();
    const std::vector<DaemonCounters> before = d->readAll();
    std::vector<double> applyTimesMs;
    int failures = 0;
    while (Clock::now() < start + duration) {
        const TimePoint next = Clock::now() + ChangePeriod;
        const auto time = d->changeRules();
        failures += time ? 0 : 1;
        applyTimesMs.push_back(time.value_or(11'000.0));
        runUntil(never, next);
    }
    const double seconds = toMilliseconds(Clock::now() - start) / 1000.0;
    const std::vector<DaemonCounters> after = d->readAll();
    const auto members = static_cast<double>(before.size());
    DaemonCounters sum;
    double residentMax = 0.0;
    for (std::size_t index = 0; index < before.size(); ++index) {
        sum.bytes += after[index].bytes - before[index].bytes;
        sum.processorSeconds += after[index].processorSeconds - before[index].processorSeconds;
        sum.platformCalls += after[index].platformCalls - before[index].platformCalls;
        sum.residentMib += after[index].residentMib;
        residentMax = std::max(residentMax, after[index].residentMib);
    }
    std::sort(applyTimesMs.begin(), applyTimesMs.end());
    return QJsonObject{{"members", members},
                       {"seconds", seconds},
                       {"changes", static_cast<double>(applyTimesMs.size())},
                       {"changes_not_in_force", failures},
                       {"idle_bytes_per_second", idleBytesPerSecond / members},
                       {"bytes_per_second", sum.bytes / seconds / members},
                       {"core_percent", 100.0 * sum.processorSeconds / seconds / members},
                       {"resident_mib", sum.residentMib / members},
                       {"resident_mib_max", residentMax},
                       {"platform_calls_per_second", sum.platformCalls / seconds},
                       {"in_force_milliseconds_median", applyTimesMs[applyTimesMs.size() / 2]},
                       {"in_force_milliseconds_max", applyTimesMs.back()}};
}

}
