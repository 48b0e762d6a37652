#include "tasks/exchangeserver.h"

#include "observability/metrics.h"
#include "rpc/membershipmessages.h"

#include "membership.grpc.pb.h"

#include <QCoreApplication>

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <map>
#include <vector>

namespace Plantainweir {
namespace {

constexpr std::size_t MaximumPendingCalls = 256;
/** Largest request; one for objects has at most 32 keys. */
constexpr int MaximumRequestBytes = 16 * 1024;
/** Members have one call open on a connection. */
constexpr int MaximumCallsPerConnection = 64;
/** Time in which a connection must have sent its preface and settings (RFC 9113, section 3.4). */
constexpr std::chrono::milliseconds HandshakeTimeout{5000};

/** A request that waits for its answer: the reply to be filled in and the reactor to be finished. */
struct PendingCall {
    grpc::ServerUnaryReactor *reactor = nullptr;
    google::protobuf::Message *reply = nullptr;
};

}

class ExchangeServer::Private : public QObject, public MembershipProtocol::Exchange::CallbackService
{
public:
    Private(ExchangeServer *server, Metrics &metrics)
        : q(server)
        , m_metrics(metrics)
    {
    }

    ~Private() override
    {
        if (m_server == nullptr) {
            return;
        }
        m_isClosing = true;
        QCoreApplication::sendPostedEvents(this);
        for (const auto &[id, call] : m_calls) {
            call.reactor->Finish(unavailable());
        }
        m_server->Shutdown(std::chrono::system_clock::now());
        m_server->Wait();
    }

    static grpc::Status unavailable()
    {
        return {grpc::StatusCode::UNAVAILABLE, "the member is shutting down or has too many pending calls"};
    }

    // These are called on gRPC threads. gRPC keeps the request and the reply until the reactor is finished.
    grpc::ServerUnaryReactor *CompareMembers(grpc::CallbackServerContext *context,
                                             const MembershipProtocol::CompareRequest *request,
                                             MembershipProtocol::CompareMembersReply *reply) override
    {
        return post(context, *request, reply, [this](ExchangeCallId id, const MembershipProtocol::CompareRequest &message) {
            const auto digests = fromMessage(message);
            return digests ? (Q_EMIT q->membersRequested(id, *digests, message.availability_zone()), true) : false;
        });
    }

    grpc::ServerUnaryReactor *CompareObjects(grpc::CallbackServerContext *context,
                                             const MembershipProtocol::CompareRequest *request,
                                             MembershipProtocol::CompareObjectsReply *reply) override
    {
        return post(context, *request, reply, [this](ExchangeCallId id, const MembershipProtocol::CompareRequest &message) {
            const auto digests = fromMessage(message);
            return digests ? (Q_EMIT q->versionsRequested(id, *digests), true) : false;
        });
    }

    grpc::ServerUnaryReactor *
    Pull(grpc::CallbackServerContext *context, const MembershipProtocol::PullRequest *request, MembershipProtocol::PullReply *reply) override
    {
        return post(context, *request, reply, [this](ExchangeCallId id, const MembershipProtocol::PullRequest &message) {
            Q_EMIT q->objectsRequested(id, {message.keys().begin(), message.keys().end()});
            return true;
        });
    }

    /**
     * Posts a call to the event loop. @p handle emits the signal of the request, or returns false if the request is
     * malformed.
     */
    template<typename Request, typename Handle>
    grpc::ServerUnaryReactor *post(grpc::CallbackServerContext *context, const Request &request, google::protobuf::Message *reply, Handle handle)
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        if (m_isClosing) {
            reactor->Finish(unavailable());
            return reactor;
        }
        QMetaObject::invokeMethod(
            this,
            [this, reactor, reply, &request, handle] {
                registerCall({reactor, reply}, request, handle);
            },
            Qt::QueuedConnection);
        return reactor;
    }

    template<typename Request, typename Handle>
    void registerCall(const PendingCall &call, const Request &request, Handle handle)
    {
        if (m_calls.size() >= MaximumPendingCalls) {
            call.reactor->Finish(unavailable());
            return;
        }
        const ExchangeCallId id = ++m_lastCall;
        m_calls.emplace(id, call);
        m_metrics.addToCounter(
            "plantainweir_exchange_received_bytes_total", "Bytes of exchange messages received.", {}, static_cast<double>(request.ByteSizeLong()));
        if (!handle(id, request)) {
            m_calls.erase(id);
            call.reactor->Finish({grpc::StatusCode::INVALID_ARGUMENT, "the request is malformed"});
        }
    }

    template<typename Message>
    void answer(ExchangeCallId id, const Message &message)
    {
        const auto found = m_calls.find(id);
        if (found == m_calls.end()) {
            return;
        }
        const PendingCall call = found->second;
        m_calls.erase(found);
        call.reply->CopyFrom(message);
        m_metrics.addToCounter("plantainweir_exchange_sent_bytes_total", "Bytes of exchange messages sent.", {}, static_cast<double>(message.ByteSizeLong()));
        m_metrics.addToCounter("plantainweir_exchange_served_total", "Exchanges served.");
        call.reactor->Finish(grpc::Status::OK);
    }

    ExchangeServer *q;
    Metrics &m_metrics;
    std::atomic<bool> m_isClosing = false; ///< Read on gRPC threads.
    ExchangeCallId m_lastCall = 0;
    std::map<ExchangeCallId, PendingCall> m_calls;
    std::vector<grpc::Service *> m_furtherServices;
    std::unique_ptr<grpc::Server> m_server;
};

ExchangeServer::ExchangeServer(Metrics &metrics, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, metrics))
{
}

ExchangeServer::~ExchangeServer() = default;

void ExchangeServer::addService(grpc::Service *service)
{
    d->m_furtherServices.push_back(service);
}

bool ExchangeServer::listen(const Endpoint &endpoint)
{
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(toString(endpoint), grpc::InsecureServerCredentials(), &port);
    builder.SetMaxReceiveMessageSize(MaximumRequestBytes);
    builder.AddChannelArgument(GRPC_ARG_MAX_CONCURRENT_STREAMS, MaximumCallsPerConnection);
    builder.AddChannelArgument(GRPC_ARG_SERVER_HANDSHAKE_TIMEOUT_MS, static_cast<int>(HandshakeTimeout.count()));
    builder.RegisterService(d.get());
    for (grpc::Service *service : d->m_furtherServices) {
        builder.RegisterService(service);
    }
    d->m_server = builder.BuildAndStart();
    return d->m_server != nullptr && port != 0;
}

void ExchangeServer::replyWithMembers(ExchangeCallId call, const std::vector<MemberRecord> &records)
{
    MembershipProtocol::CompareMembersReply reply;
    for (const MemberRecord &record : records) {
        *reply.add_records() = toMessage(record);
    }
    d->answer(call, reply);
}

void ExchangeServer::replyWithVersions(ExchangeCallId call, const VersionList &list)
{
    d->answer(call, toMessage(list));
}

void ExchangeServer::replyWithObjects(ExchangeCallId call, const ObjectSet &objects)
{
    d->answer(call, toMessage(objects));
}

}
