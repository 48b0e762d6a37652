#pragma once

#include "configuration/clientaccounts.h"
#include "configuration/routetable.h"
#include "core/outcome.h"
#include "core/time.h"

#include <array>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

/** The filter chain for calls that are routed by host and path. It does not depend on message encodings or sockets. */
namespace Plantainweir {

/** What a call presents to prove its client account. */
enum class CredentialKind {
    None,
    Malformed, ///< Not a single well-formed key.
    Key,
};

struct Credential {
    CredentialKind kind = CredentialKind::None;
    KeyDigest digest{}; ///< Valid for CredentialKind::Key.
};

/** The parts of a call that routing uses. */
struct RoutedCall {
    std::string host;
    std::string path;
    std::string requestId;
    std::optional<Duration> timeLeft; ///< Time for which the caller still waits. Not set if it sent none.
    TimePoint arrivedAt;
    std::size_t bodyBytes = 0;
    Credential credential;
};

/** The input that is common to all calls. */
struct RouteEnvironment {
    const RouteTable &table;
    const AccountIndex *accounts = nullptr; ///< Of @ref table; needed if it has accounts.
    bool isTableFresh = true; ///< Whether the platform confirmed the table recently. Otherwise, a missing route or key may exist.
    bool isStopping = false; ///< Whether this process is stopping and accepts no new calls.
    std::optional<TimePoint> interruptedAt; ///< When calls in flight are interrupted, if this process is going to stop.
    std::size_t freeBodyBytes = std::numeric_limits<std::size_t>::max(); ///< What the bodies of the calls in flight may still take.
    TimePoint now;
};

/** The results of the filters for one call. */
struct RouteContext {
    const RoutedCall &call;
    const Route *route = nullptr; ///< Points into the table.
    const ClientAccount *account = nullptr; ///< Points into the table; null if the call belongs to no client account.
    TimePoint deadline;
    RefusalReason refusal = RefusalReason::NotReady; ///< Set with RouteOutcome::Refuse.
};

enum class RouteOutcome {
    Continue, ///< Run the next filter. After the last one, the call is admitted.
    Refuse, ///< Refuse the call. It has not run.
};

struct RouteFilterEntry {
    std::string_view name;
    RouteOutcome (*filter)(RouteContext &, const RouteEnvironment &);
};

/** Refuses calls until a route table has arrived. */
RouteOutcome filterTable(RouteContext &context, const RouteEnvironment &environment);
/** Refuses calls that arrive while this process is stopping. */
RouteOutcome filterStopping(RouteContext &context, const RouteEnvironment &environment);
/** Finds the route. */
RouteOutcome filterRoute(RouteContext &context, const RouteEnvironment &environment);
/** Finds the client account of the call's key. Without one, only public routes are open, if the table has accounts. */
RouteOutcome filterAccount(RouteContext &context, const RouteEnvironment &environment);
/** Sets the deadline to that of the caller or the timeout of the route, whichever is earlier. */
RouteOutcome filterRouteDeadline(RouteContext &context, const RouteEnvironment &environment);

/** Refuses calls that may still be running when this process interrupts them to stop. */
RouteOutcome filterInterruption(RouteContext &context, const RouteEnvironment &environment);

/** Refuses calls whose body takes more than half of the free memory, so that large ones leave room for small ones. */
RouteOutcome filterMemory(RouteContext &context, const RouteEnvironment &environment);

/** The filters in the order in which they run. */
inline constexpr std::array<RouteFilterEntry, 7> RouteChain{{
    {"table", filterTable},
    {"stopping", filterStopping},
    {"route", filterRoute},
    {"account", filterAccount},
    {"deadline", filterRouteDeadline},
    {"interruption", filterInterruption},
    {"memory", filterMemory},
}};

/** Returns the priority of an admitted call: that of its account, if it has one, otherwise that of its route. */
std::uint32_t priorityOf(const RouteContext &context);

/** Runs the filters until one refuses the call. */
RouteOutcome runRouteChain(RouteContext &context, const RouteEnvironment &environment);

}
