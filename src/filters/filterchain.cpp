#include "filters/filterchain.h"

namespace Plantainweir {
namespace {

FilterOutcome refuse(RequestContext &context, RefusalReason reason)
{
    context.refusal = reason;
    return FilterOutcome::Refuse;
}

FilterOutcome forward(RequestContext &context, const EntryMember &member)
{
    context.forwardTo = &member;
    return FilterOutcome::Forward;
}

bool isAtMostOnce(const RequestContext &context)
{
    return context.workKind->repeatability == Repeatability::AtMostOnce;
}

/** Returns the incarnation that a caller may name as owner of a new key for @p service. */
std::string suggestKeyOwner(const RoutingState &routing, const std::string &service)
{
    if (isOwner(routing, service)) {
        return routing.self.incarnation;
    }
    const EntryMember *owner = findOtherOwner(routing, service);
    return owner == nullptr ? routing.self.incarnation : owner->incarnation;
}

}

FilterOutcome filterReadiness(RequestContext &context, const FilterEnvironment &environment)
{
    return environment.routing.isReady ? FilterOutcome::Continue : refuse(context, RefusalReason::NotReady);
}

FilterOutcome filterService(RequestContext &context, const FilterEnvironment &environment)
{
    context.service = findService(environment.routing, context.request.service);
    return context.service != nullptr ? FilterOutcome::Continue : refuse(context, RefusalReason::UnknownService);
}

FilterOutcome filterWorkKind(RequestContext &context, const FilterEnvironment &environment)
{
    context.workKind = findWorkKind(environment.routing, context.request.workKind);
    return context.workKind != nullptr ? FilterOutcome::Continue : refuse(context, RefusalReason::UnknownWorkKind);
}

FilterOutcome filterDeadline(RequestContext &context, const FilterEnvironment &environment)
{
    context.deadline = context.request.deadline.value_or(environment.now + context.workKind->target);
    return context.deadline > environment.now ? FilterOutcome::Continue : refuse(context, RefusalReason::DeadlinePassed);
}

FilterOutcome filterIdempotencyKey(RequestContext &context, const FilterEnvironment &)
{
    if (!isAtMostOnce(context) || context.request.origin == CallOrigin::Delegated) {
        return FilterOutcome::Continue;
    }
    if (context.request.idempotencyKey.empty()) {
        return refuse(context, RefusalReason::KeyMissing);
    }
    const auto key = parseUuidV7(context.request.idempotencyKey);
    if (!key) {
        return refuse(context, RefusalReason::KeyInvalid);
    }
    context.key = *key;
    return FilterOutcome::Continue;
}

FilterOutcome filterKeyOwner(RequestContext &context, const FilterEnvironment &environment)
{
    if (!isAtMostOnce(context) || context.request.origin == CallOrigin::Delegated) {
        return FilterOutcome::Continue;
    }
    const std::string &owner = context.request.keyOwner;
    if (owner.empty()) {
        context.keyOwner = suggestKeyOwner(environment.routing, context.service->name);
        return refuse(context, RefusalReason::KeyOwnerRequired);
    }
    if (owner == environment.routing.self.incarnation) {
        context.isKeyOwner = true;
        return FilterOutcome::Continue;
    }
    const EntryMember *member = findMemberByIncarnation(environment.routing, owner);
    if (member == nullptr || context.request.origin != CallOrigin::Caller) {
        context.unknown = UnknownReason::KeyOwnerLost;
        return FilterOutcome::ReportUnknown;
    }
    return forward(context, *member);
}

FilterOutcome filterServiceOwner(RequestContext &context, const FilterEnvironment &environment)
{
    // The key owner checks the idempotency record first. The task then delegates the call to an owner of the slots.
    if (context.isKeyOwner || isOwner(environment.routing, context.service->name)) {
        return FilterOutcome::Continue;
    }
    if (context.request.origin != CallOrigin::Caller) {
        return refuse(context, RefusalReason::OwnerUnreachable);
    }
    const EntryMember *owner = findOtherOwner(environment.routing, context.service->name);
    return owner == nullptr ? refuse(context, RefusalReason::NoUpstream) : forward(context, *owner);
}

FilterOutcome runFilterChain(RequestContext &context, const FilterEnvironment &environment)
{
    for (const FilterEntry &entry : FilterChain) {
        const FilterOutcome outcome = entry.filter(context, environment);
        if (outcome != FilterOutcome::Continue) {
            return outcome;
        }
    }
    return FilterOutcome::Continue;
}

}
