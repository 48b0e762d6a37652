#include "tasks/peerport.h"

#include "observability/logevents.h"
#include "peer.grpc.pb.h"
#include "rpc/mailbox.h"
#include "rpc/peermessages.h"

#include <grpcpp/grpcpp.h>

#include <future>
#include <map>
#include <unordered_map>

namespace Plantainweir {
namespace {

namespace wire = plantainweir::peer::v1;

constexpr std::chrono::milliseconds InitialReconnectBackoff{200};
constexpr std::chrono::milliseconds MaximumReconnectBackoff{2000};
/**
 * Added to a call's deadline for the transit of the reply, since the other entry VM may reply at the deadline itself.
 */
constexpr std::chrono::milliseconds ReplyTransitMargin{250};
/** Deadline of a load report; a later one is of no use. */
constexpr std::chrono::milliseconds LoadReportTimeout{100};

/** A received call that waits for its reply. gRPC keeps the reply until the reactor is finished. */
struct OpenCall {
    wire::ForwardReply *reply = nullptr;
    grpc::ServerUnaryReactor *reactor = nullptr;
};

/** Fulfilled when gRPC is done with a call; the destructor of the port waits for it. */
using Done = std::shared_ptr<std::promise<void>>;

/**
 * A forwarded call in flight, kept until gRPC reports its end. Only the port owns it: a gRPC thread that released the
 * context would destroy the channel whose queue it serves.
 */
struct OpenForward {
    bool isCancelled = false;
    Done done = std::make_shared<std::promise<void>>();
    grpc::ClientContext context;
    wire::ForwardRequest request;
    wire::ForwardReply reply;
};

/** A load report in flight, kept until gRPC reports its end. */
struct OpenLoadReport {
    Done done = std::make_shared<std::promise<void>>();
    grpc::ClientContext context;
    wire::LoadReport report;
    wire::LoadReportReceived received;
};

/** Handlers of received messages; both run on the port's thread. */
struct ServiceHandlers {
    std::function<void(const wire::ForwardRequest &, OpenCall)> onForward;
    std::function<void(const wire::LoadReport &)> onLoadReport;
};

/** gRPC service of the port. Its functions run on gRPC threads and only post to the port's thread. */
class PeerService final : public wire::Peer::CallbackService
{
public:
    PeerService(Mailbox mailbox, ServiceHandlers handlers)
        : m_mailbox(std::move(mailbox))
        , m_handlers(std::move(handlers))
    {
    }

    grpc::ServerUnaryReactor *Forward(grpc::CallbackServerContext *context, const wire::ForwardRequest *request, wire::ForwardReply *reply) override
    {
        auto *reactor = context->DefaultReactor();
        m_mailbox.post([this, message = *request, call = OpenCall{.reply = reply, .reactor = reactor}] {
            m_handlers.onForward(message, call);
        });
        return reactor;
    }

    grpc::ServerUnaryReactor *ReportLoad(grpc::CallbackServerContext *context, const wire::LoadReport *report, wire::LoadReportReceived *) override
    {
        m_mailbox.post([this, message = *report] {
            m_handlers.onLoadReport(message);
        });
        auto *reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

private:
    Mailbox m_mailbox;
    ServiceHandlers m_handlers;
};

/** Cancels all calls and returns when gRPC is done with them. */
template<typename Calls>
void cancelAndWait(const Calls &calls)
{
    for (const auto &[id, open] : calls) {
        open->context.TryCancel();
    }
    for (const auto &[id, open] : calls) {
        open->done->get_future().wait();
    }
}

std::shared_ptr<grpc::Channel> openChannel(const Endpoint &endpoint)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, static_cast<int>(InitialReconnectBackoff.count()));
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, static_cast<int>(MaximumReconnectBackoff.count()));
    return grpc::CreateCustomChannel(toString(endpoint), grpc::InsecureChannelCredentials(), arguments);
}

}

class PeerPort::Private
{
public:
    Private(PeerPort *port, const std::string &name)
        : q(port)
        , m_name(name)
        , m_mailbox(port)
        , m_service(m_mailbox, makeHandlers())
    {
    }

    ServiceHandlers makeHandlers()
    {
        return {
            .onForward =
                [this](const wire::ForwardRequest &message, OpenCall call) {
                    handleForward(message, call);
                },
            .onLoadReport =
                [this](const wire::LoadReport &message) {
                    Q_EMIT q->loadReportReceived(fromMessage(message));
                },
        };
    }

    void handleForward(const wire::ForwardRequest &message, OpenCall call)
    {
        auto forwarded = fromMessage(message, Clock::now());
        if (!forwarded) {
            call.reactor->Finish({grpc::StatusCode::INVALID_ARGUMENT, "the origin of the forwarded call is invalid"});
            return;
        }
        const std::uint64_t exchange = ++m_lastExchange;
        m_openCalls.emplace(exchange, call);
        Q_EMIT q->callReceived({
            .token = {.port = CallPort::Peer, .exchange = exchange},
            .request = std::move(forwarded->request),
            .message = std::make_shared<const RequestMessage>(std::move(forwarded->message)),
        });
    }

    std::shared_ptr<grpc::Channel> channelTo(const Endpoint &endpoint)
    {
        auto &channel = m_channels[endpoint];
        if (!channel) {
            channel = openChannel(endpoint);
        }
        return channel;
    }

