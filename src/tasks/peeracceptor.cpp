#include "tasks/peeracceptor.h"

#include "core/time.h"
#include "decision/peermemory.h"
#include "http/listener.h"
#include "observability/logevents.h"

#include <QTimer>

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <vector>

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

namespace Plantainweir {
namespace {

constexpr std::chrono::milliseconds SweepPeriod{250};
/** Connections that gRPC may have yet to close before others are accepted in their place, and when to look at them again. */
constexpr std::size_t MaximumClosingConnections = 4;
constexpr std::chrono::milliseconds ClosingPeriod{5};

/**
 * A duplicate of a connection's descriptor. As long as it exists, its socket is not confused with another one, so that it shows
 * whether gRPC has closed its own descriptor.
 */
class ConnectionWatch
{
public:
    explicit ConnectionWatch(int watched)
        : m_watched(watched)
        , m_duplicate(::fcntl(watched, F_DUPFD_CLOEXEC, 0))
    {
    }

    ~ConnectionWatch()
    {
        if (m_duplicate >= 0) {
            ::close(m_duplicate);
        }
    }

    Q_DISABLE_COPY_MOVE(ConnectionWatch)

    bool isValid() const
    {
        return m_duplicate >= 0;
    }

    bool isOpen() const
    {
        struct stat watched {
        };
        struct stat duplicate {
        };
        return ::fstat(m_watched, &watched) == 0 && ::fstat(m_duplicate, &duplicate) == 0 && watched.st_dev == duplicate.st_dev
               && watched.st_ino == duplicate.st_ino;
    }

    /** Returns when the connection last received data or, if it has received none, when it was accepted. */
    TimePoint receivedAt(TimePoint now) const
    {
        tcp_info info{};
        socklen_t length = sizeof(info);
        const bool isKnown = ::getsockopt(m_duplicate, IPPROTO_TCP, TCP_INFO, &info, &length) == 0;
        return isKnown ? now - std::chrono::milliseconds(info.tcpi_last_data_recv) : TimePoint{};
    }

    /** Ends the connection; gRPC sees a lost connection and closes its descriptor. */
    void shutdown() const
    {
        ::shutdown(m_duplicate, SHUT_RDWR);
    }

private:
    int m_watched;
    int m_duplicate;
};

using ConnectionWatches = std::vector<std::unique_ptr<ConnectionWatch>>;

void removeClosed(ConnectionWatches &connections)
{
    std::erase_if(connections, [](const auto &connection) {
        return !connection->isOpen();
    });
}

void configureSocket(int descriptor)
{
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
    const int on = 1;
    // If the system refuses the option, only latency suffers.
    static_cast<void>(::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on)));
}

}

class PeerAcceptor::Private : public QObject
{
public:
    Private(PeerAcceptor *acceptor, std::size_t connectionLimit)
        : q(acceptor)
        , m_connectionLimit(std::max<std::size_t>(1, connectionLimit))
    {
        connect(&m_listener, &Listener::accepted, this, &Private::accept);
        connect(&m_listener, &Listener::acceptFailed, this, [this] {
            logEvent(LogEvent::AcceptFailed, {{"connections", m_connections.size()}});
            replaceIdlest();
            pause(SweepPeriod);
        });
        connect(&m_sweepTimer, &QTimer::timeout, this, [this] {
            removeClosed(m_connections);
            removeClosed(m_closing);
        });
        m_sweepTimer.start(SweepPeriod);
        m_pauseTimer.setSingleShot(true);
        connect(&m_pauseTimer, &QTimer::timeout, this, &Private::acceptAgain);
    }

    void accept(qintptr accepted)
    {
        const int descriptor = static_cast<int>(accepted);
        auto connection = std::make_unique<ConnectionWatch>(descriptor);
        if (!connection->isValid()) {
            ::close(descriptor);
            return;
        }
        if (m_connections.size() >= m_connectionLimit) {
            removeClosed(m_connections);
        }
        if (m_connections.size() >= m_connectionLimit) {
            replaceIdlest();
        }
        configureSocket(descriptor);
        m_connections.push_back(std::move(connection));
        grpc::experimental::ExternalConnectionAcceptor::NewConnectionParameters parameters;
        parameters.fd = descriptor;
        m_acceptor->HandleNewConnection(&parameters);
    }

    void replaceIdlest()
    {
        const TimePoint now = Clock::now();
        std::vector<PeerHolding> holdings;
        for (std::size_t index = 0; index < m_connections.size(); ++index) {
            holdings.push_back({.connection = index, .since = m_connections[index]->receivedAt(now), .activity = PeerActivity::Idle, .readAt = {}});
        }
        const auto replaced = connectionToReplace(holdings, now);
        if (!replaced) {
            return;
        }
        logEvent(LogEvent::ConnectionReplaced, {{"connections", m_connections.size()}, {"activity", nameOf(PeerActivity::Idle)}});
        const auto found = m_connections.begin() + static_cast<std::ptrdiff_t>(*replaced);
        (*found)->shutdown();
        m_closing.push_back(std::move(*found));
        m_connections.erase(found);
        if (m_closing.size() >= MaximumClosingConnections) {
            pause(ClosingPeriod);
        }
        Q_EMIT q->connectionReplaced();
    }

    void pause(std::chrono::milliseconds time)
    {
        m_listener.pause();
        m_pauseTimer.start(time);
    }

    void acceptAgain()
    {
        removeClosed(m_connections);
        removeClosed(m_closing);
        if (m_closing.size() >= MaximumClosingConnections) {
            m_pauseTimer.start(ClosingPeriod);
            return;
        }
        m_listener.resume();
    }

    PeerAcceptor *q;
    std::size_t m_connectionLimit;
    Listener m_listener;
    QTimer m_sweepTimer;
    QTimer m_pauseTimer; ///< Active while accepting pauses.
    ConnectionWatches m_connections;
    ConnectionWatches m_closing; ///< Shut down, but not closed by gRPC yet.
    std::unique_ptr<grpc::experimental::ExternalConnectionAcceptor> m_acceptor;
};

PeerAcceptor::PeerAcceptor(std::size_t connectionLimit, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, connectionLimit))
{
}

PeerAcceptor::~PeerAcceptor() = default;

void PeerAcceptor::attachTo(grpc::ServerBuilder &builder)
{
    d->m_acceptor = builder.experimental().AddExternalConnectionAcceptor(grpc::ServerBuilder::experimental_type::ExternalConnectionType::FROM_FD,
                                                                         grpc::InsecureServerCredentials());
}

bool PeerAcceptor::listen(const Endpoint &endpoint)
{
    return d->m_listener.listen(endpoint);
}

void PeerAcceptor::close()
{
    d->m_listener.close();
}

}
