#pragma once

#include "controllers/storecheck.h"
#include "tasks/gatewaycodec.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/** Task of gatewayd that checks the store (see storecheck.h), on connections of its own. */
class StoreCheckTask : public QObject
{
    Q_OBJECT

public:
    StoreCheckTask(const Endpoint &store, const GatewayCodec &codec, QObject *parent = nullptr);
    ~StoreCheckTask() override;

    /**
     * Checks the store once; finished() or failed() is emitted later.
     * @param watches are those that wait. If there are none, the check only shows whether the store answers, with a question
     * for the configuration's changes since @p knownRevision.
     */
    void check(const std::vector<WaitingWatch> &watches, ReadConsistency consistency, const StoreRevision &knownRevision);

Q_SIGNALS:
    /** The store answered. */
    void finished(const StoreCheck &check);
    /** The store did not answer in time, or answered with an error. */
    void failed();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
