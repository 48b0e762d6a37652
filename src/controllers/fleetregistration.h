#pragma once

#include "controllers/membershiprecord.h"
#include "controllers/seenfleetsizes.h"
#include "controllers/storeobject.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

/**
 * Keeps the fleet registered in the store, and compares it with the other registrations there.
 *
 * Members find each other by their seeds. Seeds may be stale, so that members that started together may know only each other
 * while others serve. Therefore a few members of each fleet, the **registrars**, are registered in the store whoever their
 * seeds are. A member becomes a registrar by its rank among the members that it knows; no agreement is needed. It writes its
 * registration first and lists the others then, so that of the registrars of two fleets at least one sees the other, and
 * pings the membership endpoints of those that it does not know.
 *
 * A fleet counts as compared once a registrar has listed the registrations, and has found the members that they name or has
 * given them time to answer. Before, none of its members knows how many VMs share the limits of the fleet. A registration
 * also tells the largest number of members, which is to be reckoned with even if none of them can be reached.
 *
 * When the store returns from a copy of itself, it may lack registrations. The registrars then write theirs again and list the
 * others afterwards, as if they registered for the first time. Answers of an earlier era of the store count as failed calls.
 *
 * A pure step function without I/O; RegistrationTask runs it. All times are suspend-aware (core/suspendawareclock.h).
 */
