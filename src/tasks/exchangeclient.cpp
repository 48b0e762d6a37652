#include "tasks/exchangeclient.h"

#include "observability/metrics.h"
#include "rpc/mailbox.h"
#include "rpc/membershipmessages.h"

#include "membership.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <future>
#include <map>

namespace Plantainweir {
namespace {

constexpr std::chrono::seconds CallTimeout{3};
constexpr int MaximumReplyBytes = 4 * 1024 * 1024;

/** Lets calls of all types be kept together. */
struct OpenCall {
    virtual ~OpenCall() = default;
};

/** A call and the objects that gRPC uses until it ends. */
template<typename Request, typename Reply>
struct Call : OpenCall {
    std::unique_ptr<MembershipProtocol::Exchange::Stub> stub;
    grpc::ClientContext context;
    Request request;
    Reply reply;
};

/** Only the client owns a call: a gRPC thread that released it would destroy the channel whose queue it serves. */
struct StartedCall {
    std::unique_ptr<OpenCall> call;
    grpc::ClientContext *context = nullptr; ///< Of the call.
    std::shared_ptr<std::promise<void>> done; ///< Fulfilled when gRPC is done with the call.
};

std::unique_ptr<MembershipProtocol::Exchange::Stub> connectTo(const Endpoint &peer)
{
    grpc::ChannelArguments arguments;
    // Each call has its own subchannels. Shared ones would stay in reconnect backoff after a failure.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetMaxReceiveMessageSize(MaximumReplyBytes);
    return MembershipProtocol::Exchange::NewStub(grpc::CreateCustomChannel(toString(peer), grpc::InsecureChannelCredentials(), arguments));
}

}

class ExchangeClient::Private
{
public:
    Private(ExchangeClient *client, Metrics &metrics)
        : m_mailbox(client)
        , m_metrics(metrics)
    {
    }

    ~Private()
    {
        for (const auto &[id, open] : m_calls) {
            open.context->TryCancel();
        }
        for (const auto &[id, open] : m_calls) {
            open.done->get_future().wait();
        }
    }

    /**
     * Starts a call: @p start passes it to the stub, and @p finish receives the reply, or null after a failure, in the
     * event loop.
     */
    template<typename Request, typename Reply, typename Start, typename Finish>
    void run(const Endpoint &peer, const Request &request, Start start, Finish finish)
    {
        auto owned = std::make_unique<Call<Request, Reply>>();
        Call<Request, Reply> *call = owned.get();
        call->stub = connectTo(peer);
        call->context.set_deadline(std::chrono::system_clock::now() + CallTimeout);
        call->request = request;
        countBytes("sent", request.ByteSizeLong());
        m_metrics.addToCounter("plantainweir_exchange_calls_total", "Exchanges asked of other members.");
        const std::uint64_t id = ++m_lastCall;
        const auto done = std::make_shared<std::promise<void>>();
        m_calls.emplace(id, StartedCall{.call = std::move(owned), .context = &call->context, .done = done});
        start(*call, [this, call, id, done, finish, mailbox = m_mailbox](const grpc::Status &status) {
            mailbox.post([this, call, id, finish, isOk = status.ok()] {
                const auto ended = m_calls.extract(id);
                countBytes("received", isOk ? call->reply.ByteSizeLong() : 0);
                finish(isOk ? &call->reply : nullptr);
            });
            done->set_value();
        });
    }

    void countBytes(const std::string &direction, std::size_t bytes)
    {
        m_metrics.addToCounter(
            "plantainweir_exchange_" + direction + "_bytes_total", "Bytes of exchange messages " + direction + ".", {}, static_cast<double>(bytes));
    }

    Mailbox m_mailbox;
    Metrics &m_metrics;
    std::uint64_t m_lastCall = 0;
    std::map<std::uint64_t, StartedCall> m_calls; ///< Until gRPC has reported their end.
};

ExchangeClient::ExchangeClient(Metrics &metrics, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, metrics))
{
}

ExchangeClient::~ExchangeClient() = default;

void ExchangeClient::compareMembers(const Endpoint &peer, const BucketDigests &digests, const std::string &availabilityZone)
{
    using Reply = MembershipProtocol::CompareMembersReply;
    MembershipProtocol::CompareRequest request = toMessage(digests);
    request.set_availability_zone(availabilityZone);
    d->run<MembershipProtocol::CompareRequest, Reply>(
        peer,
        request,
        [](auto &call, auto done) {
            call.stub->async()->CompareMembers(&call.context, &call.request, &call.reply, std::move(done));
        },
        [this, peer](const Reply *reply) {
            if (reply == nullptr) {
                Q_EMIT membersCompared(peer, std::nullopt);
                return;
            }
            std::vector<MemberRecord> records;
            for (const auto &row : reply->records()) {
                if (const auto record = fromMessage(row)) {
                    records.push_back(*record);
                }
            }
            Q_EMIT membersCompared(peer, records);
        });
}

void ExchangeClient::compareObjects(const Endpoint &peer, const BucketDigests &digests)
{
    using Reply = MembershipProtocol::CompareObjectsReply;
    d->run<MembershipProtocol::CompareRequest, Reply>(
        peer,
        toMessage(digests),
        [](auto &call, auto done) {
            call.stub->async()->CompareObjects(&call.context, &call.request, &call.reply, std::move(done));
        },
        [this, peer](const Reply *reply) {
            Q_EMIT objectsCompared(peer, reply == nullptr ? std::nullopt : std::optional(fromMessage(*reply)));
        });
}

void ExchangeClient::pullObjects(const Endpoint &peer, const std::vector<std::string> &keys)
{
    using Reply = MembershipProtocol::PullReply;
    MembershipProtocol::PullRequest request;
    for (const std::string &key : keys) {
        request.add_keys(key);
    }
    d->run<MembershipProtocol::PullRequest, Reply>(
        peer,
        request,
        [](auto &call, auto done) {
            call.stub->async()->Pull(&call.context, &call.request, &call.reply, std::move(done));
        },
        [this, peer, keys](const Reply *reply) {
            Q_EMIT objectsPulled(peer, keys, reply == nullptr ? std::nullopt : std::optional(fromMessage(*reply)));
        });
}

}
