#include "tasks/storefeedclient.h"

#include "core/suspendawareclock.h"
#include "observability/logevents.h"
#include "observability/metrics.h"
#include "rpc/mailbox.h"

#include "store.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <QTimer>

#include <functional>
#include <future>
#include <map>

namespace Plantainweir {
namespace {

/** A complete set of objects for the users' target of 8,200 upstreams takes about 1 MiB. */
constexpr int MaximumUpdateBytes = 16 * 1024 * 1024;

std::unique_ptr<StoreProtocol::StoreFeed::Stub> connectTo(const Endpoint &endpoint)
{
    grpc::ChannelArguments arguments;
    // Each feed has its own subchannels. Shared ones would stay in reconnect backoff after a failure.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetMaxReceiveMessageSize(MaximumUpdateBytes);
    return StoreProtocol::StoreFeed::NewStub(grpc::CreateCustomChannel(toString(endpoint), grpc::InsecureChannelCredentials(), arguments));
}

/** Handlers of the events of a feed; they run in the client's event loop. */
struct FeedHandlers {
    std::function<void(const StoreProtocol::FeedUpdate &)> onUpdate;
    std::function<void()> onWritten;
    std::function<void()> onEnd;
};

/**
 * One feed. Its callbacks run on gRPC threads and only post to the client's event loop. It keeps itself alive until gRPC
 * is done with it. The client must have at most one write in flight.
 */
class FeedStream final : public grpc::ClientBidiReactor<StoreProtocol::FollowRequest, StoreProtocol::FeedUpdate>
{
public:
    FeedStream(Mailbox mailbox, FeedHandlers handlers)
        : m_mailbox(std::move(mailbox))
        , m_handlers(std::move(handlers))
    {
    }

    static std::shared_ptr<FeedStream> open(const Endpoint &endpoint, const Mailbox &mailbox, FeedHandlers handlers)
    {
        auto stream = std::make_shared<FeedStream>(mailbox, std::move(handlers));
        stream->m_self = stream;
        stream->m_stub = connectTo(endpoint);
        stream->m_stub->async()->Follow(&stream->m_context, stream.get());
        stream->StartRead(&stream->m_update);
        stream->AddHold();
        stream->StartCall();
        return stream;
    }

    void write(const FeedRequest &request)
    {
        m_isWriting = true;
        m_request = toMessage(request);
        StartWrite(&m_request);
    }

    /** Ends the feed. Must be called once. */
    void close()
    {
        m_context.TryCancel();
        RemoveHold();
    }

    /**
     * Waits until gRPC is done with the stream; close() must have been called. The caller must hold a reference: a gRPC
     * thread that released the last one would destroy the channel whose queue it serves.
     */
    void waitUntilDone()
    {
        m_done->get_future().wait();
    }

    void OnReadDone(bool isOk) override
    {
        if (!isOk) {
            m_mailbox.post(m_handlers.onEnd);
            return;
        }
        m_mailbox.post([handler = m_handlers.onUpdate, update = std::make_shared<const StoreProtocol::FeedUpdate>(std::move(m_update))] {
            handler(*update);
        });
        // A message that is read into again keeps the memory of its largest content.
        m_update = {};
        StartRead(&m_update);
    }

    void OnWriteDone(bool isOk) override
    {
        if (isOk) {
            m_mailbox.post(m_handlers.onWritten);
        }
    }

    void OnDone(const grpc::Status &) override
    {
        const auto done = m_done;
        // The event loop releases this reference, for the reason given at waitUntilDone().
        m_mailbox.post([self = std::move(m_self)] {});
        done->set_value();
    }

