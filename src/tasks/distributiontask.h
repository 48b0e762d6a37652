#pragma once

#include "controllers/distribution.h"
#include "controllers/membership.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/** Task of controld that runs the distribution of the configuration (distribution.h). */
class DistributionTask : public QObject
{
    Q_OBJECT

public:
    /** @param self name of this member; @p seed of its random generator. */
    DistributionTask(const std::string &self, std::uint64_t seed, QObject *parent = nullptr);
    ~DistributionTask() override;

    /** Takes what the platform holds. */
    void offerService(const Service &service);
    void offerRules(const Rules &rules);
    /** Says that all objects of the platform have been offered. */
    void offerSnapshot();
    /** Takes the state of an upstream that this VM learnt at first hand at wall-clock time @p observedAt. */
    void observeStatus(const UpstreamStatus &status, UnixMilliseconds observedAt);
    /** Takes what another member holds. */
    void handleObjectNews(const PeerDigest &digest);
    void handleComparison(const Endpoint &peer, const std::optional<VersionList> &list);
    void handlePulledObjects(const Endpoint &peer, const std::vector<std::string> &keys, const std::optional<ObjectSet> &objects);
    /** Sets which members may watch the platform. */
    void setCandidates(const std::vector<std::string> &names);

    const Distribution &distribution() const;

Q_SIGNALS:
    void serviceChanged(const Service &service);
    void rulesChanged(const Rules &rules);
    void statusesChanged(const std::vector<UpstreamStatus> &statuses);
    /** The configuration is known. */
    void completed();
    /** The digest of the objects changed; @p rumours shall be spread. */
    void objectsChanged(std::uint64_t digest, const std::vector<ObjectVersion> &rumours);
    void objectComparisonRequested(const Endpoint &peer, const BucketDigests &digests);
    void pullRequested(const Endpoint &peer, const std::vector<std::string> &keys);
    /** This member became, or stopped to be, one that watches the platform. */
    void watcherChanged(bool isWatcher);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
