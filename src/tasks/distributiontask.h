#pragma once

#include "controllers/distribution.h"
#include "controllers/membership.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/** Task of controld that runs the distribution of the configuration (see distribution.h). */
class DistributionTask : public QObject
{
    Q_OBJECT

public:
    /** @param self is the name of this member; @param seed seeds the random generator. */
    DistributionTask(const std::string &self, std::uint64_t seed, QObject *parent = nullptr);
    ~DistributionTask() override;

    /** Handles an object that was read from the platform. */
    void handlePlatformService(const Service &service);
    void handlePlatformRules(const Rules &rules);
    /** Marks the end of a list: all objects of the platform have been handled. */
    void handlePlatformSnapshot();
    /** Records the state of an upstream that this VM observed itself at wall-clock time @p observedAt. */
    void observeStatus(const UpstreamStatus &status, UnixMilliseconds observedAt);
    /** Handles the digest and the versions that another member gossiped. */
    void handlePeerDigest(const PeerDigest &digest);
    void handleComparison(const Endpoint &peer, const std::optional<VersionList> &list);
    void handlePulledObjects(const Endpoint &peer, const std::vector<std::string> &keys, const std::optional<ObjectSet> &objects);
    /** Sets the members among which the watchers of the platform are chosen. */
    void setCandidates(const std::vector<std::string> &names);

    const Distribution &distribution() const;

Q_SIGNALS:
    void serviceChanged(const Service &service);
    void rulesChanged(const Rules &rules);
    void statusesChanged(const std::vector<UpstreamStatus> &statuses);
    /** All objects of the configuration are known. */
    void completed();
    /** The digest of the objects changed; @p announcedVersions are the versions to be gossiped. */
    void objectsChanged(std::uint64_t digest, const std::vector<ObjectVersion> &announcedVersions);
    void objectComparisonRequested(const Endpoint &peer, const BucketDigests &digests);
    void pullRequested(const Endpoint &peer, const std::vector<std::string> &keys);
    /** This member became, or is no longer, a watcher of the platform. */
    void watcherChanged(bool isWatcher);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
