#include "tasks/storefeedserver.h"

#include "observability/metrics.h"

#include "store.grpc.pb.h"

#include <QCoreApplication>

#include <grpcpp/grpcpp.h>

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <optional>

namespace Plantainweir {
namespace {

constexpr std::size_t MaximumFeeds = 1024;

/** Handlers of the events of a feed; they run in the task's event loop. */
struct FeedHandlers {
    std::function<void(FeedId, bool)> readDone;
    std::function<void(FeedId, bool)> writeDone;
    std::function<void(FeedId, bool)> done;
};

/** Returns a slice of @p bytes that keeps them alive. */
grpc::Slice sharedSlice(const EncodedFeedUpdate &bytes)
{
    using Holder = EncodedFeedUpdate;
    // gRPC only reads the bytes.
    return {const_cast<char *>(bytes->data()),
            bytes->size(),
            [](void *holder) {
                delete static_cast<Holder *>(holder);
            },
            new Holder(bytes)};
}

/** Returns the positions of a follower that has just opened a feed. */
FedPositions positionsOf(const FedRevisions &revisions)
{
    FedPositions positions;
    for (std::size_t index = 0; index < positions.size(); ++index) {
        positions.at(index).revision = revisions.at(index);
    }
    return positions;
}

/** Decodes a request; nothing is returned if it is malformed. */
std::optional<FeedRequest> decodeRequest(const grpc::ByteBuffer &bytes)
{
    grpc::Slice slice;
    StoreProtocol::FollowRequest message;
    const bool isParsed = bytes.DumpToSingleSlice(&slice).ok() && message.ParseFromArray(slice.begin(), static_cast<int>(slice.size()));
    return isParsed ? fromMessage(message) : std::nullopt;
}

/**
 * One open feed. Its callbacks run on gRPC threads and only post to the task, which calls all other functions. Messages are bytes,
 * so that feeds can share them.
 */
class FeedStream : public grpc::ServerBidiReactor<grpc::ByteBuffer, grpc::ByteBuffer>
{
public:
    FeedStream(FeedId id, QObject *task, const FeedHandlers &handlers)
        : m_id(id)
        , m_task(task)
        , m_handlers(handlers)
    {
    }

    void OnReadDone(bool isOk) override
    {
        post(m_handlers.readDone, isOk);
    }

    void OnWriteDone(bool isOk) override
    {
        post(m_handlers.writeDone, isOk);
    }

    void OnDone() override
    {
        post(m_handlers.done, true);
    }

    const grpc::ByteBuffer &request() const
    {
        return m_request;
    }

    void readNext()
    {
        StartRead(&m_request);
    }

    void write(const EncodedFeedUpdate &update)
    {
        m_isWriting = true;
        // Encoded messages that follow each other are one message, in which the last value of a field counts.
        StoreProtocol::FeedUpdate echo;
        echo.set_echoed_microseconds(m_echo);
        const std::array<grpc::Slice, 2> parts{sharedSlice(update), grpc::Slice(echo.SerializeAsString())};
        m_update = grpc::ByteBuffer(parts.data(), parts.size());
        StartWrite(&m_update);
    }

    void releaseWritten()
    {
        m_isWriting = false;
        m_update.Clear();
    }

    void finish(const grpc::Status &status)
    {
        if (!m_isFinished) {
            m_isFinished = true;
            Finish(status);
        }
    }

    bool canWrite() const
    {
        return m_known && !m_isWriting && !m_isFinished;
    }

    std::optional<FedPositions> m_known; ///< What the follower has, once it has said it.
    std::uint64_t m_echo = 0; ///< The newest time that the follower has sent.
    Duration m_outage{}; ///< To be reported with the next update.
    bool m_isUpdateDue = true;
    bool m_isWriting = false;
    bool m_isFinished = false;

private:
    void post(const std::function<void(FeedId, bool)> &handler, bool isOk)
    {
        QMetaObject::invokeMethod(
            m_task,
            [id = m_id, isOk, &handler] {
                handler(id, isOk);
            },
            Qt::QueuedConnection);
    }

    FeedId m_id;
    QObject *m_task;
    const FeedHandlers &m_handlers;
    grpc::ByteBuffer m_request;
    grpc::ByteBuffer m_update;
};

}

class StoreFeedServer::Private : public QObject, public StoreProtocol::StoreFeed::WithRawCallbackMethod_Follow<StoreProtocol::StoreFeed::Service>
{
public:
    Private(StoreFeedServer *server, Metrics &metrics)
        : q(server)
        , m_metrics(metrics)
    {
        m_handlers.readDone = [this](FeedId id, bool isOk) {
            handleRead(id, isOk);
        };
        m_handlers.writeDone = [this](FeedId id, bool isOk) {
            handleWritten(id, isOk);
        };
        m_handlers.done = [this](FeedId id, bool) {
            m_feeds.erase(id);
            reportFeeds();
        };
    }

