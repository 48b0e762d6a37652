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
 * Distributes the configuration and the upstream statuses between the controld processes of the fleet.
 *
 * A few members, the watchers, watch the platform. They announce new versions on the membership heartbeats, and the
 * other members pull the objects from the member that announced them. Each heartbeat also carries a digest of the
 * sender's objects. If it differs, the members compare bucket digests (anti-entropy), which finds versions whose
 * announcements were lost. A member adopts an object only at a higher version than it has.
 *
 * A pure step function without I/O; DistributionTask runs it.
 */
namespace Plantainweir {

/** The status of an upstream. Its version is the wall-clock time of the observation in milliseconds since the Unix epoch. */
struct VersionedStatus {
    std::uint64_t version = 0;
    UpstreamStatus status;
    bool operator==(const VersionedStatus &) const = default;
};

/** Objects that one member sends to another in response to a pull. */
struct ObjectSet {
    std::optional<Rules> rules;
    std::vector<Service> services;
    std::vector<VersionedStatus> statuses;
};

/** The response to a comparison of bucket digests. */
struct VersionList {
    bool isComplete = false; ///< Whether the responding member knows the whole configuration.
    std::vector<ObjectVersion> versions; ///< Versions of all objects in the buckets that differ.
};

std::string rulesKey();
std::string serviceKey(const std::string &service);
std::string statusKey(const UpstreamStatus &status);

struct DistributionSettings {
    std::size_t watcherCount = 3; ///< Number of members that watch the platform.
    Duration comparisonInterval = std::chrono::seconds(5); ///< Minimum interval between comparisons once the whole configuration is known.
    Duration incompleteComparisonInterval = std::chrono::milliseconds(500); ///< Minimum interval between comparisons until the whole configuration is known.
    Duration stabilizationPeriod = std::chrono::seconds(2); ///< Minimum time from the last change to a comparison, so that announcements arrive first.
    std::size_t maximumPullsInFlight = 4;
    std::size_t maximumKeysPerPull = 32;
};

/** An object to pull because a peer has it at a higher version. */
struct PendingObject {
    std::uint64_t version = 0;
    Endpoint peer;
    std::uint64_t versionInFlight = 0; ///< Version that the pull in flight was started for; zero if no pull is in flight.
};

/** Objects of one member and the state of their exchange with its peers. */
struct Distribution {
    DistributionSettings settings;
    std::string self;
    Configuration configuration;
    std::map<std::string, VersionedStatus> statuses; ///< By key; contains only upstreams of the configuration.
    BucketDigests digests{}; ///< Digests of the versions of all objects.
    std::map<std::string, PendingObject> pendingObjects; ///< By key.
    std::size_t pullsInFlight = 0;
    bool isComparing = false;
    bool isComplete = false; ///< Whether all objects of the platform or of a complete peer have been received.
    bool isWatcher = false;
    std::optional<std::map<std::string, std::uint64_t>> missingVersions; ///< Versions of a complete peer that this member has yet to pull.
    TimePoint nextComparisonAt;
    TimePoint lastChangeAt;
};

struct ServiceReceived {
    Service service;
};
struct RulesReceived {
    Rules rules;
};
/** All objects of the platform have been received. */
struct PlatformSnapshotReceived {
};
/** This member observed the state of an upstream itself, not through a peer. */
struct StatusObserved {
    UpstreamStatus status;
    std::uint64_t version = 0;
};
/** A heartbeat carried the digest of a peer's objects and announced versions. */
struct PeerDigestReceived {
    Endpoint peer;
    std::uint64_t objectsDigest = 0;
    std::vector<ObjectVersion> announcedVersions;
};
/** A comparison finished; @c list is empty if the peer did not respond. */
struct VersionsCompared {
    Endpoint peer;
    std::optional<VersionList> list;
};
/** A pull of @c keys finished; @c objects is empty if the peer did not respond. */
struct ObjectsPulled {
    Endpoint peer;
    std::vector<std::string> keys;
    std::optional<ObjectSet> objects;
};
/** The set of members that are eligible to watch the platform changed. */
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

/** A request for objects of one peer. */
struct Pull {
    Endpoint peer;
    std::vector<std::string> keys;
};

/** Changes and requests that result from a step. */
struct DistributionActions {
    bool areRulesChanged = false;
    std::set<std::string> changedServices;
    bool areStatusesChanged = false;
    bool hasBecomeComplete = false;
    std::vector<ObjectVersion> announcedVersions; ///< New versions to announce to the other members.
    std::optional<Endpoint> compareWith;
    std::vector<Pull> pulls;
    std::optional<bool> isWatcher; ///< Set when the member starts or stops to be a watcher.
};

/** Applies @p event to @p distribution and returns the resulting actions. */
DistributionActions step(Distribution &distribution, const DistributionEvent &event, TimePoint now, std::mt19937_64 &random);

/** Returns the @p count members of @p candidates that watch the platform, chosen by rendezvous hashing. */
std::vector<std::string> chooseWatchers(std::vector<std::string> candidates, std::size_t count);
/** Returns the versions of all objects in buckets whose digests differ from @p digests: the response to a comparison. */
VersionList versionsInDifferingBuckets(const Distribution &distribution, const BucketDigests &digests);
/** Returns the objects of @p keys that this member has: the response to a pull. */
ObjectSet objectsOf(const Distribution &distribution, const std::vector<std::string> &keys);

}
