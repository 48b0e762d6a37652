#include "fakes/crowd.h"
#include "fakes/eventloop.h"
#include "fakes/fakestore.h"
#include "fakes/freeendpoint.h"
#include "fakes/peercrowd.h"
#include "fakes/residentmemory.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "observability/metrics.h"
#include "tasks/exchangeclient.h"

#include <gtest/gtest.h>

#include <QCoreApplication>
#include <QDir>
#include <QFile>
#include <QJsonArray>
#include <QProcess>
#include <QTemporaryFile>
#include <QTimer>
#include <QUdpSocket>

#include <fmt/core.h>

#include <algorithm>
#include <map>
#include <random>

#include <sys/resource.h>

/** Runs gatewayd as a process while crowds of clients that do not behave are connected to one of its ports. */
namespace Plantainweir {
namespace {

constexpr auto Host = "rink.example";
constexpr auto UpstreamId = "i-1";
constexpr std::size_t MebiByte = 1024 * 1024;

/** Memory of gatewayd in MiB, and the size of a crowd in relation to it. */
constexpr std::size_t DefaultMemoryMb = 64;
constexpr std::size_t CrowdConnections = 150;
/** Clients that only connect need as many descriptors as gatewayd has. */
constexpr std::size_t Descriptors = 700;
/** Descriptors that the users' platform reserves for files. */
constexpr std::size_t FileDescriptors = 200;
constexpr std::size_t AnswerBytes = 16 * 1024;

/** The port and path that a crowd connects to. */
enum class CrowdPlace {
    Route,
    NoRoute,
    ReadyPath, ///< The path of the readiness query, at the callers' port.
    Readiness,
    Directory,
    Operators,
};

constexpr std::array<EnumName<CrowdPlace>, 6> enumNames(CrowdPlace)
{
    return {{
        {CrowdPlace::Route, "route"},
        {CrowdPlace::NoRoute, "no-route"},
        {CrowdPlace::ReadyPath, "ready-path"},
        {CrowdPlace::Readiness, "readiness"},
        {CrowdPlace::Directory, "directory"},
        {CrowdPlace::Operators, "operators"},
    }};
}
static_assert(isEnumTableOrdered<CrowdPlace>());

/** An upstream that answers probes at once, and calls after a time. */
class CrowdUpstream
{
public:
    explicit CrowdUpstream(const std::string &id = UpstreamId, std::chrono::milliseconds answerTime = {})
        : m_id(id)
    {
        EXPECT_TRUE(m_server.listen({.address = "127.0.0.1", .port = 0}));
        QObject::connect(&m_server, &HttpServer::requestReceived, &m_server, [this, answerTime](HttpExchangeId exchange, const HttpRequest &request) {
            const HttpResponse response{.status = 200,
                                        .fields = {{"X-Plantainweir-Response-Stamp", "stamp"},
                                                   {"X-Plantainweir-Instance-Id", m_id},
                                                   {"X-Plantainweir-Backend-Load", "0,0,1000,100"},
                                                   {"X-Plantainweir-Request-Id", std::string(fieldValue(request.fields, "X-Plantainweir-Request-Id"))}},
                                        .body = std::string(request.target == "/health" ? 0 : AnswerBytes, 'x')};
            if (request.target == "/health" || answerTime.count() == 0) {
                m_server.respond(exchange, response);
                return;
            }
            QTimer::singleShot(answerTime, &m_server, [this, exchange, response] {
                m_server.respond(exchange, response);
            });
        });
    }

