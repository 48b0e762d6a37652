#include "soak/loopbackproxy.h"

#include "http/listener.h"
#include "http/tcpstream.h"

#include <QPointer>
#include <QTimer>

#include <set>

namespace Plantainweir {
namespace {

constexpr std::chrono::milliseconds ForwardingDelay{120};
constexpr std::chrono::milliseconds EndlessInterval{5};
constexpr std::size_t EndlessPartBytes = 65536;

/** One connection through the proxy. */
struct Link {
    TcpStream *caller = nullptr;
    TcpStream *server = nullptr;
    bool isForwardDropped = false;
    bool isBackwardDropped = false;
    bool isEndless = false; ///< Whether bytes without end take the place of the responses.
};

}

class LoopbackProxy::Private : public QObject
{
public:
    explicit Private(const Endpoint &target)
        : m_target(target)
    {
        connect(&m_listener, &Listener::accepted, this, &Private::accept);
        m_listener.listen({.address = "127.0.0.1", .port = 0});
    }

    void accept(qintptr descriptor)
    {
        auto *link = new Link{.caller = new TcpStream(this), .server = new TcpStream(this)};
        m_links.insert(link);
        link->caller->adoptSocket(descriptor);
        if (m_fault == LinkFault::Reset) {
            remove(link);
            return;
        }
        applyFault(*link);
        connect(link->caller, &TcpStream::received, this, [this, link](const std::string &bytes) {
            forward(link->isForwardDropped, link->server, bytes);
        });
        connect(link->server, &TcpStream::received, this, [this, link](const std::string &bytes) {
            forwardResponse(*link, bytes);
        });
        for (TcpStream *stream : {link->caller, link->server}) {
            connect(stream, &TcpStream::ended, this, [this, link] {
                handleEnded(link);
            });
        }
        link->server->connectTo(m_target);
    }

    /** Drops the directions of the current fault; a dropped direction stays so for the life of the connection. */
    void applyFault(Link &link) const
    {
        link.isForwardDropped = link.isForwardDropped || m_fault == LinkFault::Blackhole;
        link.isBackwardDropped = link.isBackwardDropped || m_fault == LinkFault::Blackhole || m_fault == LinkFault::OneWay;
    }

    void forward(bool isDropped, TcpStream *to, const std::string &bytes)
    {
        if (isDropped) {
            return;
        }
        if (m_fault != LinkFault::Delay) {
            to->write(bytes);
            return;
        }
        writeLater(to, bytes);
    }

    void forwardResponse(Link &link, const std::string &bytes)
    {
        // Answers to probes stay, so that calls are still sent.
        const bool isAnswer = bytes.find("X-Plantainweir-Response-Stamp") != std::string::npos;
        const bool isEndless = m_fault == LinkFault::EndlessBody || m_fault == LinkFault::EndlessHead;
        if (isEndless && isAnswer && !link.isBackwardDropped) {
            startEndless(link);
            return;
        }
        forward(link.isBackwardDropped, link.caller, bytes);
        if (m_fault == LinkFault::Repeat && !link.isBackwardDropped) {
            writeLater(link.caller, bytes);
        }
    }

    void writeLater(TcpStream *to, const std::string &bytes)
    {
        QTimer::singleShot(ForwardingDelay, this, [stream = QPointer<TcpStream>(to), bytes] {
            if (stream != nullptr && stream->isOpen()) {
                stream->write(bytes);
            }
        });
    }

    /** Sends bytes to the caller of @p link until it closes the connection. */
    void startEndless(Link &link)
    {
        link.isEndless = true;
        link.isBackwardDropped = true;
        link.caller->write(m_fault == LinkFault::EndlessBody ? "HTTP/1.1 200 OK\r\nX-Plantainweir-Response-Stamp: s\r\n\r\n" : "HTTP/1.1 200 OK\r\nX-Long: ");
        auto *timer = new QTimer(link.caller);
        connect(timer, &QTimer::timeout, link.caller, [stream = link.caller] {
            if (stream->isOpen() && stream->unsentBytes() < EndlessPartBytes) {
                stream->write(std::string(EndlessPartBytes, 'x'));
            }
        });
        timer->start(EndlessInterval);
    }

    void handleEnded(Link *link)
    {
        const bool isBlackholed = link->isForwardDropped || link->isBackwardDropped;
        if (!isBlackholed || link->isEndless) {
            remove(link);
        }
    }

    void remove(Link *link)
    {
        if (m_links.erase(link) == 0) {
            return;
        }
        for (TcpStream *stream : {link->caller, link->server}) {
            stream->disconnect(this);
            stream->close();
            stream->deleteLater();
        }
        delete link;
    }

    void setFault(LinkFault fault)
    {
        m_fault = fault;
        const std::set<Link *> links = m_links;
        for (Link *link : links) {
            if (fault == LinkFault::Reset) {
                remove(link);
            } else {
                applyFault(*link);
            }
        }
    }

    ~Private() override
    {
        const std::set<Link *> links = m_links;
        for (Link *link : links) {
            remove(link);
        }
    }

    Endpoint m_target;
    Listener m_listener;
    LinkFault m_fault = LinkFault::None;
    std::set<Link *> m_links;
};

LoopbackProxy::LoopbackProxy(const Endpoint &target, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(target))
{
}

LoopbackProxy::~LoopbackProxy() = default;

Endpoint LoopbackProxy::endpoint() const
{
    return {.address = "127.0.0.1", .port = d->m_listener.port()};
}

void LoopbackProxy::setFault(LinkFault fault)
{
    d->setFault(fault);
}

}
