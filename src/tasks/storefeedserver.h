#pragma once

#include "rpc/storemessages.h"

#include <QObject>

#include <memory>

namespace grpc {
class Service;
}

namespace Plantainweir {

class Metrics;

/** How much of the mirrors of all kinds that are fed a follower has received, by StoreObjectKind. */
using FedPositions = std::array<MirrorPosition, FedStoreKinds>;

/** Identifies an open feed; unique within a server. */
using FeedId = quint64;

/** Task that serves feeds of the store's objects to other entry VMs. */
class StoreFeedServer : public QObject
{
    Q_OBJECT

public:
    explicit StoreFeedServer(Metrics &metrics, QObject *parent = nullptr);
    /** The gRPC server that runs service() must have been shut down. */
    ~StoreFeedServer() override;

    /** Returns the service for the gRPC server, which must be shut down after close() and before the destructor. */
    grpc::Service *service();

    /**
     * Asks for an update of each feed: updateRequested() is emitted for those that can take one now, and for the others once
     * they can.
     * @param outage is set if the store answers again after an outage of this length.
     */
    void publish(Duration outage = {});
    /**
     * Sends @p update on @p feed, in answer to updateRequested(). The server adds the echo. Feeds share the bytes of an update.
     * @param known is what the follower has once it has received the update.
     */
    void send(FeedId feed, const EncodedFeedUpdate &update, const FedPositions &known);
    /** Ends all feeds. */
    void close();

Q_SIGNALS:
    /** @p known is what the follower has; exactly one send() must follow, before the slot returns. */
    void updateRequested(FeedId feed, const FedPositions &known, Duration outage);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
