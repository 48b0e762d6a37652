#include "controllers/fleetcredit.h"

#include <algorithm>

namespace Plantainweir {
namespace {

struct CreditStepContext {
    FleetCredit &credit;
    TimePoint now;
    std::mt19937_64 &random;
    CreditActions actions;
    std::vector<CreditMessage> ownMessages; ///< From this member to itself, still to be handled.
};

CreditMessage messageWith(const CreditStepContext &context, const CreditMessageBody &body)
{
    const SeenFleetSize fleetSize = largestFleetSize(context.credit.delegator.fleetSize);
    const Duration validity = std::max(Duration(0), Duration(fleetSize.validUntil - context.now));
    return {.sender = context.credit.self,
            .instance = context.credit.instance,
            .fleetSize = fleetSize.size,
            // Rounded down, so that a size that no member sees any more is forgotten although members tell each other.
            .fleetSizeValidity = std::chrono::duration_cast<std::chrono::seconds>(validity),
            .body = body};
}

void sendTo(CreditStepContext &context, const std::string &receiver, const Endpoint &endpoint, const CreditMessageBody &body)
{
    const CreditMessage message = messageWith(context, body);
    if (receiver == context.credit.self) {
        context.ownMessages.push_back(message);
    } else {
        context.actions.messages.push_back({.to = endpoint, .message = message});
    }
}

void sendToMember(CreditStepContext &context, const std::string &name, const CreditMessageBody &body)
{
    const auto member = context.credit.members.find(name);
    if (member != context.credit.members.end()) {
        sendTo(context, name, member->second.creditEndpoint, body);
    }
}

void sendDelegations(CreditStepContext &context, const std::vector<OutgoingDelegation> &delegations)
{
    for (const OutgoingDelegation &outgoing : delegations) {
        sendToMember(context, outgoing.keeper, outgoing.delegation);
    }
}

void carryOut(CreditStepContext &context, BorrowerActions &&actions)
{
    for (const OutgoingBorrowing &outgoing : actions.messages) {
        sendToMember(context, outgoing.keeper, outgoing.body);
    }
    std::move(actions.decisions.begin(), actions.decisions.end(), std::back_inserter(context.actions.decisions));
}

/** Returns the keepers in the order in which to ask them: those of the own availability zone first, the others shuffled. */
std::vector<std::string> keepersToAsk(CreditStepContext &context)
{
    std::vector<std::string> keepers = context.credit.delegator.keepers;
    std::shuffle(keepers.begin(), keepers.end(), context.random);
    std::stable_partition(keepers.begin(), keepers.end(), [&](const std::string &name) {
        const auto member = context.credit.members.find(name);
        return member != context.credit.members.end() && member->second.availabilityZone == context.credit.availabilityZone;
    });
    return keepers;
}

/** Calls @p function with the environment of the borrower and carries out the resulting actions. */
template<typename Function>
void runBorrower(CreditStepContext &context, Function function)
{
    const std::vector<std::string> keepers = keepersToAsk(context);
    const BorrowerEnvironment environment{.keepers = keepers,
                                          .keepersExpectedAt = keepersExpectedAt(context.credit.delegator, context.now),
                                          .lastSequence = context.credit.lastSequence,
                                          .now = context.now};
    carryOut(context, function(context.credit.borrower, environment));
}

void renewDelegations(CreditStepContext &context)
{
    FleetCredit &credit = context.credit;
    sendDelegations(context, renew(credit.delegator, credit.members.size(), credit.lastSequence, context.now, context.random));
}

void handleBody(CreditStepContext &context, const CreditMessageReceived &event, const ShareDelegation &delegation)
{
    FleetCredit &credit = context.credit;
    if (const auto receipt = receive(credit.keeper, credit.limits, credit.instance, event.message, event.from, delegation, context.now)) {
        sendTo(context, event.message.sender, event.from, *receipt);
    }
}

void handleBody(CreditStepContext &context, const CreditMessageReceived &event, const ShareReceipt &receipt)
{
    FleetCredit &credit = context.credit;
    if (receipt.delegator == credit.instance) {
        sendDelegations(context, receive(credit.delegator, event.message.sender, event.message.instance, receipt, credit.lastSequence, context.now));
    }
}

void handleBody(CreditStepContext &context, const CreditMessageReceived &event, const CreditQuestion &question)
{
    FleetCredit &credit = context.credit;
    sendTo(context, event.message.sender, event.from, answer(credit.keeper, credit.limits, event.message.instance, question, context.now));
}

void handleBody(CreditStepContext &context, const CreditMessageReceived &event, const CreditAnswer &answer)
{
    if (answer.borrower == context.credit.instance) {
        runBorrower(context, [&](CreditBorrower &borrower, const BorrowerEnvironment &environment) {
            return receive(borrower, event.message.sender, answer, environment);
        });
    }
}

void handleBody(CreditStepContext &context, const CreditMessageReceived &event, const CreditReturn &credit)
{
    takeBack(context.credit.keeper, context.credit.limits, event.message.instance, credit);
}

void handle(CreditStepContext &context, const CreditMessageReceived &event)
{
    if (isEmpty(context.credit.limits)) {
        return;
    }
    rememberFleetSize(context.credit.delegator.fleetSize, event.message.fleetSize, context.now + event.message.fleetSizeValidity);
    std::visit(
        [&](const auto &body) {
            handleBody(context, event, body);
        },
        event.message.body);
}

void handle(CreditStepContext &context, const CreditLimitsChanged &event)
{
    FleetCredit &credit = context.credit;
    changeLimits(credit.keeper, credit.limits, event.limits, context.now);
    credit.limits = event.limits;
    if (!isEmpty(credit.limits) && credit.delegator.nextRenewalAt <= context.now) {
        renewDelegations(context);
    }
}

void handle(CreditStepContext &context, const CreditMembersChanged &event)
{
    FleetCredit &credit = context.credit;
    credit.members.clear();
    for (const CreditMember &member : event.members) {
        credit.members.emplace(member.name, member);
    }
    if (credit.delegator.knowledge == FleetKnowledge::Unknown && event.knowledge != FleetKnowledge::Unknown) {
        // Only once: members that tell each other an old number again and again would never forget it.
        rememberFleetSize(credit.delegator.fleetSize, event.comparedFleetSize, context.now + FleetSizeValidity);
    }
    changeMembers(credit.delegator, credit.members, event.knowledge, context.now);
}

void handle(CreditStepContext &context, const CreditRequested &event)
{
    runBorrower(context, [&](CreditBorrower &borrower, const BorrowerEnvironment &environment) {
        return request(borrower, event.id, event.line, event.deadline, environment);
    });
}

void handle(CreditStepContext &context, const CreditCancelled &event)
{
    cancel(context.credit.borrower, event.id);
}

void handle(CreditStepContext &context, const CreditGivenBack &event)
{
    runBorrower(context, [&](CreditBorrower &borrower, const BorrowerEnvironment &environment) {
        return giveBack(borrower, event.credit, environment);
    });
}

void handle(CreditStepContext &context, const CreditLeaveRequested &)
{
    FleetCredit &credit = context.credit;
    for (const LeavingReceipt &leaving : leave(credit.keeper, credit.limits, context.now)) {
        sendTo(context, leaving.delegator, leaving.to, leaving.receipt);
    }
}

void handle(CreditStepContext &context, const CreditTimerFired &)
{
    if (!isEmpty(context.credit.limits) && context.credit.delegator.nextRenewalAt <= context.now) {
        renewDelegations(context);
    }
    runBorrower(context, [](CreditBorrower &borrower, const BorrowerEnvironment &environment) {
        return expire(borrower, environment);
    });
}

}

FleetCredit makeFleetCredit(const std::string &self, const std::string &availabilityZone, ProcessInstance instance, TimePoint now)
{
    FleetCredit credit{.self = self, .availabilityZone = availabilityZone, .instance = instance};
    credit.delegator.self = self;
    credit.keeper.advancedAt = now;
    return credit;
}

CreditActions step(FleetCredit &credit, const CreditEvent &event, TimePoint now, std::mt19937_64 &random)
{
    CreditStepContext context{credit, now, random, {}, {}};
    advance(credit.keeper, credit.limits, now);
    std::visit(
        [&context](const auto &alternative) {
            handle(context, alternative);
        },
        event);
    while (!context.ownMessages.empty()) {
        const std::vector<CreditMessage> messages = std::exchange(context.ownMessages, {});
        for (const CreditMessage &message : messages) {
            handle(context, CreditMessageReceived{.from = {}, .message = message});
        }
    }
    return std::move(context.actions);
}

std::optional<TimePoint> nextDeadline(const FleetCredit &credit)
{
    std::optional<TimePoint> next = nextDeadline(credit.borrower);
    if (!isEmpty(credit.limits)) {
        const TimePoint renewal = credit.delegator.nextRenewalAt;
        next = std::min(next.value_or(renewal), renewal);
    }
    return next;
}

}
