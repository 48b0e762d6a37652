#include "controllers/creditdelegator.h"

#include "decision/ownership.h"

#include <algorithm>
#include <limits>
#include <set>

namespace Plantainweir {
namespace {

/** Time for which a part is bound after it was delegated. The margin covers clocks whose pace differs by 200 ppm and more. */
constexpr Duration BoundTime = DelegationTime + std::chrono::milliseconds(5);
constexpr std::chrono::milliseconds RenewalPeriod{500};
/** A keeper that has sent no receipt for this time counts as silent. */
constexpr std::chrono::milliseconds ConfirmationTime{1250};
/** Interval between attempts to reach a silent candidate. */
constexpr std::chrono::milliseconds GreetingPeriod{2000};
/** Unconfirmed candidates that are asked for a receipt at once. */
constexpr std::size_t MaximumGreetings = KeeperCount + 2;
/** Part of its share that a member delegates while it may still find as many members as it knows. */
constexpr double SettledPart = 0.5;
/** A member that has not found the others expects them after this time. */
constexpr std::chrono::seconds ConvergenceTime{1};

bool isConfirmed(const CreditDelegator &delegator, const std::string &name, TimePoint now)
{
    const auto contact = delegator.contacts.find(name);
    return contact != delegator.contacts.end() && contact->second.confirmedUntil > now && !contact->second.isLeaving;
}

/** Returns whether @p name should be asked for a receipt although nothing is delegated to it. */
bool isGreetingDue(const CreditDelegator &delegator, const std::string &name, TimePoint now)
{
    const auto contact = delegator.contacts.find(name);
    return contact == delegator.contacts.end() || contact->second.nextGreetingAt <= now;
}

/** Returns the first confirmed candidates. Adds to @p greetings those before the last of them that should be asked again. */
std::vector<std::string> confirmedKeepers(const CreditDelegator &delegator, TimePoint now, std::vector<std::string> &greetings)
{
    std::vector<std::string> keepers;
    for (const std::string &name : delegator.candidates) {
        if (keepers.size() == KeeperCount) {
            break;
        }
        if (isConfirmed(delegator, name, now)) {
            keepers.push_back(name);
        } else if (greetings.size() < MaximumGreetings && isGreetingDue(delegator, name, now)) {
            greetings.push_back(name);
        }
    }
    return keepers;
}

bool isAssignedTo(const CreditDelegator &delegator, const DelegatedPart &part, const std::string &keeper)
{
    return part.keeper == keeper && part.instance == delegator.contacts.at(keeper).instance;
}

bool isAssigned(const CreditDelegator &delegator, const std::string &keeper)
{
    return std::any_of(delegator.parts.begin(), delegator.parts.end(), [&](const DelegatedPart &part) {
        return isAssignedTo(delegator, part, keeper);
    });
}

bool isKeeper(const CreditDelegator &delegator, const DelegatedPart &part)
{
    return std::any_of(delegator.keepers.begin(), delegator.keepers.end(), [&](const std::string &keeper) {
        return isAssignedTo(delegator, part, keeper);
    });
}

/** Assigns the parts that are not bound to keepers that have none. Returns the newly assigned ones. */
std::vector<DelegatedPart *> assignParts(CreditDelegator &delegator, TimePoint now)
{
    std::vector<DelegatedPart *> assigned;
    for (DelegatedPart &part : delegator.parts) {
        if (isKeeper(delegator, part) || part.boundUntil > now) {
            continue;
        }
        part = {};
        const auto keeper = std::find_if(delegator.keepers.begin(), delegator.keepers.end(), [&](const std::string &name) {
            return !isAssigned(delegator, name);
        });
        if (keeper != delegator.keepers.end()) {
            part.keeper = *keeper;
            part.instance = delegator.contacts.at(*keeper).instance;
            assigned.push_back(&part);
        }
    }
    return assigned;
}

OutgoingDelegation greeting(const CreditDelegator &delegator, const std::string &keeper, std::uint64_t &lastSequence)
{
    const auto contact = delegator.contacts.find(keeper);
    const bool isKnown = contact != delegator.contacts.end();
    return {.keeper = keeper,
            .delegation
            = {.keeper = isKnown ? contact->second.instance : 0, .sequence = ++lastSequence, .echoedAt = isKnown ? contact->second.stamp : TimePoint{}}};
}

/** Delegates @p part, or only asks for a receipt while this member must not delegate anything yet. */
OutgoingDelegation delegate(CreditDelegator &delegator, DelegatedPart &part, std::uint64_t &lastSequence, TimePoint now)
{
    OutgoingDelegation outgoing = greeting(delegator, part.keeper, lastSequence);
    if (delegator.knowledge != FleetKnowledge::Unknown && now >= delegator.quarantinedUntil) {
        const double usedPart = delegator.knowledge == FleetKnowledge::Converged ? 1.0 : SettledPart;
        outgoing.delegation.share = usedPart / static_cast<double>(KeeperCount * std::max<std::size_t>(1, largestFleetSize(delegator.fleetSize).size));
        part.boundUntil = now + BoundTime;
    }
    part.sequence = outgoing.delegation.sequence;
    return outgoing;
}

/** Orders by capacity, and so that the first keepers are in different availability zones. */
std::vector<std::string> orderCandidates(const std::map<std::string, CreditMember> &members)
{
    std::vector<const CreditMember *> order;
    for (const auto &[name, member] : members) {
        if (!member.isLeaving) {
            order.push_back(&member);
        }
    }
    const auto isPreferred = [](const CreditMember *left, const CreditMember *right) {
        return left->capacity != right->capacity ? left->capacity > right->capacity
                                                 : rendezvousWeight(left->name, "keeper") > rendezvousWeight(right->name, "keeper");
    };
    std::sort(order.begin(), order.end(), isPreferred);
    std::set<std::string> zones;
    std::stable_partition(order.begin(), order.end(), [&](const CreditMember *member) {
        return zones.insert(member->availabilityZone).second;
    });
    std::vector<std::string> names;
    names.reserve(order.size());
    for (const CreditMember *member : order) {
        names.push_back(member->name);
    }
    return names;
}

}

void changeMembers(CreditDelegator &delegator, const std::map<std::string, CreditMember> &members, FleetKnowledge knowledge, TimePoint now)
{
    rememberFleetSize(delegator.fleetSize, members.size(), now + FleetSizeValidity);
    const bool isKnown = delegator.knowledge == FleetKnowledge::Unknown && knowledge != FleetKnowledge::Unknown;
    if (isKnown && delegator.quarantinedUntil <= now - BoundTime) {
        // So late, it is known because another part of the fleet was found, which may not know the new size yet.
        delegator.quarantinedUntil = now + BoundTime;
    }
    if (knowledge > delegator.knowledge) {
        // More of the share may be delegated now.
        delegator.nextRenewalAt = std::min(delegator.nextRenewalAt, now);
    }
    delegator.knowledge = knowledge;
    delegator.candidates = orderCandidates(members);
    std::erase_if(delegator.contacts, [&](const auto &entry) {
        return !members.contains(entry.first);
    });
    std::erase_if(delegator.keepers, [&](const std::string &name) {
        return !delegator.contacts.contains(name);
    });
    if (delegator.keepers.size() < KeeperCount) {
        // New members are greeted soon, but not once for each of them while many start.
        delegator.nextRenewalAt = std::min(delegator.nextRenewalAt, now + RenewalPeriod / 10);
    }
}

std::vector<OutgoingDelegation> renew(CreditDelegator &delegator, std::size_t liveMembers, std::uint64_t &lastSequence, TimePoint now, std::mt19937_64 &random)
{
    forgetFleetSizes(delegator.fleetSize, now);
    rememberFleetSize(delegator.fleetSize, liveMembers, now + FleetSizeValidity);
    const std::int64_t period = Duration(RenewalPeriod).count();
    delegator.nextRenewalAt = now + Duration(std::uniform_int_distribution<std::int64_t>(period * 9 / 10, period)(random));
    if (delegator.quarantinedUntil > now) {
        delegator.nextRenewalAt = std::min(delegator.nextRenewalAt, delegator.quarantinedUntil);
    }

    std::vector<OutgoingDelegation> outgoing;
    std::vector<std::string> greetings;
    delegator.keepers = confirmedKeepers(delegator, now, greetings);
    assignParts(delegator, now);
    for (DelegatedPart &part : delegator.parts) {
        if (isKeeper(delegator, part)) {
            outgoing.push_back(delegate(delegator, part, lastSequence, now));
        } else if (part.boundUntil > now && isConfirmed(delegator, part.keeper, now) && isAssignedTo(delegator, part, part.keeper)) {
            // Withdraws the part, so that another keeper can have it before its end. A later run of the keeper cannot release it.
            outgoing.push_back(greeting(delegator, part.keeper, lastSequence));
        }
    }
    for (const std::string &name : greetings) {
        delegator.contacts[name].nextGreetingAt = now + GreetingPeriod;
        outgoing.push_back(greeting(delegator, name, lastSequence));
    }
    return outgoing;
}

std::vector<OutgoingDelegation> receive(CreditDelegator &delegator,
                                        const std::string &keeper,
                                        ProcessInstance instance,
                                        const ShareReceipt &receipt,
                                        std::uint64_t &lastSequence,
                                        TimePoint now)
{
    if (std::find(delegator.candidates.begin(), delegator.candidates.end(), keeper) == delegator.candidates.end()) {
        return {};
    }
    KeeperContact &contact = delegator.contacts[keeper];
    if (contact.instance != instance) {
        contact = {.instance = instance};
    }
    const bool isNew = contact.confirmedUntil <= now;
    contact.stamp = std::max(contact.stamp, receipt.sentAt);
    contact.confirmedUntil = now + ConfirmationTime;
    contact.nextGreetingAt = {};
    contact.isLeaving = contact.isLeaving || receipt.releasedUpTo == std::numeric_limits<std::uint64_t>::max();
    if (delegator.quarantinedUntil == TimePoint::max() && keeper != delegator.self) {
        // Until then an earlier run of this process may still be reckoned with, and others do not know the new size of the fleet.
        delegator.quarantinedUntil = now + BoundTime;
    }
    bool isReleased = false;
    for (DelegatedPart &part : delegator.parts) {
        if (part.keeper == keeper && part.instance == instance && part.sequence <= receipt.releasedUpTo && part.boundUntil > now) {
            part.boundUntil = now;
            isReleased = true;
        }
    }
    std::vector<OutgoingDelegation> outgoing;
    if (!isNew && !isReleased && !contact.isLeaving) {
        return outgoing;
    }
    std::vector<std::string> greetings;
    delegator.keepers = confirmedKeepers(delegator, now, greetings);
    for (DelegatedPart *part : assignParts(delegator, now)) {
        outgoing.push_back(delegate(delegator, *part, lastSequence, now));
    }
    return outgoing;
}

TimePoint keepersExpectedAt(const CreditDelegator &delegator, TimePoint now)
{
    TimePoint expected = std::max(delegator.nextRenewalAt, now);
    if (delegator.knowledge == FleetKnowledge::Unknown) {
        return std::max(expected, now + ConvergenceTime);
    }
    if (delegator.quarantinedUntil != TimePoint::max()) {
        expected = std::max(expected, delegator.quarantinedUntil);
    }
    TimePoint firstFree = TimePoint::max();
    for (const DelegatedPart &part : delegator.parts) {
        firstFree = std::min(firstFree, part.boundUntil);
    }
    return std::max(expected, firstFree);
}

}