namespace Plantainweir {

struct FleetRegistrationSettings {
    Duration quietTime = std::chrono::milliseconds(500); ///< Time without new members after which the fleet is compared.
    Duration loneTime = std::chrono::seconds(3); ///< The same for a member that has found no other one.
    Duration takeoverTime = std::chrono::seconds(1); ///< How long a member must have the rank of a registrar of a compared fleet.
    Duration rankDelay = std::chrono::milliseconds(500); ///< How much later the members of the following ranks compare the fleet if no registrar did.
    Duration growthTime = std::chrono::seconds(3); ///< Time without new members after which a registration is brought up to date.
    Duration refreshTime = std::chrono::minutes(30); ///< By how much the validity of a registered size may lag behind.
    Duration comparisonPeriod = std::chrono::seconds(10); ///< Interval between lists of a registrar.
    Duration answerTime = std::chrono::seconds(6); ///< Time that registered members that are not known have to answer.
    Duration retryDelay = std::chrono::seconds(2);
    std::size_t registrars = 2;
    std::size_t maximumRank = 8; ///< Members from this rank on never compare the fleet.
};

/** A member of the fleet, as far as registrations depend on it. */
struct RegistrationMember {
    std::string name;
    std::string availabilityZone;
    MemberState state = MemberState::Alive;
    bool isLeaving = false;
    bool isStoreUnreachable = false; ///< It reported that it cannot reach the store.
    std::size_t comparedFleetSize = 0; ///< MemberRecord::comparedFleetSize.
};

/** What this member is waiting for. */
enum class RegistrationPhase {
    Idle,
    Writing,
    Listing,
};

constexpr std::array<EnumName<RegistrationPhase>, 3> enumNames(RegistrationPhase)
{
    return {{
        {RegistrationPhase::Idle, "idle"},
        {RegistrationPhase::Writing, "writing"},
        {RegistrationPhase::Listing, "listing"},
    }};
}
static_assert(isEnumTableOrdered<RegistrationPhase>());

/** How the store answered a write of a registration. */
enum class RegistrationWriteOutcome {
    Written,
    Exists, ///< A new object was to be written, and there is one.
    Missing, ///< An object was to be changed, and there is none.
    Failed,
};

constexpr std::array<EnumName<RegistrationWriteOutcome>, 4> enumNames(RegistrationWriteOutcome)
{
    return {{
        {RegistrationWriteOutcome::Written, "written"},
        {RegistrationWriteOutcome::Exists, "exists"},
        {RegistrationWriteOutcome::Missing, "missing"},
        {RegistrationWriteOutcome::Failed, "failed"},
    }};
}
static_assert(isEnumTableOrdered<RegistrationWriteOutcome>());

/** One member's state. */
struct FleetRegistration {
    FleetRegistrationSettings settings;
    std::string self; ///< Name of this member.
    std::map<std::string, RegistrationMember> members; ///< All known members by name, with those that are dead or have left.
    FleetSizeMemory sizes; ///< Of this fleet, and those that registrations tell.
    std::size_t largestSize = 0; ///< Largest number of members that were live at once since the start.
    TimePoint startedAt;
    TimePoint grownAt; ///< When @ref largestSize grew last.
    std::size_t rank = 0; ///< Of this member among those that can register.
    std::optional<TimePoint> dutySince; ///< Since when this member has the rank of a registrar.
    bool isCompared = false; ///< Whether this member or one that it knows has compared the fleet.
    bool isLeaving = false;
    RegistrationPhase phase = RegistrationPhase::Idle;
    bool isObjectKnown = false; ///< Whether the store has an object of this member, as far as is known.
    std::optional<SeenFleetSize> written; ///< What the store acknowledged, if anything.
    SeenFleetSize writing; ///< What is being written.
    std::uint64_t era = 0; ///< Newest era of the store that is known.
    bool hasListed = false; ///< Whether the registrations have been listed since this member registered.
    TimePoint retryAt; ///< Nothing is sent before, after a call has failed.
    TimePoint nextListAt;
    std::map<std::string, EntryVmRecord> unknown; ///< Registrations of members that this one has never known, by name.
    TimePoint answersUntil; ///< When the fleet counts as compared even if @ref unknown members have not answered.
    std::size_t announcedSize = 0; ///< AnnounceComparison::fleetSize, zero before.
};

/** The members of the fleet changed. */
struct RegistrationMembersChanged {
    std::vector<RegistrationMember> members; ///< All that are known, with this member itself.
};
struct RegistrationWritten {
    RegistrationWriteOutcome outcome = RegistrationWriteOutcome::Failed;
    std::uint64_t era = 0; ///< Of the answer.
};
/** The store's registrations; empty if they could not be read. */
struct RegistrationsListed {
    std::optional<std::vector<EntryVmRecord>> records;
    UnixMilliseconds wallClock; ///< The current time, with which the validity of the records is compared.
    std::uint64_t era = 0; ///< Of the answer.
};
/** An answer of the store shows that it is in @c era. */
struct RegistrationEraSeen {
    std::uint64_t era = 0;
};
struct RegistrationTimerFired {
};
/** This member is going to stop. */
struct RegistrationLeaveRequested {
};
using RegistrationEvent = std::
    variant<RegistrationMembersChanged, RegistrationWritten, RegistrationsListed, RegistrationEraSeen, RegistrationTimerFired, RegistrationLeaveRequested>;

struct WriteRegistration {
    std::size_t fleetSize = 0;
    TimePoint fleetSizeValidUntil;
    bool isUpdate = false; ///< Whether the object exists.
};
struct ListRegistrations {
    ReadConsistency consistency = ReadConsistency::Consistent;
};
struct RemoveRegistration {
    std::string name;
};
/** Membership endpoints of registered members that are not known to be live, to be pinged besides the seeds of the settings. */
struct PingRegistered {
    std::vector<Endpoint> endpoints;
};
/** The fleet has been compared; @c fleetSize is the number of members to reckon with. */
struct AnnounceComparison {
    std::size_t fleetSize = 0;
    std::size_t unanswered = 0; ///< Registered members that have not answered.
};
using RegistrationAction = std::variant<WriteRegistration, ListRegistrations, RemoveRegistration, PingRegistered, AnnounceComparison>;

FleetRegistration makeFleetRegistration(const std::string &self, const FleetRegistrationSettings &settings, TimePoint now);

/** Applies @p event to @p registration and returns the resulting actions in order. */
std::vector<RegistrationAction> step(FleetRegistration &registration, const RegistrationEvent &event, TimePoint now, std::mt19937_64 &random);

/** Returns when RegistrationTimerFired is due, or nothing while there is nothing to wait for. */
std::optional<TimePoint> nextDeadline(const FleetRegistration &registration, TimePoint now);

}
