#include "core/enumnames.h"
#include "fakes/eventloop.h"
#include "fakes/fakestore.h"
#include "fakes/freeendpoint.h"
#include "fakes/residentmemory.h"
#include "http/httpclient.h"
#include "http/httpserver.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <QFile>
#include <QJsonArray>
#include <QProcess>
#include <QTcpServer>
#include <QTcpSocket>

#include <map>
#include <set>

/** The largest resident memory of a gatewayd process while many upstreams' connections send bytes without end. */
namespace Plantainweir {
namespace {

using namespace std::chrono_literals;

constexpr auto Host = "rink.example";
constexpr std::size_t HostileCalls = 60; ///< At any time.
constexpr auto HostileTime = 3s;
constexpr auto CallInterval = 20ms; ///< Between two calls to an upstream that behaves.

/** What a hostile upstream sends instead of an answer. */
enum class Hostility {
    EndlessBody,
    EndlessChunks,
    EndlessTinyChunks,
    EndlessField,
    EndlessFields,
    EndlessInterim, ///< Interim responses without end.
};

constexpr std::array<EnumName<Hostility>, 6> enumNames(Hostility)
{
    return {{
        {Hostility::EndlessBody, "endless body"},
        {Hostility::EndlessChunks, "endless chunks"},
        {Hostility::EndlessTinyChunks, "endless tiny chunks"},
        {Hostility::EndlessField, "one endless field"},
        {Hostility::EndlessFields, "endless short fields"},
        {Hostility::EndlessInterim, "endless interim responses"},
    }};
}
static_assert(isEnumTableOrdered<Hostility>());

QJsonObject registration(const char *service, std::uint16_t port)
{
    return {{"service", service},
            {"address", "127.0.0.1:" + QString::number(port)},
            {"zone", "a"},
            {"version", "v1"},
            {"slots", 100},
            {"state", "ready"},
            {"cold", "0ms"},
            {"sequence", 1}};
}

/** Returns the answer to a probe of the upstream @p id. */
HttpResponse probeAnswer(const std::string &id)
{
    return {.status = 200, .fields = {{"X-Plantainweir-Instance-Id", id}, {"X-Plantainweir-Backend-Load", "0,0,100,100"}}, .body = "ok"};
}

/** Sends bytes without end on each connection that carries a call, as fast as they are read. */
class HostileUpstream
{
public:
    explicit HostileUpstream(Hostility hostility)
        : m_hostility(hostility)
    {
        EXPECT_TRUE(m_server.listen(QHostAddress::LocalHost));
        QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] {
            QTcpSocket *socket = m_server.nextPendingConnection();
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
                answer(*socket, socket->readAll().startsWith("GET /health"));
            });
            QObject::connect(socket, &QTcpSocket::bytesWritten, socket, [this, socket] {
                if (m_endless.contains(socket) && socket->bytesToWrite() < PartBytes) {
                    socket->write(part());
                }
            });
            QObject::connect(socket, &QTcpSocket::disconnected, socket, [this, socket] {
                m_endless.erase(socket);
                socket->deleteLater();
            });
        });
    }

    ~HostileUpstream()
    {
        m_server.disconnect();
    }

    std::uint16_t port() const
    {
        return m_server.serverPort();
    }

    int callCount = 0;

