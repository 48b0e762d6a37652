#pragma once

#include "configuration/configuration.h"
#include "core/outcome.h"
#include "core/time.h"
#include "core/uuidv7.h"
#include "decision/routingstate.h"
#include "filters/callrequest.h"

#include <array>
#include <string>
#include <string_view>

/**
 * The filter chain: what a call passes, in order, before it is queued, forwarded or refused.
 *
 * Each filter is a free function over the call's context. The chain knows no encoding of messages and no socket.
 */
namespace Plantainweir {

/** What all filters may look at. */
struct FilterEnvironment {
    const RoutingState &routing;
    TimePoint now;
};

/** What the chain works out about one call. Pointers point into FilterEnvironment::routing. */
struct RequestContext {
    const CallRequest &request;
    const Service *service = nullptr;
    const WorkKind *workKind = nullptr;
    TimePoint deadline;
    UuidV7 key; ///< Set for at-most-once work.
    bool isKeyOwner = false; ///< Whether the key book decides about the call, here.
    const EntryMember *forwardTo = nullptr; ///< Set with FilterOutcome::Forward.
    RefusalReason refusal = RefusalReason::MalformedRequest; ///< Set with FilterOutcome::Refuse.
    UnknownReason unknown = UnknownReason::KeyOwnerLost; ///< Set with FilterOutcome::ReportUnknown.
    std::string keyOwner; ///< Set with RefusalReason::KeyOwnerRequired: an owner that the caller may name.
};

/** What a filter decides. */
enum class FilterOutcome {
    Continue, ///< The next filter decides; after the last one the call is admitted here.
    Forward, ///< Another entry VM decides.
    Refuse, ///< The call is not run.
    ReportUnknown, ///< The call may have run and is not run now.
};

/** One row of the chain. */
struct FilterEntry {
    std::string_view name;
    FilterOutcome (*filter)(RequestContext &, const FilterEnvironment &);
};

/** Refuses calls while no configuration has arrived. */
FilterOutcome filterReadiness(RequestContext &context, const FilterEnvironment &environment);
/** Finds the service. */
FilterOutcome filterService(RequestContext &context, const FilterEnvironment &environment);
/** Finds the work kind. */
FilterOutcome filterWorkKind(RequestContext &context, const FilterEnvironment &environment);
/** Sets the deadline, by default the kind's target from now. */
FilterOutcome filterDeadline(RequestContext &context, const FilterEnvironment &environment);
/** Checks the idempotency key of at-most-once work. */
FilterOutcome filterIdempotencyKey(RequestContext &context, const FilterEnvironment &environment);
/** Hands at-most-once work to the owner of its key. */
FilterOutcome filterKeyOwner(RequestContext &context, const FilterEnvironment &environment);
/** Hands idempotent work to an owner of the service's slots. */
FilterOutcome filterServiceOwner(RequestContext &context, const FilterEnvironment &environment);

/** The chain, in its order. */
inline constexpr std::array<FilterEntry, 7> FilterChain{{
    {"readiness", filterReadiness},
    {"service", filterService},
    {"work_kind", filterWorkKind},
    {"deadline", filterDeadline},
    {"idempotency_key", filterIdempotencyKey},
    {"key_owner", filterKeyOwner},
    {"service_owner", filterServiceOwner},
}};

/** Runs the chain until a filter decides; FilterOutcome::Continue admits the call here. */
FilterOutcome runFilterChain(RequestContext &context, const FilterEnvironment &environment);

}
