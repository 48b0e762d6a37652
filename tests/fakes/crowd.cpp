#include "fakes/crowd.h"

#include "core/time.h"

#include <QTimer>

#include <fmt/core.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Plantainweir {
namespace {

constexpr std::chrono::milliseconds TurnPeriod{2};
constexpr std::chrono::milliseconds SettlingTime{500};
/** Small, so that a server soon cannot send more to a client that does not read. */
constexpr int ReceiveBufferBytes = 4096;

/** The limits of the server that the clients refer to. */
constexpr std::size_t LegalBodyBytes = 1024 * 1024;
constexpr std::size_t LegalHeaderBytes = 16 * 1024;

std::string requestLine(const char *method, const std::string &host, const std::string &target)
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nX-Plantainweir-Deadline-Ms: 2000\r\n", method, target, host);
}

std::string repeat(std::string_view text, std::size_t count)
{
    std::string repeated;
    repeated.reserve(text.size() * count);
    for (std::size_t index = 0; index < count; ++index) {
        repeated += text;
    }
    return repeated;
}

/** Returns @p start with as many short fields as fit into a legal header. */
std::string withShortFields(std::string start)
{
    constexpr std::string_view ShortField = "a:b\r\n";
    constexpr std::size_t EndBytes = 64;
    start += repeat(ShortField, (LegalHeaderBytes - EndBytes - start.size()) / ShortField.size());
    return start;
}

std::string chunk(std::size_t bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes, std::string(bytes, 'x'));
}

}

CrowdPlan crowdPlan(CrowdKind kind, const std::string &host, const std::string &target)
{
    constexpr std::size_t ChunkBytes = 4096;
    const std::string get = requestLine("GET", host, target);
    const std::string post = requestLine("POST", host, target);
    const std::string announced = post + fmt::format("Content-Length: {}\r\n\r\n", LegalBodyBytes);
    const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
    switch (kind) {
    case CrowdKind::WholeBody:
        return {.start = announced + std::string(LegalBodyBytes - 1, 'x'), .pieceBytes = LegalBodyBytes};
    case CrowdKind::BodyInPieces:
        return {.start = announced + std::string(LegalBodyBytes - 1, 'x'), .pieceBytes = 1000, .piecesPerTurn = 16};
    case CrowdKind::BodyInChunks:
        return {.start = chunked, .repeated = chunk(ChunkBytes), .repetitions = LegalBodyBytes / ChunkBytes};
    case CrowdKind::BodyInTinyChunks:
        return {.start = chunked, .repeated = repeat(chunk(1), 100), .repetitions = 400};
    case CrowdKind::AnnouncedBodyTooLarge:
        return {.start = post + "Content-Length: 1073741824\r\n\r\n", .repeated = std::string(ChunkBytes, 'x'), .repetitions = 1024};
    case CrowdKind::ChunkedBodyTooLarge:
        return {.start = chunked, .repeated = chunk(ChunkBytes), .repetitions = 1024};
    case CrowdKind::UnfinishedHeader:
        return {.start = withShortFields(get)};
    case CrowdKind::HeadersAhead:
        return {.start = {}, .repeated = withShortFields(get) + "\r\n", .repetitions = 40, .reading = CrowdReading::Nothing};
    case CrowdKind::RequestsAhead:
        return {.start = {}, .repeated = get + "\r\n", .repetitions = 400, .reading = CrowdReading::Nothing};
    case CrowdKind::SlowSender:
        return {.start = post + "Content-Length: 1000\r\n\r\n" + std::string(500, 'x'), .pieceBytes = 1, .piecesPerTurn = 1};
    case CrowdKind::SlowReader:
        return {.start = {}, .repeated = get + "\r\n", .repetitions = 100, .reading = CrowdReading::Slow};
    case CrowdKind::HalfRequest:
        return {.start = announced + std::string(LegalBodyBytes / 2, 'x'), .rounds = 4};
    case CrowdKind::Idle:
        return {};
    }
    return {};
}

namespace {

struct CrowdClient {
    int descriptor = -1;
    std::size_t round = 0; ///< Rounds that have been started.
    std::size_t sent = 0; ///< Bytes of the current round.
};

}

