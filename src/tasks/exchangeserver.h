#pragma once

#include "controllers/distribution.h"
#include "controllers/membershiprecord.h"

#include <QObject>

#include <memory>

namespace grpc {
class Service;
}

namespace Plantainweir {

class Metrics;

/** Identifies a request that waits for its answer; unique within a server. */
using ExchangeCallId = quint64;

/** Task that serves the Exchange interface to other members. */
class ExchangeServer : public QObject
{
    Q_OBJECT

public:
    explicit ExchangeServer(Metrics &metrics, QObject *parent = nullptr);
    ~ExchangeServer() override;

    /** Serves @p service on the same port; to be called before listen(). The service must outlive the server. */
    void addService(grpc::Service *service);
    /** Starts to listen on @p endpoint; returns whether the port is open. */
    bool listen(const Endpoint &endpoint);

    /** The functions below answer a request. Each signal must be followed by exactly one answer. */
    void replyWithMembers(ExchangeCallId call, const std::vector<MemberRecord> &records);
    void replyWithVersions(ExchangeCallId call, const VersionList &list);
    void replyWithObjects(ExchangeCallId call, const ObjectSet &objects);

Q_SIGNALS:
    /** @p availabilityZone is not empty if only records of this zone are wanted. */
    void membersRequested(ExchangeCallId call, const BucketDigests &digests, const std::string &availabilityZone);
    void versionsRequested(ExchangeCallId call, const BucketDigests &digests);
    void objectsRequested(ExchangeCallId call, const std::vector<std::string> &keys);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
