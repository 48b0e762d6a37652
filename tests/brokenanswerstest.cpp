#include "caller/callertask.h"
#include "fakes/brokenanswer.h"
#include "fakes/entryfixture.h"
#include "fakes/eventloop.h"
#include "fakes/fakestore.h"
#include "fakes/freeendpoint.h"
#include "fakes/rawserver.h"
#include "http/httpcodec.h"
#include "observability/metrics.h"
#include "platform/platformcodec.h"
#include "tasks/gateway.h"
#include "tasks/platformtask.h"
#include "tasks/storechecktask.h"
#include "tasks/storelisttask.h"
#include "tasks/storewatchtask.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <QJsonArray>

#include <map>
#include <set>

/** Every reader of answers meets every kind of broken answer. */
namespace Plantainweir {
namespace {

using namespace std::chrono_literals;

constexpr auto Host = "rink.example";
constexpr auto RequestIdField = "X-Plantainweir-Request-Id";
constexpr auto StampField = "X-Plantainweir-Response-Stamp";
constexpr auto UpstreamBody = "twelve bytes";

/** How long an answer takes while a second attempt is made elsewhere. */
constexpr auto SlowTime = 120ms;

class BrokenAnswersTest : public testing::TestWithParam<BrokenAnswer>
{
};

std::string nameOfCase(const testing::TestParamInfo<BrokenAnswer> &info)
{
    return std::string(nameOf(info.param));
}

void writeAnswer(RawConnection &connection, const RawAnswer &answer)
{
    connection.write(answer.bytes);
    if (answer.isClosing) {
        connection.finish();
    }
}

RawAnswer soundProbeAnswer(const std::string &id)
{
    return soundAnswer({{"X-Plantainweir-Instance-Id", id}, {"X-Plantainweir-Backend-Load", "0,0,8,100"}}, "ok");
}

HttpFields callAnswerFields(const HttpRequest &request)
{
    return {{RequestIdField, std::string(fieldValue(request.fields, RequestIdField))}, {StampField, "s"}};
}

RawAnswer soundCallAnswer(const HttpRequest &request)
{
    return soundAnswer(callAnswerFields(request), UpstreamBody);
}

/** An upstream on the users' platform whose answers the test writes. */
class RawUpstream
{
public:
    explicit RawUpstream(const std::string &id)
        : m_id(id)
    {
        m_server.onRequest = [this](RawConnection &connection) {
            receive(connection);
        };
    }

    QJsonObject registration() const
    {
        return {{"service", "desk"},
                {"address", QString::fromStdString(toString(m_server.endpoint()))},
                {"zone", "a"},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold", "0ms"},
                {"sequence", 1}};
    }

    /** Answers a call; the connection has carried @p earlier requests. Calls are answered soundly without it. */
    std::function<void(RawConnection &, const HttpRequest &, int earlier)> onCall;
    std::function<RawAnswer()> onProbe; ///< Probes are answered soundly without it.
    std::map<std::string, int> runs; ///< By request id.

    /** Writes a broken answer, after which nothing may arrive on the connection. */
    void writeBroken(RawConnection &connection, const RawAnswer &answer)
    {
        m_broken.insert(connection.index());
        writeAnswer(connection, answer);
    }

private:
    void receive(RawConnection &connection)
    {
        EXPECT_FALSE(m_broken.contains(connection.index())) << "a connection that carried a broken answer is used again";
        std::string bytes = connection.request();
        HttpRequestDecoder decoder(HttpLimits{});
        ASSERT_EQ(decoder.decode(bytes), DecodeState::Complete);
        const HttpRequest request = decoder.takeRequest();
        if (request.target == "/health") {
            writeAnswer(connection, onProbe ? onProbe() : soundProbeAnswer(m_id));
        } else {
            ++runs[std::string(fieldValue(request.fields, RequestIdField))];
            answerCall(connection, request);
        }
        ++m_requests[connection.index()];
    }

    void answerCall(RawConnection &connection, const HttpRequest &request)
    {
        if (onCall) {
            onCall(connection, request, m_requests[connection.index()]);
        } else {
            writeAnswer(connection, soundCallAnswer(request));
        }
    }

