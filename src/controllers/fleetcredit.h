#pragma once

#include "controllers/creditborrower.h"
#include "controllers/creditdelegator.h"
#include "controllers/creditkeeper.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

/**
 * Limits that hold over the whole fleet: one member's three sides of them, and the messages between members.
 *
 * Each member delegates its share of all limits to keepers (creditdelegator.h), is a keeper for others as far as they chose
 * it (creditkeeper.h), and borrows credit for the calls that it lets pass (creditborrower.h). The invariant and the reasons
 * are in docs/design/quotas.md. A pure step function without I/O; CreditTask runs it and owns the socket. All times are those
 * of suspendAwareNow().
 */
namespace Plantainweir {

struct CreditLimitsChanged {
    CreditLimits limits;
};
/** The live members of the fleet changed. */
struct CreditMembersChanged {
    std::vector<CreditMember> members; ///< Includes this member itself.
    FleetKnowledge knowledge = FleetKnowledge::Unknown;
    std::size_t comparedFleetSize = 0; ///< Number of members to reckon with according to the store's registrations.
};
struct CreditMessageReceived {
    Endpoint from;
    CreditMessage message;
};
struct CreditRequested {
    CreditRequestId id = 0;
    CreditLine line;
    TimePoint deadline;
};
struct CreditCancelled {
    CreditRequestId id = 0;
};
/** A call that had credit did not run. */
struct CreditGivenBack {
    std::uint64_t credit = 0; ///< CreditDecision::credit.
};
/** This member is going to stop. */
struct CreditLeaveRequested {
};
struct CreditTimerFired {
};
using CreditEvent = std::variant<CreditLimitsChanged,
                                 CreditMembersChanged,
                                 CreditMessageReceived,
                                 CreditRequested,
                                 CreditCancelled,
                                 CreditGivenBack,
                                 CreditLeaveRequested,
                                 CreditTimerFired>;

struct OutgoingCreditMessage {
    Endpoint to;
    CreditMessage message;
};

struct CreditActions {
    std::vector<OutgoingCreditMessage> messages;
    std::vector<DecidedRequest> decisions;
};

/** One member's state. */
struct FleetCredit {
    std::string self; ///< Name of this member.
    std::string availabilityZone;
    ProcessInstance instance = 0;
    CreditLimits limits;
    std::map<std::string, CreditMember> members; ///< By name.
    CreditDelegator delegator;
    CreditKeeper keeper;
    CreditBorrower borrower;
    std::uint64_t lastSequence = 0;
};

/** Returns the initial state of a member. @p instance must differ from those of all other processes, and not be zero. */
FleetCredit makeFleetCredit(const std::string &self, const std::string &availabilityZone, ProcessInstance instance, TimePoint now);

/** Handles @p event and returns the resulting actions. Without limits in force nothing is sent. */
CreditActions step(FleetCredit &credit, const CreditEvent &event, TimePoint now, std::mt19937_64 &random);

/** Returns when CreditTimerFired is due, or nothing while no limit is in force and no request waits. */
std::optional<TimePoint> nextDeadline(const FleetCredit &credit);

}
