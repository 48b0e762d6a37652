#pragma once

#include "controllers/storemirror.h"
#include "controllers/storewatch.h"
#include "tasks/gatewaycodec.h"

#include <QObject>

#include <memory>
#include <optional>

namespace Plantainweir {

/**
 * Task of gatewayd that watches one kind of object in the platform's store (see storewatch.h) and owns the connection.
 *
 * Times are suspend-aware (core/suspendawareclock.h).
 */
class StoreWatchTask : public QObject
{
    Q_OBJECT

public:
    StoreWatchTask(StoreObjectKind kind, const Endpoint &store, const GatewayCodec &codec, std::uint64_t seed, QObject *parent = nullptr);
    ~StoreWatchTask() override;

    /** Sets the pause after a change, so that changes in quick succession are received with one call. */
    void setChangeBatchInterval(Duration interval);
    /** Lists all objects and watches them from then on. */
    void start();
    /** Cancels the call in flight; start() lists the objects again. */
    void stop();
    /** Cancels the call in flight and lists the objects again after a backoff; does nothing if no call is in flight. */
    void restart();
    /** Returns since when a watch has been waiting for changes, or nothing if none is. */
    std::optional<TimePoint> watchingSince() const;
    /** Returns whether the last call failed. */
    bool isFailing() const;

Q_SIGNALS:
    /** A complete list or changes were received. @p confirmedAt is a time as of which nothing is missing. */
    void deltaReceived(const StoreDelta &delta, TimePoint confirmedAt);
    /** A watch is waiting for changes now. */
    void watchStarted();
    void storeUnreachable();
    /** The store answers again after an outage; emitted before the objects that it answers with. */
    void storeRecovered(Duration outage);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
