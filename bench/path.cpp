#include "subcommands.h"

#include "caller/percentiles.h"
#include "core/commandline.h"
#include "http/headers.h"
#include "http/httpserver.h"
#include "pathbaseline.h"
#include "pathload.h"
#include "tasks/entryd.h"

#include <QCoreApplication>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QThread>
#include <fmt/core.h>

#include <ctime>
#include <functional>
#include <pthread.h>

namespace Plantainweir {
namespace {

/** Any free port of loopback. */
const Endpoint s_anyPort{.address = "127.0.0.1", .port = 0};
constexpr std::uint32_t UpstreamSlots = 1000;

/** Runs a task in a thread of its own, so that its processor time is measured apart, like that of a separate program. */
template<typename Task>
class TaskThread
{
public:
    using Factory = std::function<std::unique_ptr<Task>()>;

    explicit TaskThread(const Factory &factory)
    {
        m_context.moveToThread(&m_thread);
        m_thread.start();
        run([this, &factory](Task *) {
            m_task = factory();
            pthread_getcpuclockid(pthread_self(), &m_clock);
        });
    }

    ~TaskThread()
    {
        run([this](Task *) {
            m_task.reset();
        });
        m_thread.quit();
        m_thread.wait();
    }

    Q_DISABLE_COPY_MOVE(TaskThread)

    /** Runs @p function in the task's thread and returns when it is done. */
    void run(const std::function<void(Task *)> &function)
    {
        QMetaObject::invokeMethod(
            &m_context,
            [this, &function] {
                function(m_task.get());
            },
            Qt::BlockingQueuedConnection);
    }