    QJsonObject registration(const char *service = "desk") const
    {
        return {{"service", service},
                {"address", QString("127.0.0.1:%1").arg(m_server.port())},
                {"zone", "a"},
                {"version", "v1"},
                {"slots", 1000},
                {"state", "ready"},
                {"cold", "0ms"},
                {"sequence", 1}};
    }

private:
    std::string m_id;
    HttpServer m_server{HttpLimits{.bodyBytes = 64 * MebiByte}};
};

QJsonObject configuration()
{
    const QJsonObject route{
        {"host", Host}, {"pathPrefix", "/a/"}, {"kind", "safe"}, {"timeout", "2s"}, {"targetLatency", "400ms"}, {"service", "desk"}, {"maxAttempts", 2}};
    return {{"version", 1},
            {"resources",
             QJsonArray{QJsonObject{{"resourceKind", "routes"}, {"metadata", QJsonObject{{"name", "r1"}}}, {"spec", route}},
                        QJsonObject{{"resourceKind", "services"},
                                    {"metadata", QJsonObject{{"name", "desk"}}},
                                    {"spec", QJsonObject{{"healthPath", "/health"}, {"maxConnections", 200}}}}}}};
}

/** Returns configuration() with a further resource. */
QJsonObject configurationWith(const QJsonArray &resources)
{
    QJsonObject object = configuration();
    QJsonArray all = object["resources"].toArray();
    for (const auto &resource : resources) {
        all.append(resource);
    }
    object["resources"] = all;
    return object;
}

/** One gatewayd with little memory and few descriptors, a fake store and an upstream. */
class CrowdFixture : public testing::Test
{
protected:
    CrowdFixture()
    {
        QObject::connect(&m_client, &HttpClient::finished, &m_client, [this](HttpRequestId id, const HttpRequestResult &result) {
            m_results[id] = result;
        });
        m_store.put("config", "main", configuration());
        m_store.put("servers", UpstreamId, m_upstream.registration());
    }

    void SetUp() override
    {
        startGateway(memoryMb());
    }

    void startGateway(std::size_t memory, const QStringList &arguments = {})
    {
        ASSERT_TRUE(m_log.open());
        m_gateway.setStandardOutputFile(m_log.fileName());
        m_gateway.setProcessChannelMode(QProcess::ForwardedErrorChannel);
        m_gateway.setChildProcessModifier([limit = descriptors()] {
            const rlimit descriptorLimit{.rlim_cur = limit, .rlim_max = limit};
            ::setrlimit(RLIMIT_NOFILE, &descriptorLimit);
        });
        const auto argument = [](const char *name, const Endpoint &endpoint) {
            return QString("--%1=%2").arg(name, QString::fromStdString(toString(endpoint)));
        };
        m_gateway.start(PLANTAINWEIR_BIN_DIR "/plantainweir-gatewayd",
                        QStringList{"--name=e1",
                                    "--availability-zone=a",
                                    argument("caller-port", m_callers),
                                    argument("readiness-port", m_readiness),
                                    argument("directory-port", m_directory),
                                    argument("membership-port", m_membership),
                                    argument("exchange-port", m_exchange),
                                    argument("operators-port", m_operators),
                                    argument("store", m_store.endpoint()),
                                    argument("seeds", m_membership),
                                    "--retry-share=0.2",
                                    "--retry-slack=50",
                                    "--retry-window=10s",
                                    "--probe-limit=1000",
                                    QString("--memory-mb=%1").arg(memory),
                                    "--stop-time=6s"}
                            + arguments);
        ASSERT_TRUE(m_gateway.waitForStarted());
        ASSERT_TRUE(isAnswered(CrowdPlace::Route));
    }

    void TearDown() override
    {
        m_gateway.kill();
        m_gateway.waitForFinished();
    }

    static std::size_t memoryMb()
    {
        return qEnvironmentVariableIsSet("PLANTAINWEIR_CROWD_MEMORY_MB")
                   ? static_cast<std::size_t>(qEnvironmentVariableIntValue("PLANTAINWEIR_CROWD_MEMORY_MB"))
                   : DefaultMemoryMb;
    }

    static std::size_t descriptors()
    {
        return Descriptors * memoryMb() / DefaultMemoryMb;
    }

    static std::size_t crowdConnections(CrowdKind kind)
    {
        return kind == CrowdKind::Idle ? descriptors() : CrowdConnections * memoryMb() / DefaultMemoryMb;
    }

