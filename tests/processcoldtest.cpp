#include "fakes/eventloop.h"
#include "fakes/fakestore.h"
#include "fakes/freeendpoint.h"
#include "http/httpclient.h"
#include "http/httpserver.h"

#include <gtest/gtest.h>

#include <QCoreApplication>
#include <QJsonArray>
#include <QProcess>

#include <algorithm>
#include <memory>
#include <vector>

/** Runs several gatewayds as processes while callers ask each of them for an upstream that stays cold. */
namespace Plantainweir {
namespace {

using namespace std::chrono_literals;

constexpr auto Host = "rink.example";
constexpr auto UpstreamId = "i-1";
constexpr std::size_t Gateways = 4;
constexpr double ColdCallsPerSecond = 6.0;
constexpr double ColdOver = 1.5;
constexpr double ColdSlack = 8.0;
/** What the fleet may send to a cold upstream in any second. */
constexpr double BoundPerSecond = ColdCallsPerSecond * ColdOver + ColdSlack;
constexpr std::chrono::milliseconds CallInterval{20};

/** An upstream that answers calls at once, says that it is cold, and notes when calls arrive. */
class ColdUpstream
{
public:
    ColdUpstream()
    {
        EXPECT_TRUE(m_server.listen({.address = "127.0.0.1", .port = 0}));
        QObject::connect(&m_server, &HttpServer::requestReceived, &m_server, [this](HttpExchangeId exchange, const HttpRequest &request) {
            if (request.target != "/health") {
                arrivals.push_back(Clock::now());
            }
            m_server.respond(exchange,
                             {.status = 200,
                              .fields = {{"X-Plantainweir-Response-Stamp", "stamp"},
                                         {"X-Plantainweir-Instance-Id", UpstreamId},
                                         {"X-Plantainweir-Backend-Load", "0,0,1000,100"},
                                         {"X-Plantainweir-Cold-Ms", isCold ? "60000" : "0"},
                                         {"X-Plantainweir-Request-Id", std::string(fieldValue(request.fields, "X-Plantainweir-Request-Id"))}},
                              .body = "x"});
        });
    }

    QJsonObject registration() const
    {
        return {{"service", "desk"},
                {"address", QString("127.0.0.1:%1").arg(m_server.port())},
                {"zone", "a"},
                {"version", "v1"},
                {"slots", 1000},
                {"state", "ready"},
                {"cold", "60s"},
                {"sequence", 1}};
    }

    std::vector<TimePoint> arrivals; ///< Of calls, not of probes.
    bool isCold = true;

private:
    HttpServer m_server{HttpLimits{}};
};

QJsonObject configuration()
{
    const QJsonObject route{
        {"host", Host}, {"pathPrefix", "/a/"}, {"kind", "safe"}, {"timeout", "2s"}, {"targetLatency", "400ms"}, {"service", "desk"}, {"maxAttempts", 1}};
    const QJsonObject service{{"healthPath", "/health"}, {"maxConnections", 200}, {"coldPerS", ColdCallsPerSecond}};
    return {{"version", 1},
            {"resources",
             QJsonArray{QJsonObject{{"resourceKind", "routes"}, {"metadata", QJsonObject{{"name", "r1"}}}, {"spec", route}},
                        QJsonObject{{"resourceKind", "services"}, {"metadata", QJsonObject{{"name", "desk"}}}, {"spec", service}}}}};
}

/** One gatewayd process and its ports. */
class GatewayProcess
{
public:
    GatewayProcess(const QString &name, const Endpoint &store)
        : m_name(name)
        , m_store(store)
    {
    }

    ~GatewayProcess()
    {
        kill();
    }

    bool start(const Endpoint &seed)
    {
        m_process.setStandardOutputFile(QProcess::nullDevice());
        m_process.setStandardErrorFile(QProcess::nullDevice());
        const auto argument = [](const char *name, const Endpoint &endpoint) {
            return QString("--%1=%2").arg(name, QString::fromStdString(toString(endpoint)));
        };
        m_process.start(PLANTAINWEIR_BIN_DIR "/plantainweir-gatewayd",
                        {"--name=" + m_name,
                         "--availability-zone=a",
                         argument("caller-port", callers),
                         argument("readiness-port", m_readiness),
                         argument("directory-port", m_directory),
                         argument("membership-port", membership),
                         argument("exchange-port", m_exchange),
                         argument("operators-port", m_operators),
                         argument("store", m_store),
                         argument("seeds", seed),
                         "--retry-share=0.2",
                         "--retry-slack=50",
                         "--retry-window=10s",
                         "--probe-limit=1000",
                         QString("--cold-over=%1").arg(ColdOver),
                         QString("--cold-slack=%1").arg(ColdSlack),
                         "--memory-mb=64",
                         "--stop-time=2s"});
        return m_process.waitForStarted();
    }