class Crowd::Private
{
public:
    Private(const Endpoint &server, const CrowdPlan &plan, std::size_t connections)
        : m_plan(plan)
        , m_clients(connections)
    {
        m_address.sin_family = AF_INET;
        m_address.sin_port = htons(server.port);
        ::inet_pton(AF_INET, server.address.c_str(), &m_address.sin_addr);
        for (CrowdClient &client : m_clients) {
            startRound(client);
        }
        QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] {
            takeTurn();
        });
        m_timer.start(TurnPeriod);
    }

    ~Private()
    {
        for (CrowdClient &client : m_clients) {
            closeClient(client);
        }
    }

    void startRound(CrowdClient &client)
    {
        client.descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        client.sent = 0;
        ++client.round;
        const int on = 1;
        ::setsockopt(client.descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        if (m_plan.reading != CrowdReading::All) {
            ::setsockopt(client.descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes, sizeof(ReceiveBufferBytes));
        }
        static_cast<void>(::connect(client.descriptor, reinterpret_cast<const sockaddr *>(&m_address), sizeof(m_address)));
        m_progressAt = Clock::now();
    }

    static void closeClient(CrowdClient &client)
    {
        if (client.descriptor >= 0) {
            ::close(client.descriptor);
            client.descriptor = -1;
        }
    }

    std::size_t planBytes() const
    {
        return m_plan.start.size() + m_plan.repeated.size() * m_plan.repetitions;
    }

    /** Returns the bytes that follow the first @p sent ones, up to the end of the part that they belong to. */
    std::string_view bytesAfter(std::size_t sent) const
    {
        if (sent < m_plan.start.size()) {
            return std::string_view(m_plan.start).substr(sent);
        }
        return std::string_view(m_plan.repeated).substr((sent - m_plan.start.size()) % m_plan.repeated.size());
    }

    void takeTurn()
    {
        for (CrowdClient &client : m_clients) {
            if (client.descriptor < 0) {
                continue;
            }
            send(client);
            receive(client);
            const bool isRoundOver = client.descriptor < 0 || client.sent == planBytes();
            if (isRoundOver && client.round < m_plan.rounds) {
                closeClient(client);
                startRound(client);
            }
        }
    }

    void send(CrowdClient &client)
    {
        for (std::size_t piece = 0; piece < m_plan.piecesPerTurn && client.sent < planBytes(); ++piece) {
            const std::string_view bytes = bytesAfter(client.sent).substr(0, m_plan.pieceBytes);
            const ssize_t count = ::send(client.descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count < 0) {
                closeIfBroken(client);
                return;
            }
            client.sent += static_cast<std::size_t>(count);
            m_sentBytes += static_cast<std::size_t>(count);
            m_progressAt = Clock::now();
        }
    }

    void receive(CrowdClient &client)
    {
        if (client.descriptor < 0 || m_plan.reading == CrowdReading::Nothing) {
            return;
        }
        std::array<char, 16 * 1024> bytes{};
        const ssize_t count = ::recv(client.descriptor, bytes.data(), m_plan.reading == CrowdReading::Slow ? 1 : bytes.size(), 0);
        if (count == 0) {
            closeClient(client);
        } else if (count < 0) {
            closeIfBroken(client);
        } else if (m_plan.reading == CrowdReading::All) {
            m_progressAt = Clock::now();
        }
    }

    void closeIfBroken(CrowdClient &client)
    {
        if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR && errno != ENOTCONN) {
            closeClient(client);
            m_progressAt = Clock::now();
        }
    }

    CrowdPlan m_plan;
    sockaddr_in m_address{};
    std::vector<CrowdClient> m_clients;
    QTimer m_timer;
    TimePoint m_progressAt;
    std::size_t m_sentBytes = 0;
};

Crowd::Crowd(const Endpoint &server, const CrowdPlan &plan, std::size_t connections, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(server, plan, connections))
{
}

Crowd::~Crowd() = default;

bool Crowd::isSettled() const
{
    return Clock::now() > d->m_progressAt + SettlingTime;
}

std::size_t Crowd::openConnections() const
{
    return static_cast<std::size_t>(std::count_if(d->m_clients.begin(), d->m_clients.end(), [](const CrowdClient &client) {
        return client.descriptor >= 0;
    }));
}

std::size_t Crowd::sentBytes() const
{
    return d->m_sentBytes;
}

}