    void finishForward(std::uint64_t id, const grpc::Status &status)
    {
        const auto open = std::move(m_openForwards.extract(id).mapped());
        if (open->isCancelled) {
            return;
        }
        const auto reply = status.ok() ? fromMessage(open->reply, Clock::now()) : std::nullopt;
        if (status.ok() && !reply) {
            logEvent(LogEvent::MalformedResponse, {{"endpoint", open->context.peer()}, {"request", id}, {"reason", "malformed"}});
        }
        Q_EMIT q->forwardFinished({
            .id = id,
            .outcome = reply ? ForwardOutcome::Replied : ForwardOutcome::ConnectionLost,
            .reply = reply.value_or(CallReply{}),
        });
    }

    PeerPort *q;
    std::string m_name;
    Mailbox m_mailbox;
    PeerService m_service;
    std::unique_ptr<grpc::Server> m_server;
    int m_port = 0;
    std::uint64_t m_lastExchange = 0;
    std::unordered_map<std::uint64_t, OpenCall> m_openCalls;
    std::unordered_map<std::uint64_t, std::unique_ptr<OpenForward>> m_openForwards;
    std::uint64_t m_lastLoadReport = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<OpenLoadReport>> m_openLoadReports;
    std::map<Endpoint, std::shared_ptr<grpc::Channel>> m_channels;
};

PeerPort::PeerPort(const std::string &name, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, name))
{
}

PeerPort::~PeerPort()
{
    cancelAndWait(d->m_openForwards);
    cancelAndWait(d->m_openLoadReports);
    for (const auto &[exchange, call] : d->m_openCalls) {
        call.reactor->Finish(grpc::Status::CANCELLED);
    }
    if (d->m_server) {
        d->m_server->Shutdown(std::chrono::system_clock::now());
    }
}

bool PeerPort::listen(const Endpoint &endpoint)
{
    grpc::ServerBuilder builder;
    builder.AddListeningPort(toString(endpoint), grpc::InsecureServerCredentials(), &d->m_port);
    builder.RegisterService(&d->m_service);
    d->m_server = builder.BuildAndStart();
    return d->m_server != nullptr && d->m_port != 0;
}

quint16 PeerPort::port() const
{
    return static_cast<quint16>(d->m_port);
}

void PeerPort::reply(const CallToken &token, const CallReply &reply)
{
    const auto found = token.port == CallPort::Peer ? d->m_openCalls.find(token.exchange) : d->m_openCalls.end();
    if (found == d->m_openCalls.end()) {
        return;
    }
    const OpenCall call = found->second;
    d->m_openCalls.erase(found);
    *call.reply = toMessage(reply, Clock::now());
    call.reactor->Finish(grpc::Status::OK);
}

void PeerPort::forward(const OutgoingForward &forward)
{
    const auto channel = d->channelTo(forward.endpoint);
    const bool isBroken = channel->GetState(true) == GRPC_CHANNEL_TRANSIENT_FAILURE;
    if (isBroken) {
        d->m_mailbox.post([this, id = forward.id] {
            Q_EMIT forwardFinished({.id = id, .outcome = ForwardOutcome::NotSent, .reply = {}});
        });
        return;
    }
    const TimePoint now = Clock::now();
    const TimePoint deadline = forward.request.deadline.value_or(now);
    OpenForward *open = d->m_openForwards.emplace(forward.id, std::make_unique<OpenForward>()).first->second.get();
    open->request = toMessage(forward.request, *forward.message, now);
    open->request.set_sender(d->m_name);
    open->context.set_deadline(std::chrono::system_clock::now()
                               + std::chrono::duration_cast<std::chrono::system_clock::duration>(deadline - now + ReplyTransitMargin));
    auto stub = wire::Peer::NewStub(channel);
    const auto onDone = [mailbox = d->m_mailbox, this, done = open->done, id = forward.id](const grpc::Status &status) {
        mailbox.post([this, id, status] {
            d->finishForward(id, status);
        });
        done->set_value();
    };
    stub->async()->Forward(&open->context, &open->request, &open->reply, onDone);
}

void PeerPort::cancel(std::uint64_t id)
{
    const auto found = d->m_openForwards.find(id);
    if (found == d->m_openForwards.end()) {
        return;
    }
    // finishForward() erases the call once gRPC reports its end.
    found->second->isCancelled = true;
    found->second->context.TryCancel();
}

void PeerPort::sendLoadReport(const OutgoingLoadReport &load)
{
    const std::uint64_t id = ++d->m_lastLoadReport;
    OpenLoadReport *open = d->m_openLoadReports.emplace(id, std::make_unique<OpenLoadReport>()).first->second.get();
    open->report = toMessage(load.load);
    open->report.set_sender(d->m_name);
    open->context.set_deadline(std::chrono::system_clock::now() + LoadReportTimeout);
    auto stub = wire::Peer::NewStub(d->channelTo(load.endpoint));
    const auto onDone = [mailbox = d->m_mailbox, this, done = open->done, id](const grpc::Status &) {
        mailbox.post([this, id] {
            d->m_openLoadReports.erase(id);
        });
        done->set_value();
    };
    stub->async()->ReportLoad(&open->context, &open->report, &open->received, onDone);
}

}
