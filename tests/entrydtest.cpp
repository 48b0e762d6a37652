#include "fakes/entryfixture.h"

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

namespace Plantainweir {
namespace {

TEST_F(EntryFixture, AnswersLookupsAndBookings)
{
    addUpstream();
    Entryd &entry = addEntry();
    publishRouting();
    const HttpRequestResult lookup = call(entry, makeCall("lookup"));
    EXPECT_EQ(lookup.response.status, 200);
    EXPECT_EQ(outcome(lookup), "answered");
    const std::string key = makeKey();
    EXPECT_EQ(outcome(call(entry, makeCall("booking", key, entry.self().incarnation))), "answered");
    EXPECT_EQ(executions(key), 1U);
}

TEST_F(EntryFixture, RefusesCallsThatItCannotRoute)
{
    addUpstream();
    Entryd &entry = addEntry();
    EXPECT_EQ(reason(call(entry, makeCall("lookup"))), "not_ready");
    publishRouting();
    HttpRequest unknownService = makeCall("lookup");
    unknownService.target = "/call/nowhere/";
    EXPECT_EQ(reason(call(entry, unknownService)), "unknown_service");
    EXPECT_EQ(reason(call(entry, makeCall("stroll"))), "unknown_work_kind");
    EXPECT_EQ(reason(call(entry, makeCall("booking"))), "key_missing");
    EXPECT_EQ(reason(call(entry, makeCall("booking", "ticket-17", "somebody"))), "key_invalid");
    HttpRequest badTimeout = makeCall("lookup");
    badTimeout.fields.push_back({Headers::TimeoutMs, "soon"});
    EXPECT_EQ(reason(call(entry, badTimeout)), "malformed_request");
}

TEST_F(EntryFixture, NamesAKeyOwnerAndRunsNothingWithoutOne)
{
    addUpstream();
    Entryd &entry = addEntry();
    publishRouting();
    const std::string key = makeKey();
    const HttpRequestResult refused = call(entry, makeCall("booking", key));
    EXPECT_EQ(refused.response.status, 428);
    EXPECT_EQ(reason(refused), "key_owner_required");
    EXPECT_EQ(fieldValue(refused.response.fields, Headers::KeyOwner), entry.self().incarnation);
    EXPECT_EQ(executions(key), 0U);
}

TEST_F(EntryFixture, RepeatedKeyGetsTheSameAnswerAtAnyEntry)
{
    addUpstream();
    Entryd &owner = addEntry();
    Entryd &other = addEntry();
    publishRouting();
    const std::string key = makeKey();
    const HttpRequestResult first = call(owner, makeCall("booking", key, owner.self().incarnation));
    const HttpRequestResult second = call(other, makeCall("booking", key, owner.self().incarnation));
    EXPECT_EQ(outcome(first), "answered");
    EXPECT_EQ(outcome(second), "answered");
    EXPECT_EQ(first.response.body, second.response.body);
    EXPECT_EQ(executions(key), 1U);
}

TEST_F(EntryFixture, RepeatedKeyWaitsForTheRunningCall)
{
    FakeUpstream &upstream = addUpstream();
    Entryd &entry = addEntry();
    publishRouting();
    upstream.setFault(FakeFault::Stall);
    const std::string key = makeKey();
    const HttpRequestId first = send(entry, makeCall("booking", key, entry.self().incarnation));
    ASSERT_TRUE(waitUntil([&] {
        return executions(key) == 1;
    }));
    const HttpRequestId second = send(entry, makeCall("booking", key, entry.self().incarnation));
    // When this later call has been refused, entryd has received the repeated key as well.
    const HttpRequestId later = send(entry, makeCall("stroll"));
    waitFor(later);
    upstream.setFault(FakeFault::None);
    EXPECT_EQ(outcome(waitFor(first)), "answered");
    EXPECT_EQ(outcome(waitFor(second)), "answered");
    EXPECT_EQ(executions(key), 1U);
}

TEST_F(EntryFixture, KeyOfALostOwnerIsUnknownAndNeverRuns)
{
    addUpstream();
    Entryd &entry = addEntry();
    publishRouting();
    const std::string key = makeKey();
    const HttpRequestResult result = call(entry, makeCall("booking", key, "incarnation-that-is-gone"));
    EXPECT_EQ(outcome(result), "unknown");
    EXPECT_EQ(reason(result), "key_owner_lost");
    EXPECT_EQ(executions(key), 0U);
}

TEST_F(EntryFixture, CallAtAnyEntryReachesAnOwner)
{
    addUpstream();
    for (int index = 0; index < 5; ++index) {
        addEntry();
    }
    publishRouting();
    for (const auto &entry : entries) {
        EXPECT_EQ(outcome(call(*entry, makeCall("lookup"))), "answered");
        const std::string key = makeKey();
        EXPECT_EQ(outcome(call(*entry, makeCall("booking", key, entry->self().incarnation))), "answered");
        EXPECT_EQ(executions(key), 1U);
    }
}

/** A way in which an upstream closes the connection of a call. A booking must run at most once in each case. */
struct ClosedConnectionCase {
    const char *name;
    FakeFault fault;
    std::uint32_t executions;
};

class ClosedConnectionTest : public EntryFixture, public testing::WithParamInterface<std::tuple<ClosedConnectionCase, bool, bool, const char *>>
{
};

TEST_P(ClosedConnectionTest, BookingIsSentAtMostOnce)
{
    const auto &[closedConnection, isReused, hasBody, method] = GetParam();
    FakeUpstream &upstream = addUpstream();
    Entryd &entry = addEntry();
    publishRouting();
    if (isReused) {
        ASSERT_EQ(outcome(call(entry, makeCall("booking", makeKey(), entry.self().incarnation))), "answered");
    }
    upstream.setFault(closedConnection.fault);
    const std::string key = makeKey();
    HttpRequest request = makeCall("booking", key, entry.self().incarnation);
    request.method = method;
    if (!hasBody) {
        request.body.clear();
    }
    const HttpRequestResult result = call(entry, request);
    EXPECT_EQ(outcome(result), "unknown");
    EXPECT_EQ(reason(result), "connection_lost");
    EXPECT_EQ(executions(key), closedConnection.executions);
    upstream.setFault(FakeFault::None);
    EXPECT_EQ(outcome(call(entry, request)), "unknown") << "a repeated key must not run the booking either";
    EXPECT_EQ(executions(key), closedConnection.executions);
}

INSTANTIATE_TEST_SUITE_P(ClosedConnection,
                         ClosedConnectionTest,
                         testing::Combine(testing::Values(ClosedConnectionCase{"CloseBeforeRun", FakeFault::CloseBeforeRun, 0},
                                                          ClosedConnectionCase{"CloseAfterRun", FakeFault::CloseAfterRun, 1},
                                                          ClosedConnectionCase{"CloseInAnswer", FakeFault::CloseInAnswer, 1}),
                                          testing::Bool(),
                                          testing::Bool(),
                                          testing::Values("POST", "PUT", "DELETE", "PATCH", "GET")),
                         [](const auto &test) {
                             return std::string(std::get<0>(test.param).name) + (std::get<1>(test.param) ? "Reused" : "Fresh")
                                    + (std::get<2>(test.param) ? "Body" : "Empty") + std::get<3>(test.param);
                         });

TEST_F(EntryFixture, UpstreamThatClosesBeforeTheBodyGetsTheBookingOnce)
{
    constexpr std::size_t BodyBytes = 900 * 1024;
    addUpstream();
    Entryd &entry = addEntry();
    publishRouting();
    // A plain TCP listener replaces the upstream and closes the connection at the first bytes, long before the whole
    // body has arrived.
    const Endpoint endpoint = upstreams.front()->endpoint();
    upstreams.front().reset(new FakeUpstream({}, 1));
    QTcpServer listener;
    ASSERT_TRUE(listener.listen(QHostAddress::LocalHost, endpoint.port));
    std::uint32_t requests = 0;
    QObject::connect(&listener, &QTcpServer::newConnection, &listener, [&listener, &requests] {
        QTcpSocket *socket = listener.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket, &requests] {
            ++requests;
            socket->abort();
        });
    });
    HttpRequest request = makeCall("booking", makeKey(), entry.self().incarnation);
    request.body.assign(BodyBytes, 'x');
    EXPECT_EQ(outcome(call(entry, request)), "unknown");
    EXPECT_EQ(outcome(call(entry, request)), "unknown");
    EXPECT_EQ(requests, 1U);
}

