#include "fakes/eventloop.h"
#include "fakes/fakestore.h"
#include "fakes/freeendpoint.h"
#include "http/httpclient.h"
#include "http/httpcodec.h"
#include "platform/platformcodec.h"
#include "tasks/gateway.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <QJsonArray>
#include <QTcpServer>
#include <QTcpSocket>

#include <algorithm>
#include <map>
#include <random>
#include <set>

/** Upstreams that answer twice, refuse twice, break off and fall silent, while slow calls are hedged. */
namespace Plantainweir {
namespace {

using namespace std::chrono_literals;

constexpr auto Host = "rink.example";
constexpr auto RequestIdField = "X-Plantainweir-Request-Id";

/** What an upstream does with one call. */
enum class Oddity {
    Answer,
    AnswerTwice, ///< The second copy comes late.
    AnswerSlowly,
    AnswerSlowlyTwice,
    Refuse,
    RefuseTwice, ///< The second copy comes late, and once more instead of the next answer on the connection.
    BreakOff, ///< Runs it, and closes in the middle of the answer.
    BreakOffSlowly,
    CloseUnanswered, ///< Runs it and closes.
    StaySilent, ///< Runs it and never answers.
};

constexpr std::array<EnumName<Oddity>, 10> enumNames(Oddity)
{
    return {{
        {Oddity::Answer, "answer"},
        {Oddity::AnswerTwice, "answer_twice"},
        {Oddity::AnswerSlowly, "answer_slowly"},
        {Oddity::AnswerSlowlyTwice, "answer_slowly_twice"},
        {Oddity::Refuse, "refuse"},
        {Oddity::RefuseTwice, "refuse_twice"},
        {Oddity::BreakOff, "break_off"},
        {Oddity::BreakOffSlowly, "break_off_slowly"},
        {Oddity::CloseUnanswered, "close_unanswered"},
        {Oddity::StaySilent, "stay_silent"},
    }};
}
static_assert(isEnumTableOrdered<Oddity>());

constexpr auto SlowTime = 120ms;
constexpr auto LateTime = 3ms;

class OddUpstream
{
public:
    OddUpstream(const std::string &id, std::uint64_t seed)
        : m_id(id)
        , m_random(seed)
    {
        EXPECT_TRUE(m_server.listen(QHostAddress::LocalHost));
        QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] {
            QTcpSocket *socket = m_server.nextPendingConnection();
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
                receive(socket);
            });
            QObject::connect(socket, &QTcpSocket::disconnected, socket, [this, socket] {
                m_repeated.erase(socket);
                m_brokenOff.erase(socket);
                socket->deleteLater();
            });
        });
    }

    ~OddUpstream()
    {
        m_server.disconnect();
    }

    QJsonObject registration() const
    {
        return {{"service", "desk"},
                {"address", "127.0.0.1:" + QString::number(m_server.serverPort())},
                {"zone", "a"},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold", "0ms"},
                {"sequence", 1}};
    }

    double oddShare = 0.0; ///< Of all calls.
    std::map<std::string, int> runs; ///< By request id.
    std::set<std::string> odd; ///< Request ids of the calls that were not just answered.