    Endpoint endpointOf(CrowdPlace place) const
    {
        switch (place) {
        case CrowdPlace::Readiness:
            return m_readiness;
        case CrowdPlace::Directory:
            return m_directory;
        case CrowdPlace::Operators:
            return m_operators;
        default:
            return m_callers;
        }
    }

    /** Returns whether @p place is at another port than calls. */
    static bool isPortOfItsOwn(CrowdPlace place)
    {
        return place == CrowdPlace::Readiness || place == CrowdPlace::Directory || place == CrowdPlace::Operators;
    }

    static std::string targetOf(CrowdPlace place)
    {
        switch (place) {
        case CrowdPlace::Route:
            return "/a/x";
        case CrowdPlace::NoRoute:
            return "/none/x";
        case CrowdPlace::ReadyPath:
        case CrowdPlace::Readiness:
            return "/v1/ready";
        case CrowdPlace::Directory:
            return "/v1/resolve?name=rink.example&zone=a";
        case CrowdPlace::Operators:
            return "/metrics";
        }
        return {};
    }

    void startCrowd(CrowdKind kind, CrowdPlace place, std::size_t connections)
    {
        m_crowds.push_back(std::make_unique<Crowd>(endpointOf(place), crowdPlan(kind, Host, targetOf(place)), connections));
    }

    void startCrowd(const CrowdPlan &plan, std::size_t connections)
    {
        m_crowds.push_back(std::make_unique<Crowd>(m_callers, plan, connections));
    }

    void startCrowd(PeerCrowdKind kind, std::size_t connections)
    {
        m_crowds.push_back(std::make_unique<Crowd>(m_exchange, peerCrowdPlan(kind), connections));
    }

    /** Sends @p request to the callers' port and returns the status of the answer, or zero if there is none. */
    int statusOf(const HttpRequest &request)
    {
        const HttpRequestId id = m_client.send(m_callers, request, Clock::now() + std::chrono::seconds(5));
        EXPECT_TRUE(waitUntil([&] {
            return m_results.contains(id);
        }));
        return m_results[id].outcome == HttpRequestOutcome::Answered ? m_results[id].response.status : 0;
    }

    /** Returns whether gatewayd has logged an event. */
    bool isLogged(const char *event)
    {
        QFile log(m_log.fileName());
        return waitUntil([&] {
            const bool isFound = log.open(QIODevice::ReadOnly) && log.readAll().contains(event);
            log.close();
            return isFound;
        });
    }

    void waitUntilCrowdsAreSettled()
    {
        EXPECT_TRUE(waitUntil([this] {
            noteDescriptors();
            return std::all_of(m_crowds.begin(), m_crowds.end(), [](const auto &crowd) {
                return crowd->isSettled();
            });
        }));
    }

    /** Returns whether an ordinary request is answered with 200. A client repeats it if it is refused. */
    bool isAnswered(CrowdPlace place)
    {
        const HttpRequest request{.method = "GET",
                                  .target = targetOf(place),
                                  .fields = {{"Host", Host}, {"X-Plantainweir-Request-Id", "ordinary"}, {"X-Plantainweir-Deadline-Ms", "5000"}},
                                  .body = {}};
        HttpRequestId id = 0;
        return waitUntil([&] {
            noteDescriptors();
            if (id != 0 && !m_results.contains(id)) {
                return false;
            }
            const bool isOk = id != 0 && m_results[id].outcome == HttpRequestOutcome::Answered && m_results[id].response.status == 200;
            id = isOk ? id : m_client.send(endpointOf(place), request, Clock::now() + std::chrono::seconds(5));
            return isOk;
        });
    }

    void noteDescriptors()
    {
        const QDir directory(QString("/proc/%1/fd").arg(m_gateway.processId()));
        m_mostDescriptors = std::max(m_mostDescriptors, directory.entryList(QDir::NoDotAndDotDot | QDir::AllEntries | QDir::System).size());
    }