    bool m_isWriting = false; ///< Used in the client's event loop only.

private:
    Mailbox m_mailbox;
    FeedHandlers m_handlers;
    grpc::ClientContext m_context;
    StoreProtocol::FollowRequest m_request;
    StoreProtocol::FeedUpdate m_update;
    std::unique_ptr<StoreProtocol::StoreFeed::Stub> m_stub;
    std::shared_ptr<FeedStream> m_self;
    std::shared_ptr<std::promise<void>> m_done = std::make_shared<std::promise<void>>();
};

}

class StoreFeedClient::Private : public QObject
{
public:
    Private(StoreFeedClient *client, Metrics &metrics, Duration requestPeriod)
        : q(client)
        , m_mailbox(client)
        , m_metrics(metrics)
    {
        connect(&m_requestTimer, &QTimer::timeout, this, &Private::sendRequests);
        m_requestTimer.start(std::chrono::duration_cast<std::chrono::milliseconds>(requestPeriod));
    }

    void open(const std::string &member, const Endpoint &endpoint, FeedRequest request)
    {
        const std::uint64_t generation = ++m_lastGeneration;
        // After close(), a feed may still deliver what it has posted.
        const auto ifCurrent = [this, member, generation](auto handler) {
            return [this, member, generation, handler](const auto &...arguments) {
                const auto found = m_feeds.find(member);
                if (found != m_feeds.end() && found->second.generation == generation) {
                    (this->*handler)(member, arguments...);
                }
            };
        };
        Feed &feed = m_feeds[member];
        feed.generation = generation;
        feed.sender = request.sender;
        feed.stream = FeedStream::open(endpoint,
                                       m_mailbox,
                                       {
                                           .onUpdate = ifCurrent(&Private::handleUpdate),
                                           .onWritten = ifCurrent(&Private::handleWritten),
                                           .onEnd = ifCurrent(&Private::handleEnd),
                                       });
        request.sentAt = suspendAwareNow();
        feed.stream->write(request);
    }

    /** Tells each reader the time, see FeedUpdate::echoedAt. */
    void sendRequests()
    {
        for (auto &[member, feed] : m_feeds) {
            if (!feed.stream->m_isWriting) {
                feed.stream->write({.sender = feed.sender, .sentAt = suspendAwareNow()});
            }
        }
    }

    void handleUpdate(const std::string &member, const StoreProtocol::FeedUpdate &message)
    {
        m_metrics.addToCounter(
            "plantainweir_store_feed_received_bytes_total", "Bytes of feed updates received.", {}, static_cast<double>(message.ByteSizeLong()));
        const auto update = fromMessage(message);
        if (!update) {
            logEvent(LogEvent::FeedMalformed, {{"member", member}});
            handleEnd(member);
            return;
        }
        Q_EMIT q->received(member, *update);
    }

    void handleWritten(const std::string &member)
    {
        m_feeds.at(member).stream->m_isWriting = false;
    }

    void handleEnd(const std::string &member)
    {
        close(member);
        Q_EMIT q->ended(member);
    }

    void close(const std::string &member)
    {
        const auto found = m_feeds.find(member);
        if (found != m_feeds.end()) {
            found->second.stream->close();
            m_feeds.erase(found);
        }
    }

    /** The feed from one member. */
    struct Feed {
        std::uint64_t generation = 0;
        std::string sender; ///< Name of this entry VM.
        std::shared_ptr<FeedStream> stream;
    };

    StoreFeedClient *q;
    Mailbox m_mailbox;
    Metrics &m_metrics;
    QTimer m_requestTimer;
    std::uint64_t m_lastGeneration = 0;
    std::map<std::string, Feed> m_feeds; ///< Open feeds, by member.
};

StoreFeedClient::StoreFeedClient(Metrics &metrics, Duration requestPeriod, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, metrics, requestPeriod))
{
}

StoreFeedClient::~StoreFeedClient()
{
    for (const auto &[member, feed] : d->m_feeds) {
        feed.stream->close();
    }
    for (const auto &[member, feed] : d->m_feeds) {
        feed.stream->waitUntilDone();
    }
}

void StoreFeedClient::open(const std::string &member, const Endpoint &endpoint, const FeedRequest &request)
{
    d->open(member, endpoint, request);
}

void StoreFeedClient::close(const std::string &member)
{
    d->close(member);
}

}
