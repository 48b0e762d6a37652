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
 * The filter chain that each call passes before it is queued, forwarded or refused.
 *
 * Each filter is a free function over the context of the call. The chain does not depend on message encodings or sockets.
 */
namespace Plantainweir {

/** The input that is common to all calls. */
struct FilterEnvironment {
    const RoutingState &routing;
    TimePoint now;
};

/** The results of the filters for one call. Pointers point into FilterEnvironment::routing. */
struct RequestContext {
    const CallRequest &request;
    const Service *service = nullptr;
    const WorkKind *workKind = nullptr;
    TimePoint deadline;
    UuidV7 key; ///< The idempotency key. Set for at-most-once calls.
    bool isKeyOwner = false; ///< Whether this entry VM owns the idempotency key and decides by its record whether the call runs.
    const EntryMember *forwardTo = nullptr; ///< Set with FilterOutcome::Forward.
    RefusalReason refusal = RefusalReason::MalformedRequest; ///< Set with FilterOutcome::Refuse.
    UnknownReason unknown = UnknownReason::KeyOwnerLost; ///< Set with FilterOutcome::ReportUnknown.
    std::string keyOwner; ///< Set with RefusalReason::KeyOwnerRequired: an incarnation that the caller may name as key owner.
};

/** The decision of a filter. */
enum class FilterOutcome {
    Continue, ///< Run the next filter. After the last one, this entry VM handles the call.
    Forward, ///< Forward the call to another entry VM.
    Refuse, ///< Refuse the call. It has not run.
    ReportUnknown, ///< Report that the call may have run. It is not run again.
};

/** One filter of the chain. */
struct FilterEntry {
    std::string_view name;
    FilterOutcome (*filter)(RequestContext &, const FilterEnvironment &);
};

/** Refuses calls until a configuration has arrived. */
FilterOutcome filterReadiness(RequestContext &context, const FilterEnvironment &environment);
/** Finds the service. */
FilterOutcome filterService(RequestContext &context, const FilterEnvironment &environment);
/** Finds the work kind. */
FilterOutcome filterWorkKind(RequestContext &context, const FilterEnvironment &environment);
/** Sets the deadline, by default the current time plus the target of the work kind. */
FilterOutcome filterDeadline(RequestContext &context, const FilterEnvironment &environment);
/** Checks the idempotency key of at-most-once calls. */
FilterOutcome filterIdempotencyKey(RequestContext &context, const FilterEnvironment &environment);
/** Forwards at-most-once calls to the owner of their key. */
FilterOutcome filterKeyOwner(RequestContext &context, const FilterEnvironment &environment);
/** Forwards idempotent calls to an owner of the service's slots. */
FilterOutcome filterServiceOwner(RequestContext &context, const FilterEnvironment &environment);

/** The filters in the order in which they run. */
inline constexpr std::array<FilterEntry, 7> FilterChain{{
    {"readiness", filterReadiness},
    {"service", filterService},
    {"work_kind", filterWorkKind},
    {"deadline", filterDeadline},
    {"idempotency_key", filterIdempotencyKey},
    {"key_owner", filterKeyOwner},
    {"service_owner", filterServiceOwner},
}};

/** Runs the filters until one returns another outcome than FilterOutcome::Continue, and returns the last outcome. */
FilterOutcome runFilterChain(RequestContext &context, const FilterEnvironment &environment);

}