    /** Returns the largest resident memory that gatewayd has had, in bytes. */
    std::size_t peakBytes() const
    {
        const auto peak = peakResidentBytes(m_gateway.processId());
        EXPECT_TRUE(peak) << "the process has ended";
        return peak.value_or(0);
    }

    /** Checks the bounds of gatewayd, and that it still answers an ordinary request at @p place, and a call. */
    void expectUnharmed(CrowdPlace place)
    {
        if (isPortOfItsOwn(place)) {
            EXPECT_TRUE(isAnswered(place)) << nameOf(place);
        }
        EXPECT_TRUE(isAnswered(CrowdPlace::Route)) << "a call";
        ASSERT_EQ(m_gateway.state(), QProcess::Running);
        EXPECT_LE(m_mostDescriptors, descriptors() - FileDescriptors);
#ifndef __SANITIZE_ADDRESS__
        EXPECT_LE(peakBytes(), memoryMb() * MebiByte);
#endif
        RecordProperty("peak_mb", std::to_string(peakBytes() / MebiByte));
        RecordProperty("descriptors", std::to_string(m_mostDescriptors));
    }

private:
    int m_argumentCount = 1;
    char m_program[5] = "test";
    char *m_arguments[2] = {m_program, nullptr};
    QCoreApplication m_application{m_argumentCount, m_arguments};

protected:
    FakeStore m_store;
    HttpClient m_client{HttpLimits{}};
    std::map<HttpRequestId, HttpRequestResult> m_results;
    QProcess m_gateway;
    Endpoint m_membership = freeEndpoint();
    Endpoint m_exchange = freeEndpoint();

private:
    QTemporaryFile m_log;
    Endpoint m_callers = freeEndpoint();
    Endpoint m_readiness = freeEndpoint();
    Endpoint m_directory = freeEndpoint();
    Endpoint m_operators = freeEndpoint();
    CrowdUpstream m_upstream;
    std::vector<std::unique_ptr<Crowd>> m_crowds;
    qsizetype m_mostDescriptors = 0;
};

template<typename Value>
std::vector<Value> allOf()
{
    std::vector<Value> values;
    for (const auto &row : enumNames(Value{})) {
        values.push_back(row.value);
    }
    return values;
}

class CrowdTest : public CrowdFixture, public testing::WithParamInterface<std::tuple<CrowdKind, CrowdPlace>>
{
};

TEST_P(CrowdTest, CostsOnlyItself)
{
    const auto [kind, place] = GetParam();
    startCrowd(kind, place, crowdConnections(kind));
    waitUntilCrowdsAreSettled();
    expectUnharmed(place);
}

std::string caseName(const testing::TestParamInfo<CrowdTest::ParamType> &info)
{
    std::string name = fmt::format("{}_{}", nameOf(std::get<CrowdKind>(info.param)), nameOf(std::get<CrowdPlace>(info.param)));
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
}

INSTANTIATE_TEST_SUITE_P(Crowds, CrowdTest, testing::Combine(testing::ValuesIn(allOf<CrowdKind>()), testing::ValuesIn(allOf<CrowdPlace>())), caseName);

/** Starts gatewayd with settings of each test. */
class CrowdSettingsTest : public CrowdFixture
{
protected:
    void SetUp() override {}

    /** Checks that a VM with @p memory serves a request that takes almost all that callers may make it hold. */
    void expectLargeRequestServed(std::size_t memory)
    {
        const std::size_t callerBytes = memory * MebiByte / 8;
        const QJsonObject limits{
            {"maxHeaderBytes", 16384}, {"maxBodyBytes", static_cast<qint64>(callerBytes + MebiByte)}, {"headerTimeout", "10s"}, {"idleTimeout", "60s"}};
        m_store.put("config", "main", configurationWith({QJsonObject{{"resourceKind", "limits"}, {"metadata", QJsonObject{}}, {"spec", limits}}}));
        startGateway(memory);
        EXPECT_TRUE(isLogged("body_limit_too_large"));
        EXPECT_EQ(statusOf({.method = "POST",
                            .target = targetOf(CrowdPlace::Route),
                            .fields = {{"Host", Host}, {"X-Plantainweir-Request-Id", "large"}, {"X-Plantainweir-Deadline-Ms", "5000"}},
                            .body = std::string(callerBytes - MebiByte, 'x')}),
                  200);
        ASSERT_EQ(m_gateway.state(), QProcess::Running);
#ifndef __SANITIZE_ADDRESS__
        EXPECT_LE(peakBytes(), memory * MebiByte);
#endif
        RecordProperty("peak_mb", std::to_string(peakBytes() / MebiByte));
    }

