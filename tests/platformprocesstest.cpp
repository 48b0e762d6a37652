#include "configuration/configurationjson.h"
#include "fakes/eventloop.h"
#include "fakes/fakeplatform.h"
#include "fakes/fakeupstream.h"
#include "fakes/freeendpoint.h"
#include "http/headers.h"
#include "http/httpclient.h"

#include <QCoreApplication>
#include <QProcess>
#include <QTemporaryDir>

#include <gtest/gtest.h>

#include <map>

/** Runs entryd and controld as processes while the platform is down or has an invalid object. */
namespace Plantainweir {
namespace {

class PlatformProcessTest : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(m_platform.listen({.address = "127.0.0.1", .port = 0}));
        ASSERT_TRUE(m_upstream.listen({.address = "127.0.0.1", .port = 0}));
        QObject::connect(&m_client, &HttpClient::finished, &m_client, [this](HttpRequestId id, const HttpRequestResult &result) {
            m_results[id] = result;
        });
    }

    void TearDown() override
    {
        for (QProcess *process : {&m_entryd, &m_controld}) {
            process->kill();
            process->waitForFinished();
        }
    }

    static void start(QProcess &process, const QString &program, const QStringList &arguments)
    {
        process.setProcessChannelMode(QProcess::ForwardedChannels);
        process.start(PLANTAINWEIR_BIN_DIR "/" + program, arguments);
        ASSERT_TRUE(process.waitForStarted());
    }

    static QString toArgument(const Endpoint &endpoint)
    {
        return QString::fromStdString(toString(endpoint));
    }

    void startDaemons()
    {
        start(m_controld,
              "plantainweir-controld",
              {"--name",
               "e1",
               "--availability-zone",
               "regina",
               "--control-port",
               toArgument(m_control),
               "--membership-port",
               toArgument(freeEndpoint()),
               "--exchange-port",
               toArgument(freeEndpoint()),
               "--operators-port",
               toArgument(m_controldOperators),
               "--platform",
               QString("127.0.0.1:%1").arg(m_platform.port())});
        start(m_entryd,
              "plantainweir-entryd",
              {"--name",
               "e1",
               "--availability-zone",
               "regina",
               "--caller-port",
               toArgument(m_callers),
               "--peer-port",
               toArgument(freeEndpoint()),
               "--control",
               toArgument(m_control),
               "--operators-port",
               toArgument(m_entrydOperators)});
    }

    std::uint64_t putService(std::uint32_t slots)
    {
        Service service{.name = "rinkdesk", .version = 0, .isRemoved = false, .upstreams = {}};
        service.upstreams = {{.name = "rinkdesk-1", .endpoint = m_upstream.endpoint(), .availabilityZone = "regina", .slots = slots, .connectionLimit = 200}};
        return m_platform.put(serviceObjectName("rinkdesk"), encodeService(service));
    }

    void putRules()
    {
        Rules rules;
        rules.workKinds = {{.name = "lookup", .rank = Rank::Low, .target = std::chrono::seconds(5), .worth = 1.0, .repeatability = Repeatability::Idempotent}};
        m_platform.put(std::string(RulesObjectName), encodeRules(rules));
    }

    HttpRequestResult request(const Endpoint &endpoint, const HttpRequest &request)
    {
        const HttpRequestId id = m_client.send(endpoint, request, Clock::now() + std::chrono::seconds(10));
        EXPECT_TRUE(waitUntil([&] {
            return m_results.contains(id);
        }));
        return m_results[id];
    }

    HttpResponse get(const Endpoint &endpoint, const std::string &target)
    {
        return request(endpoint, {.method = "GET", .target = target, .fields = {}, .body = {}}).response;
    }

    /** Waits until the answer of @p endpoint to a GET of @p target contains @p text. */
    bool waitForText(const Endpoint &endpoint, const std::string &target, const std::string &text)
    {
        return waitUntil([&] {
            return get(endpoint, target).body.find(text) != std::string::npos;
        });
    }

    bool waitForVersion(std::uint64_t version)
    {
        return waitForText(m_entrydOperators, "/status", "\"rinkdesk\": \"" + std::to_string(version) + "\"");
    }

    std::string callOutcome()
    {
        const HttpRequestResult result
            = request(m_callers, {.method = "GET", .target = "/call/rinkdesk/ice", .fields = {{Headers::WorkKind, "lookup"}}, .body = {}});
        return std::string(fieldValue(result.response.fields, Headers::Outcome));
    }

    FakePlatform m_platform;
    FakeUpstream m_upstream{FakeUpstreamSettings{}, 1};
    HttpClient m_client{HttpLimits{}};
    std::map<HttpRequestId, HttpRequestResult> m_results;
    Endpoint m_control = freeEndpoint();
    Endpoint m_controldOperators = freeEndpoint();
    Endpoint m_entrydOperators = freeEndpoint();
    Endpoint m_callers = freeEndpoint();
    QProcess m_controld;
    QProcess m_entryd;
};

TEST_F(PlatformProcessTest, CallsAreServedWhileThePlatformIsDown)
{
    putRules();
    const std::uint64_t version = putService(2);
    startDaemons();
    ASSERT_TRUE(waitForVersion(version));
    m_platform.setFaults({.mode = FakePlatformMode::Down});
    ASSERT_TRUE(waitUntil([this] {
        const std::string metrics = get(m_controldOperators, "/metrics").body;
        return metrics.find("plantainweir_platform_failures_total{reason=\"lost\"} 0") == std::string::npos;
    }));
    for (int call = 0; call < 50; ++call) {
        EXPECT_EQ(callOutcome(), "answered");
    }
    const std::uint64_t later = putService(3);
    m_platform.setFaults({});
    EXPECT_TRUE(waitForVersion(later));
}

TEST_F(PlatformProcessTest, NothingIsServedBeforeTheFirstConfiguration)
{
    putRules();
    const std::uint64_t version = putService(2);
    m_platform.setFaults({.mode = FakePlatformMode::Down});
    startDaemons();
    ASSERT_TRUE(waitForText(m_entrydOperators, "/healthz", "ok"));
    EXPECT_EQ(get(m_entrydOperators, "/readyz").status, 503);
    EXPECT_EQ(callOutcome(), "not_run");
    m_platform.setFaults({});
    ASSERT_TRUE(waitForVersion(version));
    EXPECT_TRUE(waitUntil([this] {
        return callOutcome() == "answered";
    }));
}

TEST_F(PlatformProcessTest, FaultyObjectLeavesTheLastGoodVersionInForce)
{
    putRules();
    const std::uint64_t version = putService(2);
    startDaemons();
    ASSERT_TRUE(waitForVersion(version));
    putService(0);
    ASSERT_TRUE(waitForText(m_controldOperators, "/metrics", "plantainweir_configuration_rejections_total 1"));
    EXPECT_TRUE(waitForVersion(version));
    EXPECT_EQ(callOutcome(), "answered");
    EXPECT_TRUE(waitForVersion(putService(4)));
}

}
}

int main(int argc, char **argv)
{
    testing::InitGoogleTest(&argc, argv);
    QCoreApplication application(argc, argv);
    return RUN_ALL_TESTS();
}
