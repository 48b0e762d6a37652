#include "tasks/controlclient.h"

#include "control.grpc.pb.h"
#include "rpc/controlmessages.h"
#include "rpc/mailbox.h"
#include "rpc/routingmessages.h"

#include <QTimer>
#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <functional>
#include <future>

namespace Plantainweir {
namespace {

namespace wire = plantainweir::control::v1;

constexpr std::chrono::milliseconds InitialReconnectDelay{100};
constexpr std::chrono::milliseconds MaximumReconnectDelay{2000};
constexpr int MaximumDelayDoublings = 5;
constexpr std::chrono::milliseconds HeartbeatPeriod{1000};

/** What a stream tells its link; both run in the link's thread. */
struct StreamHandlers {
    std::function<void(const wire::ControlUpdate &)> onUpdate;
    std::function<void()> onWritten;
    std::function<void()> onDone;
};

/**
 * One stream to controld. Its reactions run on gRPC's threads and only post; it keeps itself alive until gRPC is done
 * with it. At most one write is on its way at a time, which the link sees to.
 */
class ControlStream final : public grpc::ClientBidiReactor<wire::EntryState, wire::ControlUpdate>
{
public:
    ControlStream(Mailbox mailbox, StreamHandlers handlers)
        : m_mailbox(std::move(mailbox))
        , m_handlers(std::move(handlers))
    {
    }

    static std::shared_ptr<ControlStream> open(wire::Control::Stub &stub, Mailbox mailbox, StreamHandlers handlers)
    {
        auto stream = std::make_shared<ControlStream>(std::move(mailbox), std::move(handlers));
        stream->m_self = stream;
        stub.async()->Subscribe(&stream->m_context, stream.get());
        stream->StartRead(&stream->m_update);
        stream->AddHold();
        stream->StartCall();
        return stream;
    }

    void write(const wire::EntryState &state)
    {
        m_state = state;
        StartWrite(&m_state);
    }

    /** Ends the stream; onDone follows. Must be called once. */
    void close()
    {
        m_context.TryCancel();
        RemoveHold();
    }

    void OnReadDone(bool isOk) override
    {
        if (!isOk) {
            m_mailbox.post(m_handlers.onDone);
            return;
        }
        m_mailbox.post([handler = m_handlers.onUpdate, update = m_update] {
            handler(update);
        });
        StartRead(&m_update);
    }

    void OnWriteDone(bool isOk) override
    {
        if (isOk) {
            m_mailbox.post(m_handlers.onWritten);
        }
    }

    /**
     * Waits until gRPC is done with the stream, after close(). The caller must hold a reference: gRPC's thread shall not
     * drop the last one, and with it the channel whose queue it serves.
     */
    void waitUntilDone()
    {
        m_done->get_future().wait();
    }

    void OnDone(const grpc::Status &) override
    {
        const auto done = m_done;
        m_self.reset();
        done->set_value();
    }

private:
    Mailbox m_mailbox;
    StreamHandlers m_handlers;
    grpc::ClientContext m_context;
    wire::ControlUpdate m_update;
    wire::EntryState m_state;
    std::shared_ptr<ControlStream> m_self;
    std::shared_ptr<std::promise<void>> m_done = std::make_shared<std::promise<void>>();
};

}

class ControlClient::Private : public QObject
{
public:
    Private(ControlClient *link, const Endpoint &control)
        : q(link)
        , m_mailbox(link)
        , m_channel(grpc::CreateChannel(toString(control), grpc::InsecureChannelCredentials()))
        , m_stub(wire::Control::NewStub(m_channel))
    {
        m_reconnectTimer.setSingleShot(true);
        connect(&m_reconnectTimer, &QTimer::timeout, this, &Private::open);
        connect(&m_heartbeatTimer, &QTimer::timeout, this, [this] {
            m_hasUnsentState = true;
            writeState();
        });
        m_heartbeatTimer.start(HeartbeatPeriod);
    }

    void open()
    {
        const std::uint64_t generation = ++m_generation;
        const auto ifCurrent = [this, generation](auto handler) {
            return [this, generation, handler](const auto &...arguments) {
                if (generation == m_generation) {
                    (this->*handler)(arguments...);
                }
            };
        };
        m_stream = ControlStream::open(*m_stub,
                                       m_mailbox,
                                       {
                                           .onUpdate = ifCurrent(&Private::handleUpdate),
                                           .onWritten = ifCurrent(&Private::handleWritten),
                                           .onDone = ifCurrent(&Private::handleDone),
                                       });
        m_isWriting = false;
        m_hasUnsentState = true;
        writeState();
    }

    void writeState()
    {
        if (!m_stream || m_isWriting || !m_hasUnsentState) {
            return;
        }
        m_isWriting = true;
        m_hasUnsentState = false;
        m_stream->write(toMessage(m_state));
    }

    void handleUpdate(const wire::ControlUpdate &message)
    {
        m_failedStreams = 0;
        setConnected(true);
        int malformedParts = 0;
        Q_EMIT q->updated(fromMessage(message, malformedParts));
    }

    void handleWritten()
    {
        m_isWriting = false;
        writeState();
    }

    void handleDone()
    {
        m_stream->close();
        m_stream.reset();
        setConnected(false);
        m_reconnectTimer.start(std::min(InitialReconnectDelay * (1 << m_failedStreams), MaximumReconnectDelay));
        m_failedStreams = std::min(m_failedStreams + 1, MaximumDelayDoublings);
    }

    void setConnected(bool isConnected)
    {
        if (m_isConnected == isConnected) {
            return;
        }
        m_isConnected = isConnected;
        Q_EMIT q->connectedChanged(isConnected);
    }

    ControlClient *q;
    Mailbox m_mailbox;
    std::shared_ptr<grpc::Channel> m_channel;
    std::unique_ptr<wire::Control::Stub> m_stub;
    std::shared_ptr<ControlStream> m_stream;
    EntryState m_state;
    std::uint64_t m_generation = 0;
    bool m_isWriting = false;
    bool m_hasUnsentState = false;
    bool m_isConnected = false;
    int m_failedStreams = 0; ///< Since the last update.
    QTimer m_reconnectTimer;
    QTimer m_heartbeatTimer;
};

ControlClient::ControlClient(const Endpoint &control, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, control))
{
}

ControlClient::~ControlClient()
{
    if (d->m_stream) {
        d->m_stream->close();
        d->m_stream->waitUntilDone();
    }
}

void ControlClient::start()
{
    d->open();
}

void ControlClient::report(const EntryState &state)
{
    // Each update is followed by a report, and a report may cause an update: only news may pass.
    if (state == d->m_state) {
        return;
    }
    d->m_state = state;
    d->m_hasUnsentState = true;
    d->writeState();
}

}
