#include "fakes/entryfixture.h"
#include "fakes/residentmemory.h"
#include "http/httpserver.h"
#include "http/operatorsport.h"
#include "observability/metrics.h"

#include <QTcpSocket>

namespace Plantainweir {
namespace {

constexpr std::size_t MaximumMemoryGrowth = 64 * 1024 * 1024;

/** A client that writes arbitrary bytes. */
class RawSender
{
public:
    explicit RawSender(const Endpoint &endpoint)
    {
        m_socket.connectToHost(QString::fromStdString(endpoint.address), endpoint.port);
        EXPECT_TRUE(waitUntil([this] {
            const auto state = m_socket.state();
            return state == QAbstractSocket::ConnectedState || state == QAbstractSocket::UnconnectedState;
        }));
    }

    void write(const QByteArray &bytes)
    {
        m_socket.write(bytes);
    }

    /** Returns all bytes that are received until the server closes the connection. */
    QByteArray readUntilClosed()
    {
        QByteArray received;
        EXPECT_TRUE(waitUntil([this, &received] {
            received += m_socket.readAll();
            return m_socket.state() == QAbstractSocket::UnconnectedState;
        }));
        return received + m_socket.readAll();
    }

    /** Writes up to @p count parts, each when the previous one was sent; returns whether the server closed before the last one. */
    bool isClosedWhileSending(int count, const std::function<QByteArray(int)> &part)
    {
        bool isClosed = false;
        for (int index = 0; index < count && !isClosed; ++index) {
            write(part(index));
            waitUntil([&] {
                isClosed = m_socket.state() != QAbstractSocket::ConnectedState;
                return isClosed || m_socket.bytesToWrite() == 0;
            });
        }
        return isClosed;
    }

    QTcpSocket m_socket;
};

/** An entryd with one upstream; each test ends with a call that must be answered. */
class BadInputTest : public EntryFixture
{
protected:
    BadInputTest()
        : entry((addUpstream(), addEntry()))
    {
        publishRouting();
    }

    void expectCallAnswered()
    {
        EXPECT_EQ(outcome(call(entry, makeCall("lookup"))), "answered");
    }