private:
    static constexpr int PartBytes = 0x10000;

    void answer(QTcpSocket &socket, bool isProbe)
    {
        if (isProbe) {
            socket.write("HTTP/1.1 200 OK\r\nX-Plantainweir-Instance-Id: i-bad\r\nX-Plantainweir-Backend-Load: 0,0,100,100\r\nContent-Length: 2\r\n\r\nok");
            return;
        }
        ++callCount;
        m_endless.insert(&socket);
        socket.write(start());
    }

    QByteArray start() const
    {
        switch (m_hostility) {
        case Hostility::EndlessBody:
            return "HTTP/1.1 200 OK\r\nX-Plantainweir-Response-Stamp: s\r\n\r\n";
        case Hostility::EndlessChunks:
        case Hostility::EndlessTinyChunks:
            return "HTTP/1.1 200 OK\r\nX-Plantainweir-Response-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";
        case Hostility::EndlessField:
            return "HTTP/1.1 200 OK\r\nX-Long: ";
        case Hostility::EndlessFields:
            return "HTTP/1.1 200 OK\r\n";
        case Hostility::EndlessInterim:
            return "HTTP/1.1 102 Processing\r\n\r\n";
        }
        return {};
    }

    QByteArray part() const
    {
        switch (m_hostility) {
        case Hostility::EndlessBody:
        case Hostility::EndlessField:
            return QByteArray(PartBytes, 'x');
        case Hostility::EndlessChunks:
            return "10000\r\n" + QByteArray(PartBytes, 'x') + "\r\n";
        case Hostility::EndlessTinyChunks:
            return QByteArray("1\r\nx\r\n").repeated(PartBytes / 6);
        case Hostility::EndlessFields:
            return QByteArray("a: b\r\n").repeated(PartBytes / 6);
        case Hostility::EndlessInterim:
            return QByteArray("HTTP/1.1 102 Processing\r\n\r\n").repeated(PartBytes / 27);
        }
        return {};
    }

    Hostility m_hostility;
    std::set<QTcpSocket *> m_endless; ///< Connections on which a call has arrived.
    QTcpServer m_server; ///< Destroyed first, with its sockets.
};

QJsonObject configuration()
{
    QJsonArray resources;
    for (const char *service : {"good", "bad"}) {
        const QJsonObject route{{"host", Host},
                                {"pathPrefix", QStringLiteral("/%1/").arg(service)},
                                {"kind", "unsafe"},
                                {"timeout", "2s"},
                                {"targetLatency", "400ms"},
                                {"service", service},
                                {"maxAttempts", 2}};
        const QJsonObject limits{{"healthPath", "/health"}, {"maxConnections", 200}};
        resources.append(QJsonObject{{"resourceKind", "routes"}, {"metadata", QJsonObject{{"name", service}}}, {"spec", route}});
        resources.append(QJsonObject{{"resourceKind", "services"}, {"metadata", QJsonObject{{"name", service}}}, {"spec", limits}});
    }
    return {{"version", 1}, {"resources", resources}};
}

/** Returns the largest resident memory that the process has had, in MiB. */
double peakMebiBytes(qint64 process)
{
    const auto peak = peakResidentBytes(process);
    EXPECT_TRUE(peak) << "the process has ended";
    return static_cast<double>(peak.value_or(0)) / (1024.0 * 1024.0);
}

class ProcessHostileTest : public testing::Test
{
protected:
    ProcessHostileTest()
    {
        QObject::connect(&client, &HttpClient::finished, &client, [this](HttpRequestId id, const HttpRequestResult &result) {
            results[id] = result;
        });
        EXPECT_TRUE(goodServer.listen({.address = "127.0.0.1", .port = 0}));
        QObject::connect(&goodServer, &HttpServer::requestReceived, &goodServer, [this](HttpExchangeId exchange, const HttpRequest &request) {
            HttpResponse answer = probeAnswer("i-good");
            if (request.target != "/health") {
                answer.fields = {{"X-Plantainweir-Response-Stamp", "s"},
                                 {"X-Plantainweir-Request-Id", std::string(fieldValue(request.fields, "X-Plantainweir-Request-Id"))}};
            }
            goodServer.respond(exchange, answer);
        });
    }

    void TearDown() override
    {
        stop();
    }

    void stop()
    {
        gateway.kill();
        gateway.waitForFinished();
    }

