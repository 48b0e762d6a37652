#pragma once

#include "controllers/creditkeeper.h"
#include "controllers/creditmember.h"
#include "controllers/creditmessage.h"
#include "controllers/seenfleetsizes.h"

#include <array>
#include <map>
#include <random>
#include <string>
#include <vector>

/**
 * The delegating side of limits of the whole fleet: one member hands its share of all limits to keepers.
 *
 * A member's share is one part in N, N being the largest number of members that were live at once. It is split into equal
 * parts, one for each keeper. A part that was delegated is bound until its keeper has released it, or until the time has
 * passed after which the keeper cannot hold it any more. All times are those of suspendAwareNow() of the member.
 */
namespace Plantainweir {

/** Number of keepers, and of the parts of a share. */
inline constexpr std::size_t KeeperCount = 2;

/** One part of the member's share. */
struct DelegatedPart {
    std::string keeper; ///< Empty if it is not delegated.
    ProcessInstance instance = 0; ///< Of the keeper.
    std::uint64_t sequence = 0; ///< Of the newest delegation.
    TimePoint boundUntil; ///< When the keeper certainly holds it no longer.
};

/** What is known about a member that may be a keeper. */
struct KeeperContact {
    ProcessInstance instance = 0;
    TimePoint stamp; ///< Time of the keeper that its newest receipt carried.
    TimePoint confirmedUntil; ///< It counts as available until then.
    TimePoint nextGreetingAt; ///< When it may next be asked for a receipt while it is not confirmed.
    bool isLeaving = false;
};

struct CreditDelegator {
    std::string self; ///< Name of this member.
    std::array<DelegatedPart, KeeperCount> parts;
    std::vector<std::string> candidates; ///< Members that may be keepers, the preferred ones first.
    std::vector<std::string> keepers; ///< Confirmed keepers in order of preference, at most @ref KeeperCount.
    std::map<std::string, KeeperContact> contacts;
    FleetSizeMemory fleetSize;
    FleetKnowledge knowledge = FleetKnowledge::Unknown;
    TimePoint quarantinedUntil = TimePoint::max(); ///< Nothing is delegated before; set by the first receipt of another member.
    TimePoint nextRenewalAt;
};

/** A delegation to be sent to the member @c keeper. */
struct OutgoingDelegation {
    std::string keeper;
    ShareDelegation delegation;
};

/** Takes the live members into account, and for an hour the largest number of them. */
void changeMembers(CreditDelegator &delegator, const std::map<std::string, CreditMember> &members, FleetKnowledge knowledge, TimePoint now);

/** Renews the delegations, and finds keepers in place of those that do not answer. To be called at nextRenewalAt. */
std::vector<OutgoingDelegation> renew(CreditDelegator &delegator, std::size_t liveMembers, std::uint64_t &lastSequence, TimePoint now, std::mt19937_64 &random);

/** Takes a receipt of the member @p keeper into account. Returns what is to be sent because of it. */
std::vector<OutgoingDelegation> receive(CreditDelegator &delegator,
                                        const std::string &keeper,
                                        ProcessInstance instance,
                                        const ShareReceipt &receipt,
                                        std::uint64_t &lastSequence,
                                        TimePoint now);

/** Returns when a member without keepers can expect to have one again. */
TimePoint keepersExpectedAt(const CreditDelegator &delegator, TimePoint now);

}