    Entryd &entry;
};

TEST_F(BadInputTest, MalformedRequestLine)
{
    RawSender sender(entry.self().callerEndpoint);
    sender.write("NOT AN HTTP REQUEST\r\n\r\n");
    EXPECT_TRUE(sender.readUntilClosed().startsWith("HTTP/1.1 400"));
    expectCallAnswered();
}

TEST_F(BadInputTest, OversizedHeader)
{
    RawSender sender(entry.self().callerEndpoint);
    sender.write("GET / HTTP/1.1\r\nX-Long: " + QByteArray(20 * 1024, 'x') + "\r\n\r\n");
    EXPECT_TRUE(sender.readUntilClosed().startsWith("HTTP/1.1 431"));
    expectCallAnswered();
}

TEST_F(BadInputTest, HeaderThatNeverEnds)
{
    const std::size_t before = residentBytes();
    RawSender sender(entry.self().callerEndpoint);
    sender.write("GET / HTTP/1.1\r\n");
    const QByteArray block(1024 * 1024, 'x');
    EXPECT_TRUE(sender.isClosedWhileSending(100, [&block](int index) {
        return "X-" + QByteArray::number(index) + ": " + block;
    }));
    EXPECT_LT(residentBytes(), before + MaximumMemoryGrowth);
    expectCallAnswered();
}

TEST_F(BadInputTest, AnnouncedBodyTooLarge)
{
    const std::size_t before = residentBytes();
    RawSender sender(entry.self().callerEndpoint);
    sender.write("POST /call/rinkdesk/do HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000000\r\n\r\n");
    EXPECT_TRUE(sender.readUntilClosed().startsWith("HTTP/1.1 413"));
    EXPECT_LT(residentBytes(), before + MaximumMemoryGrowth);
    expectCallAnswered();
}

TEST_F(BadInputTest, ChunkedBodyThatNeverEnds)
{
    const std::size_t before = residentBytes();
    RawSender sender(entry.self().callerEndpoint);
    sender.write("POST /call/rinkdesk/do HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
    QByteArray chunk = "10000\r\n" + QByteArray(65536, 'x') + "\r\n";
    EXPECT_TRUE(sender.isClosedWhileSending(1000, [&chunk](int) {
        return chunk;
    }));
    EXPECT_LT(residentBytes(), before + MaximumMemoryGrowth);
    expectCallAnswered();
}

TEST_F(BadInputTest, NonGrpcBytesAtThePeerPort)
{
    const std::size_t before = residentBytes();
    RawSender sender(entry.self().peerEndpoint);
    EXPECT_TRUE(sender.isClosedWhileSending(1000, [](int) {
        return QByteArray(65536, 'x');
    }));
    EXPECT_LT(residentBytes(), before + MaximumMemoryGrowth);
    expectCallAnswered();
}

TEST_F(BadInputTest, FiveThousandIdleConnections)
{
    constexpr int Connections = 5000;
    constexpr int ConnectionsPerStep = 100;
    const std::size_t before = residentBytes();
    std::vector<std::unique_ptr<QTcpSocket>> sockets;
    sockets.reserve(Connections);
    for (int index = 0; index < Connections; ++index) {
        sockets.push_back(std::make_unique<QTcpSocket>());
        sockets.back()->connectToHost("127.0.0.1", entry.self().callerEndpoint.port);
        // In small steps, because the server accepts connections in this event loop too.
        if (index % ConnectionsPerStep == 0) {
            ASSERT_TRUE(waitUntil([&sockets] {
                return sockets.back()->state() == QAbstractSocket::ConnectedState;
            }));
        }
    }
    expectCallAnswered();
    EXPECT_LT(residentBytes(), before + MaximumMemoryGrowth);
}

TEST_F(BadInputTest, ConnectionAbortedDuringTheBody)
{
    for (int index = 0; index < 50; ++index) {
        RawSender sender(entry.self().callerEndpoint);
        sender.write("POST /call/rinkdesk/do HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf");
        waitUntil([&sender] {
            return sender.m_socket.bytesToWrite() == 0;
        });
        sender.m_socket.abort();
    }
    expectCallAnswered();
}

/** A server with short timeouts, which its own timer enforces, and a limit of three connections. */
class TimeoutTest : public testing::Test
{
protected:
    TimeoutTest()
    {
        EXPECT_TRUE(server.listen(endpoint));
        endpoint.port = server.port();
    }

    Endpoint endpoint{.address = "127.0.0.1", .port = 0};
    HttpServer server{HttpLimits{.connections = 3, .requestTimeout = std::chrono::milliseconds(100), .idleTimeout = std::chrono::milliseconds(200)}};
};

TEST_F(TimeoutTest, SlowSenderIsClosed)
{
    RawSender sender(endpoint);
    sender.write("GET / HT");
    sender.readUntilClosed();
    EXPECT_EQ(server.connectionCount(), 0U);
}

TEST_F(TimeoutTest, IdleConnectionIsClosed)
{
    RawSender sender(endpoint);
    sender.readUntilClosed();
    EXPECT_EQ(server.connectionCount(), 0U);
}

TEST_F(TimeoutTest, ConnectionsAboveTheLimitAreClosed)
{
    RawSender first(endpoint);
    RawSender second(endpoint);
    RawSender third(endpoint);
    RawSender fourth(endpoint);
    fourth.readUntilClosed();
    EXPECT_LE(server.connectionCount(), 3U);
}

TEST(OperatorsPortInput, LimitsBodyAndHeaderSize)
{
    const Metrics metrics;
    OperatorsPort port(metrics, [] {
        return std::string("{}");
    });
    ASSERT_TRUE(port.listen({.address = "127.0.0.1", .port = 0}));
    const Endpoint endpoint{.address = "127.0.0.1", .port = port.port()};
    RawSender withBody(endpoint);
    withBody.write("POST /metrics HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000000\r\n\r\n");
    EXPECT_TRUE(withBody.readUntilClosed().startsWith("HTTP/1.1 413"));
    RawSender withHeader(endpoint);
    withHeader.write("GET /metrics HTTP/1.1\r\nX: " + QByteArray(10 * 1024, 'x') + "\r\n\r\n");
    EXPECT_TRUE(withHeader.readUntilClosed().startsWith("HTTP/1.1 431"));
}

}
}

int main(int argc, char **argv)
{
    testing::InitGoogleTest(&argc, argv);
    QCoreApplication application(argc, argv);
    return RUN_ALL_TESTS();
}
