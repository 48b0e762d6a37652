#pragma once

#include "controllers/storewatch.h"
#include "tasks/gatewaycodec.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/**
 * Task of gatewayd that watches one kind of object in the platform's store (see storewatch.h) and owns the connection.
 */
class StoreWatchTask : public QObject
{
    Q_OBJECT

public:
    StoreWatchTask(StoreObjectKind kind, const Endpoint &store, const GatewayCodec &codec, std::uint64_t seed, QObject *parent = nullptr);
    ~StoreWatchTask() override;

    void start();
    /** Cancels the call in flight and lists the objects again after a backoff; does nothing if no call is in flight. */
    void restart();
    /** Returns whether a complete list has been received. */
    bool isListed() const;
    /** Returns whether a complete list has been received and the last call was answered. */
    bool isCurrent() const;

Q_SIGNALS:
    /** Changed objects, or one page of a list. */
    void objectsReceived(const std::vector<StoreObject> &objects);
    /** A list is complete; @p names are the names of all objects. */
    void listCompleted(const std::vector<std::string> &names);
    void storeUnreachable();
    /** The store answers again after an outage. */
    void storeRecovered(Duration outage);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
