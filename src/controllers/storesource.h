#pragma once

#include "controllers/storecheck.h"
#include "core/endpoint.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

/**
 * Decides from whom an entry VM learns the store's objects.
 *
 * In each availability zone a few members read the store and feed the others, so that the calls to the store do not grow
 * with the fleet. No agreement is needed: each member chooses the readers from the members that it knows, and a member
 * that is chosen by too few or too many others costs calls, not correctness. What bounds the knowledge of a member is its
 * age: the time since the store confirmed to some reader that nothing was missing. A member whose knowledge exceeds the
 * maximum age reads the store itself, whatever the readers claim.
 *
 * In a small zone all members read the store. One that the store has not answered for a while follows members that it answers, of its
 * own zone or else of others: the store may turn some VMs away for long and accept changes meanwhile.
 *
 * A pure step function without I/O; StoreSourceTask runs it. All times are suspend-aware (core/suspendawareclock.h), so
 * that a member that was suspended knows that its knowledge has aged.
 */
namespace Plantainweir {

/** In a zone with fewer members, all of them read the store. */
constexpr std::size_t MinimumMembersWithReaders = 8;

struct StoreSourceSettings {
    Duration maximumAge = std::chrono::seconds(2); ///< Age of the knowledge from which on a member reads the store itself.
    Duration startDelay = std::chrono::seconds(1); ///< Longest time after the start to wait for objects that are known to be current.
    Duration firstReadDelay = std::chrono::seconds(1); ///< Time after the start after which a member without objects reads the first ones.
    std::size_t readersPerZone = 2;
    std::size_t minimumMembers = MinimumMembersWithReaders;
};

/** A live member of the fleet. */
struct FeedMember {
    std::string name;
    Endpoint feedEndpoint;
    std::uint32_t capacity = 0; ///< Members with more are preferred as readers.
    bool isStoreUnreachable = false; ///< It reported that it cannot reach the store.
    bool operator==(const FeedMember &) const = default;
};

/** A feed from a reader, or one that is to be opened again. */
struct Feed {
    Endpoint endpoint;
    bool isOpen = false;
    TimePoint retryAt; ///< If not open: when it is opened again.
    TimePoint silentAt; ///< If open: when it counts as broken unless it delivers a message.
    std::uint32_t failures = 0; ///< Consecutive feeds that ended before their first message.
};

struct StoreSource {
    StoreSourceSettings settings;
    std::string self;
    std::vector<FeedMember> members; ///< Of this availability zone, with this member.
    std::vector<FeedMember> otherZoneMembers; ///< Of other availability zones, if this one is small.
    bool isFleetKnown = false; ///< Whether another member's records have been received.
    bool isSmallZone = false; ///< Whether all members read the store, because the zone has few of them.
    bool isReader = false; ///< Whether this member is among the readers that it chooses.
    bool isReading = false; ///< Whether it reads the store, as a reader or because its knowledge was too old.
    bool hasObjects = false; ///< Whether a complete set of objects has been received.
    std::map<std::string, Feed> feeds; ///< From other readers, by name.
    std::optional<TimePoint> confirmedAt; ///< Time at which the objects were known to be complete.
    std::optional<TimePoint> followableSince; ///< Since when feeds have kept the knowledge current, if they do.
    std::optional<TimePoint> feedConfirmedAt; ///< The newest confirmation by a member that reads the store.
    TimePoint storeConfirmedAt; ///< The newest confirmation of all kinds by the store to this member itself.
    TimePoint startedAt;
    TimePoint startDeadline; ///< When the store is read if no feed has delivered objects that are known to be current.
    bool hasReadFirst = false; ///< Whether ReadFirstObjects has been returned.
    TimePoint readingSince;
    bool isChecking = false;
    TimePoint checkStartedAt; ///< Of the last check that CheckStore asked for.
    std::uint32_t failedChecks = 0; ///< Consecutive checks without an answer by the store.
    TimePoint nextCheckAt;
    bool isUnreachableReported = false;
    TimePoint reportUntil; ///< End of the report that the store cannot be reached.
    TimePoint nextEarlyReturnAt; ///< From when on a check that the store answers starts another try to read it while the report stands.
};

struct SourceTimerFired {
};
struct FeedMembersChanged {
    std::vector<FeedMember> members;
    bool isFleetKnown = false;
    std::vector<FeedMember> otherZoneMembers = {};
};
/** A feed delivered a message. */
struct FeedReceived {
    std::string member;
    bool hasObjects = false; ///< Whether this member now has a complete set of objects.
    std::optional<TimePoint> confirmedAt; ///< As of when this member's objects are known to be complete.
    /** As of when the sender's objects were complete; set only if the sender reads the store itself. */
    std::optional<TimePoint> senderConfirmedAt;
};
struct FeedEnded {
    std::string member;
};
/** The store's confirmation of a kind of object to this member, and others' confirmations of the other kinds, show that its objects
 * are complete as of @c confirmedAt; not set if some kinds are unconfirmed. */
struct ObjectsConfirmed {
    std::optional<TimePoint> confirmedAt;
};
/** The store itself confirmed all kinds to this member: its objects are complete as of @c confirmedAt. */
struct StoreConfirmed {
    TimePoint confirmedAt;
};
/** The check that CheckStore asked for has ended. */
struct StoreChecked {
    bool isPassed = false;
};
using StoreSourceEvent = std::variant<SourceTimerFired, FeedMembersChanged, FeedReceived, FeedEnded, ObjectsConfirmed, StoreConfirmed, StoreChecked>;

struct StartReading {
};
struct StopReading {
};
/** Reads the first objects from the store once, so that calls do not wait for feeds. They may be seconds old. */
struct ReadFirstObjects {
};
struct OpenFeed {
    std::string member;
    Endpoint endpoint;
};
struct CloseFeed {
    std::string member;
};
/** Checks with a cheap call whether the store can be reached. */
struct CheckStore {
};
/** Tells the other members whether this one can read the store. */
struct ReportStoreReachability {
    bool isUnreachable = false;
};
using StoreSourceAction = std::variant<StartReading, StopReading, ReadFirstObjects, OpenFeed, CloseFeed, CheckStore, ReportStoreReachability>;

StoreSource makeStoreSource(const std::string &self, const StoreSourceSettings &settings, TimePoint now, std::mt19937_64 &random);

/** Applies @p event to @p source and returns the resulting actions in order. */
std::vector<StoreSourceAction> step(StoreSource &source, const StoreSourceEvent &event, TimePoint now, std::mt19937_64 &random);

/** Returns when SourceTimerFired is due. */
TimePoint nextDeadline(const StoreSource &source, TimePoint now);

/** Returns whether the objects are complete and their age is within the limit. */
bool isCurrent(const StoreSource &source, TimePoint now);

/**
 * Returns whether this member may use its objects for the first time. They are current, or not older than this process, so that
 * they contain all that an earlier process of this VM knew; or the store, which may know of later changes, does not answer. Then
 * they are used even if nobody has confirmed them.
 */
bool mayServe(const StoreSource &source, TimePoint now);

/** Returns the members that read the store for their availability zone: the most capable ones that can reach it. */
std::vector<FeedMember> chooseReaders(std::vector<FeedMember> members, std::size_t count);

/** How often a reader calls the store. */
struct StoreReadingPace {
    Duration changeBatchInterval{}; ///< Pause after a change, see StoreWatchSettings.
    StoreCheckPace checks;
    bool operator==(const StoreReadingPace &) const = default;
};

/** Returns the pace at which the knowledge of this member's followers stays within the maximum age. */
StoreReadingPace readingPace(const StoreSource &source);

/**
 * Returns the interval at which a follower tells its readers the time. The age of its knowledge is overestimated by up to
 * this interval.
 */
Duration feedRequestPeriod(const StoreSourceSettings &settings);

/** Returns the maximum age of knowledge with which changes are in force within @p bound. */
Duration maximumKnowledgeAge(Duration bound);

}
