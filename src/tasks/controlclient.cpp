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

/** Handlers of the events of a stream; they run on the client's thread. */
struct StreamHandlers {
    std::function<void(const wire::ControlUpdate &)> onUpdate;
    std::function<void()> onWritten;
    std::function<void()> onDone;
};

/**
 * One stream to controld. Its callbacks run on gRPC threads and only post to the client's thread. It keeps itself alive
 * until gRPC is done with it. The client must have at most one write in flight.
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
     * Waits until gRPC is done with the stream; close() must have been called. The caller must hold a reference: a gRPC
     * thread that released the last one would destroy the channel whose queue it serves.
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
    Private(ControlClient *client, const Endpoint &control)
        : q(client)
        , m_mailbox(client)
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
        const std::uint64_t generation = ++m_streamGeneration;
        const auto ifCurrent = [this, generation](auto handler) {
            return [this, generation, handler](const auto &...arguments) {
                if (generation == m_streamGeneration) {
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
    std::uint64_t m_streamGeneration = 0;
    bool m_isWriting = false;
    bool m_hasUnsentState = false;
    bool m_isConnected = false;
    int m_failedStreams = 0; ///< Streams lost since the last update was received.
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
    // Only changes are sent: each update causes a report and a report may cause an update, which would otherwise never
    // end.
    if (state == d->m_state) {
        return;
    }
    d->m_state = state;
    d->m_hasUnsentState = true;
    d->writeState();
}

}
