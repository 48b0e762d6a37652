#pragma once

#include "tasks/gatewaycodec.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/** Task of gatewayd that checks whether the store answers, on a connection of its own. */
class StoreHealthCheckTask : public QObject
{
    Q_OBJECT

public:
    /** @param name is the name of the object that is read; it need not exist. */
    StoreHealthCheckTask(const Endpoint &store, const GatewayCodec &codec, const std::string &name, QObject *parent = nullptr);
    ~StoreHealthCheckTask() override;

    /** Checks once per @p period until stop(). */
    void start(Duration period);
    void stop();
    /** Checks once, in addition to the regular checks. */
    void check();

Q_SIGNALS:
    /** The store answered the check that was sent at @p sentAt, a suspend-aware time. */
    void passed(TimePoint sentAt);
    /** The store did not answer in time, or answered with an error. */
    void failed();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
