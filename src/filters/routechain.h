#pragma once

#include "configuration/routetable.h"
#include "core/outcome.h"
#include "core/time.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>

/** The filter chain for calls that name a host and a path instead of a service. Knows no encoding and no socket. */
namespace Plantainweir {

/** What routing needs of a call. */
struct RoutedCall {
    std::string host;
    std::string path;
    std::string requestId;
    std::optional<Duration> timeLeft; ///< For which the caller waits.
    TimePoint arrivedAt;
};

/** What all filters may look at. */
struct RouteEnvironment {
    const RouteTable &table;
    bool isTableFresh = true; ///< The platform confirmed the table lately, so that a missing route is known to be none.
    bool isStopping = false; ///< This entry VM ends soon and starts nothing new.
    TimePoint now;
};

/** What the chain works out about one call. */
struct RouteContext {
    const RoutedCall &call;
    const Route *route = nullptr; ///< Points into the table.
    TimePoint deadline;
    RefusalReason refusal = RefusalReason::NotReady; ///< Set with RouteOutcome::Refuse.
};

enum class RouteOutcome {
    Continue, ///< The next filter decides; after the last one the call is admitted.
    Refuse,
};

struct RouteFilterEntry {
    std::string_view name;
    RouteOutcome (*filter)(RouteContext &, const RouteEnvironment &);
};

/** Refuses calls while no table has arrived. */
RouteOutcome filterTable(RouteContext &context, const RouteEnvironment &environment);
/** Refuses calls that come too late before the end of this process. */
RouteOutcome filterStopping(RouteContext &context, const RouteEnvironment &environment);
/** Finds the route. */
RouteOutcome filterRoute(RouteContext &context, const RouteEnvironment &environment);
/** Sets the deadline: the caller's, or the route's timeout if it is sooner. */
RouteOutcome filterRouteDeadline(RouteContext &context, const RouteEnvironment &environment);

/** The chain, in its order. */
inline constexpr std::array<RouteFilterEntry, 4> RouteChain{{
    {"table", filterTable},
    {"stopping", filterStopping},
    {"route", filterRoute},
    {"deadline", filterRouteDeadline},
}};

/** Runs the chain until a filter decides. */
RouteOutcome runRouteChain(RouteContext &context, const RouteEnvironment &environment);

}
