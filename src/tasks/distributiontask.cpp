#include "tasks/distributiontask.h"

namespace Plantainweir {

class DistributionTask::Private
{
public:
    Private(DistributionTask *task, const std::string &self, std::uint64_t seed)
        : q(task)
        , m_random(seed)
    {
        m_distribution.self = self;
    }

    void handleEvent(const DistributionEvent &event)
    {
        const std::uint64_t digestBefore = combine(m_distribution.digests);
        const DistributionActions actions = step(m_distribution, event, Clock::now(), m_random);
        reportObjects(actions);
        if (combine(m_distribution.digests) != digestBefore) {
            Q_EMIT q->objectsChanged(combine(m_distribution.digests), actions.announcedVersions);
        }
        if (actions.hasBecomeComplete) {
            Q_EMIT q->completed();
        }
        if (actions.isWatcher) {
            Q_EMIT q->watcherChanged(*actions.isWatcher);
        }
        if (actions.compareWith) {
            Q_EMIT q->objectComparisonRequested(*actions.compareWith, m_distribution.digests);
        }
        for (const Pull &pull : actions.pulls) {
            Q_EMIT q->pullRequested(pull.peer, pull.keys);
        }
    }

    void reportObjects(const DistributionActions &actions)
    {
        if (actions.areRulesChanged) {
            Q_EMIT q->rulesChanged(m_distribution.configuration.rules);
        }
        for (const std::string &name : actions.changedServices) {
            Q_EMIT q->serviceChanged(m_distribution.configuration.services.at(name));
        }
        if (!actions.areStatusesChanged) {
            return;
        }
        std::vector<UpstreamStatus> statuses;
        statuses.reserve(m_distribution.statuses.size());
        for (const auto &[key, stored] : m_distribution.statuses) {
            statuses.push_back(stored.status);
        }
        Q_EMIT q->statusesChanged(statuses);
    }

    DistributionTask *q;
    std::mt19937_64 m_random;
    Distribution m_distribution;
};

DistributionTask::DistributionTask(const std::string &self, std::uint64_t seed, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, self, seed))
{
}

DistributionTask::~DistributionTask() = default;

void DistributionTask::handlePlatformService(const Service &service)
{
    d->handleEvent(ServiceReceived{service});
}

void DistributionTask::handlePlatformRules(const Rules &rules)
{
    d->handleEvent(RulesReceived{rules});
}

void DistributionTask::handlePlatformSnapshot()
{
    d->handleEvent(PlatformSnapshotReceived{});
}

void DistributionTask::observeStatus(const UpstreamStatus &status, UnixMilliseconds observedAt)
{
    d->handleEvent(StatusObserved{status, static_cast<std::uint64_t>(observedAt.time_since_epoch().count())});
}

void DistributionTask::handlePeerDigest(const PeerDigest &digest)
{
    d->handleEvent(PeerDigestReceived{digest.exchangeEndpoint, digest.objectsDigest, digest.announcedVersions});
}

void DistributionTask::handleComparison(const Endpoint &peer, const std::optional<VersionList> &list)
{
    d->handleEvent(VersionsCompared{peer, list});
}

void DistributionTask::handlePulledObjects(const Endpoint &peer, const std::vector<std::string> &keys, const std::optional<ObjectSet> &objects)
{
    d->handleEvent(ObjectsPulled{peer, keys, objects});
}

void DistributionTask::setCandidates(const std::vector<std::string> &names)
{
    d->handleEvent(WatcherCandidatesChanged{names});
}

const Distribution &DistributionTask::distribution() const
{
    return d->m_distribution;
}

}