private:
    void receive(QTcpSocket *socket)
    {
        std::string bytes = socket->readAll().toStdString();
        HttpRequestDecoder decoder(HttpLimits{});
        // gatewayd sends one request at a time on a connection, in one piece.
        if (decoder.decode(bytes) == DecodeState::Complete) {
            handle(socket, decoder.takeRequest());
        }
    }

    void handle(QTcpSocket *socket, const HttpRequest &request)
    {
        if (request.target == "/health") {
            write(socket, encode(200, "", "ok", {{"X-Plantainweir-Instance-Id", m_id}, {"X-Plantainweir-Backend-Load", "0,0,8,100"}}));
            return;
        }
        const std::string id(fieldValue(request.fields, RequestIdField));
        const bool isOdd = std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < oddShare;
        const auto oddity = isOdd ? static_cast<Oddity>(m_random() % enumCount<Oddity>()) : Oddity::Answer;
        if (oddity != Oddity::Answer) {
            odd.insert(id);
        }
        const std::string refusal = encode(503, id, "busy", {{"X-Plantainweir-Not-Executed", "full"}});
        if (oddity == Oddity::Refuse || oddity == Oddity::RefuseTwice) {
            write(socket, refusal);
            if (oddity == Oddity::RefuseTwice) {
                writeAfter(LateTime, socket, refusal);
                m_repeated[socket] = refusal;
            }
            return;
        }
        ++runs[id];
        // The earlier refusal comes once more on the kept connection, before the answer.
        if (const auto repeated = m_repeated.find(socket); repeated != m_repeated.end()) {
            write(socket, repeated->second);
            m_repeated.erase(repeated);
        }
        const std::string answer = encode(200, id, id + std::string(200, '.'), {{"X-Plantainweir-Response-Stamp", "s"}});
        const std::string half = answer.substr(0, answer.size() - 100);
        switch (oddity) {
        case Oddity::Answer:
            return write(socket, answer);
        case Oddity::AnswerTwice:
            write(socket, answer);
            return writeAfter(LateTime, socket, answer);
        case Oddity::AnswerSlowly:
            return writeAfter(SlowTime, socket, answer);
        case Oddity::AnswerSlowlyTwice:
            writeAfter(SlowTime, socket, answer);
            return writeAfter(SlowTime + LateTime, socket, answer);
        case Oddity::BreakOff:
            return breakOffAfter(0ms, socket, half);
        case Oddity::BreakOffSlowly:
            return breakOffAfter(SlowTime, socket, half);
        case Oddity::CloseUnanswered:
            return closeAfter(LateTime, socket);
        case Oddity::Refuse:
        case Oddity::RefuseTwice:
        case Oddity::StaySilent:
            return;
        }
    }

    static std::string encode(int status, const std::string &id, const std::string &body, std::vector<HttpField> fields)
    {
        if (!id.empty()) {
            fields.push_back({.name = RequestIdField, .value = id});
        }
        return encodeResponse({.status = status, .fields = std::move(fields), .body = body}, true, false);
    }

    static void write(QTcpSocket *socket, const std::string &bytes)
    {
        socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
        socket->flush();
    }

    /** Late copies do not end up inside an answer that breaks off, which nobody could tell from one that is complete. */
    void writeAfter(std::chrono::milliseconds time, QTcpSocket *socket, const std::string &bytes)
    {
        QTimer::singleShot(time, socket, [this, socket, bytes] {
            if (!m_brokenOff.contains(socket)) {
                write(socket, bytes);
            }
        });
    }

    void breakOffAfter(std::chrono::milliseconds time, QTcpSocket *socket, const std::string &half)
    {
        QTimer::singleShot(time, socket, [this, socket, half] {
            write(socket, half);
            m_brokenOff.insert(socket);
            closeAfter(LateTime, socket);
        });
    }

    static void closeAfter(std::chrono::milliseconds time, QTcpSocket *socket)
    {
        QTimer::singleShot(time, socket, [socket] {
            socket->disconnectFromHost();
        });
    }

    std::string m_id;
    std::mt19937_64 m_random;
    QTcpServer m_server;
    std::set<QTcpSocket *> m_brokenOff; ///< Connections on which half of an answer was sent.
    std::map<QTcpSocket *, std::string> m_repeated; ///< Refusals that come again with the next answer, by connection.
};

QJsonObject route(const char *name, const char *prefix, const char *kind)
{
    const QJsonObject spec{
        {"host", Host}, {"pathPrefix", prefix}, {"kind", kind}, {"timeout", "600ms"}, {"targetLatency", "300ms"}, {"service", "desk"}, {"maxAttempts", 2}};
    return {{"resourceKind", "routes"}, {"metadata", QJsonObject{{"name", name}}}, {"spec", spec}};
}

QJsonObject configuration()
{
    return {{"version", 1},
            {"resources",
             QJsonArray{route("look", "/look/", "safe"),
                        route("book", "/book/", "unsafe"),
                        QJsonObject{{"resourceKind", "services"},
                                    {"metadata", QJsonObject{{"name", "desk"}}},
                                    {"spec", QJsonObject{{"healthPath", "/health"}, {"maxConnections", 200}}}}}}};
}

/** What callers got. */
struct Tally {
    int answered = 0;
    int refused = 0;
    int unknown = 0;
};

class OddUpstreamsTest : public testing::Test
{
protected:
    OddUpstreamsTest()
    {
        settings.name = "e1";
        settings.availabilityZone = "a";
        for (Endpoint *port : {&settings.callerPort,
                               &settings.readinessPort,
                               &settings.directoryPort,
                               &settings.membershipPort,
                               &settings.exchangePort,
                               &settings.operatorsPort}) {
            *port = freeEndpoint();
        }
        settings.store = store.endpoint();
        settings.retryShare = 1.0;
        settings.retrySlack = 6400.0;
        settings.retryWindow = 10s;
        settings.hedgeShare = 1.0;
        settings.probesPerSecondPerUpstream = 100.0;
        settings.stopTime = 2s;
        settings.seed = 1;
        QObject::connect(&client, &HttpClient::finished, &client, [this](HttpRequestId id, const HttpRequestResult &result) {
            results[id] = result;
        });
        store.put("config", "main", configuration());
        for (int index = 1; index <= 3; ++index) {
            const std::string id = fmt::format("i-{}", index);
            upstreams.push_back(std::make_unique<OddUpstream>(id, index));
            store.put("servers", id, upstreams.back()->registration());
        }
        gateway = std::make_unique<Gateway>(settings, Platform::platformCodec());
        EXPECT_TRUE(gateway->start());
    }

