#include "fakes/fleet.h"

#include "http/httpclient.h"

#include <gtest/gtest.h>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QFile>
#include <QJsonArray>
#include <QJsonObject>
#include <QTimer>
#include <fmt/core.h>

#include <csignal>
#include <fstream>
#include <sstream>

namespace Plantainweir {
namespace {

constexpr std::chrono::seconds WaitTimeout{60};
constexpr std::chrono::milliseconds PollPeriod{20};
constexpr std::chrono::seconds RequestTimeout{5};
constexpr HttpLimits ResponseLimits{.headerBytes = 16 * 1024, .bodyBytes = 256 * 1024 * 1024, .connections = 16};

constexpr auto RulesFile = PLANTAINWEIR_SOURCE_DIR "/examples/northern-blade-demo/rules.yaml";
constexpr std::uint16_t PlatformPort = 7900;
constexpr std::uint16_t UpstreamAdminPort = 7600;
constexpr std::uint16_t FirstRinkdeskPort = 7601;
constexpr std::uint16_t FirstTillsidePort = 7701;
constexpr std::uint16_t CallerPort = 8080;
constexpr std::uint16_t ControlPort = 7400;
constexpr std::uint16_t MembershipPort = 7401;
constexpr std::uint16_t ExchangePort = 7402;
constexpr std::uint16_t ControldOperatorsPort = 7403;
constexpr std::uint16_t PeerPort = 7404;
constexpr std::uint16_t EntrydOperatorsPort = 7405;
constexpr std::size_t FirstVmNumber = 10;
constexpr std::array AvailabilityZones{"regina", "saskatoon", "winnipeg", "brandon"};

QString endpointText(const std::string &address, std::uint16_t port)
{
    return QString::fromStdString(toString({.address = address, .port = port}));
}

/** Runs the event loop for one PollPeriod. */
void waitForPollPeriod()
{
    QEventLoop loop;
    QTimer::singleShot(PollPeriod, &loop, &QEventLoop::quit);
    loop.exec();
}

std::string readFile(const std::string &name)
{
    std::ifstream file(name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int memberCount(const std::string &status)
{
    int count = 0;
    const QJsonObject object = QJsonDocument::fromJson(QByteArray::fromStdString(status)).object();
    for (const QJsonValue member : object["members"].toArray()) {
        count += member.toObject()["leaving"].toBool() ? 0 : 1;
    }
    return count;
}

int configuredServiceCount(const std::string &status)
{
    const QJsonObject object = QJsonDocument::fromJson(QByteArray::fromStdString(status)).object();
    return static_cast<int>(object["versions"].toObject()["services"].toObject().size());
}

/** Returns the number of finished calls of all ranks and outcomes in @p metrics. */
double finishedCallCount(const std::string &metrics)
{
    double sum = 0.0;
    for (const QString &line : QString::fromStdString(metrics).split(QLatin1Char('\n'))) {
        if (line.startsWith(QLatin1String("plantainweir_calls_total{"))) {
            sum += line.section(QLatin1Char(' '), -1).toDouble();
        }
    }
    return sum;
}

}

Endpoint EntryVm::callerPort() const
{
    return {.address = address, .port = CallerPort};
}

Endpoint EntryVm::entrydOperatorsPort() const
{
    return {.address = address, .port = EntrydOperatorsPort};
}

Endpoint EntryVm::controldOperatorsPort() const
{
    return {.address = address, .port = ControldOperatorsPort};
}

Endpoint EntryVm::membershipPort() const
{
    return {.address = address, .port = MembershipPort};
}

Fleet::Fleet(const FleetSettings &settings)
    : m_settings(settings)
{
    const auto pid = static_cast<std::uint64_t>(QCoreApplication::applicationPid());
    m_network = fmt::format("127.{}.{}.", 1 + (pid >> 8) % 250, pid % 256);
}

Fleet::~Fleet()
{
    std::vector<QProcess *> processes{m_upstreams.get(), m_platform.get()};
    for (const auto &vm : m_entries) {
        processes.push_back(vm->entryd.get());
        processes.push_back(vm->controld.get());
    }
    for (const auto &calls : m_calls) {
        processes.push_back(calls.get());
    }
    for (QProcess *process : processes) {
        if (process != nullptr) {
            process->kill();
            process->waitForFinished();
        }
    }
    if (testing::Test::HasFailure()) {
        m_directory.setAutoRemove(false);
        fmt::print(stderr, "logs and records: {}\n", m_directory.path().toStdString());
    }
}

void Fleet::start(int entryCount)
{
    m_platform = startProgram("plantainweir-fake-platform", {"--platform-port", endpointText(m_network + "1", PlatformPort)});
    startUpstreams();
    waitUntil("the platform answers", [this] {
        return request({.address = m_network + "1", .port = PlatformPort}, "GET", "/admin/counts").has_value();
    });
    applyConfiguration();
    for (int count = 0; count < entryCount; ++count) {
        addEntry();
    }
    for (const auto &vm : m_entries) {
        waitUntilReady(*vm, entryCount);
    }
}

std::unique_ptr<QProcess> Fleet::startProgram(const std::string &program, const QStringList &arguments)
{
    auto process = std::make_unique<QProcess>();
    const std::string log = fileName(fmt::format("{:02}-{}", ++m_lastProcess, program));
    process->setStandardErrorFile(QString::fromStdString(log + ".log"));
    process->setStandardOutputFile(QString::fromStdString(log + ".out"));
    process->start(QString::fromStdString(std::string(PLANTAINWEIR_BIN_DIR) + "/" + program), arguments);
    EXPECT_TRUE(process->waitForStarted()) << program;
    return process;
}

void Fleet::startUpstreams()
{
    std::string list;
    std::string inventory = "service,upstream,address,availability_zone,slots,connection_limit\n";
    const auto add = [&](const std::string &service, int count, std::uint16_t firstPort) {
        for (int index = 0; index < count; ++index) {
            const std::string address = fmt::format("{}2:{}", m_network, firstPort + index);
            list += fmt::format("{}{}-{}={}", list.empty() ? "" : ",", service, index + 1, address);
            const char *zone = AvailabilityZones[static_cast<std::size_t>(index) % AvailabilityZones.size()];
            inventory += fmt::format("{},{}-{},{},{},{},200\n", service, service, index + 1, address, zone, m_settings.slots);
        }
    };
    add("rinkdesk", m_settings.rinkdeskUpstreams, FirstRinkdeskPort);
    add("tillside", m_settings.tillsideUpstreams, FirstTillsidePort);
    std::ofstream(fileName("inventory.csv")) << inventory;
    m_upstreams = startProgram("plantainweir-fake-upstream",
                               {"--upstreams",
                                QString::fromStdString(list),
                                "--admin-port",
                                endpointText(m_network + "2", UpstreamAdminPort),
                                "--slots",
                                QString::number(m_settings.slots),
                                "--service-time-ms",
                                QString::number(m_settings.serviceTimeMs)});
    waitUntil("the upstreams answer", [this] {
        return request({.address = m_network + "2", .port = UpstreamAdminPort}, "GET", "/fake/upstreams").has_value();
    });
}

void Fleet::applyConfiguration()
{
    const auto apply = startProgram("plantainweirctl",
                                    {"apply",
                                     "--inventory",
                                     QString::fromStdString(fileName("inventory.csv")),
                                     "--rules",
                                     QString::fromUtf8(RulesFile),
                                     "--platform",
                                     endpointText(m_network + "1", PlatformPort)});
    waitUntilEnded(*apply);
    ASSERT_EQ(apply->exitCode(), 0);
}

std::string Fleet::vmAddress(std::size_t index) const
{
    return m_network + std::to_string(FirstVmNumber + index);
}

std::string Fleet::fileName(const std::string &name) const
{
    return m_directory.filePath(QString::fromStdString(name)).toStdString();
}

EntryVm &Fleet::addEntry()
{
    const std::size_t index = m_entries.size();
    auto vm = std::make_unique<EntryVm>();
    vm->name = fmt::format("entry-{}", index + 1);
    vm->address = vmAddress(index);
    const QString name = QString::fromStdString(vm->name);
    const QString zone = AvailabilityZones[index % AvailabilityZones.size()];
    QStringList seeds;
    for (const auto &other : m_entries) {
        seeds.append(QString::fromStdString(toString(other->membershipPort())));
    }
    seeds.append(endpointText(vm->address, MembershipPort));
    vm->controld = startProgram("plantainweir-controld",
                                {"--name",
                                 name,
                                 "--availability-zone",
                                 zone,
                                 "--control-port",
                                 endpointText(vm->address, ControlPort),
                                 "--membership-port",
                                 endpointText(vm->address, MembershipPort),
                                 "--exchange-port",
                                 endpointText(vm->address, ExchangePort),
                                 "--operators-port",
                                 endpointText(vm->address, ControldOperatorsPort),
                                 "--seeds",
                                 seeds.join(QLatin1Char(',')),
                                 "--platform",
                                 endpointText(m_network + "1", PlatformPort)});
    vm->entryd = startProgram("plantainweir-entryd",
                              {"--name",
                               name,
                               "--availability-zone",
                               zone,
                               "--caller-port",
                               endpointText(vm->address, CallerPort),
                               "--peer-port",
                               endpointText(vm->address, PeerPort),
                               "--control",
                               endpointText(vm->address, ControlPort),
                               "--operators-port",
                               endpointText(vm->address, EntrydOperatorsPort)});
    m_entries.push_back(std::move(vm));
    return *m_entries.back();
}

EntryVm &Fleet::entry(std::size_t index)
{
    return *m_entries.at(index);
}

std::size_t Fleet::entryCount() const
{
    return m_entries.size();
}

EntryVm &Fleet::ownerOf(const std::string &service)
{
    for (const auto &queried : m_entries) {
        const std::string answer = request(queried->callerPort(), "GET", "/directory/" + service).value_or("");
        const QJsonArray entries = QJsonDocument::fromJson(QByteArray::fromStdString(answer)).object()["entries"].toArray();
        const std::string first = entries.isEmpty() ? "" : entries.first().toObject()["address"].toString().toStdString();
        for (const auto &vm : m_entries) {
            if (toString(vm->callerPort()) == first) {
                return *vm;
            }
        }
    }
    ADD_FAILURE() << "no entry VM owns " << service;
    return *m_entries.front();
}

EntryVm &Fleet::busiestEntry()
{
    EntryVm *busiest = m_entries.front().get();
    double most = -1.0;
    for (const auto &vm : m_entries) {
        const double calls = finishedCallCount(request(vm->entrydOperatorsPort(), "GET", "/metrics").value_or(""));
        if (calls > most) {
            most = calls;
            busiest = vm.get();
        }
    }
    return *busiest;
}

EntryVm &Fleet::otherEntryThan(const EntryVm &vm)
{
    return m_entries.front().get() == &vm ? *m_entries.at(1) : *m_entries.front();
}

void Fleet::waitUntilReady(const EntryVm &vm, int members)
{
    waitUntil(fmt::format("{} is ready with {} members", vm.name, members), [&vm, members] {
        if (!request(vm.entrydOperatorsPort(), "GET", "/readyz")) {
            return false;
        }
        const std::string status = request(vm.entrydOperatorsPort(), "GET", "/status").value_or("");
        return memberCount(status) == members && configuredServiceCount(status) == 2;
    });
}

void Fleet::signalProcess(const QProcess &process, int signal)
{
    const auto pid = static_cast<pid_t>(process.processId());
    ASSERT_GT(pid, 0);
    ASSERT_EQ(::kill(pid, signal), 0);
}

void Fleet::stopEntry(EntryVm &vm)
{
    if (vm.entryd->state() != QProcess::NotRunning) {
        signalProcess(*vm.entryd, SIGTERM);
        waitUntilEnded(*vm.entryd);
        EXPECT_EQ(vm.entryd->exitStatus(), QProcess::NormalExit) << vm.name;
        EXPECT_EQ(vm.entryd->exitCode(), 0) << vm.name;
    }
    if (vm.controld->state() != QProcess::NotRunning) {
        signalProcess(*vm.controld, SIGTERM);
        waitUntilEnded(*vm.controld);
    }
}

void Fleet::waitUntilEnded(QProcess &process)
{
    waitUntil(process.program().toStdString() + " ends", [&process] {
        return process.state() == QProcess::NotRunning;
    });
}

QProcess &Fleet::startCalls(const LoadOptions &options)
{
    QStringList entries;
    for (const auto &vm : m_entries) {
        if (vm->entryd->state() != QProcess::NotRunning) {
            entries.append(QString::fromStdString(toString(vm->callerPort())));
        }
    }
    m_records.push_back(fileName(fmt::format("calls-{}.jsonl", m_records.size() + 1)));
    m_calls.push_back(startProgram("plantainweir-call",
                                   {"--entries",
                                    entries.join(QLatin1Char(',')),
                                    "--mix",
                                    QString::fromStdString(options.mix),
                                    "--service",
                                    "rinkdesk",
                                    "--service-of",
                                    "pass-redemption=tillside",
                                    "--rank-of",
                                    "session-lookup=low,ticket-sale=middle,pass-redemption=top",
                                    "--at-most-once",
                                    "ticket-sale,pass-redemption",
                                    "--count",
                                    QString::number(options.count),
                                    "--rate",
                                    QString::number(options.callsPerSecond),
                                    "--timeout-ms",
                                    QString::number(options.timeoutMs),
                                    "--try-timeout-ms",
                                    QString::number(options.tryTimeoutMs),
                                    "--check-answers",
                                    "--record",
                                    QString::fromStdString(m_records.back())}));
    return *m_calls.back();
}

void Fleet::waitForCalls()
{
    for (const auto &calls : m_calls) {
        waitUntilEnded(*calls);
    }
}

void Fleet::waitForExecutions(std::uint64_t count)
{
    waitUntil(fmt::format("the upstreams have started {} executions", count), [this, count] {
        const std::string body = request({.address = m_network + "2", .port = UpstreamAdminPort}, "GET", "/fake/upstreams").value_or("");
        std::uint64_t started = 0;
        for (const QJsonValue upstream : QJsonDocument::fromJson(QByteArray::fromStdString(body)).array()) {
            started += static_cast<std::uint64_t>(upstream.toObject()["started"].toInteger());
        }
        return started >= count;
    });
}

void Fleet::configureUpstreams(const std::string &name, const std::string &json)
{
    ASSERT_TRUE(request({.address = m_network + "2", .port = UpstreamAdminPort}, "POST", "/fake/upstreams/" + name, json));
}

void Fleet::setPlatformFaults(const std::string &json)
{
    ASSERT_TRUE(request({.address = m_network + "1", .port = PlatformPort}, "PUT", "/admin/faults", json));
}

CheckResult Fleet::stopAndCheckCalls()
{
    for (const auto &vm : m_entries) {
        stopEntry(*vm);
    }
    std::vector<CallRecord> records;
    for (const std::string &name : m_records) {
        const auto more = valueOr(
            [&name] {
                return parseRecords(readFile(name));
            },
            [&name](const Error &error) {
                ADD_FAILURE() << name << ": " << error.message;
                return std::vector<CallRecord>();
            });
        records.insert(records.end(), more.begin(), more.end());
    }
    ExecutionCounts counts;
    const std::string body = request({.address = m_network + "2", .port = UpstreamAdminPort}, "GET", "/fake/executions").value_or("");
    EXPECT_TRUE(addExecutions(counts, body));
    CheckResult result = checkCalls(records, counts);
    fmt::print("{}", toTable(result));
    return result;
}

std::optional<std::string> Fleet::request(const Endpoint &endpoint, const std::string &method, const std::string &target, const std::string &body)
{
    HttpClient client(ResponseLimits);
    QEventLoop loop;
    HttpRequestResult result;
    QObject::connect(&client, &HttpClient::finished, &loop, [&loop, &result](HttpRequestId, const HttpRequestResult &finished) {
        result = finished;
        loop.quit();
    });
    client.send(endpoint, {.method = method, .target = target, .fields = {}, .body = body}, Clock::now() + RequestTimeout);
    loop.exec();
    const bool isSuccess = result.outcome == HttpRequestOutcome::Answered && result.response.status / 100 == 2;
    return isSuccess ? std::optional(result.response.body) : std::nullopt;
}

void Fleet::waitUntil(const std::string &description, const std::function<bool()> &condition)
{
    const TimePoint deadline = Clock::now() + WaitTimeout;
    while (!condition()) {
        if (Clock::now() >= deadline) {
            FAIL() << "not reached within " << WaitTimeout.count() << " s: " << description;
        }
        waitForPollPeriod();
    }
}

}
