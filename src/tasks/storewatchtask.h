#pragma once

#include "controllers/storewatch.h"
#include "tasks/gatewaycodec.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/** Task of gatewayd that follows one kind of objects in the platform's store (storewatch.h) and owns the connection. */
class StoreWatchTask : public QObject
{
    Q_OBJECT

public:
    StoreWatchTask(StoreObjectKind kind, const Endpoint &store, const GatewayCodec &codec, std::uint64_t seed, QObject *parent = nullptr);
    ~StoreWatchTask() override;

    void start();
    /** Gives the present call up and lists anew. */
    void restart();
    /** Returns whether a whole list has come. */
    bool isListed() const;
    /** Returns whether the last call was answered. */
    bool isCurrent() const;

Q_SIGNALS:
    /** Objects that changed, or a part of a list. */
    void objectsReceived(const std::vector<StoreObject> &objects);
    /** A whole list has arrived; @p names are all objects there are. */
    void listCompleted(const std::vector<std::string> &names);
    void storeUnreachable();
    /** The store answers again after @p away. */
    void storeRecovered(Duration outage);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