    HttpRequestId send(const std::string &id, bool isAtMostOnce)
    {
        const HttpRequest request{.method = isAtMostOnce ? "POST" : "GET",
                                  .target = isAtMostOnce ? "/book/x" : "/look/x",
                                  .fields = {{"Host", Host}, {RequestIdField, id}},
                                  .body = isAtMostOnce ? "work" : ""};
        return client.send(settings.callerPort, request, Clock::now() + 10s);
    }

    int runsOf(const std::string &id) const
    {
        int count = 0;
        for (const auto &upstream : upstreams) {
            const auto found = upstream->runs.find(id);
            count += found == upstream->runs.end() ? 0 : found->second;
        }
        return count;
    }

    /** Sends @p count calls, four at a time, and checks what each caller is told. */
    Tally play(int count)
    {
        constexpr int Concurrent = 4;
        Tally tally;
        for (int sent = 0; sent < count; sent += Concurrent) {
            std::map<std::string, HttpRequestId> calls;
            for (int call = 0; call < Concurrent; ++call) {
                const std::string id = fmt::format("c-{}", ++lastCall);
                calls.emplace(id, send(id, lastCall % 3 == 0));
            }
            for (const auto &[id, request] : calls) {
                EXPECT_TRUE(waitUntil([this, request = request] {
                    return results.contains(request);
                }));
                check(id, results[request], tally);
            }
        }
        return tally;
    }

    void check(const std::string &id, const HttpRequestResult &result, Tally &tally)
    {
        SCOPED_TRACE(id);
        ASSERT_EQ(result.outcome, HttpRequestOutcome::Answered) << "each caller gets an answer, on a connection that stays in order";
        const int number = std::stoi(id.substr(2));
        const bool isAtMostOnce = number % 3 == 0;
        if (result.response.status == 200) {
            ++tally.answered;
            EXPECT_EQ(result.response.body, id + std::string(200, '.')) << "the answer of another call, or half of an answer";
            EXPECT_GE(runsOf(id), 1);
        } else if (result.response.status == 503) {
            ++tally.refused;
            EXPECT_EQ(runsOf(id), 0) << "told as not run";
        } else {
            ++tally.unknown;
            EXPECT_TRUE(result.response.status == 502 || result.response.status == 504) << result.response.status;
            // A call may also reach its deadline because the machine is busy; a connection is not lost for that.
            EXPECT_TRUE(result.response.status == 504 || hasMetOddity(id)) << "an answer was lost without a fault of an upstream";
        }
        EXPECT_LE(runsOf(id), isAtMostOnce ? 1 : 2);
    }

    bool hasMetOddity(const std::string &id) const
    {
        return std::any_of(upstreams.begin(), upstreams.end(), [&id](const auto &upstream) {
            return upstream->odd.contains(id);
        });
    }

    FakeStore store;
    std::vector<std::unique_ptr<OddUpstream>> upstreams;
    GatewaySettings settings;
    std::unique_ptr<Gateway> gateway;
    HttpClient client{HttpLimits{}};
    std::map<HttpRequestId, HttpRequestResult> results;
    int lastCall = 0;
};

TEST_F(OddUpstreamsTest, NoCallerIsToldMoreThanIsKnownWhileCallsAreHedged)
{
    EXPECT_TRUE(waitUntil([this] {
        return play(4).answered == 4;
    }));
    play(200); // Makes the usual latency known.
    for (const auto &upstream : upstreams) {
        upstream->oddShare = 0.5;
    }
    const Tally tally = play(600);
    EXPECT_GT(tally.answered, 0);
    EXPECT_GT(tally.unknown, 0);
    EXPECT_EQ(tally.answered + tally.refused + tally.unknown, 600);
    for (const auto &upstream : upstreams) {
        upstream->oddShare = 0.0;
    }
    EXPECT_TRUE(waitUntil([this] {
        return play(20).answered == 20;
    })) << "upstreams that are no longer odd answer all calls again";
    const HttpRequestId query = client.send(settings.operatorsPort, {.method = "GET", .target = "/metrics", .fields = {}, .body = {}}, Clock::now() + 5s);
    EXPECT_TRUE(waitUntil([this, query] {
        return results.contains(query);
    }));
    const std::string &metrics = results[query].response.body;
    EXPECT_NE(metrics.find(R"(plantainweir_hedges_total{reason="won"})"), std::string::npos);
    EXPECT_NE(metrics.find(R"(plantainweir_hedges_total{reason="cancelled"})"), std::string::npos);
}

}
}

int main(int argc, char **argv)
{
    testing::InitGoogleTest(&argc, argv);
    QCoreApplication application(argc, argv);
    return RUN_ALL_TESTS();
}
