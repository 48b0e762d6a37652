#pragma once

#include "tasks/gatewaycodec.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/** Task of gatewayd that asks the store for a sign of life, on a connection of its own. */
class StoreHealthCheckTask : public QObject
{
    Q_OBJECT

public:
    /** @param name of the object that is read; it need not exist. */
    StoreHealthCheckTask(const Endpoint &store, const GatewayCodec &codec, const std::string &name, QObject *parent = nullptr);
    ~StoreHealthCheckTask() override;

    void start();

Q_SIGNALS:
    /** The store did not answer in time, or refused. */
    void failed();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
