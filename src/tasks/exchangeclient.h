#pragma once

#include "controllers/distribution.h"
#include "controllers/membershiprecord.h"

#include <QObject>

#include <memory>
#include <optional>

namespace Plantainweir {

class Metrics;

/**
 * Task that calls the Exchange interface of other members.
 *
 * Each call opens its own connection, since peers are chosen at random from the whole fleet. The signal of a call is
 * emitted exactly once, with an empty value if the call failed or timed out.
 */
class ExchangeClient : public QObject
{
    Q_OBJECT

public:
    explicit ExchangeClient(Metrics &metrics, QObject *parent = nullptr);
    ~ExchangeClient() override;

    /** @param availabilityZone if not empty, only records of this zone are wanted. */
    void compareMembers(const Endpoint &peer, const BucketDigests &digests, const std::string &availabilityZone);
    void compareObjects(const Endpoint &peer, const BucketDigests &digests);
    void pullObjects(const Endpoint &peer, const std::vector<std::string> &keys);

Q_SIGNALS:
    void membersCompared(const Endpoint &peer, const std::optional<std::vector<MemberRecord>> &records);
    void objectsCompared(const Endpoint &peer, const std::optional<VersionList> &list);
    void objectsPulled(const Endpoint &peer, const std::vector<std::string> &keys, const std::optional<ObjectSet> &objects);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
