#include "fakes/eventloop.h"
#include "fakes/rawserver.h"
#include "http/httpclient.h"
#include "http/httpserver.h"

#include <gtest/gtest.h>

#include <QTcpSocket>

#include <algorithm>
#include <memory>

#include <malloc.h>

namespace Plantainweir {
namespace {

constexpr auto CorrelationField = "Call-Id";

/** An HttpClient, and a server whose responses each test writes byte by byte. */
class RawServerTest : public testing::Test
{
protected:
    RawServerTest()
    {
        client.setCorrelationField(CorrelationField);
        QObject::connect(&client, &HttpClient::finished, &client, [this](HttpRequestId id, const HttpRequestResult &result) {
            results[id] = result;
        });
    }

    HttpRequestId send(const std::string &correlation = "call-1")
    {
        const HttpRequest request{.method = "GET", .target = "/", .fields = {{CorrelationField, correlation}}, .body = {}};
        return client.send(server.endpoint(), request, Clock::now() + std::chrono::seconds(10));
    }

    HttpRequestResult waitFor(HttpRequestId id)
    {
        EXPECT_TRUE(waitUntil([this, id] {
            return results.contains(id);
        }));
        return results[id];
    }

    RawServer server;
    HttpClient client{HttpLimits{}};
    std::map<HttpRequestId, HttpRequestResult> results;
};

TEST_F(RawServerTest, EndOfStreamCompletesAResponseWithoutLength)
{
    server.onRequest = [](RawConnection &connection) {
        connection.write("HTTP/1.1 200 OK\r\nCall-Id: call-1\r\n\r\nwhole");
        connection.finish();
    };
    const HttpRequestResult result = waitFor(send());
    EXPECT_EQ(result.outcome, HttpRequestOutcome::Answered);
    EXPECT_EQ(result.response.body, "whole");
}

TEST_F(RawServerTest, ResetDoesNotCompleteAResponseWithoutLength)
{
    server.onRequest = [](RawConnection &connection) {
        connection.write("HTTP/1.1 200 OK\r\n\r\npart");
        connection.reset();
    };
    EXPECT_EQ(waitFor(send()).outcome, HttpRequestOutcome::ConnectionLost);
}

// Guards against half an answer that counts as complete: a failed send takes the reset from the socket, and the next read
// returns zero, as at an orderly end.
TEST_F(RawServerTest, ResetDuringTheRequestDoesNotCompleteAResponseWithoutLength)
{
    server.onRequest = [](RawConnection &connection) {
        connection.write("HTTP/1.1 200 OK\r\n\r\npart");
        connection.reset();
    };
    // More than the sockets take, so that the rest is still to be sent when the reset arrives.
    constexpr std::size_t BodyBytes = 32 * 1024 * 1024;
    const HttpRequest request{.method = "POST", .target = "/", .fields = {}, .body = std::string(BodyBytes, 'x')};
    for (int attempt = 0; attempt < 20; ++attempt) {
        const HttpRequestId id = client.send(server.endpoint(), request, Clock::now() + std::chrono::seconds(10));
        ASSERT_EQ(waitFor(id).outcome, HttpRequestOutcome::ConnectionLost);
    }
}

TEST_F(RawServerTest, EndBeforeTheAnnouncedLengthIsConnectionLost)
{
    server.onRequest = [](RawConnection &connection) {
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart");
        connection.finish();
    };
    EXPECT_EQ(waitFor(send()).outcome, HttpRequestOutcome::ConnectionLost);
}

TEST_F(RawServerTest, AMalformedResponseIsLoggedAndItsConnectionClosed)
{
    server.onRequest = [](RawConnection &connection) {
        connection.write("HTTP/1.1 000 OK\r\nCall-Id: call-1\r\nContent-Length: 2\r\n\r\nno");
    };
    testing::internal::CaptureStderr();
    EXPECT_EQ(waitFor(send()).outcome, HttpRequestOutcome::ConnectionLost);
    const std::string log = testing::internal::GetCapturedStderr();
    EXPECT_NE(log.find("malformed_response endpoint=" + toString(server.endpoint()) + " request=call-1 reason=malformed"), std::string::npos) << log;
    EXPECT_EQ(waitFor(send()).outcome, HttpRequestOutcome::ConnectionLost);
    EXPECT_EQ(server.acceptedCount(), 2);
}

TEST_F(RawServerTest, LateResponseToAnotherRequestIsDiscarded)
{
    server.onRequest = [](RawConnection &connection) {
        connection.write("HTTP/1.1 200 OK\r\nCall-Id: call-0\r\nContent-Length: 5\r\n\r\nother");
        connection.write("HTTP/1.1 200 OK\r\nCall-Id: call-1\r\nContent-Length: 4\r\n\r\nmine");
    };
    EXPECT_EQ(waitFor(send()).response.body, "mine");
}

// Guards against a late copy of a rejected probe, which has no id, that counts as "not run" for a call.
TEST_F(RawServerTest, ResponseWithoutTheIdOfTheRequestIsDiscarded)
{
    server.onRequest = [](RawConnection &connection) {
        connection.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 5\r\n\r\nfull\n");
        connection.write("HTTP/1.1 200 OK\r\nCall-Id: call-1\r\nContent-Length: 4\r\n\r\nmine");
    };
    const HttpRequestResult result = waitFor(send());
    EXPECT_EQ(result.response.status, 200);
    EXPECT_EQ(result.response.body, "mine");
}

TEST_F(RawServerTest, ResponseWithAnIdDoesNotAnswerARequestWithoutOne)
{
    server.onRequest = [](RawConnection &connection) {
        connection.write("HTTP/1.1 200 OK\r\nCall-Id: call-0\r\nContent-Length: 5\r\n\r\nother");
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine");
    };
    EXPECT_EQ(waitFor(send({})).response.body, "mine");
}

TEST_F(RawServerTest, BytesAfterAResponseCloseTheConnection)
{
    server.onRequest = [](RawConnection &connection) {
        connection.write("HTTP/1.1 200 OK\r\nCall-Id: call-1\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
    };
    EXPECT_EQ(waitFor(send()).response.body, "ok");
    EXPECT_EQ(waitFor(send()).response.body, "ok");
    EXPECT_EQ(server.acceptedCount(), 2);
}

TEST_F(RawServerTest, ConnectionIsNotReusedCloseToTheServersIdleTimeout)
{
    server.onRequest = [](RawConnection &connection) {
        connection.write("HTTP/1.1 200 OK\r\nCall-Id: call-1\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok");
    };
    waitFor(send());
    waitFor(send());
    EXPECT_EQ(server.acceptedCount(), 2);
}

TEST_F(RawServerTest, RefusedConnectionSendsNothing)
{
    const Endpoint closed = server.endpoint();
    server.close();
    const HttpRequestId id = client.send(closed, {}, Clock::now() + std::chrono::seconds(5));
    EXPECT_EQ(waitFor(id).outcome, HttpRequestOutcome::NotSent);
}

/** An HttpServer, and a client whose requests each test writes byte by byte. */
class RawClientTest : public testing::Test
{
protected:
    RawClientTest()
    {
        EXPECT_TRUE(server.listen({.address = "127.0.0.1", .port = 0}));
        QObject::connect(&server, &HttpServer::requestReceived, &server, [this](HttpExchangeId exchange, const HttpRequest &request) {
            exchanges.emplace_back(exchange, request);
        });
        QObject::connect(&server, &HttpServer::clientDisconnected, &server, [this](HttpExchangeId exchange) {
            disconnected.push_back(exchange);
        });
        socket.connectToHost("127.0.0.1", server.port());
    }

    bool waitForRequests(std::size_t count)
    {
        return waitUntil([this, count] {
            return exchanges.size() >= count;
        });
    }

    QByteArray readUntil(const QByteArray &end)
    {
        QByteArray received;
        EXPECT_TRUE(waitUntil([this, &received, &end] {
            received += socket.readAll();
            return received.endsWith(end);
        }));
        return received;
    }

    void respond(std::size_t index, const std::string &body)
    {
        server.respond(exchanges.at(index).first, {.status = 200, .fields = {}, .body = body});
    }

    HttpServer server{HttpLimits{}};
    QTcpSocket socket;
    std::vector<std::pair<HttpExchangeId, HttpRequest>> exchanges;
    std::vector<HttpExchangeId> disconnected;
};

TEST_F(RawClientTest, PipelinedSafeRequestsRunConcurrentlyAndAreAnsweredInOrder)
{
    socket.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(waitForRequests(2));
    respond(1, "second");
    respond(0, "first");
    const QByteArray received = readUntil("second");
    EXPECT_LT(received.indexOf("first"), received.indexOf("second"));
}

TEST_F(RawClientTest, RequestWithSideEffectsWaitsForTheResponsesBeforeIt)
{
    socket.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(waitForRequests(1));
    socket.write(" ");
    EXPECT_EQ(exchanges.size(), 1U);
    respond(0, "first");
    ASSERT_TRUE(waitForRequests(2));
    EXPECT_EQ(exchanges[1].second.target, "/b");
}

TEST_F(RawClientTest, OnlyTheResponseToTheLastRequestClosesTheConnection)
{
    socket.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(waitForRequests(2));
    server.closeAfterResponses();
    respond(0, "first");
    respond(1, "second");
    const QByteArray received = readUntil("second");
    EXPECT_EQ(received.count("Connection: close"), 1);
    EXPECT_GT(received.indexOf("Connection: close"), received.indexOf("first"));
}

TEST_F(RawClientTest, EachUnansweredRequestOfAClosedConnectionIsReportedDisconnected)
{
    socket.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(waitForRequests(2));
    socket.abort();
    EXPECT_TRUE(waitUntil([this] {
        return disconnected.size() == 2;
    }));
}

// Guards against the body of an answer to HEAD, which stands where the next answer is due.
TEST_F(RawClientTest, TheAnswerToHeadHasNoBody)
{
    socket.write("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(waitForRequests(2));
    respond(0, "unknown route");
    respond(1, "second");
    const QByteArray received = readUntil("second");
    EXPECT_FALSE(received.contains("unknown route"));
    EXPECT_TRUE(received.contains("Content-Length: 13\r\n"));
}

// Guards against responses that are held in full for clients that do not read them, and together take too much memory.
TEST(HttpServerMemory, ClientsThatDoNotReadAreClosedOnceTheirResponsesTakeTooMuch)
{
    constexpr std::size_t ResponseBytes = 16 * 1024 * 1024;
    constexpr std::size_t ClientCount = 12;
    // The system's buffers of a connection take less than half of a response.
    const HttpLimits limits{.totalBytes = 2 * ResponseBytes};
    constexpr std::size_t MaximumOpen = 4;
    HttpServer server(limits);
    ASSERT_TRUE(server.listen({.address = "127.0.0.1", .port = 0}));
    std::size_t responseCount = 0;
    QObject::connect(&server, &HttpServer::requestReceived, &server, [&](HttpExchangeId exchange) {
        server.respond(exchange, {.status = 200, .fields = {}, .body = std::string(ResponseBytes, 'x')});
        ++responseCount;
    });
    std::vector<std::unique_ptr<QTcpSocket>> clients;
    const auto addClients = [&](std::size_t count) {
        while (clients.size() < count) {
            clients.push_back(std::make_unique<QTcpSocket>());
            clients.back()->setReadBufferSize(1);
            clients.back()->connectToHost(QHostAddress::LocalHost, server.port());
            clients.back()->write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        }
        EXPECT_TRUE(waitUntil([&] {
            return responseCount == count;
        }));
        // The connections are counted after the response, in the event loop.
        QCoreApplication::processEvents();
    };
    addClients(2);
    EXPECT_EQ(server.connectionCount(), 2U) << "the limit is not exceeded yet";
    addClients(ClientCount);
    EXPECT_LE(server.connectionCount(), MaximumOpen);
}

// Guards against clients that send ahead: what the system holds for a connection that is not read counts toward the memory of the VM.
TEST(HttpServerMemory, BytesThatWaitInTheSystemCount)
{
    constexpr std::size_t ClientCount = 20;
    constexpr std::size_t FirstBytes = 66 * 1024;
    // More than the server itself holds of each client: a string of the first bytes, which has doubled.
    constexpr std::size_t HeldBytes = 140 * 1024;
    HttpServer server(HttpLimits{.totalBytes = ClientCount * HeldBytes});
    ASSERT_TRUE(server.listen({.address = "127.0.0.1", .port = 0}));
    std::size_t requestCount = 0;
    QObject::connect(&server, &HttpServer::requestReceived, &server, [&requestCount] {
        ++requestCount;
    });
    std::vector<std::unique_ptr<QTcpSocket>> clients;
    for (std::size_t index = 0; index < ClientCount; ++index) {
        clients.push_back(std::make_unique<QTcpSocket>());
        clients.back()->connectToHost(QHostAddress::LocalHost, server.port());
        clients.back()->write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" + QByteArray(FirstBytes, 'x'));
    }
    ASSERT_TRUE(waitUntil([&] {
        return requestCount == ClientCount && std::all_of(clients.begin(), clients.end(), [](const auto &client) {
                   return client->bytesToWrite() == 0;
               });
    }));
    EXPECT_EQ(server.connectionCount(), ClientCount);
    for (const auto &client : clients) {
        client->write(QByteArray(8 * FirstBytes, 'x'));
    }
    EXPECT_TRUE(waitUntil([&server] {
        return server.connectionCount() < ClientCount;
    }));
}

// Guards against clients that stop reading shortly before the end: the account counts only what is not sent.
TEST(HttpServerMemory, TheReadPartOfAResponseIsFreed)
{
    constexpr std::size_t ResponseBytes = 64 * 1024 * 1024;
    constexpr std::size_t ReadBytes = ResponseBytes - 16 * 1024 * 1024;
    HttpServer server(HttpLimits{});
    ASSERT_TRUE(server.listen({.address = "127.0.0.1", .port = 0}));
    QObject::connect(&server, &HttpServer::requestReceived, &server, [&server](HttpExchangeId exchange) {
        server.respond(exchange, {.status = 200, .fields = {}, .body = std::string(ResponseBytes, 'x')});
    });
    const auto allocatedBytes = [] {
        const auto usage = ::mallinfo2();
        return usage.uordblks + usage.hblkhd;
    };
    const std::size_t before = allocatedBytes();
    QTcpSocket client;
    client.setReadBufferSize(64 * 1024);
    client.connectToHost(QHostAddress::LocalHost, server.port());
    client.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    std::size_t readBytes = 0;
    ASSERT_TRUE(waitUntil([&] {
        readBytes += static_cast<std::size_t>(client.readAll().size());
        return readBytes >= ReadBytes;
    }));
    QCoreApplication::processEvents();
    EXPECT_EQ(server.connectionCount(), 1U);
    EXPECT_LE(allocatedBytes() - before, ResponseBytes / 2);
}

// Guards against half a response: a connection that closes after its last response may still be sending it.
TEST(HttpServerMemory, AConnectionThatStillSendsItsLastResponseIsNotReplaced)
{
    constexpr std::size_t ResponseBytes = 64 * 1024 * 1024;
    HttpServer server(HttpLimits{.connections = 1});
    ASSERT_TRUE(server.listen({.address = "127.0.0.1", .port = 0}));
    bool isAnswered = false;
    QObject::connect(&server, &HttpServer::requestReceived, &server, [&](HttpExchangeId exchange) {
        server.respond(exchange, {.status = 200, .fields = {}, .body = std::string(ResponseBytes, 'x')});
        isAnswered = true;
    });
    QTcpSocket client;
    client.setReadBufferSize(64 * 1024);
    client.connectToHost(QHostAddress::LocalHost, server.port());
    client.write("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    ASSERT_TRUE(waitUntil([&isAnswered] {
        return isAnswered;
    }));
    QTcpSocket other;
    other.connectToHost(QHostAddress::LocalHost, server.port());
    EXPECT_TRUE(waitUntil([&other] {
        return other.state() == QAbstractSocket::UnconnectedState;
    })) << "the new connection is the one that goes";
    std::size_t readBytes = 0;
    EXPECT_TRUE(waitUntil([&] {
        readBytes += static_cast<std::size_t>(client.readAll().size());
        return readBytes >= ResponseBytes;
    }));
}

// Guards against a limit that a slow client inside the limits meets: its header is complete in time, and no limit is on its body.
TEST(HttpServerMemory, ASlowBodyMayTakeTheIdleTimeout)
{
    HttpServer server(HttpLimits{.requestTimeout = std::chrono::milliseconds(300), .idleTimeout = std::chrono::milliseconds(30'000)});
    ASSERT_TRUE(server.listen({.address = "127.0.0.1", .port = 0}));
    bool isReceived = false;
    QObject::connect(&server, &HttpServer::requestReceived, &server, [&](HttpExchangeId exchange) {
        server.respond(exchange, {.status = 200, .fields = {}, .body = {}});
        isReceived = true;
    });
    QTcpSocket client;
    client.connectToHost(QHostAddress::LocalHost, server.port());
    client.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na");
    const TimePoint end = Clock::now() + std::chrono::milliseconds(1500);
    ASSERT_TRUE(waitUntil([end] {
        return Clock::now() > end;
    }));
    client.write("b");
    EXPECT_TRUE(waitUntil([&isReceived] {
        return isReceived;
    }));
}

TEST_F(RawClientTest, ConnectionFieldsAreNotForwarded)
{
    socket.write("GET /a HTTP/1.1\r\nHost: h\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n\r\n");
    ASSERT_TRUE(waitForRequests(1));
    EXPECT_EQ(fieldValue(exchanges[0].second.fields, "X-Hop"), "");
    EXPECT_EQ(fieldValue(exchanges[0].second.fields, "X-Kept"), "2");
}

}
}

int main(int argc, char **argv)
{
    QCoreApplication application(argc, argv);
    testing::InitGoogleTest(&argc, argv);
    return RUN_ALL_TESTS();
}
