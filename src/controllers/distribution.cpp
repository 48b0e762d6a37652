#include "controllers/distribution.h"

#include "configuration/adoption.h"
#include "decision/ownership.h"

#include <algorithm>

namespace Plantainweir {
namespace {

constexpr std::string_view ServicePrefix = "service/";

struct StepContext {
    Distribution &distribution;
    DistributionActions &actions;
    TimePoint now;
    std::mt19937_64 &random;
};

std::uint64_t currentVersion(const Distribution &distribution, const std::string &key)
{
    if (key == rulesKey()) {
        return distribution.configuration.rules.version;
    }
    if (key.starts_with(ServicePrefix)) {
        const auto service = distribution.configuration.services.find(key.substr(ServicePrefix.size()));
        return service == distribution.configuration.services.end() ? 0 : service->second.version;
    }
    const auto status = distribution.statuses.find(key);
    return status == distribution.statuses.end() ? 0 : status->second.version;
}

void updateDigest(Distribution &distribution, const std::string &key, std::uint64_t from, std::uint64_t to)
{
    if (from != 0) {
        toggleItem(distribution.digests, key, from);
    }
    if (to != 0) {
        toggleItem(distribution.digests, key, to);
    }
}

void updateCompleteness(const StepContext &context)
{
    Distribution &distribution = context.distribution;
    if (distribution.isComplete || !distribution.missingVersions) {
        return;
    }
    std::erase_if(*distribution.missingVersions, [&distribution](const auto &row) {
        return currentVersion(distribution, row.first) >= row.second;
    });
    if (distribution.missingVersions->empty()) {
        distribution.isComplete = true;
        context.actions.hasBecomeComplete = true;
    }
}

/** Updates digests, announcements and pending pulls after the object @p key changed from version @p before to @p after. */
void recordChange(const StepContext &context, const std::string &key, std::uint64_t before, std::uint64_t after)
{
    Distribution &distribution = context.distribution;
    updateDigest(distribution, key, before, after);
    distribution.lastChangeAt = context.now;
    // Until this member is complete, it receives versions that the other members already have, so it announces none.
    if (distribution.isComplete) {
        context.actions.announcedVersions.push_back({key, after});
    }
    const auto pending = distribution.pendingObjects.find(key);
    if (pending != distribution.pendingObjects.end() && pending->second.versionInFlight == 0 && pending->second.version <= after) {
        distribution.pendingObjects.erase(pending);
    }
}

const Upstream *findUpstream(const Service &service, const std::string &name)
{
    const auto found = std::find_if(service.upstreams.begin(), service.upstreams.end(), [&name](const Upstream &upstream) {
        return upstream.name == name;
    });
    return found == service.upstreams.end() ? nullptr : &*found;
}

/** Removes the statuses of upstreams that are no longer part of @p service. */
void dropStatuses(const StepContext &context, const Service &service)
{
    Distribution &distribution = context.distribution;
    const std::size_t dropped = std::erase_if(distribution.statuses, [&](const auto &row) {
        const VersionedStatus &versioned = row.second;
        const bool isDropped = versioned.status.service == service.name && findUpstream(service, versioned.status.upstream) == nullptr;
        if (isDropped) {
            updateDigest(distribution, row.first, versioned.version, 0);
        }
        return isDropped;
    });
    context.actions.areStatusesChanged |= dropped != 0;
}

void adoptService(const StepContext &context, const Service &service)
{
    const std::string key = serviceKey(service.name);
    const std::uint64_t before = currentVersion(context.distribution, key);
    if (!adopt(context.distribution.configuration, service)) {
        return;
    }
    context.actions.changedServices.insert(service.name);
    recordChange(context, key, before, service.version);
    dropStatuses(context, service);
}

void adoptRules(const StepContext &context, const Rules &rules)
{
    const std::uint64_t before = currentVersion(context.distribution, rulesKey());
    if (!adopt(context.distribution.configuration, rules)) {
        return;
    }
    context.actions.areRulesChanged = true;
    recordChange(context, rulesKey(), before, rules.version);
}

void adoptStatus(const StepContext &context, const VersionedStatus &offered)
{
    Distribution &distribution = context.distribution;
    const auto service = distribution.configuration.services.find(offered.status.service);
    const bool isKnown = service != distribution.configuration.services.end() && findUpstream(service->second, offered.status.upstream) != nullptr;
    const std::string key = statusKey(offered.status);
    const std::uint64_t before = currentVersion(distribution, key);
    if (!isKnown || offered.version <= before) {
        return;
    }
    distribution.statuses[key] = offered;
    context.actions.areStatusesChanged = true;
    recordChange(context, key, before, offered.version);
}

void addPendingObject(Distribution &distribution, const ObjectVersion &object, const Endpoint &peer)
{
    const auto pending = distribution.pendingObjects.find(object.key);
    const bool isPending = pending != distribution.pendingObjects.end() && pending->second.version >= object.version;
    if (isPending || object.version <= currentVersion(distribution, object.key)) {
        return;
    }
    const std::uint64_t versionInFlight = pending == distribution.pendingObjects.end() ? 0 : pending->second.versionInFlight;
    distribution.pendingObjects[object.key] = {.version = object.version, .peer = peer, .versionInFlight = versionInFlight};
}

/** Starts pulls of pending objects, each from one peer, up to the limit of pulls in flight. */
void startPulls(const StepContext &context)
{
    Distribution &distribution = context.distribution;
    while (distribution.pullsInFlight < distribution.settings.maximumPullsInFlight) {
        Pull pull;
        for (auto &[key, object] : distribution.pendingObjects) {
            const bool canJoinPull = object.versionInFlight == 0 && (pull.keys.empty() || object.peer == pull.peer);
            if (!canJoinPull || pull.keys.size() >= distribution.settings.maximumKeysPerPull) {
                continue;
            }
            object.versionInFlight = object.version;
            pull.peer = object.peer;
            pull.keys.push_back(key);
        }
        if (pull.keys.empty()) {
            return;
        }
        ++distribution.pullsInFlight;
        context.actions.pulls.push_back(std::move(pull));
    }
}

void maybeStartComparison(const StepContext &context, const PeerDigestReceived &event)
{
    Distribution &distribution = context.distribution;
    const DistributionSettings &settings = distribution.settings;
    const bool isEqual = event.objectsDigest == combine(distribution.digests);
    const bool isDue
        = distribution.isComplete ? !isEqual && context.now >= distribution.lastChangeAt + settings.stabilizationPeriod : distribution.pendingObjects.empty();
    if (distribution.isComparing || !isDue || context.now < distribution.nextComparisonAt) {
        return;
    }
    const Duration period = distribution.isComplete ? settings.comparisonInterval : settings.incompleteComparisonInterval;
    distribution.nextComparisonAt = context.now + period + Duration(std::uniform_int_distribution<Duration::rep>(0, period.count())(context.random));
    distribution.isComparing = true;
    context.actions.compareWith = event.peer;
}

std::set<std::string> keysOf(const ObjectSet &objects)
{
    std::set<std::string> keys;
    if (objects.rules) {
        keys.insert(rulesKey());
    }
    for (const Service &service : objects.services) {
        keys.insert(serviceKey(service.name));
    }
    for (const VersionedStatus &status : objects.statuses) {
        keys.insert(statusKey(status.status));
    }
    return keys;
}

void handle(const StepContext &context, const ServiceReceived &event)
{
    adoptService(context, event.service);
}

void handle(const StepContext &context, const RulesReceived &event)
{
    adoptRules(context, event.rules);
}

void handle(const StepContext &context, const PlatformSnapshotReceived &)
{
    context.actions.hasBecomeComplete = !context.distribution.isComplete;
    context.distribution.isComplete = true;
}

void handle(const StepContext &context, const StatusObserved &event)
{
    const auto current = context.distribution.statuses.find(statusKey(event.status));
    const bool isKnown = current != context.distribution.statuses.end() ? current->second.status == event.status : !event.status.isLeaving;
    if (!isKnown) {
        adoptStatus(context, {event.version, event.status});
    }
}

void handle(const StepContext &context, const PeerDigestReceived &event)
{
    for (const ObjectVersion &announced : event.announcedVersions) {
        addPendingObject(context.distribution, announced, event.peer);
    }
    maybeStartComparison(context, event);
}

void handle(const StepContext &context, const VersionsCompared &event)
{
    Distribution &distribution = context.distribution;
    distribution.isComparing = false;
    if (!event.list) {
        return;
    }
    for (const ObjectVersion &object : event.list->versions) {
        addPendingObject(distribution, object, event.peer);
    }
    if (event.list->isComplete && !distribution.isComplete) {
        distribution.missingVersions.emplace();
        for (const ObjectVersion &object : event.list->versions) {
            distribution.missingVersions->emplace(object.key, object.version);
        }
    }
}

void handle(const StepContext &context, const ObjectsPulled &event)
{
    Distribution &distribution = context.distribution;
    --distribution.pullsInFlight;
    const ObjectSet objects = event.objects.value_or(ObjectSet{});
    if (objects.rules) {
        adoptRules(context, *objects.rules);
    }
    for (const Service &service : objects.services) {
        adoptService(context, service);
    }
    for (const VersionedStatus &status : objects.statuses) {
        adoptStatus(context, status);
    }
    const std::set<std::string> answered = keysOf(objects);
    for (const std::string &key : event.keys) {
        const auto pending = distribution.pendingObjects.find(key);
        if (pending == distribution.pendingObjects.end()) {
            continue;
        }
        const bool isNewerVersionKnown = pending->second.version > std::max(pending->second.versionInFlight, currentVersion(distribution, key));
        pending->second.versionInFlight = 0;
        // Objects that did not fit into the response are pulled again. After a pull without any object, the next
        // comparison finds another peer to pull from.
        const bool isMissingFromAnswer = !answered.empty() && !answered.contains(key);
        if (!isMissingFromAnswer && !isNewerVersionKnown) {
            distribution.pendingObjects.erase(pending);
        }
    }
}

void handle(const StepContext &context, const WatcherCandidatesChanged &event)
{
    Distribution &distribution = context.distribution;
    const auto watchers = chooseWatchers(event.names, distribution.settings.watcherCount);
    const bool isWatcher = std::find(watchers.begin(), watchers.end(), distribution.self) != watchers.end();
    if (isWatcher != distribution.isWatcher) {
        distribution.isWatcher = isWatcher;
        context.actions.isWatcher = isWatcher;
    }
}

}

std::string rulesKey()
{
    return "rules";
}

std::string serviceKey(const std::string &service)
{
    return std::string(ServicePrefix) + service;
}

std::string statusKey(const UpstreamStatus &status)
{
    return "status/" + status.service + "/" + status.upstream;
}

DistributionActions step(Distribution &distribution, const DistributionEvent &event, TimePoint now, std::mt19937_64 &random)
{
    DistributionActions actions;
    const StepContext context{distribution, actions, now, random};
    std::visit(
        [&context](const auto &alternative) {
            handle(context, alternative);
        },
        event);
    updateCompleteness(context);
    startPulls(context);
    return actions;
}

std::vector<std::string> chooseWatchers(std::vector<std::string> candidates, std::size_t count)
{
    const std::size_t chosen = std::min(count, candidates.size());
    const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(chosen);
    std::partial_sort(candidates.begin(), end, candidates.end(), [](const std::string &first, const std::string &second) {
        return rendezvousWeight(first, "watchers") > rendezvousWeight(second, "watchers");
    });
    candidates.resize(chosen);
    return candidates;
}

VersionList versionsInDifferingBuckets(const Distribution &distribution, const BucketDigests &digests)
{
    VersionList list{.isComplete = distribution.isComplete, .versions = {}};
    const auto add = [&](const std::string &key) {
        const std::uint64_t version = currentVersion(distribution, key);
        const std::size_t bucket = bucketOf(key);
        if (version != 0 && distribution.digests.at(bucket) != digests.at(bucket)) {
            list.versions.push_back({key, version});
        }
    };
    add(rulesKey());
    for (const auto &[name, service] : distribution.configuration.services) {
        add(serviceKey(name));
    }
    for (const auto &[key, status] : distribution.statuses) {
        add(key);
    }
    return list;
}

ObjectSet objectsOf(const Distribution &distribution, const std::vector<std::string> &keys)
{
    ObjectSet objects;
    for (const std::string &key : keys) {
        if (currentVersion(distribution, key) == 0) {
            continue;
        }
        if (key == rulesKey()) {
            objects.rules = distribution.configuration.rules;
        } else if (key.starts_with(ServicePrefix)) {
            objects.services.push_back(distribution.configuration.services.at(key.substr(ServicePrefix.size())));
        } else {
            objects.statuses.push_back(distribution.statuses.at(key));
        }
    }
    return objects;
}

}