    static grpc::Status unavailable()
    {
        return {grpc::StatusCode::UNAVAILABLE, "the entry VM is shutting down or has too many feeds"};
    }

    /** Called on a gRPC thread; posts the feed to the task. */
    grpc::ServerBidiReactor<grpc::ByteBuffer, grpc::ByteBuffer> *Follow(grpc::CallbackServerContext *) override
    {
        const FeedId id = ++m_lastFeed;
        auto *feed = new FeedStream(id, this, m_handlers);
        if (m_isClosing) {
            feed->finish(unavailable());
        }
        QMetaObject::invokeMethod(
            this,
            [this, id, feed] {
                addFeed(id, feed);
            },
            Qt::QueuedConnection);
        return feed;
    }

    void addFeed(FeedId id, FeedStream *feed)
    {
        m_feeds.emplace(id, feed);
        if (m_feeds.size() > MaximumFeeds || m_isClosing) {
            feed->finish(unavailable());
            return;
        }
        reportFeeds();
        feed->readNext();
    }

    FeedStream *find(FeedId id) const
    {
        const auto found = m_feeds.find(id);
        return found == m_feeds.end() ? nullptr : found->second.get();
    }

    void handleRead(FeedId id, bool isOk)
    {
        FeedStream *feed = find(id);
        if (feed == nullptr || feed->m_isFinished) {
            return;
        }
        const auto request = isOk ? decodeRequest(feed->request()) : std::nullopt;
        if (!request) {
            feed->finish(isOk ? grpc::Status(grpc::StatusCode::INVALID_ARGUMENT, "the request is malformed") : grpc::Status::OK);
            return;
        }
        feed->m_echo = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(request->sentAt.time_since_epoch()).count());
        if (!feed->m_known) {
            feed->m_known = positionsOf(request->revisions);
        }
        feed->readNext();
        requestUpdate(id, *feed);
    }

    void handleWritten(FeedId id, bool isOk)
    {
        FeedStream *feed = find(id);
        if (feed == nullptr) {
            return;
        }
        feed->releaseWritten();
        if (!isOk) {
            feed->finish(grpc::Status::OK);
            return;
        }
        requestUpdate(id, *feed);
    }

    void requestUpdate(FeedId id, FeedStream &feed)
    {
        if (feed.m_isUpdateDue && feed.canWrite()) {
            feed.m_isUpdateDue = false;
            Q_EMIT q->updateRequested(id, *feed.m_known, std::exchange(feed.m_outage, Duration(0)));
        }
    }

    void reportFeeds()
    {
        m_metrics.setGauge("plantainweir_store_feeds", "Open feeds to other entry VMs.", static_cast<double>(m_feeds.size()));
    }

    StoreFeedServer *q;
    Metrics &m_metrics;
    FeedHandlers m_handlers;
    std::atomic<FeedId> m_lastFeed = 0; ///< Incremented on gRPC threads.
    std::atomic<bool> m_isClosing = false; ///< Read on gRPC threads.
    std::map<FeedId, std::unique_ptr<FeedStream>> m_feeds;
};

StoreFeedServer::StoreFeedServer(Metrics &metrics, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, metrics))
{
}

StoreFeedServer::~StoreFeedServer() = default;

grpc::Service *StoreFeedServer::service()
{
    return d.get();
}

void StoreFeedServer::publish(Duration outage)
{
    for (const auto &[id, feed] : d->m_feeds) {
        feed->m_isUpdateDue = true;
        feed->m_outage = std::max(feed->m_outage, outage);
        d->requestUpdate(id, *feed);
    }
}

void StoreFeedServer::send(FeedId feed, const EncodedFeedUpdate &update, const FedPositions &known)
{
    FeedStream *stream = d->find(feed);
    if (stream == nullptr || !stream->canWrite()) {
        return;
    }
    stream->m_known = known;
    d->m_metrics.addToCounter("plantainweir_store_feed_sent_bytes_total", "Bytes of feed updates sent.", {}, static_cast<double>(update->size()));
    stream->write(update);
}

void StoreFeedServer::close()
{
    d->m_isClosing = true;
    QCoreApplication::sendPostedEvents(d.get());
    for (const auto &[id, feed] : d->m_feeds) {
        feed->finish(Private::unavailable());
    }
}

}
