#pragma once

#include "controllers/distribution.h"
#include "controllers/membershiprecord.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

class Metrics;

/** Names one exchange that waits for its answer; never used twice by one server. */
using ExchangeCallId = quint64;

/** Task of controld that serves the Exchange interface to the controlds of other VMs. */
class ExchangeServer : public QObject
{
    Q_OBJECT

public:
    explicit ExchangeServer(Metrics &metrics, QObject *parent = nullptr);
    ~ExchangeServer() override;

    /** Starts to listen on @p endpoint; returns whether the port is open. */
    bool listen(const Endpoint &endpoint);

    /** Each answers one request; exactly one must follow each signal. */
    void answerMembers(ExchangeCallId call, const std::vector<MemberRecord> &records);
    void answerVersions(ExchangeCallId call, const VersionList &list);
    void answerObjects(ExchangeCallId call, const ObjectSet &objects);

Q_SIGNALS:
    void membersRequested(ExchangeCallId call, const BucketDigests &digests);
    void versionsRequested(ExchangeCallId call, const BucketDigests &digests);
    void objectsRequested(ExchangeCallId call, const std::vector<std::string> &keys);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
