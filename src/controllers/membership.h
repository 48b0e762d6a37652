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
 * Each period a member sends a heartbeat (ping) to one other; if the answer stays out it asks a few others to try, then
 * suspects it, and after a bound declares it dead. News travels on these messages, each item a bounded number of times.
 * Only the member itself raises its incarnation, to refute a suspicion or to announce a change. A difference that news
 * did not mend is found by digests on the heartbeats and mended by an exchange of records.
 *
 * A pure step; MembershipTask runs it and owns the socket.
 */
namespace Plantainweir {

struct MembershipSettings {
    Duration period = std::chrono::seconds(1); ///< Between two pings of one member.
    Duration ackTimeout = std::chrono::milliseconds(300); ///< After this others are asked to ping.
    std::size_t indirectPings = 3;
    std::uint32_t suspicionPeriods = 3; ///< Periods until a suspect is dead, times the logarithm of the fleet's size.
    Duration gossipInterval = std::chrono::milliseconds(200);
    std::size_t gossipFanout = 3;
    std::uint32_t transmissionFactor = 3; ///< Transmissions of one item, times the logarithm of the fleet's size.
    Duration joinDuration = std::chrono::seconds(10); ///< After the start; until then a missing seed is pinged often.
    Duration joinInterval = std::chrono::milliseconds(400); ///< Between two pings of the missing seeds meanwhile.
    std::uint32_t reconnectPeriods = 10; ///< Each so many periods a dead member or a seed is pinged.
    Duration synchronizePeriod = std::chrono::seconds(5);
    Duration deadMemberRetention = std::chrono::hours(24); ///< Of the records of members that are dead or left.
    std::size_t payloadBytes = 1000; ///< Records and rumours of one datagram.
    std::size_t maximumMembers = 4096;
};

/** A record and its next deadline. */
struct KnownMember {
    MemberRecord record;
    TimePoint deadline; ///< Suspect: declared dead. Dead or left: forgotten.
};

/** A ping that waits for its ack. */
struct Probe {
    std::string target;
    std::uint64_t sequence = 0;
    bool isIndirect = false; ///< Others have been asked.
    TimePoint nextStepAt; ///< Others are asked, then the target is suspected.
};

/** A ping sent for another member. */
struct RelayedPing {
    Endpoint requester;
    std::uint64_t requesterSequence = 0;
    TimePoint expiresAt;
};

/** State of the membership at one member. */
struct Membership {
    MembershipSettings settings;
    std::string self;
    std::map<std::string, KnownMember> members; ///< With this member itself.
    BucketDigests digests{}; ///< Of the live members.
    std::uint64_t objectsDigest = 0;
    std::set<std::string> suspects;
    std::vector<std::string> probeOrder; ///< Shuffled for each round; may name members that are dead by now.
    std::size_t nextProbe = 0;
    std::optional<Probe> probe;
    std::map<std::uint64_t, RelayedPing> relays; ///< By the sequence of the ping.
    std::uint64_t lastSequence = 0;
    DisseminationQueue disseminationQueue;
    std::vector<Endpoint> seeds;
    std::uint32_t periodsUntilReconnect = 0;
    TimePoint joinUntil;
    TimePoint nextJoinAt;
    TimePoint nextPeriodAt;
    TimePoint nextGossipAt;
    TimePoint nextSynchronizeAt;
    TimePoint lastChangeAt;
    bool isSynchronized = false; ///< Records were learnt from another member at least once.
};

/** A deadline has come. */
struct MembershipTimerFired {
};
struct DatagramReceived {
    Endpoint from;
    MembershipDatagram datagram;
};
/** This member's entryd changed; without a value it does not serve. */
struct EntryChanged {
    std::optional<EntryMember> entry;
};
/** This member can or cannot reach the platform. */
struct PlatformReachabilityChanged {
    bool isUnreachable = false;
};
/** This member announces its end. */
struct LeaveRequested {
};
struct SeedsChanged {
    std::vector<Endpoint> seeds;
};
/** Another member answered an exchange of records. */
struct RecordsReceived {
    std::vector<MemberRecord> records;
};
/** This member's configuration has another digest, and new versions to tell of. */
struct ObjectsChanged {
    std::uint64_t digest = 0;
    std::vector<ObjectVersion> rumours;
};
using MembershipEvent = std::
    variant<MembershipTimerFired, DatagramReceived, EntryChanged, PlatformReachabilityChanged, LeaveRequested, SeedsChanged, RecordsReceived, ObjectsChanged>;

struct OutgoingDatagram {
    Endpoint to;
    MembershipDatagram datagram;
};

/** What a datagram said of the sender's configuration. */
struct PeerDigest {
    Endpoint exchangeEndpoint; ///< Of the sender.
    std::uint64_t objectsDigest = 0;
    std::vector<ObjectVersion> rumours;
};

/** What is to be done after a step. */
struct MembershipActions {
    std::vector<OutgoingDatagram> datagrams;
    std::vector<MemberRecord> changes; ///< New records of members that changed.
    bool isRefuted = false; ///< This member contradicted a claim about itself.
    bool isResumed = false; ///< This process had not run for a while.
    std::optional<Endpoint> synchronizeWith; ///< Exchange records with the member at this exchange endpoint.
    std::optional<PeerDigest> peerDigest;
};

/**
 * Returns the state of a member that starts.
 * @param self its own record, with an incarnation higher than in earlier runs if it can be known (wall-clock time); it
 *        raises itself if the fleet remembers a higher one.
 */
Membership makeMembership(const MemberRecord &self, const MembershipSettings &settings, TimePoint now, std::mt19937_64 &random);

/** Takes @p event into @p membership and returns what is to be done. */
MembershipActions step(Membership &membership, const MembershipEvent &event, TimePoint now, std::mt19937_64 &random);

/** Returns when MembershipTimerFired is due. */
TimePoint nextDeadline(const Membership &membership);

/** Returns the record of this member itself. */
const MemberRecord &selfRecord(const Membership &membership);
/** Returns whether the fleet still has to be told of this member's newest record. */
bool isSelfRecordPending(const Membership &membership);
/** Returns the entry VMs that serve, those included that announced to leave. */
std::vector<EntryMember> servingEntries(const Membership &membership);
/** Returns the names of the live members, this one included. */
std::vector<std::string> liveMembers(const Membership &membership);
/** Returns the live members that may watch the platform: those that can reach it, or all if none can. */
std::vector<std::string> watcherCandidates(const Membership &membership);
/** Returns the records in buckets whose digests differ from @p digests. */
std::vector<MemberRecord> recordsInDifferingBuckets(const Membership &membership, const BucketDigests &digests);

}
