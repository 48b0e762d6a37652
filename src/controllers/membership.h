#pragma once

#include "controllers/disseminationqueue.h"
#include "controllers/membershiprecord.h"
#include "core/bucketdigest.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

/**
 * Membership of the fleet and failure detection after SWIM (Das, Gupta and Motivala, 2002).
 *
 * In each period a member sends a heartbeat (ping) to one other member. Without an ack it asks a few other members to
 * ping the target (indirect probe), then suspects it, and declares it dead when the suspicion times out. Updates are
 * piggybacked on these messages, each a bounded number of times. Only the member itself raises its incarnation, to
 * refute a suspicion or to announce a change. Digests on the heartbeats reveal differences that remain after lost
 * updates; the members then exchange records (anti-entropy).
 *
 * In a large availability zone, members probe and gossip mostly among themselves, and a few of them, the carriers, pass the
 * updates about the zone's own members on to the other zones, since bytes between zones have a price.
 *
 * A pure step function without I/O; MembershipTask runs it and owns the socket.
 */
namespace Plantainweir {

struct MembershipSettings {
    Duration period = std::chrono::seconds(1); ///< Protocol period: a member starts one probe per period.
    Duration ackTimeout = std::chrono::milliseconds(300); ///< Time without an ack before other members are asked to ping.
    std::size_t indirectPings = 3; ///< Number of members that are asked to ping the target.
    std::uint32_t suspicionPeriods = 3; ///< Periods until a suspect is declared dead, multiplied by the logarithm of the fleet's size.
    Duration gossipInterval = std::chrono::milliseconds(200);
    std::size_t gossipFanout = 3;
    std::uint32_t transmissionFactor = 3; ///< Transmissions of one update, multiplied by the logarithm of the fleet's size.
    Duration joinDuration = std::chrono::seconds(10); ///< Time after the start during which missing seeds are pinged at the join interval.
    Duration joinInterval = std::chrono::milliseconds(300); ///< Interval between pings of the missing seeds after the start.
    std::uint32_t reconnectPeriods = 10; ///< Periods between pings of a dead member or a missing seed.
    Duration synchronizePeriod = std::chrono::seconds(5); ///< Minimum interval between exchanges of records.
    Duration deadMemberRetention = std::chrono::hours(24); ///< Time after which the record of a dead or left member is removed.
    std::size_t payloadBytes = 1000; ///< Size limit of the records and object versions in one datagram.
    std::size_t maximumMembers = 4096;
    std::size_t largeZoneMembers = 8; ///< A zone with at least as many members is large.
    std::size_t carriersPerZone = 2; ///< Members of a large zone that send updates to other zones.
    std::uint32_t carrierRounds = 2; ///< How often a carrier sends an update to each other zone.
    std::uint32_t otherZoneProbePeriods = 6; ///< A member of a large zone probes one of another zone once in so many periods; a carrier, in two.
    Duration otherZoneSynchronizePeriod = std::chrono::seconds(60); ///< Minimum interval between exchanges with other zones, except for carriers.
};

/** A member's place in its availability zone, as far as it knows the zone's members. */
struct ZoneRole {
    bool isLargeZone = false;
    bool isCarrier = false;
};

/** The record of a member and the deadline of its state. */
struct KnownMember {
    MemberRecord record;
    TimePoint deadline; ///< When a suspect is declared dead, or the record of a dead or left member is removed.
};

/** A probe of one member that waits for an ack. */
struct Probe {
    std::string target;
    std::uint64_t sequence = 0;
    bool isIndirect = false; ///< Whether other members have been asked to ping the target.
    TimePoint nextStepAt; ///< Time to ask other members; once they have been asked, time to suspect the target.
};

/** A ping sent on behalf of another member. */
struct RelayedPing {
    Endpoint requester;
    std::uint64_t requesterSequence = 0;
    TimePoint expiresAt;
};

/** One member's view of the fleet and the state of its probes. */
struct Membership {
    MembershipSettings settings;
    std::string self;
    std::map<std::string, KnownMember> members; ///< By name; includes this member itself.
    BucketDigests digests{}; ///< Digests of the live members.
    std::uint64_t objectsDigest = 0;
    std::set<std::string> suspects;
    std::vector<std::string> probeOrder; ///< Shuffled for each round of probes; may contain members that have died since.
    std::size_t nextProbe = 0;
    std::optional<Probe> probe;
    std::map<std::uint64_t, RelayedPing> relays; ///< By the sequence number of the relayed ping.
    std::uint64_t lastSequence = 0;
    ZoneRole zoneRole;
    DisseminationQueue disseminationQueue;
    DisseminationQueue otherZonesQueue; ///< Updates that a carrier still has to send to the other zones.
    std::uint32_t periodsUntilOtherZone = 0;
    TimePoint nextOtherZoneSynchronizeAt;
    std::vector<Endpoint> seeds;
    std::uint32_t periodsUntilReconnect = 0;
    TimePoint joinUntil;
    TimePoint nextJoinAt;
    TimePoint nextPeriodAt;
    TimePoint nextGossipAt;
    TimePoint nextSynchronizeAt;
    TimePoint lastChangeAt;
    bool isSynchronized = false; ///< Whether an exchange of records has completed since the start.
    bool wantsAllZones = false; ///< Whether an exchange for this zone's records only has shown that the peer knows none.
};

/** The time of nextDeadline() has been reached. */
struct MembershipTimerFired {
};
struct DatagramReceived {
    Endpoint from;
    MembershipDatagram datagram;
};
/** The state of this member's entryd changed; @c entry is empty while it does not serve calls. */
struct EntryChanged {
    std::optional<EntryMember> entry;
};
/** Whether this member can reach the platform changed. */
struct PlatformReachabilityChanged {
    bool isUnreachable = false;
};
/** This member has compared the fleet with the store's registrations; @c fleetSize is the number of members to reckon with. */
struct FleetCompared {
    std::size_t fleetSize = 0;
};
/** This member is to announce that it leaves the fleet. */
struct LeaveRequested {
};
/** New seeds are pinged at the join interval, as after the start. */
struct SeedsChanged {
    std::vector<Endpoint> seeds;
};
/** Another member sent its records in an exchange. */
struct RecordsReceived {
    std::vector<MemberRecord> records;
};
/** This member's configuration objects changed: their new digest and the versions to announce. */
struct ObjectsChanged {
    std::uint64_t digest = 0;
    std::vector<ObjectVersion> announcedVersions;
};
using MembershipEvent = std::variant<MembershipTimerFired,
                                     DatagramReceived,
                                     EntryChanged,
                                     PlatformReachabilityChanged,
                                     FleetCompared,
                                     LeaveRequested,
                                     SeedsChanged,
                                     RecordsReceived,
                                     ObjectsChanged>;

struct OutgoingDatagram {
    Endpoint to;
    MembershipDatagram datagram;
};

/** Digest and announced versions of the sender's configuration objects, taken from a datagram. */
struct PeerDigest {
    Endpoint exchangeEndpoint; ///< Exchange endpoint of the sender.
    std::uint64_t objectsDigest = 0;
    std::vector<ObjectVersion> announcedVersions;
};

/** Messages, changes and requests that result from a step. */
struct MembershipActions {
    std::vector<OutgoingDatagram> datagrams;
    std::vector<MemberRecord> changes; ///< New records of the members that changed.
    bool isRefuted = false; ///< This member refuted another member's claim about it.
    bool isResumed = false; ///< This process was paused for longer than a period.
    std::optional<Endpoint> synchronizeWith; ///< Exchange endpoint of the member to exchange records with.
    std::string synchronizedZone; ///< If not empty, only records of this availability zone are exchanged.
    std::optional<PeerDigest> peerDigest;
};

/**
 * Returns the initial state of a member.
 * @param self the member's own record. Its incarnation should be higher than in earlier runs, such as the wall-clock
 *        time; if the fleet still has a higher one, the member raises its own.
 */
Membership makeMembership(const MemberRecord &self, const MembershipSettings &settings, TimePoint now, std::mt19937_64 &random);

/** Applies @p event to @p membership and returns the resulting actions. */
MembershipActions step(Membership &membership, const MembershipEvent &event, TimePoint now, std::mt19937_64 &random);

/** Returns when MembershipTimerFired is due. */
TimePoint nextDeadline(const Membership &membership);

/** Returns the record of this member itself. */
const MemberRecord &selfRecord(const Membership &membership);
/** Returns whether this member's newest record has transmissions left. */
bool isSelfRecordPending(const Membership &membership);
/** Returns the entry VMs that serve calls, including those that announced that they leave. */
std::vector<EntryMember> servingEntries(const Membership &membership);
/** Returns the names of the live members, including this one. */
std::vector<std::string> liveMembers(const Membership &membership);
/** Returns the live members that are eligible to watch the platform: those that can reach it, or all if none can. */
std::vector<std::string> watcherCandidates(const Membership &membership);
/**
 * Returns the records of all members in buckets whose digests differ from @p digests.
 * @param availabilityZone if not empty, only records of this zone are returned.
 */
std::vector<MemberRecord> recordsInDifferingBuckets(const Membership &membership, const BucketDigests &digests, const std::string &availabilityZone = {});

}
