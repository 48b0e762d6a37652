#include "filters/routechain.h"

#include <algorithm>

namespace Plantainweir {
namespace {

RouteOutcome refuse(RouteContext &context, RefusalReason reason)
{
    context.refusal = reason;
    return RouteOutcome::Refuse;
}

}

RouteOutcome filterTable(RouteContext &context, const RouteEnvironment &environment)
{
    return environment.table.version == 0 ? refuse(context, RefusalReason::NotReady) : RouteOutcome::Continue;
}

RouteOutcome filterStopping(RouteContext &context, const RouteEnvironment &environment)
{
    return environment.isStopping ? refuse(context, RefusalReason::Stopping) : RouteOutcome::Continue;
}

RouteOutcome filterRoute(RouteContext &context, const RouteEnvironment &environment)
{
    context.route = findRoute(environment.table, context.call.host, context.call.path);
    if (context.route != nullptr) {
        return RouteOutcome::Continue;
    }
    return refuse(context, environment.isTableFresh ? RefusalReason::UnknownRoute : RefusalReason::NotReady);
}

RouteOutcome filterAccount(RouteContext &context, const RouteEnvironment &environment)
{
    if (environment.table.accounts.empty()) {
        return RouteOutcome::Continue;
    }
    const Credential &credential = context.call.credential;
    if (credential.kind == CredentialKind::Key && environment.accounts != nullptr) {
        context.account = findAccount(*environment.accounts, credential.digest);
    }
    if (context.account != nullptr || context.route->isPublic) {
        return RouteOutcome::Continue;
    }
    return refuse(context, environment.isTableFresh ? RefusalReason::UnknownKey : RefusalReason::NotReady);
}

RouteOutcome filterRouteDeadline(RouteContext &context, const RouteEnvironment &environment)
{
    const Duration timeLeft = context.call.timeLeft.value_or(context.route->timeout);
    context.deadline = context.call.arrivedAt + std::min(timeLeft, context.route->timeout);
    return context.deadline <= environment.now ? refuse(context, RefusalReason::DeadlinePassed) : RouteOutcome::Continue;
}

RouteOutcome filterInterruption(RouteContext &context, const RouteEnvironment &environment)
{
    const bool isInterrupted = environment.interruptedAt && context.deadline > *environment.interruptedAt;
    return isInterrupted ? refuse(context, RefusalReason::Stopping) : RouteOutcome::Continue;
}

RouteOutcome filterMemory(RouteContext &context, const RouteEnvironment &environment)
{
    return context.call.bodyBytes > environment.freeBodyBytes / 2 ? refuse(context, RefusalReason::MemoryFull) : RouteOutcome::Continue;
}

std::uint32_t priorityOf(const RouteContext &context)
{
    const auto ofAccount = context.account != nullptr ? context.account->priority : std::nullopt;
    return ofAccount.value_or(context.route->priority);
}

RouteOutcome runRouteChain(RouteContext &context, const RouteEnvironment &environment)
{
    for (const RouteFilterEntry &entry : RouteChain) {
        if (entry.filter(context, environment) == RouteOutcome::Refuse) {
            return RouteOutcome::Refuse;
        }
    }
    return RouteOutcome::Continue;
}

}
