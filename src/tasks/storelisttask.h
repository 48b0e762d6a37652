#pragma once

#include "controllers/storemirror.h"
#include "tasks/gatewaycodec.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/** Task of gatewayd that lists all objects of one kind in the platform's store once, on a connection of its own. */
class StoreListTask : public QObject
{
    Q_OBJECT

public:
    StoreListTask(StoreObjectKind kind, const Endpoint &store, const GatewayCodec &codec, QObject *parent = nullptr);
    ~StoreListTask() override;

    /** Lists the objects. A list that is not consistent costs less, but may be seconds old. */
    void start(ReadConsistency consistency);

Q_SIGNALS:
    /** The list is complete. @p sentAt is the suspend-aware time at which the first page was requested. */
    void listed(const StoreDelta &delta, TimePoint sentAt);
    /** A page could not be read; the task does not try again. */
    void failed();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
