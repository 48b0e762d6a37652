#include "http/tcpstream.h"

#include <QMetaObject>
#include <QPointer>
#include <QSocketNotifier>

#include <array>
#include <cerrno>
#include <optional>
#include <utility>

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Plantainweir {
namespace {

constexpr std::size_t ReadChunkBytes = 16 * 1024;
/** Accepted sockets do not inherit the non-blocking mode of the listening socket (accept(2)). */
constexpr int SendFlags = MSG_NOSIGNAL | MSG_DONTWAIT;
/** Bytes after which reading returns to the event loop, so that one fast peer does not block the others. */
constexpr std::size_t MaximumBytesPerEvent = 64 * 1024;

/** Idle time before the first keep-alive probe, and interval between probes, in seconds. */
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;
/** Time after which unacknowledged bytes break the connection, in milliseconds (TCP_USER_TIMEOUT, RFC 5482). */
constexpr unsigned AcknowledgementTimeoutMs = 2500;

void setOption(int descriptor, int level, int option, int value)
{
    // If the system refuses an option, only latency or failure detection suffers.
    static_cast<void>(::setsockopt(descriptor, level, option, &value, sizeof(value)));
}

void setSocketOptions(int descriptor)
{
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(AcknowledgementTimeoutMs));
}

struct SocketAddress {
    sockaddr_storage storage{};
    socklen_t length = 0;
};

SocketAddress toSocketAddress(const Endpoint &endpoint)
{
    SocketAddress address;
    auto *v4 = reinterpret_cast<sockaddr_in *>(&address.storage);
    if (::inet_pton(AF_INET, endpoint.address.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(endpoint.port);
        address.length = sizeof(sockaddr_in);
        return address;
    }
    auto *v6 = reinterpret_cast<sockaddr_in6 *>(&address.storage);
    if (::inet_pton(AF_INET6, endpoint.address.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(endpoint.port);
        address.length = sizeof(sockaddr_in6);
    }
    return address;
}

bool isRetryable(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

}

class TcpStream::Private
{
public:
    explicit Private(TcpStream *stream)
        : q(stream)
    {
    }

    ~Private()
    {
        close();
    }

    void createNotifiers(int descriptor)
    {
        m_descriptor = descriptor;
        m_readNotifier = std::make_unique<QSocketNotifier>(descriptor, QSocketNotifier::Read);
        m_writeNotifier = std::make_unique<QSocketNotifier>(descriptor, QSocketNotifier::Write);
        m_readNotifier->setEnabled(false);
        m_writeNotifier->setEnabled(false);
        connect(m_readNotifier.get(), &QSocketNotifier::activated, q, [this] {
            receive();
        });
        connect(m_writeNotifier.get(), &QSocketNotifier::activated, q, [this] {
            handleWritable();
        });
    }

    void connectTo(const Endpoint &endpoint)
    {
        const SocketAddress address = toSocketAddress(endpoint);
        const int descriptor = address.length == 0 ? -1 : ::socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (descriptor < 0) {
            queueEnd();
            return;
        }
        setSocketOptions(descriptor);
        createNotifiers(descriptor);
        const int status = ::connect(descriptor, reinterpret_cast<const sockaddr *>(&address.storage), address.length);
        if (status != 0 && errno != EINPROGRESS) {
            queueEnd();
            return;
        }
        m_isConnecting = true;
        m_writeNotifier->setEnabled(true);
    }

    void handleWritable()
    {
        if (m_isConnecting) {
            finishConnecting();
            return;
        }
        const QPointer<TcpStream> guard(q);
        flush();
        if (guard != nullptr && m_descriptor >= 0 && m_outgoing.empty()) {
            Q_EMIT q->sent();
        }
    }

    void finishConnecting()
    {
        int error = 0;
        socklen_t length = sizeof(error);
        const bool isKnown = ::getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &length) == 0;
        if (!isKnown || error != 0) {
            end(StreamEnd::Broken);
            return;
        }
        m_isConnecting = false;
        m_writeNotifier->setEnabled(false);
        m_readNotifier->setEnabled(!m_isReadingPaused);
        const QPointer<TcpStream> guard(q);
        Q_EMIT q->connected();
        if (guard != nullptr) {
            flush();
        }
    }

    void flush()
    {
        if (m_descriptor < 0 || m_isConnecting) {
            return;
        }
        while (m_sentOffset < m_outgoing.size()) {
            const ssize_t count = ::send(m_descriptor, m_outgoing.data() + m_sentOffset, m_outgoing.size() - m_sentOffset, SendFlags);
            if (count < 0) {
                if (isRetryable(errno)) {
                    freeSentPart();
                    m_writeNotifier->setEnabled(true);
                    return;
                }
                // Bytes that the peer sent before it closed may still be unread; receive() reports the end of the stream. The
                // socket no longer knows the error, and would end like one that was closed in an orderly way.
                m_isBroken = true;
                discardOutgoing();
                m_writeNotifier->setEnabled(false);
                return;
            }
            m_hasSentBytes = m_hasSentBytes || count > 0;
            m_sentOffset += static_cast<std::size_t>(count);
        }
        discardOutgoing();
        m_writeNotifier->setEnabled(false);
        if (m_isFinishing) {
            static_cast<void>(::shutdown(m_descriptor, SHUT_WR));
        }
    }

    /** Frees the sent part once it is a quarter, so that a peer that stops reading keeps little more than what it has not read. */
    void freeSentPart()
    {
        if (m_sentOffset > m_outgoing.size() / 4) {
            m_outgoing = m_outgoing.substr(m_sentOffset);
            m_sentOffset = 0;
        }
    }

    /** Frees the buffer, so that an idle connection does not keep memory of the size of its largest message. */
    void discardOutgoing()
    {
        m_outgoing.clear();
        m_outgoing.shrink_to_fit();
        m_sentOffset = 0;
    }

    void receive()
    {
        std::string bytes;
        std::array<char, ReadChunkBytes> chunk{};
        std::optional<StreamEnd> streamEnd;
        while (bytes.size() < MaximumBytesPerEvent) {
            const ssize_t count = ::recv(m_descriptor, chunk.data(), chunk.size(), MSG_DONTWAIT);
            if (count > 0) {
                bytes.append(chunk.data(), static_cast<std::size_t>(count));
                // A short read has emptied the socket; the event loop reports further bytes.
                if (static_cast<std::size_t>(count) < chunk.size()) {
                    break;
                }
                continue;
            }
            if (count < 0 && isRetryable(errno)) {
                break;
            }
            streamEnd = count == 0 && !m_isBroken ? StreamEnd::Finished : StreamEnd::Broken;
            break;
        }
        const QPointer<TcpStream> guard(q);
        if (!bytes.empty()) {
            Q_EMIT q->received(bytes);
        }
        if (guard != nullptr && streamEnd) {
            end(*streamEnd);
        }
    }

    void queueEnd()
    {
        QMetaObject::invokeMethod(
            q,
            [this] {
                end(StreamEnd::Broken);
            },
            Qt::QueuedConnection);
    }

    void end(StreamEnd streamEnd)
    {
        close();
        if (!m_isEnded) {
            m_isEnded = true;
            Q_EMIT q->ended(streamEnd);
        }
    }

    void close()
    {
        if (m_descriptor < 0) {
            return;
        }
        m_readNotifier->setEnabled(false);
        m_writeNotifier->setEnabled(false);
        // A notifier may be on the call stack, so the event loop deletes it.
        m_readNotifier.release()->deleteLater();
        m_writeNotifier.release()->deleteLater();
        ::close(m_descriptor);
        m_descriptor = -1;
    }

    TcpStream *q;
    int m_descriptor = -1;
    std::unique_ptr<QSocketNotifier> m_readNotifier;
    std::unique_ptr<QSocketNotifier> m_writeNotifier;
    std::string m_outgoing;
    std::size_t m_sentOffset = 0;
    bool m_isConnecting = false;
    bool m_isReadingPaused = false;
    bool m_isFinishing = false;
    bool m_isBroken = false; ///< Whether sending has failed.
    bool m_hasSentBytes = false;
    bool m_isEnded = false;
};

TcpStream::TcpStream(QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this))
{
}

TcpStream::~TcpStream() = default;

void TcpStream::connectTo(const Endpoint &endpoint)
{
    d->connectTo(endpoint);
}

void TcpStream::adoptSocket(qintptr descriptor)
{
    const int socketDescriptor = static_cast<int>(descriptor);
    setSocketOptions(socketDescriptor);
    d->createNotifiers(socketDescriptor);
    d->m_readNotifier->setEnabled(true);
}

void TcpStream::write(std::string bytes)
{
    if (unsentBytes() > 0) {
        d->m_outgoing.append(bytes);
        return;
    }
    d->m_outgoing = std::move(bytes);
    d->m_sentOffset = 0;
    d->flush();
}

void TcpStream::finishWriting()
{
    d->m_isFinishing = true;
    d->flush();
}

void TcpStream::setReadingPaused(bool isPaused)
{
    d->m_isReadingPaused = isPaused;
    if (d->m_readNotifier != nullptr && !d->m_isConnecting) {
        d->m_readNotifier->setEnabled(!isPaused);
    }
}

void TcpStream::readArrived()
{
    if (isOpen() && !d->m_isReadingPaused) {
        d->receive();
    }
}

void TcpStream::close()
{
    d->m_isEnded = true;
    d->close();
}

bool TcpStream::isOpen() const
{
    return d->m_descriptor >= 0 && !d->m_isConnecting;
}

bool TcpStream::hasSentBytes() const
{
    return d->m_hasSentBytes;
}

std::size_t TcpStream::unsentBytes() const
{
    return d->m_outgoing.size() - d->m_sentOffset;
}

std::size_t TcpStream::unacknowledgedBytes() const
{
    int bytes = 0;
    const bool isKnown = d->m_descriptor >= 0 && ::ioctl(d->m_descriptor, SIOCOUTQ, &bytes) == 0;
    return unsentBytes() + (isKnown && bytes > 0 ? static_cast<std::size_t>(bytes) : 0);
}

std::size_t TcpStream::waitingBytes() const
{
    int bytes = 0;
    const bool isKnown = d->m_descriptor >= 0 && ::ioctl(d->m_descriptor, FIONREAD, &bytes) == 0;
    return isKnown && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

}