    std::string m_id;
    RawServer m_server;
    std::map<int, int> m_requests; ///< By connection.
    std::set<int> m_broken; ///< Connections.
};

QJsonObject route(const char *name, const char *prefix, const char *kind)
{
    const QJsonObject spec{
        {"host", Host}, {"pathPrefix", prefix}, {"kind", kind}, {"timeout", "10s"}, {"targetLatency", "4s"}, {"service", "desk"}, {"maxAttempts", 2}};
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

/** A gatewayd with upstreams that write raw bytes, and a caller at its door. */
class GatewayDoorTest : public BrokenAnswersTest
{
protected:
    GatewayDoorTest()
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
        settings.probesPerSecondPerUpstream = 100.0;
        settings.stopTime = 2s;
        settings.seed = 1;
        QObject::connect(&client, &HttpClient::finished, &client, [this](HttpRequestId id, const HttpRequestResult &result) {
            results[id] = result;
        });
    }

    void start(int upstreamCount)
    {
        store.put("config", "main", configuration());
        for (int index = 1; index <= upstreamCount; ++index) {
            const std::string id = fmt::format("i-{}", index);
            upstreams.push_back(std::make_unique<RawUpstream>(id));
            store.put("servers", id, upstreams.back()->registration());
        }
        gateway = std::make_unique<Gateway>(settings, Platform::platformCodec());
        EXPECT_TRUE(gateway->start());
        EXPECT_TRUE(waitUntil([this] {
            return isServed();
        }));
    }

    HttpRequestResult call(const std::string &id, bool isAtMostOnce)
    {
        const HttpRequest request{.method = isAtMostOnce ? "POST" : "GET",
                                  .target = isAtMostOnce ? "/book/x" : "/look/x",
                                  .fields = {{"Host", Host}, {RequestIdField, id}},
                                  .body = isAtMostOnce ? "work" : ""};
        const HttpRequestId sent = client.send(settings.callerPort, request, Clock::now() + 20s);
        EXPECT_TRUE(waitUntil([this, sent] {
            return results.contains(sent);
        }));
        return results[sent];
    }

    std::string nextId()
    {
        return fmt::format("c-{}", ++lastCall);
    }

    bool isServed()
    {
        return call(nextId(), false).response.status == 200;
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

    /** Checks that the caller is told nothing but that the outcome of its call is unknown. */
    static void expectUnknown(const std::string &id, const HttpRequestResult &result)
    {
        ASSERT_EQ(result.outcome, HttpRequestOutcome::Answered) << "the caller gets an answer";
        EXPECT_EQ(result.response.status, 502);
        EXPECT_EQ(fieldValue(result.response.fields, RequestIdField), id);
        EXPECT_EQ(fieldValue(result.response.fields, StampField), "");
        EXPECT_EQ(fieldValue(result.response.fields, "X-Note"), "");
        EXPECT_EQ(fieldValue(result.response.fields, "Retry-After"), "");
        EXPECT_EQ(result.response.body, "connection_lost\n");
    }

    static void expectAnswered(const std::string &id, const HttpRequestResult &result)
    {
        ASSERT_EQ(result.outcome, HttpRequestOutcome::Answered) << "the caller gets an answer";
        EXPECT_EQ(result.response.status, 200);
        EXPECT_EQ(fieldValue(result.response.fields, RequestIdField), id);
        EXPECT_EQ(fieldValue(result.response.fields, StampField), "s");
        EXPECT_EQ(result.response.body, UpstreamBody);
    }

    FakeStore store;
    std::vector<std::unique_ptr<RawUpstream>> upstreams;
    GatewaySettings settings;
    std::unique_ptr<Gateway> gateway;
    HttpClient client{HttpLimits{}};
    std::map<HttpRequestId, HttpRequestResult> results;
    int lastCall = 0;
};

TEST_P(GatewayDoorTest, AnAtMostOnceCallOnAFreshConnectionEndsAsUnknown)
{
    start(1);
    RawUpstream &upstream = *upstreams.front();
    std::string brokenId;
    // Probes leave no connection that a call could use.
    upstream.onProbe = [] {
        return RawAnswer{
            .bytes = soundAnswer({{"Connection", "close"}, {"X-Plantainweir-Instance-Id", "i-1"}, {"X-Plantainweir-Backend-Load", "0,0,8,100"}}, "ok").bytes,
            .isClosing = true};
    };
    upstream.onCall = [&](RawConnection &connection, const HttpRequest &request, int earlier) {
        if (earlier == 0 && brokenId.empty()) {
            brokenId = fieldValue(request.fields, RequestIdField);
            upstream.writeBroken(connection, brokenAnswer(GetParam(), callAnswerFields(request), UpstreamBody));
            return;
        }
        // The next call needs a new connection.
        RawAnswer answer = soundCallAnswer(request);
        answer.isClosing = true;
        writeAnswer(connection, answer);
    };
    EXPECT_TRUE(waitUntil([&] {
        const std::string id = nextId();
        const HttpRequestResult result = call(id, true);
        if (id == brokenId) {
            expectUnknown(id, result);
            EXPECT_EQ(runsOf(id), 1);
        }
        return !brokenId.empty();
    }));
    EXPECT_TRUE(waitUntil([this] {
        return isServed();
    })) << "the upstream serves again";
}

TEST_P(GatewayDoorTest, AnAtMostOnceCallOnAKeptConnectionEndsAsUnknown)
{
    start(1);
    RawUpstream &upstream = *upstreams.front();
    std::string brokenId;
    upstream.onCall = [&](RawConnection &connection, const HttpRequest &request, int earlier) {
        if (earlier > 0 && brokenId.empty()) {
            brokenId = fieldValue(request.fields, RequestIdField);
            upstream.writeBroken(connection, brokenAnswer(GetParam(), callAnswerFields(request), UpstreamBody));
            return;
        }
        writeAnswer(connection, soundCallAnswer(request));
    };
    EXPECT_TRUE(waitUntil([&] {
        const std::string id = nextId();
        const HttpRequestResult result = call(id, true);
        if (id == brokenId) {
            expectUnknown(id, result);
            EXPECT_EQ(runsOf(id), 1);
        }
        return !brokenId.empty();
    }));
    EXPECT_TRUE(waitUntil([this] {
        return isServed();
    })) << "the upstream serves again";
}

TEST_P(GatewayDoorTest, AnIdempotentCallIsRepeatedAtAnotherUpstream)
{
    start(2);
    std::set<std::string> brokenIds;
    for (const auto &upstream : upstreams) {
        upstream->onCall = [&, raw = upstream.get()](RawConnection &connection, const HttpRequest &request, int) {
            const bool isFirstRun = runsOf(std::string(fieldValue(request.fields, RequestIdField))) == 1;
            if (isFirstRun) {
                brokenIds.emplace(fieldValue(request.fields, RequestIdField));
                raw->writeBroken(connection, brokenAnswer(GetParam(), callAnswerFields(request), UpstreamBody));
                return;
            }
            writeAnswer(connection, soundCallAnswer(request));
        };
    }
    const std::string id = nextId();
    const HttpRequestResult result = call(id, false);
    expectAnswered(id, result);
    EXPECT_TRUE(brokenIds.contains(id));
    EXPECT_EQ(runsOf(id), 2);
}

TEST_P(GatewayDoorTest, AnIdempotentCallEndsAsUnknownIfEachAnswerIsBroken)
{
    start(2);
    for (const auto &upstream : upstreams) {
        upstream->onCall = [&, raw = upstream.get()](RawConnection &connection, const HttpRequest &request, int) {
            raw->writeBroken(connection, brokenAnswer(GetParam(), callAnswerFields(request), UpstreamBody));
        };
    }
    const std::string id = nextId();
    expectUnknown(id, call(id, false));
    EXPECT_EQ(runsOf(id), 2);
}

TEST_P(GatewayDoorTest, ABrokenRefusalPromisesNothing)
{
    start(2);
    for (const auto &upstream : upstreams) {
        upstream->onCall = [&, raw = upstream.get()](RawConnection &connection, const HttpRequest &request, int) {
            HttpFields fields = callAnswerFields(request);
            fields.push_back({.name = "X-Plantainweir-Not-Executed", .value = "full"});
            fields.push_back({.name = "Retry-After", .value = "0.5"});
            raw->writeBroken(connection, brokenAnswer(GetParam(), fields, UpstreamBody));
        };
    }
    const std::string id = nextId();
    expectUnknown(id, call(id, true));
    EXPECT_EQ(runsOf(id), 1) << "the call may have run, whatever the broken answer says";
}

TEST_P(GatewayDoorTest, ABrokenProbeAnswerSaysNothingOfItsUpstream)
{
    start(1);
    RawUpstream &upstream = *upstreams.front();
    int brokenProbes = 0;
    upstream.onProbe = [&] {
        ++brokenProbes;
        return brokenAnswer(
            GetParam(), {{"X-Plantainweir-Instance-Id", "i-1"}, {"X-Plantainweir-Backend-Load", "0,0,8,100"}, {"Server-Leaving", "1"}}, UpstreamBody);
    };
    EXPECT_TRUE(waitUntil([&] {
        const std::string id = nextId();
        const HttpRequestResult result = call(id, true);
        EXPECT_EQ(result.outcome, HttpRequestOutcome::Answered);
        EXPECT_TRUE(result.response.status == 200 || result.response.status == 503) << result.response.status;
        EXPECT_EQ(runsOf(id), result.response.status == 200 ? 1 : 0);
        return brokenProbes > 0;
    }));
    upstream.onProbe = {};
    EXPECT_TRUE(waitUntil([this] {
        return isServed();
    })) << "the upstream has not said that it is leaving";
}

TEST_P(GatewayDoorTest, AHedgeWithABrokenAnswerLeavesTheCallToTheFirstAttempt)
{
    settings.hedgeShare = 1.0;
    start(2);
    for (int count = 0; count < 200; ++count) {
        isServed(); // Makes the usual latency known.
    }
    int hedges = 0;
    for (const auto &upstream : upstreams) {
        upstream->onCall = [&, raw = upstream.get()](RawConnection &connection, const HttpRequest &request, int) {
            if (runsOf(std::string(fieldValue(request.fields, RequestIdField))) == 1) {
                connection.writeAfter(SlowTime, soundCallAnswer(request).bytes);
                return;
            }
            ++hedges;
            raw->writeBroken(connection, brokenAnswer(GetParam(), callAnswerFields(request), UpstreamBody));
        };
    }
    EXPECT_TRUE(waitUntil([&] {
        const std::string id = nextId();
        expectAnswered(id, call(id, false));
        return hedges > 0;
    }));
}

/** A store whose answers the test writes; the answer depends on whether the request is a watch. */
class StoreReaderTest : public BrokenAnswersTest
{
protected:
    StoreReaderTest()
    {
        server.onRequest = [this](RawConnection &connection) {
            const bool isWatch = connection.request().find("watch=") != std::string::npos;
            writeAnswer(connection, isWatch ? watchAnswer : listAnswer);
        };
    }

    /** A list of one upstream. */
    static std::string list()
    {
        return R"({"items":[)" + object() + R"(],"hasMore":false,"storeRevision":7})";
    }

    /** A change of one upstream. */
    static std::string changes()
    {
        return R"({"events":[{"object":)" + object() + R"(,"deleted":false}],"storeRevision":8})";
    }

    static std::string object()
    {
        return R"({"metadata":{"name":"i-1","revision":5},"spec":{"service":"desk","address":"127.0.0.1:9000","zone":"a",)"
               R"("version":"v1","slots":8,"state":"ready","cold":"0ms","sequence":1}})";
    }

    RawServer server;
    RawAnswer listAnswer = soundAnswer({}, list());
    RawAnswer watchAnswer = soundAnswer({}, changes());
    GatewayCodec codec = Platform::platformCodec();
};

TEST_P(StoreReaderTest, ABrokenListFails)
{
    StoreListTask task(StoreObjectKind::Upstreams, server.endpoint(), codec);
    int listed = 0;
    int failed = 0;
    QObject::connect(&task, &StoreListTask::listed, &task, [&] {
        ++listed;
    });
    QObject::connect(&task, &StoreListTask::failed, &task, [&] {
        ++failed;
    });
    task.start(ReadConsistency::Consistent);
    EXPECT_TRUE(waitUntil([&] {
        return listed + failed == 1;
    }));
    ASSERT_EQ(listed, 1) << "a sound list is read";
    listAnswer = brokenAnswer(GetParam(), {}, list());
    task.start(ReadConsistency::Consistent);
    EXPECT_TRUE(waitUntil([&] {
        return listed + failed == 2;
    }));
    EXPECT_EQ(failed, 1);
}

TEST_P(StoreReaderTest, ABrokenCheckConfirmsNothing)
{
    StoreCheckTask task(server.endpoint(), codec);
    int finished = 0;
    int failed = 0;
    QObject::connect(&task, &StoreCheckTask::finished, &task, [&] {
        ++finished;
    });
    QObject::connect(&task, &StoreCheckTask::failed, &task, [&] {
        ++failed;
    });
    task.check({}, ReadConsistency::Consistent, {.number = 7});
    EXPECT_TRUE(waitUntil([&] {
        return finished + failed == 1;
    }));
    ASSERT_EQ(finished, 1) << "a sound answer is read";
    watchAnswer = brokenAnswer(GetParam(), {}, changes());
    task.check({}, ReadConsistency::Consistent, {.number = 7});
    EXPECT_TRUE(waitUntil([&] {
        return finished + failed == 2;
    }));
    EXPECT_EQ(failed, 1);
}

TEST_P(StoreReaderTest, ABrokenWatchChangesNothing)
{
    watchAnswer = brokenAnswer(GetParam(), {}, changes());
    StoreWatchTask task(StoreObjectKind::Upstreams, server.endpoint(), codec, 1);
    int lists = 0;
    int changesReceived = 0;
    int unreachable = 0;
    QObject::connect(&task, &StoreWatchTask::deltaReceived, &task, [&](const StoreDelta &delta) {
        ++(delta.isComplete ? lists : changesReceived);
    });
    QObject::connect(&task, &StoreWatchTask::storeUnreachable, &task, [&] {
        ++unreachable;
    });
    task.start();
    EXPECT_TRUE(waitUntil([&] {
        return changesReceived + unreachable > 0;
    }));
    EXPECT_EQ(lists, 1);
    EXPECT_EQ(changesReceived, 0);
}

/** The platform of controld, whose answers the test writes. */
class PlatformReaderTest : public BrokenAnswersTest
{
protected:
    PlatformReaderTest()
    {
        settings.endpoint = server.endpoint();
        settings.scheduler = {.callsPerSecond = 100.0,
                              .burst = 20,
                              .maximumCallsInFlight = 4,
                              .queueLimit = 64,
                              .failuresToOpen = 3,
                              .minimumBackoff = 2ms,
                              .maximumBackoff = 20ms};
        settings.callTimeout = 5s;
        server.onRequest = [this](RawConnection &connection) {
            writeAnswer(connection, brokenAnswer(GetParam(), {}, body));
        };
    }

    RawServer server;
    PlatformSettings settings;
    Metrics metrics;
    std::string body;
};

TEST_P(PlatformReaderTest, ABrokenAnswerToAWriteIsNoAcknowledgement)
{
    body = R"({"version":5})";
    PlatformTask task(settings, metrics);
    std::vector<WriteResult> written;
    QObject::connect(&task, &PlatformTask::written, &task, [&](PlatformCallId, const WriteResult &result) {
        written.push_back(result);
    });
    task.write("plantainweir/services/rinkdesk", "{}", 4, Clock::now() + 20s);
    EXPECT_TRUE(waitUntil([&] {
        return !written.empty();
    }));
    EXPECT_EQ(written.front().outcome, WriteOutcome::AnswerLost);
    EXPECT_EQ(task.status().state, PlatformState::Unknown);
}

TEST_P(PlatformReaderTest, ABrokenListIsNotRead)
{
    body = R"({"revision":7,"objects":[]})";
    PlatformTask task(settings, metrics);
    std::vector<std::optional<PlatformObjects>> lists;
    QObject::connect(&task, &PlatformTask::listed, &task, [&](PlatformCallId, const std::optional<PlatformObjects> &objects) {
        lists.push_back(objects);
    });
    task.list("plantainweir/", Clock::now() + 20s);
    EXPECT_TRUE(waitUntil([&] {
        return !lists.empty();
    }));
    EXPECT_FALSE(lists.front().has_value());
    EXPECT_EQ(task.status().state, PlatformState::Unknown);
}

/** An entryd with an upstream that writes raw bytes, and a caller at its door. */
class EntrydDoorTest : public EntryFixture, public testing::WithParamInterface<BrokenAnswer>
{
protected:
    EntrydDoorTest()
    {
        server.onRequest = [this](RawConnection &connection) {
            ++runs;
            writeAnswer(connection, brokenAnswer(GetParam(), {{"X-Note", "of the upstream"}}, UpstreamBody));
        };
        RoutingUpdate update;
        update.rules = makeRules();
        update.services = {{.name = "rinkdesk",
                            .version = ++version,
                            .upstreams = {{.name = "u1", .endpoint = server.endpoint(), .availabilityZone = "zone-a", .slots = 2, .connectionLimit = 200}}}};
        addEntry();
        update.members = {entries.front()->self()};
        entries.front()->applyUpdate(update);
    }

    RawServer server;
    int runs = 0;
};

TEST_P(EntrydDoorTest, ACallWithABrokenAnswerEndsAsUnknown)
{
    const Entryd &entry = *entries.front();
    const std::string key = makeKey();
    const HttpRequestResult result = call(entry, makeCall("booking", key, entry.self().incarnation));
    EXPECT_EQ(result.outcome, HttpRequestOutcome::Answered);
    EXPECT_EQ(outcome(result), "unknown");
    EXPECT_EQ(fieldValue(result.response.fields, "X-Note"), "");
    EXPECT_EQ(result.response.body.find(UpstreamBody), std::string::npos);
    EXPECT_EQ(runs, 1);
    EXPECT_EQ(outcome(call(entry, makeCall("booking", key, entry.self().incarnation))), "unknown") << "a repeated key gets the same outcome";
    EXPECT_EQ(runs, 1);
}

class CallerTest : public BrokenAnswersTest
{
};

TEST_P(CallerTest, ACallWithABrokenAnswerOfAnEntryVmEndsAsUnknown)
{
    RawServer entry;
    const std::string directory = fmt::format(
        R"({{"service":"rinkdesk","validForMs":60000,"entries":[{{"address":"{}","availabilityZone":"a","keyOwner":"e1"}}]}})", toString(entry.endpoint()));
    entry.onRequest = [&directory](RawConnection &connection) {
        const bool isDirectoryQuery = connection.request().starts_with("GET /directory/");
        writeAnswer(connection, isDirectoryQuery ? soundAnswer({}, directory) : brokenAnswer(GetParam(), {{Headers::Outcome, "answered"}}, UpstreamBody));
    };
    CallerSettings settings;
    settings.entries = {entry.endpoint()};
    settings.maximumTries = 1;
    CallerTask task(settings, 1);
    std::optional<FinishedCall> finished;
    QObject::connect(&task, &CallerTask::finished, &task, [&finished](const FinishedCall &call) {
        finished = call;
    });
    OutgoingCall call;
    call.kind.name = "booking";
    call.kind.service = "rinkdesk";
    call.kind.repeatability = Repeatability::AtMostOnce;
    call.dueAt = Clock::now();
    task.call(call);
    EXPECT_TRUE(waitUntil([&finished] {
        return finished.has_value();
    }));
    EXPECT_EQ(finished->outcome, CallOutcome::Unknown);
    EXPECT_EQ(finished->body, "");
}

INSTANTIATE_TEST_SUITE_P(All, GatewayDoorTest, testing::ValuesIn(allBrokenAnswers()), nameOfCase);
INSTANTIATE_TEST_SUITE_P(All, StoreReaderTest, testing::ValuesIn(allBrokenAnswers()), nameOfCase);
INSTANTIATE_TEST_SUITE_P(All, PlatformReaderTest, testing::ValuesIn(allBrokenAnswers()), nameOfCase);
INSTANTIATE_TEST_SUITE_P(All, EntrydDoorTest, testing::ValuesIn(allBrokenAnswers()), nameOfCase);
INSTANTIATE_TEST_SUITE_P(All, CallerTest, testing::ValuesIn(allBrokenAnswers()), nameOfCase);

}
}

int main(int argc, char **argv)
{
    testing::InitGoogleTest(&argc, argv);
    QCoreApplication application(argc, argv);
    return RUN_ALL_TESTS();
}