    void kill()
    {
        m_process.kill();
        m_process.waitForFinished();
    }

    const Endpoint callers = freeEndpoint();
    const Endpoint membership = freeEndpoint();

private:
    QString m_name;
    Endpoint m_store;
    Endpoint m_readiness = freeEndpoint();
    Endpoint m_directory = freeEndpoint();
    Endpoint m_exchange = freeEndpoint();
    Endpoint m_operators = freeEndpoint();
    QProcess m_process;
};

class ColdFleetTest : public testing::Test
{
protected:
    ColdFleetTest()
    {
        m_store.put("config", "main", configuration());
        m_store.put("servers", UpstreamId, upstream.registration());
        for (std::size_t index = 0; index < Gateways; ++index) {
            gateways.push_back(std::make_unique<GatewayProcess>(QString("e%1").arg(index), m_store.endpoint()));
        }
        for (const auto &gateway : gateways) {
            EXPECT_TRUE(gateway->start(gateways.front()->membership));
        }
    }

    /** Sends a call to each gatewayd in turn, one in each CallInterval, for @p time. */
    void callAllFor(Duration time)
    {
        const TimePoint end = Clock::now() + time;
        TimePoint nextCallAt = Clock::now();
        EXPECT_TRUE(waitUntil([&] {
            while (nextCallAt <= Clock::now()) {
                nextCallAt += CallInterval;
                const HttpRequest request{
                    .method = "GET",
                    .target = "/a/x",
                    .fields = {{"Host", Host}, {"X-Plantainweir-Request-Id", "id-" + std::to_string(++m_calls)}, {"X-Plantainweir-Deadline-Ms", "1000"}},
                    .body = {}};
                m_client.send(gateways[m_calls % Gateways]->callers, request, Clock::now() + 2s);
            }
            return Clock::now() >= end;
        }));
    }

    /** Returns the largest number of calls that arrived within a second. */
    std::size_t mostInASecond() const
    {
        std::size_t most = 0;
        auto first = upstream.arrivals.begin();
        for (auto last = upstream.arrivals.begin(); last != upstream.arrivals.end(); ++last) {
            while (*last - *first > 1s) {
                ++first;
            }
            most = std::max(most, static_cast<std::size_t>(last - first) + 1);
        }
        return most;
    }

    ColdUpstream upstream;
    std::vector<std::unique_ptr<GatewayProcess>> gateways;

private:
    FakeStore m_store;
    HttpClient m_client{HttpLimits{}};
    std::size_t m_calls = 0;
};

// A call needs credit of the fleet, which two members keep; a VM that starts alone knows nothing of the others.
TEST_F(ColdFleetTest, SendsAColdUpstreamNoMoreThanItBears)
{
    callAllFor(8s);
    EXPECT_LE(static_cast<double>(mostInASecond()), BoundPerSecond);
    EXPECT_GE(upstream.arrivals.size(), 6U) << "it must not be left out either";
}

TEST_F(ColdFleetTest, HoldsTheLimitWhileMembersAreKilledAndReplaced)
{
    callAllFor(4s);
    gateways[0]->kill();
    gateways[1]->kill();
    callAllFor(1s);
    EXPECT_TRUE(gateways[0]->start(gateways[2]->membership));
    EXPECT_TRUE(gateways[1]->start(gateways[2]->membership));
    callAllFor(6s);
    EXPECT_LE(static_cast<double>(mostInASecond()), BoundPerSecond);
    EXPECT_GE(upstream.arrivals.size(), 6U);
}

TEST_F(ColdFleetTest, GetsAllCallsOnceItIsWarm)
{
    callAllFor(3s);
    upstream.isCold = false;
    callAllFor(500ms);
    const std::size_t before = upstream.arrivals.size();
    callAllFor(1s);
    EXPECT_GT(static_cast<double>(upstream.arrivals.size() - before), BoundPerSecond);
}

}
}

int main(int argc, char **argv)
{
    testing::InitGoogleTest(&argc, argv);
    QCoreApplication application(argc, argv);
    return RUN_ALL_TESTS();
}
