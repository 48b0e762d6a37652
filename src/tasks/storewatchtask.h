#pragma once

#include "controllers/storecheck.h"
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
    /** Sets the pause after the first failed call. */
    void setMinimumBackoff(Duration backoff);
    /** Lists all objects and watches them from then on. */
    void start();
    /** Cancels the call in flight; start() lists the objects again. */
    void stop();
    /** Cancels the call in flight and lists the objects again after a backoff; does nothing if no call is in flight. */
    void restart();
    /** Cancels the watch that waits and lists the objects at once, because the watch has not reported a change. */
    void listMissedChanges();
    /** Notes that another answer of the store shows @p era. If it is new, the objects are listed again and older answers discarded. */
    void setKnownEra(std::uint64_t era);
    /** Notes that a check found nothing missing up to @p revision of the store. */
    void setCompleteUntil(const StoreRevision &revision);
    /** Returns the watch that waits for changes, or nothing if none does. */
    std::optional<WaitingWatch> waitingWatch() const;
    /** Returns whether a list has been received since start(), and the last call did not fail. */
    bool isFollowing() const;

Q_SIGNALS:
    /** An answer shows that the store is in @p era, which was not known; emitted before what the answer contains. */
    void eraSeen(std::uint64_t era);
    /** A complete list or changes were received, which were asked for at @p sentAt. @p confirmedAt is a time as of which nothing is missing. */
    void deltaReceived(const StoreDelta &delta, TimePoint confirmedAt, TimePoint sentAt);
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
