#include "http/httpserver.h"
#include "fakes/eventloop.h"
#include "http/httpclient.h"

#include <gtest/gtest.h>

#include <array>
#include <cerrno>
#include <map>
#include <memory>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

/** Runs an HttpServer beside clients that take its connections. */
namespace Plantainweir {
namespace {

constexpr std::size_t LargeAnswerBytes = 8 * 1024 * 1024;

/** A client that reads only when it is asked to. */
class SilentClient
{
public:
    explicit SilentClient(quint16 port)
        : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        // Small, so that the server soon sees how much is read.
        const int receiveBytes = 4096;
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof(receiveBytes));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(::connect(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)), 0);
    }

    ~SilentClient()
    {
        ::close(m_descriptor);
    }

    SilentClient(const SilentClient &) = delete;
    SilentClient &operator=(const SilentClient &) = delete;

    void send(const std::string &bytes)
    {
        EXPECT_EQ(::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
    }

    /** Reads at most @p count bytes that have arrived. */
    void read(std::size_t count)
    {
        std::vector<char> bytes(count);
        static_cast<void>(::recv(m_descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT));
    }

    /** Reads what has arrived, and returns whether the server has closed the connection. */
    bool isClosed()
    {
        std::array<char, 4096> bytes{};
        ssize_t count = 0;
        while ((count = ::recv(m_descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT)) > 0) {
            m_received.append(bytes.data(), static_cast<std::size_t>(count));
        }
        return count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }

    const std::string &received() const
    {
        return m_received;
    }

private:
    int m_descriptor;
    std::string m_received;
};

const std::string s_halfRequest = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\nhalf";

/** An HttpServer that answers `/large` with more than a socket takes, `/never` not at all, and all else at once. */
class HttpServerTest : public testing::Test
{
protected:
    HttpServerTest()
    {
        QObject::connect(&client, &HttpClient::finished, &client, [this](HttpRequestId id, const HttpRequestResult &result) {
            results[id] = result;
        });
    }

    void start(const HttpLimits &limits)
    {
        server = std::make_unique<HttpServer>(limits);
        ASSERT_TRUE(server->listen({.address = "127.0.0.1", .port = 0}));
        QObject::connect(server.get(), &HttpServer::requestReceived, server.get(), [this](HttpExchangeId exchange, const HttpRequest &request) {
            ++requestCount;
            if (request.target != "/never") {
                server->respond(exchange, {.status = 200, .fields = {}, .body = std::string(request.target == "/large" ? LargeAnswerBytes : 1, 'x')});
            }
        });
        QObject::connect(server.get(), &HttpServer::peerReleased, server.get(), [this](PeerRelease release) {
            ++releases[release];
        });
    }

    /** Connects a client, sends @p bytes and waits until the server has them. */
    SilentClient &addClient(const std::string &bytes = {})
    {
        const std::size_t before = server->connectionCount();
        const int requestsBefore = requestCount;
        clients.push_back(std::make_unique<SilentClient>(server->port()));
        clients.back()->send(bytes);
        EXPECT_TRUE(waitUntil([&] {
            return server->connectionCount() > before && (!bytes.ends_with("\r\n\r\n") || requestCount > requestsBefore);
        }));
        return *clients.back();
    }

    void pass(std::chrono::milliseconds time)
    {
        const TimePoint end = Clock::now() + time;
        waitUntil([end] {
            return Clock::now() >= end;
        });
    }

    bool isAnswered()
    {
        const HttpRequest request{.method = "GET", .target = "/", .fields = {}, .body = {}};
        const HttpRequestId id = client.send({.address = "127.0.0.1", .port = server->port()}, request, Clock::now() + std::chrono::seconds(5));
        EXPECT_TRUE(waitUntil([&] {
            return results.contains(id);
        }));
        return results[id].outcome == HttpRequestOutcome::Answered && results[id].response.status == 200;
    }

    std::unique_ptr<HttpServer> server;
    std::vector<std::unique_ptr<SilentClient>> clients;
    HttpClient client{HttpLimits{}};
    std::map<HttpRequestId, HttpRequestResult> results;
    std::map<PeerRelease, int> releases;
    int requestCount = 0;
};

