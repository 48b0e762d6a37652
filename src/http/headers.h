#pragma once

/**
 * Names of the HTTP header fields between callers, entry VMs and upstreams; docs/CALLERS.md and docs/UPSTREAMS.md describe them.
 */
namespace Plantainweir::Headers {

/** Caller to entry VM, and on to the upstream: name of the work kind in the rules. */
inline constexpr auto WorkKind = "Plantainweir-Work-Kind";
/** Caller to entry VM, and on to the upstream: milliseconds left until the call's deadline. */
inline constexpr auto TimeoutMs = "Plantainweir-Timeout-Ms";
/** Caller to entry VM, and on to the upstream: a UUIDv7 (RFC 9562) that identifies the work and is never reused. */
inline constexpr auto IdempotencyKey = "Idempotency-Key";
/** Caller to entry VM: incarnation, as listed in the directory, of the entry VM that owns the key. */
inline constexpr auto KeyOwner = "Plantainweir-Key-Owner";
/** Caller to entry VM: name of the caller for fair queueing; the caller's IP address is used if the field is missing. */
inline constexpr auto Caller = "Plantainweir-Caller";

/** Entry VM to caller: name of a CallOutcome. */
inline constexpr auto Outcome = "Plantainweir-Outcome";
/** Entry VM to caller: name of a RefusalReason or UnknownReason. */
inline constexpr auto Reason = "Plantainweir-Reason";
/** Entry VM to caller, with outcome `not_run`: milliseconds to wait before the call is sent again. */
inline constexpr auto RetryAfterMs = "Plantainweir-Retry-After-Ms";

/** Upstream to entry VM: present, with any value, on a 503 if and only if the request was not executed. */
inline constexpr auto NotRun = "Plantainweir-Not-Run";
/** Upstream to entry VM: the load report `busy=N;queued=N`, the numbers of running and queued calls. */
inline constexpr auto Load = "Plantainweir-Load";
/** Upstream to entry VM: `draining` while the upstream accepts no new work. */
inline constexpr auto UpstreamState = "Plantainweir-Upstream-State";

}