    void start(int memoryMb)
    {
        callers = freeEndpoint();
        const Endpoint membership = freeEndpoint();
        const auto argument = [](const char *name, const Endpoint &endpoint) {
            return QString("--%1=%2").arg(name, QString::fromStdString(toString(endpoint)));
        };
        gateway.setStandardOutputFile(QProcess::nullDevice());
        gateway.start(PLANTAINWEIR_BIN_DIR "/plantainweir-gatewayd",
                      {"--name=e1",
                       "--availability-zone=a",
                       argument("caller-port", callers),
                       argument("readiness-port", freeEndpoint()),
                       argument("directory-port", freeEndpoint()),
                       argument("membership-port", membership),
                       argument("exchange-port", freeEndpoint()),
                       argument("operators-port", freeEndpoint()),
                       argument("store", store.endpoint()),
                       argument("seeds", membership),
                       "--retry-share=0.2",
                       "--retry-slack=50",
                       "--retry-window=10s",
                       "--probe-limit=1000",
                       QString("--memory-mb=%1").arg(memoryMb),
                       "--stop-time=6s"});
        ASSERT_TRUE(gateway.waitForStarted());
        EXPECT_TRUE(waitUntil([this] {
            const HttpRequestId id = send("/good/x");
            return waitUntil([this, id] {
                       return results.contains(id);
                   })
                   && results[id].response.status == 200;
        }));
    }

    bool isSuccess(HttpRequestId id)
    {
        return results[id].outcome == HttpRequestOutcome::Answered && results[id].response.status == 200;
    }

    HttpRequestId send(const std::string &target)
    {
        const HttpRequest request{
            .method = "POST", .target = target, .fields = {{"Host", Host}, {"X-Plantainweir-Request-Id", fmt::format("c-{}", ++lastCall)}}, .body = "work"};
        return client.send(callers, request, Clock::now() + 5s);
    }

    /** Keeps HostileCalls calls to the hostile upstream in flight; returns how many calls to the good one were answered and sent. */
    std::pair<int, int> playHostileCalls()
    {
        std::set<HttpRequestId> hostile;
        std::set<HttpRequestId> good;
        const TimePoint end = Clock::now() + HostileTime;
        TimePoint nextGood = Clock::now();
        while (Clock::now() < end) {
            std::erase_if(hostile, [this](HttpRequestId id) {
                return results.contains(id);
            });
            while (hostile.size() < HostileCalls) {
                hostile.insert(send("/bad/x"));
            }
            if (Clock::now() >= nextGood) {
                good.insert(send("/good/x"));
                nextGood = Clock::now() + CallInterval;
            }
            QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
        }
        int answered = 0;
        for (const HttpRequestId id : good) {
            EXPECT_TRUE(waitUntil([this, id] {
                return results.contains(id);
            }));
            answered += isSuccess(id) ? 1 : 0;
        }
        return {answered, static_cast<int>(good.size())};
    }

    void expectBoundedMemory(int memoryMb)
    {
        store.put("config", "main", configuration());
        store.put("servers", "i-good", registration("good", goodServer.port()));
        for (const auto &row : enumNames(Hostility{})) {
            SCOPED_TRACE(row.name);
            HostileUpstream hostile(row.value);
            store.put("servers", "i-bad", registration("bad", hostile.port()));
            start(memoryMb);
            const auto [answered, sent] = playHostileCalls();
            const double peak = peakMebiBytes(gateway.processId());
            EXPECT_EQ(gateway.state(), QProcess::Running);
            EXPECT_GT(hostile.callCount, 0);
            EXPECT_LT(peak, memoryMb);
            EXPECT_GT(answered, sent / 2) << "other calls are served meanwhile";
            fmt::print(
                "{} MB, {}: {:.0f} MiB at most, {} hostile calls, {} of {} others answered\n", memoryMb, row.name, peak, hostile.callCount, answered, sent);
            stop();
        }
    }

    FakeStore store;
    HttpServer goodServer{HttpLimits{}};
    HttpClient client{HttpLimits{}};
    QProcess gateway;
    Endpoint callers;
    std::map<HttpRequestId, HttpRequestResult> results;
    int lastCall = 0;
};

TEST_F(ProcessHostileTest, StaysBelow160MB)
{
    expectBoundedMemory(160);
}

TEST_F(ProcessHostileTest, StaysBelow112MB)
{
    expectBoundedMemory(112);
}

}
}

int main(int argc, char **argv)
{
    testing::InitGoogleTest(&argc, argv);
    QCoreApplication application(argc, argv);
    return RUN_ALL_TESTS();
}
