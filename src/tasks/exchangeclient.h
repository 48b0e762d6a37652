#pragma once

#include "controllers/distribution.h"
#include "controllers/membershiprecord.h"

#include <QObject>

#include <memory>
#include <optional>

namespace Plantainweir {

class Metrics;

/**
 * Task of controld that asks the controlds of other VMs by the Exchange interface.
 *
 * Each call opens its own connection, since peers are picked at random out of the whole fleet. The signal of a call
 * comes exactly once, without a value if there was no answer in time.
 */
class ExchangeClient : public QObject
{
    Q_OBJECT

public:
    explicit ExchangeClient(Metrics &metrics, QObject *parent = nullptr);
    ~ExchangeClient() override;

    void compareMembers(const Endpoint &peer, const BucketDigests &digests);
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
