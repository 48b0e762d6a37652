#pragma once

#include "rpc/storemessages.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

class Metrics;

/** Task that receives feeds of the store's objects from other entry VMs, at most one from each. */
class StoreFeedClient : public QObject
{
    Q_OBJECT

public:
    /** @param requestPeriod is the interval at which each reader is told the time, see FeedUpdate::echoedAt. */
    StoreFeedClient(Metrics &metrics, Duration requestPeriod, QObject *parent = nullptr);
    ~StoreFeedClient() override;

    /** Opens a feed from @p member, which must have none; the client sets the time of @p request. */
    void open(const std::string &member, const Endpoint &endpoint, const FeedRequest &request);
    /** Closes the feed from @p member; neither signal is emitted for it again. */
    void close(const std::string &member);

Q_SIGNALS:
    void received(const std::string &member, const FeedUpdate &update);
    /** The feed ended, could not be opened or sent a malformed update. */
    void ended(const std::string &member);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
