#pragma once

#include "controllers/knowledgeorigin.h"
#include "controllers/storesource.h"
#include "tasks/gatewaycodec.h"

#include <QObject>

#include <memory>
#include <optional>

namespace grpc {
class Service;
}

namespace Plantainweir {

class Metrics;

struct StoreSourceTaskSettings {
    std::string name; ///< Of this entry VM.
    Endpoint store;
    StoreSourceSettings source;
    std::optional<Duration> evacuationBound; ///< Time in which an evacuation must be in force; if there is none, evacuations are not read.
    std::uint64_t seed = 0;
};

/**
 * Task of gatewayd that keeps the objects of the store: reads the store, or follows the entry VMs of its availability zone
 * that do (see storesource.h), and feeds other entry VMs.
 */
class StoreSourceTask : public QObject
{
    Q_OBJECT

public:
    /** @param metrics must outlive the task. */
    StoreSourceTask(const StoreSourceTaskSettings &settings, const GatewayCodec &codec, Metrics &metrics, QObject *parent = nullptr);
    ~StoreSourceTask() override;

    /** Returns the service that feeds other entry VMs, for the gRPC server, which must be shut down before the destructor. */
    grpc::Service *feedService();
    void start();
    /** Ends all feeds to other entry VMs; to be called before the gRPC server is shut down. */
    void closeFeeds();

    /**
     * Sets the live members of this availability zone, whether other members have sent their records, and the live members of
     * other zones, which only a small zone needs.
     */
    void setMembers(const std::vector<FeedMember> &members, bool isFleetKnown, const std::vector<FeedMember> &otherZoneMembers = {});

    /**
     * Returns whether all objects of all kinds have been received. Until feeds or the store confirm them, upstreams may be
     * seconds old.
     */
    bool isListed() const;

Q_SIGNALS:
    void objectsChanged(StoreObjectKind kind, const std::vector<StoreObject> &objects, const KnowledgeOrigin &origin);
    /** isListed() has become true. */
    void listed();
    /** Whether the configuration is known to have been current a short while ago has changed; at first it is not. */
    void currentChanged(bool isCurrent);
    /** The store answers again after an outage; emitted before the objects that it answers with. */
    void storeRecovered(Duration outage);
    /** The store is in @p era, which is newer than the one that was known. */
    void eraChanged(std::uint64_t era);
    /** The other members should know whether this one can read the store. */
    void reachabilityChanged(bool isUnreachable);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