TEST_F(EntryFixture, RefusedConnectionIsNotRun)
{
    addUpstream();
    Entryd &entry = addEntry();
    publishRouting();
    upstreams.front().reset(new FakeUpstream({}, 1));
    const std::string key = makeKey();
    const HttpRequestResult result = call(entry, makeCall("booking", key, entry.self().incarnation));
    EXPECT_EQ(outcome(result), "not_run");
}

TEST_F(EntryFixture, LeavingFinishesCallsInFlightAndDropsOutOfTheDirectory)
{
    FakeUpstream &upstream = addUpstream();
    Entryd &leaving = addEntry();
    Entryd &staying = addEntry();
    publishRouting();
    bool isStopped = false;
    QObject::connect(&leaving, &Entryd::stopped, &leaving, [&isStopped] {
        isStopped = true;
    });
    upstream.setFault(FakeFault::Stall);
    const std::string key = makeKey();
    const HttpRequestId inFlight = send(leaving, makeCall("booking", key, leaving.self().incarnation));
    ASSERT_TRUE(waitUntil([&] {
        return executions(key) == 1;
    }));
    leaving.leave();
    const HttpRequestResult directory = call(leaving, {.method = "GET", .target = "/directory/rinkdesk"});
    EXPECT_EQ(directory.response.body.find(leaving.self().incarnation), std::string::npos);
    EXPECT_NE(directory.response.body.find(staying.self().incarnation), std::string::npos);
    EXPECT_FALSE(isStopped);
    upstream.setFault(FakeFault::None);
    EXPECT_EQ(outcome(waitFor(inFlight)), "answered");
    EXPECT_TRUE(waitUntil([&] {
        return isStopped;
    }));
    EXPECT_EQ(executions(key), 1U);
}

}
}

int main(int argc, char **argv)
{
    testing::InitGoogleTest(&argc, argv);
    QCoreApplication application(argc, argv);
    return RUN_ALL_TESTS();
}
