#include "http/listener.h"

#include <QHostAddress>
#include <QSocketNotifier>
#include <QTcpServer>

#include <cerrno>

#include <poll.h>
#include <sys/socket.h>

namespace Plantainweir {
namespace {

constexpr int ListenBacklog = 1024;
/** Connections after which accepting returns to the event loop. */
constexpr int MaximumConnectionsPerEvent = 64;

/** Returns whether an error of accept(2) concerns only the connection that was to be accepted. */
bool isOfOneConnection(int error)
{
    return error == EINTR || error == ECONNABORTED || error == EPROTO;
}

}

class Listener::Private
{
public:
    explicit Private(Listener *listener)
        : q(listener)
    {
    }

    bool hasWaitingConnection() const
    {
        pollfd entry{.fd = static_cast<int>(m_server.socketDescriptor()), .events = POLLIN, .revents = 0};
        return ::poll(&entry, 1, 0) > 0;
    }

    /** Accepts one connection; returns whether more may wait. */
    bool acceptOne()
    {
        const int descriptor = ::accept4(static_cast<int>(m_server.socketDescriptor()), nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor >= 0) {
            Q_EMIT q->accepted(descriptor);
            return true;
        }
        if (isOfOneConnection(errno)) {
            return true;
        }
        // Without a free descriptor, accept(2) fails in the same way whether or not a connection waits.
        if (errno != EAGAIN && errno != EWOULDBLOCK && hasWaitingConnection()) {
            q->pause();
            Q_EMIT q->acceptFailed();
        }
        return false;
    }

    void handleReadable()
    {
        for (int count = 0; count < MaximumConnectionsPerEvent && m_notifier->isEnabled() && acceptOne(); ++count) {
        }
    }

    Listener *q;
    QTcpServer m_server; ///< Binds the port; it accepts nothing.
    std::unique_ptr<QSocketNotifier> m_notifier;
};

Listener::Listener(QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this))
{
}

Listener::~Listener() = default;

bool Listener::listen(const Endpoint &endpoint)
{
    d->m_server.setListenBacklogSize(ListenBacklog);
    if (!d->m_server.listen(QHostAddress(QString::fromStdString(endpoint.address)), endpoint.port)) {
        return false;
    }
    d->m_server.pauseAccepting();
    d->m_notifier = std::make_unique<QSocketNotifier>(d->m_server.socketDescriptor(), QSocketNotifier::Read);
    connect(d->m_notifier.get(), &QSocketNotifier::activated, this, [this] {
        d->handleReadable();
    });
    return true;
}

quint16 Listener::port() const
{
    return d->m_server.serverPort();
}

void Listener::pause()
{
    if (d->m_notifier != nullptr) {
        d->m_notifier->setEnabled(false);
    }
}

void Listener::resume()
{
    if (d->m_notifier != nullptr) {
        d->m_notifier->setEnabled(true);
    }
}

void Listener::acceptWaiting()
{
    while (d->m_notifier != nullptr && d->acceptOne()) {
    }
}

void Listener::close()
{
    d->m_notifier.reset();
    d->m_server.close();
}

}
