#pragma once

#include "configuration/configuration.h"
#include "configuration/objectversion.h"
#include "configuration/upstreamstatus.h"
#include "core/bucketdigest.h"
#include "core/endpoint.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

/**
 * Distribution of the configuration and of upstream statuses between the controlds of the fleet.
 *
 * A few members, the watchers, watch the platform. The others hear of new versions by rumours on the heartbeats and
 * pull the objects from the member that told them. A heartbeat whose digest of the sender's objects differs leads to a
 * comparison of bucket digests, which finds what rumours missed. An object is adopted only at a higher version.
 *
 * A pure step; DistributionTask runs it.
 */
namespace Plantainweir {

/** A status and its version, the wall-clock time of the observation in milliseconds since the Unix epoch. */
struct VersionedStatus {
    std::uint64_t version = 0;
    UpstreamStatus status;
    bool operator==(const VersionedStatus &) const = default;
};

/** Some objects of the configuration, as one member hands them to another. */
struct ObjectSet {
    std::optional<Rules> rules;
    std::vector<Service> services;
    std::vector<VersionedStatus> statuses;
};

/** The answer to a comparison. */
struct VersionList {
    bool isComplete = false; ///< The answering member knew the whole configuration.
    std::vector<ObjectVersion> versions; ///< All versions in buckets that differ.
};

std::string rulesKey();
std::string serviceKey(const std::string &service);
std::string statusKey(const UpstreamStatus &status);

struct DistributionSettings {
    std::size_t watcherCount = 3; ///< Members of the fleet that watch the platform.
    Duration comparisonInterval = std::chrono::seconds(5);
    Duration incompleteComparisonInterval = std::chrono::milliseconds(500); ///< While the configuration is not known.
    Duration stabilizationPeriod = std::chrono::seconds(2); ///< Rumours get this time before a difference is looked into.
    std::size_t maximumPullsInFlight = 4;
    std::size_t maximumKeysPerPull = 32;
};

/** An object that a peer holds at a higher version. */
struct PendingObject {
    std::uint64_t version = 0;
    Endpoint peer;
    std::uint64_t versionInFlight = 0; ///< Version that a pull under way was started for; zero if there is none.
};

/** State of the distribution at one member. */
struct Distribution {
    DistributionSettings settings;
    std::string self;
    Configuration configuration;
    std::map<std::string, VersionedStatus> statuses; ///< By key; only of upstreams in the configuration.
    BucketDigests digests{}; ///< Of the versions of all objects.
    std::map<std::string, PendingObject> pendingObjects; ///< By key.
    std::size_t pullsInFlight = 0;
    bool isComparing = false;
    bool isComplete = false; ///< The platform or a complete peer has told all that it holds.
    bool isWatcher = false;
    std::optional<std::map<std::string, std::uint64_t>> missingVersions; ///< Versions that a complete peer held and this one does not yet.
    TimePoint nextComparisonAt;
    TimePoint lastChangeAt;
};

struct ServiceReceived {
    Service service;
};
struct RulesReceived {
    Rules rules;
};
/** All objects of the platform have been offered. */
struct PlatformSnapshotReceived {
};
/** This member learnt the state of an upstream at first hand. */
struct StatusObserved {
    UpstreamStatus status;
    std::uint64_t version = 0;
};
/** A peer's heartbeat told what it holds. */
struct PeerDigestReceived {
    Endpoint peer;
    std::uint64_t objectsDigest = 0;
    std::vector<ObjectVersion> rumours;
};
/** A comparison ended; without a value the peer did not answer. */
struct VersionsCompared {
    Endpoint peer;
    std::optional<VersionList> list;
};
/** A pull of @p keys ended; without a value the peer did not answer. */
struct ObjectsPulled {
    Endpoint peer;
    std::vector<std::string> keys;
    std::optional<ObjectSet> objects;
};
/** The members that may watch the platform. */
struct WatcherCandidatesChanged {
    std::vector<std::string> names;
};
using DistributionEvent = std::variant<ServiceReceived,
                                       RulesReceived,
                                       PlatformSnapshotReceived,
                                       StatusObserved,
                                       PeerDigestReceived,
                                       VersionsCompared,
                                       ObjectsPulled,
                                       WatcherCandidatesChanged>;

struct Pull {
    Endpoint peer;
    std::vector<std::string> keys;
};

/** What is to be done after a step. */
struct DistributionActions {
    bool areRulesChanged = false;
    std::set<std::string> changedServices;
    bool areStatusesChanged = false;
    bool hasBecomeComplete = false;
    std::vector<ObjectVersion> rumours; ///< To be spread.
    std::optional<Endpoint> compareWith;
    std::vector<Pull> pulls;
    std::optional<bool> isWatcher; ///< Set when it changes.
};

/** Takes @p event into @p distribution and returns what is to be done. */
DistributionActions step(Distribution &distribution, const DistributionEvent &event, TimePoint now, std::mt19937_64 &random);

/** Returns the members out of @p candidates that watch the platform: the highest rendezvous weights. */
std::vector<std::string> chooseWatchers(std::vector<std::string> candidates, std::size_t count);
/** Answers a comparison. */
VersionList versionsInDifferingBuckets(const Distribution &distribution, const BucketDigests &digests);
/** Answers a pull. */
ObjectSet objectsOf(const Distribution &distribution, const std::vector<std::string> &keys);

}