    /** Returns the processor time that the task's thread has used, in seconds. */
    double processorSeconds() const
    {
        timespec time{};
        clock_gettime(m_clock, &time);
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
    }

private:
    QThread m_thread;
    QObject m_context;
    std::unique_ptr<Task> m_task;
    clockid_t m_clock{};
};

std::unique_ptr<HttpServer> makeUpstream()
{
    auto server = std::make_unique<HttpServer>(HttpLimits{});
    HttpServer *raw = server.get();
    QObject::connect(raw, &HttpServer::requestReceived, raw, [raw](HttpExchangeId exchange, const HttpRequest &request) {
        raw->respond(exchange, {.status = 200, .fields = {{"Content-Type", "text/plain"}}, .body = request.body});
    });
    raw->listen(s_anyPort);
    return server;
}

RoutingUpdate makeRouting(const Endpoint &upstream)
{
    RoutingUpdate update;
    update.rules.emplace();
    update.rules->version = 1;
    update.rules->workKinds
        = {{.name = "lookup", .rank = Rank::Low, .target = std::chrono::seconds(5), .worth = 1, .repeatability = Repeatability::Idempotent}};
    update.services = {{
        .name = "bench",
        .version = 1,
        .upstreams = {{.name = "u1", .endpoint = upstream, .availabilityZone = "zone", .slots = UpstreamSlots, .connectionLimit = 4 * UpstreamSlots}},
    }};
    return update;
}

std::unique_ptr<Entryd> makeEntry(const Endpoint &upstream)
{
    auto entry = std::make_unique<Entryd>(EntrydSettings{
        .name = "bench",
        .availabilityZone = "zone",
        .callerPort = s_anyPort,
        .peerPort = s_anyPort,
        .operatorsPort = s_anyPort,
        .control = std::nullopt,
        .seed = 1,
    });
    entry->start();
    entry->applyUpdate(makeRouting(upstream));
    return entry;
}

HttpRequest makeRequest(const std::string &target)
{
    return {.method = "POST", .target = target, .fields = {{Headers::WorkKind, "lookup"}, {"Content-Type", "text/plain"}}, .body = std::string(100, 'x')};
}

/** Runs @p task in the calling thread's event loop until it emits finished(). */
template<typename Task>
void runToEnd(Task &task)
{
    QObject::connect(&task, &Task::finished, &task, &QCoreApplication::quit);
    task.start();
    QCoreApplication::exec();
}

QJsonObject percentilesOf(const LoadResult &result)
{
    return {
        {"p50Ms", percentile(result.latenciesMs, 50)},
        {"p99Ms", percentile(result.latenciesMs, 99)},
        {"p999Ms", percentile(result.latenciesMs, 99.9)},
        {"failed", static_cast<qint64>(result.failed)},
    };
}

QJsonObject addedBy(const LoadResult &proxied, const LoadResult &direct)
{
    const auto added = [&](double percent) {
        return percentile(proxied.latenciesMs, percent) - percentile(direct.latenciesMs, percent);
    };
    return {{"p50Ms", added(50)}, {"p99Ms", added(99)}, {"p999Ms", added(99.9)}};
}

template<typename Proxy>
QJsonObject measureRate(const LoadSettings &settings, const TaskThread<Proxy> &proxy)
{
    const double before = proxy.processorSeconds();
    OpenLoopLoad load(settings);
    runToEnd(load);
    const double calls = static_cast<double>(settings.callsPerTarget + settings.warmUpCalls);
    const auto &results = load.results();
    return {
        {"callsPerSecond", settings.callsPerSecond},
        {"calls", static_cast<qint64>(settings.callsPerTarget)},
        {"direct", percentilesOf(results[0])},
        {"proxied", percentilesOf(results[1])},
        {"added", addedBy(results[1], results[0])},
        {"processorMicrosecondsPerCall", (proxy.processorSeconds() - before) / calls * 1e6},
    };
}

template<typename Proxy>
QJsonObject measureSaturation(const LoadTarget &target, std::chrono::milliseconds time, const TaskThread<Proxy> &proxy)
{
    constexpr std::size_t InFlight = 32;
    const double before = proxy.processorSeconds();
    const TimePoint start = Clock::now();
    ClosedLoopLoad saturation(target, InFlight, start + time);
    runToEnd(saturation);
    const double seconds = toMilliseconds(Clock::now() - start) / 1e3;
    const auto answered = static_cast<double>(saturation.answered());
    const double used = proxy.processorSeconds() - before;
    return {
        {"callsPerSecond", answered / seconds},
        {"processorMicrosecondsPerCall", used / answered * 1e6},
        {"processorShare", used / seconds},
        {"callsPerSecondOfACore", answered / used},
    };
}

template<typename Proxy>
QJsonObject measureStack(const CommandLine &commandLine, const Endpoint &upstream, const Endpoint &proxyEndpoint, const TaskThread<Proxy> &proxy)
{
    const LoadTarget direct{.endpoint = upstream, .request = makeRequest("/do")};
    const LoadTarget proxied{.endpoint = proxyEndpoint, .request = makeRequest("/call/bench/do")};
    QJsonArray rates;
    for (const double rate : {500.0, 1000.0, 2000.0, 4000.0, 8000.0}) {
        if (rate > commandLine.number("max-rate")) {
            break;
        }
        const auto calls = static_cast<std::size_t>(rate * commandLine.number("seconds"));
        rates.append(measureRate({.targets = {direct, proxied}, .callsPerSecond = rate, .callsPerTarget = calls}, proxy));
    }
    const std::chrono::milliseconds time(static_cast<std::int64_t>(commandLine.number("seconds") * 1e3));
    return {{"rates", rates}, {"saturation", measureSaturation(proxied, time, proxy)}};
}

QJsonObject measureEntry(const CommandLine &commandLine, const Endpoint &upstream)
{
    TaskThread<Entryd> entry([&upstream] {
        return makeEntry(upstream);
    });
    Endpoint endpoint;
    entry.run([&endpoint](Entryd *task) {
        endpoint = task->self().callerEndpoint;
    });
    return measureStack(commandLine, upstream, endpoint, entry);
}

QJsonObject measureQt(const CommandLine &commandLine, const Endpoint &upstream)
{
    Endpoint endpoint = s_anyPort;
    TaskThread<QtForwarder> forwarder([&] {
        auto task = std::make_unique<QtForwarder>(upstream);
        endpoint.port = task->listen();
        return task;
    });
    return measureStack(commandLine, upstream, endpoint, forwarder);
}

int writeResult(const QJsonObject &result, const std::string &path)
{
    const QByteArray text = QJsonDocument(result).toJson();
    if (path.empty()) {
        fmt::print("{}", text.toStdString());
        return static_cast<int>(ExitStatus::Success);
    }
    QFile file(QString::fromStdString(path));
    const bool isWritten = file.open(QIODevice::WriteOnly) && file.write(text) == text.size();
    return static_cast<int>(isWritten ? ExitStatus::Success : ExitStatus::Failure);
}

}

int runPath(int argc, char **argv)
{
    CommandLine commandLine("plantainweir-bench path", "Measures direct calls beside calls through entryd, at open-loop rates and at saturation.");
    commandLine.addNumber("seconds", "duration of each measurement in seconds", 0.1, 600, 4);
    commandLine.addNumber("max-rate", "highest rate of calls a second", 500, 8000, 8000);
    commandLine.addChoice("stack", "the forwarder: entryd, or a minimal one on Qt's own HTTP classes", {"entry", "qt"}, "entry");
    commandLine.addText("json", "file for the result; standard output if empty", "");
    if (const auto status = commandLine.parse(argc, argv)) {
        return static_cast<int>(*status);
    }
    QCoreApplication application(argc, argv);
    TaskThread<HttpServer> upstream(makeUpstream);
    Endpoint upstreamEndpoint = s_anyPort;
    upstream.run([&upstreamEndpoint](HttpServer *server) {
        upstreamEndpoint.port = server->port();
    });
    const bool isQt = commandLine.text("stack") == "qt";
    QJsonObject result = isQt ? measureQt(commandLine, upstreamEndpoint) : measureEntry(commandLine, upstreamEndpoint);
    result.insert("stack", QString::fromStdString(commandLine.text("stack")));
    result.insert("targetAddedP99Ms", 0.56);
    return writeResult(result, commandLine.text("json"));
}

}