// Guards against a port that is full of clients that hardly read, until the idle timeout. Those that read nothing end earlier: the
// system gives them up (TCP_USER_TIMEOUT).
TEST_F(HttpServerTest, ClientsThatHardlyReadGiveWayToNewOnes)
{
    constexpr std::size_t DripBytes = 100;
    start({.connections = 3});
    for (int index = 0; index < 3; ++index) {
        addClient("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    bool isOneAnswered = false;
    for (int turn = 1; turn <= 200 && !isOneAnswered; ++turn) {
        for (const auto &silent : clients) {
            silent->read(DripBytes);
        }
        pass(std::chrono::milliseconds(50));
        isOneAnswered = turn % 20 == 0 && isAnswered();
    }
    EXPECT_TRUE(isOneAnswered);
    EXPECT_EQ(releases[PeerRelease::ConnectionReplaced], 1);
}

TEST_F(HttpServerTest, ClientsThatReadDoNotGiveWay)
{
    start({.connections = 1});
    SilentClient &reader = addClient("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
    for (int index = 0; index < 30; ++index) {
        pass(std::chrono::milliseconds(100));
        reader.read(32 * 1024);
    }
    EXPECT_FALSE(isAnswered());
    EXPECT_FALSE(reader.isClosed());
}

TEST_F(HttpServerTest, ClientsWhoseRequestsWaitDoNotGiveWay)
{
    start({.connections = 2});
    SilentClient &first = addClient("GET /never HTTP/1.1\r\nHost: h\r\n\r\n");
    SilentClient &second = addClient("GET /never HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_FALSE(isAnswered());
    EXPECT_FALSE(first.isClosed());
    EXPECT_FALSE(second.isClosed());
}

TEST_F(HttpServerTest, AHalfRequestThatGivesWayIsToldThatItHasNotRun)
{
    start({.connections = 2});
    SilentClient &first = addClient(s_halfRequest);
    pass(std::chrono::milliseconds(50));
    addClient(s_halfRequest);
    pass(std::chrono::milliseconds(50));
    EXPECT_TRUE(isAnswered());
    EXPECT_TRUE(waitUntil([&] {
        return first.isClosed();
    }));
    EXPECT_TRUE(first.received().starts_with("HTTP/1.1 503 ")) << first.received();
    EXPECT_NE(first.received().find("Retry-After"), std::string::npos);
}

// Guards against a release that makes all idle connections look equally old.
TEST_F(HttpServerTest, AReleaseDoesNotChangeWhichConnectionIsTheIdlest)
{
    constexpr std::size_t IdleClients = 8;
    start({.totalBytes = 256 * 1024, .connections = IdleClients + 1});
    std::vector<SilentClient *> idle;
    for (std::size_t index = 0; index < IdleClients; ++index) {
        idle.push_back(&addClient());
        pass(std::chrono::milliseconds(2));
    }
    SilentClient &holder = addClient("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" + std::string(299'000, 'x'));
    EXPECT_TRUE(waitUntil([&] {
        return holder.isClosed();
    }));
    EXPECT_EQ(releases[PeerRelease::MemoryHeld], 1);
    EXPECT_TRUE(holder.received().starts_with("HTTP/1.1 503 ")) << holder.received();
    clients.pop_back();
    EXPECT_TRUE(waitUntil([&] {
        return server->connectionCount() == IdleClients;
    }));
    addClient();
    EXPECT_TRUE(isAnswered());
    EXPECT_TRUE(waitUntil([&] {
        return idle.front()->isClosed();
    }));
    for (std::size_t index = 1; index < IdleClients; ++index) {
        EXPECT_FALSE(idle[index]->isClosed()) << index;
    }
}

// Guards against an ordinary client with a kept connection that goes for the time in which it held nothing.
TEST_F(HttpServerTest, TheTimeBeforeARequestDoesNotCountAsHoldingIt)
{
    constexpr std::size_t PartBytes = 60'000;
    const std::string part = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + std::string(PartBytes, 'x');
    start({.totalBytes = 400'000});
    SilentClient &kept = addClient();
    pass(std::chrono::milliseconds(1500));
    constexpr std::size_t Holders = 3;
    std::vector<SilentClient *> holders;
    holders.reserve(Holders);
    for (std::size_t index = 0; index < Holders; ++index) {
        holders.push_back(&addClient(part));
    }
    pass(std::chrono::milliseconds(500));
    kept.send(part);
    pass(std::chrono::milliseconds(20));
    addClient(part);
    while (releases.empty()) {
        addClient(part);
    }
    EXPECT_TRUE(waitUntil([&] {
        return holders[0]->isClosed() || holders[1]->isClosed() || holders[2]->isClosed() || kept.isClosed();
    }));
    EXPECT_FALSE(kept.isClosed());
}

// Guards against a port that tries to accept again and again, and closes nothing, while there is no descriptor.
TEST_F(HttpServerTest, AcceptsAgainAfterALackOfDescriptors)
{
    start({});
    addClient();
    addClient();
    clients.push_back(std::make_unique<SilentClient>(server->port()));
    rlimit before{};
    ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &before), 0);
    // poll(2) fails if it waits for more sockets than the limit.
    constexpr rlim_t FewDescriptors = 256;
    const rlimit few{.rlim_cur = FewDescriptors, .rlim_max = before.rlim_max};
    ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &few), 0);
    std::vector<int> taken;
    taken.reserve(FewDescriptors);
    for (int descriptor = ::dup(STDERR_FILENO); descriptor >= 0; descriptor = ::dup(STDERR_FILENO)) {
        taken.push_back(descriptor);
    }
    EXPECT_TRUE(waitUntil([&] {
        return releases[PeerRelease::ConnectionReplaced] > 0 && server->connectionCount() == 2;
    }));
    EXPECT_TRUE(clients.front()->isClosed());
    pass(std::chrono::milliseconds(600));
    EXPECT_EQ(server->connectionCount(), 2U) << "nobody waits any more";
    EXPECT_FALSE(clients.back()->isClosed());
    for (const int descriptor : taken) {
        ::close(descriptor);
    }
    ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &before), 0);
    EXPECT_TRUE(isAnswered());
}

}
}

int main(int argc, char **argv)
{
    QCoreApplication application(argc, argv);
    testing::InitGoogleTest(&argc, argv);
    return RUN_ALL_TESTS();
}