    /** Adds a route of its own to upstreams that answer calls late. */
    void addSlowUpstreams(std::size_t count)
    {
        constexpr std::chrono::milliseconds AnswerTime{1500};
        const QJsonObject route{
            {"host", Host}, {"pathPrefix", "/slow/"}, {"kind", "safe"}, {"timeout", "2s"}, {"targetLatency", "2s"}, {"service", "slow"}, {"maxAttempts", 2}};
        m_store.put("config",
                    "main",
                    configurationWith({QJsonObject{{"resourceKind", "routes"}, {"metadata", QJsonObject{{"name", "r2"}}}, {"spec", route}},
                                       QJsonObject{{"resourceKind", "services"},
                                                   {"metadata", QJsonObject{{"name", "slow"}}},
                                                   {"spec", QJsonObject{{"healthPath", "/health"}, {"maxConnections", 10'000}}}}}));
        for (std::size_t index = 0; index < count; ++index) {
            const std::string id = fmt::format("s-{}", index);
            m_slowUpstreams.push_back(std::make_unique<CrowdUpstream>(id, AnswerTime));
            m_store.put("servers", id.c_str(), m_slowUpstreams.back()->registration("slow"));
        }
    }

    static CrowdPlan completeBodyPlan(const char *target)
    {
        CrowdPlan plan = crowdPlan(CrowdKind::WholeBody, Host, target);
        plan.start += 'x';
        return plan;
    }

private:
    std::vector<std::unique_ptr<CrowdUpstream>> m_slowUpstreams;
};

TEST_F(CrowdSettingsTest, ALargeRequestIsServedWith112Mb)
{
    expectLargeRequestServed(112);
}

TEST_F(CrowdSettingsTest, ALargeRequestIsServedWith160Mb)
{
    expectLargeRequestServed(160);
}

TEST_F(CrowdSettingsTest, MoreDescriptorsThanTheSystemPermits)
{
    startGateway(memoryMb(), {"--descriptors=100000"});
    startCrowd(CrowdKind::Idle, CrowdPlace::Route, crowdConnections(CrowdKind::Idle));
    waitUntilCrowdsAreSettled();
    expectUnharmed(CrowdPlace::Route);
    EXPECT_TRUE(isLogged("descriptors_limited"));
}

TEST_F(CrowdSettingsTest, CallsToManySlowUpstreams)
{
    constexpr std::size_t SlowUpstreams = 24;
    addSlowUpstreams(SlowUpstreams);
    startGateway(memoryMb());
    startCrowd(crowdPlan(CrowdKind::RequestsAhead, Host, "/slow/x"), crowdConnections(CrowdKind::RequestsAhead));
    waitUntilCrowdsAreSettled();
    expectUnharmed(CrowdPlace::Route);
}

/** Whole bodies, whose calls wait for an upstream. */
TEST_F(CrowdSettingsTest, CompleteBodiesToASlowUpstream)
{
    addSlowUpstreams(1);
    startGateway(memoryMb());
    startCrowd(completeBodyPlan("/slow/x"), crowdConnections(CrowdKind::WholeBody));
    waitUntilCrowdsAreSettled();
    expectUnharmed(CrowdPlace::Route);
}

TEST_F(CrowdSettingsTest, CompleteBodiesWithoutARoute)
{
    startGateway(memoryMb());
    startCrowd(completeBodyPlan("/none/x"), crowdConnections(CrowdKind::WholeBody) / 2);
    startCrowd(completeBodyPlan("/v1/ready"), crowdConnections(CrowdKind::WholeBody) / 2);
    waitUntilCrowdsAreSettled();
    expectUnharmed(CrowdPlace::Route);
}

/** Clients at the ports for other VMs. */
class PeerCrowdFixture : public CrowdFixture
{
protected:
    PeerCrowdFixture()
    {
        QObject::connect(&m_peer, &ExchangeClient::membersCompared, &m_peer, [this](const Endpoint &, const auto &records) {
            m_isCompared = records.has_value();
            m_isCompareOpen = false;
        });
    }

    static std::size_t connectionsOf(PeerCrowdKind kind)
    {
        return crowdConnections(kind == PeerCrowdKind::Idle ? CrowdKind::Idle : CrowdKind::WholeBody);
    }

    /** Returns whether another VM can compare its members. It repeats a comparison that fails. */
    bool isPeerAnswered()
    {
        return waitUntil([this] {
            if (!m_isCompareOpen && !m_isCompared) {
                m_isCompareOpen = true;
                m_peer.compareMembers(m_exchange, {}, {});
            }
            return m_isCompared;
        });
    }

    void expectPeersUnharmed()
    {
        waitUntilCrowdsAreSettled();
        EXPECT_TRUE(isPeerAnswered()) << "another VM";
        expectUnharmed(CrowdPlace::Route);
    }

private:
    Metrics m_metrics;
    ExchangeClient m_peer{m_metrics};
    bool m_isCompareOpen = false;
    bool m_isCompared = false;
};

class PeerCrowdTest : public PeerCrowdFixture, public testing::WithParamInterface<PeerCrowdKind>
{
};

TEST_P(PeerCrowdTest, CostsOnlyItself)
{
    startCrowd(GetParam(), connectionsOf(GetParam()));
    expectPeersUnharmed();
}

std::string peerCaseName(const testing::TestParamInfo<PeerCrowdKind> &info)
{
    std::string name(nameOf(info.param));
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
}

INSTANTIATE_TEST_SUITE_P(Crowds, PeerCrowdTest, testing::ValuesIn(allOf<PeerCrowdKind>()), peerCaseName);

TEST_F(PeerCrowdFixture, AllPeerKindsAtOnce)
{
    constexpr std::size_t CrowdDivisor = 4;
    for (const PeerCrowdKind kind : allOf<PeerCrowdKind>()) {
        startCrowd(kind, connectionsOf(kind) / CrowdDivisor);
    }
    expectPeersUnharmed();
}

/** Datagrams that no VM sends, at the ports for membership and credit. */
TEST_F(PeerCrowdFixture, Datagrams)
{
    constexpr int Rounds = 2000;
    std::mt19937_64 random(1);
    QUdpSocket socket;
    for (int round = 0; round < Rounds; ++round) {
        for (const int size : {0, 1, 20, 1200, 1500, 60'000}) {
            QByteArray bytes(size, Qt::Uninitialized);
            std::generate(bytes.begin(), bytes.end(), [&random] {
                return static_cast<char>(random());
            });
            for (const Endpoint &endpoint : {m_membership, m_exchange}) {
                socket.writeDatagram(bytes, QHostAddress(QString::fromStdString(endpoint.address)), endpoint.port);
            }
        }
    }
    expectPeersUnharmed();
}

/** Clients of each kind at each place, all at once. */
TEST_F(CrowdFixture, AllKindsAtOnce)
{
    constexpr std::size_t CrowdDivisor = 25;
    for (const CrowdKind kind : allOf<CrowdKind>()) {
        for (const CrowdPlace place : allOf<CrowdPlace>()) {
            startCrowd(kind, place, crowdConnections(kind) / CrowdDivisor);
        }
    }
    waitUntilCrowdsAreSettled();
    for (const CrowdPlace place : {CrowdPlace::Readiness, CrowdPlace::Directory, CrowdPlace::Operators}) {
        expectUnharmed(place);
    }
}

}
}
