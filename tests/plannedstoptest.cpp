#include "fakes/eventloop.h"
#include "http/httpserver.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <future>
#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

/** Requests that have reached the system, but not yet the program, when a server is drained. */
namespace Plantainweir {
namespace {

/** A client with blocking calls, so that the server's event loop does not run while it connects and sends. */
class BlockingClient
{
public:
    explicit BlockingClient(std::uint16_t port)
        : m_descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        ::inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        EXPECT_EQ(::connect(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)), 0);
    }

    ~BlockingClient()
    {
        ::close(m_descriptor);
    }

    BlockingClient(const BlockingClient &) = delete;
    BlockingClient &operator=(const BlockingClient &) = delete;

    void send(const std::string &bytes)
    {
        EXPECT_EQ(::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
    }

    /** Returns what has arrived since the last call; runs the server's event loop until something has or the connection ended. */
    std::string receive()
    {
        std::string received(4096, '\0');
        ssize_t count = -1;
        EXPECT_TRUE(waitUntil([&] {
            count = ::recv(m_descriptor, received.data(), received.size(), MSG_DONTWAIT);
            return count >= 0 || errno != EAGAIN;
        }));
        received.resize(static_cast<std::size_t>(std::max<ssize_t>(0, count)));
        return received;
    }

private:
    int m_descriptor;
};

/** Ends the test program if the event loop is blocked for 10 seconds. */
class Watchdog
{
public:
    explicit Watchdog(const char *reason)
        : m_thread([this, reason] {
            if (m_isDone.get_future().wait_for(std::chrono::seconds(10)) != std::future_status::ready) {
                std::fprintf(stderr, "blocked: %s\n", reason);
                std::abort();
            }
        })
    {
    }

    ~Watchdog()
    {
        m_isDone.set_value();
        m_thread.join();
    }

    Watchdog(const Watchdog &) = delete;
    Watchdog &operator=(const Watchdog &) = delete;

private:
    std::promise<void> m_isDone;
    std::thread m_thread;
};

class PlannedStopTest : public testing::Test
{
protected:
    PlannedStopTest()
    {
        EXPECT_TRUE(server.listen({.address = "127.0.0.1", .port = 0}));
        QObject::connect(&server, &HttpServer::requestReceived, &server, [this](HttpExchangeId exchange, const HttpRequest &) {
            ++requests;
            server.respond(exchange, {.status = 200, .fields = {}, .body = body});
        });
    }

    HttpServer server{HttpLimits{}};
    std::string body = "done";
    int requests = 0;
};

constexpr auto Request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

TEST_F(PlannedStopTest, ARequestOnAConnectionThatOnlyTheSystemHasAcceptedIsAnswered)
{
    std::vector<std::unique_ptr<BlockingClient>> clients;
    for (int index = 0; index < 20; ++index) {
        clients.push_back(std::make_unique<BlockingClient>(server.port()));
        clients.back()->send(Request);
    }
    server.drain();
    for (const auto &client : clients) {
        const std::string response = client->receive();
        EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
        EXPECT_NE(response.find("Connection: close"), std::string::npos) << response;
    }
}

TEST_F(PlannedStopTest, ARequestThatTheProgramHasNotReadIsAnswered)
{
    BlockingClient client(server.port());
    client.send(Request);
    EXPECT_TRUE(client.receive().starts_with("HTTP/1.1 200"));
    client.send(Request);
    server.drain();
    EXPECT_TRUE(client.receive().starts_with("HTTP/1.1 200"));
    EXPECT_EQ(client.receive(), "") << "the connection must close";
}

TEST_F(PlannedStopTest, AnIdleConnectionDoesNotDelayTheStop)
{
    BlockingClient idle(server.port());
    idle.send(Request);
    EXPECT_TRUE(idle.receive().starts_with("HTTP/1.1 200"));
    const Watchdog watchdog("drain() waits for a client that sends nothing");
    server.drain();
    EXPECT_EQ(idle.receive(), "") << "the connection must close";
}

TEST_F(PlannedStopTest, AClientThatDoesNotReadDelaysNoOtherClient)
{
    constexpr std::size_t MoreThanSocketBuffers = 32 * 1024 * 1024;
    body.assign(MoreThanSocketBuffers, 'x');
    BlockingClient stalled(server.port());
    stalled.send(Request);
    const TimePoint start = Clock::now();
    EXPECT_TRUE(waitUntil([this] {
        return requests == 1;
    }));
    body = "done";
    BlockingClient other(server.port());
    other.send(Request);
    EXPECT_TRUE(other.receive().ends_with("done"));
    EXPECT_LT(Clock::now() - start, std::chrono::seconds(1)) << "a write to the stalled client blocks";
}

TEST_F(PlannedStopTest, AHalfReceivedRequestIsAnsweredAndPipelinedOnesAreNotCutOff)
{
    BlockingClient half(server.port());
    half.send("GET /a HTTP/1.1\r\nHo");
    BlockingClient pipelining(server.port());
    pipelining.send(std::string(Request) + Request + Request);
    server.drain();
    half.send("st: h\r\n\r\n");
    EXPECT_TRUE(half.receive().starts_with("HTTP/1.1 200"));
    std::string responses;
    for (std::string part = pipelining.receive(); !part.empty(); part = pipelining.receive()) {
        responses += part;
    }
    // The caller sends the requests behind a response that closes the connection again.
    const auto last = responses.rfind("HTTP/1.1 200");
    ASSERT_NE(last, std::string::npos) << responses;
    EXPECT_NE(responses.find("Connection: close", last), std::string::npos) << responses;
    EXPECT_TRUE(responses.ends_with("done")) << responses;
}

}
}

int main(int argc, char **argv)
{
    testing::InitGoogleTest(&argc, argv);
    QCoreApplication application(argc, argv);
    return RUN_ALL_TESTS();
}
