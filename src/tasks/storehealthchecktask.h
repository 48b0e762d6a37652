#pragma once

#include "tasks/gatewaycodec.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/** Task of gatewayd that checks at regular intervals whether the store answers, on a connection of its own. */
class StoreHealthCheckTask : public QObject
{
    Q_OBJECT

public:
    /** @param name is the name of the object that is read; it need not exist. */
    StoreHealthCheckTask(const Endpoint &store, const GatewayCodec &codec, const std::string &name, QObject *parent = nullptr);
    ~StoreHealthCheckTask() override;

    void start();

Q_SIGNALS:
    /** The store did not answer in time, or answered with an error. */
    void failed();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
