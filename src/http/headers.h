#pragma once

/**
 * Names of the HTTP fields that the system understands; docs/CALLERS.md and docs/UPSTREAMS.md describe them.
 */
namespace Plantainweir::Headers {

/** Caller to entry VM, and on to the upstream: the work kind's name from the rules. */
inline constexpr auto WorkKind = "Plantainweir-Work-Kind";
/** Caller to entry VM, and on to the upstream: milliseconds until the answer is worthless. */
inline constexpr auto TimeoutMs = "Plantainweir-Timeout-Ms";
/** Caller to entry VM, and on to the upstream: a UUIDv7 (RFC 9562) that names the work for ever. */
inline constexpr auto IdempotencyKey = "Idempotency-Key";
/** Caller to entry VM: the incarnation, from the directory, of the entry VM that owns the key. */
inline constexpr auto KeyOwner = "Plantainweir-Key-Owner";
/** Caller to entry VM: names the caller for fairness; its IP number stands in if it is missing. */
inline constexpr auto Caller = "Plantainweir-Caller";

/** Entry VM to caller: a word of CallOutcome. */
inline constexpr auto Outcome = "Plantainweir-Outcome";
/** Entry VM to caller: a word of RefusalReason or UnknownReason. */
inline constexpr auto Reason = "Plantainweir-Reason";
/** Entry VM to caller with "not run": milliseconds after which to come again. */
inline constexpr auto RetryAfterMs = "Plantainweir-Retry-After-Ms";

/** Upstream to entry VM: present, with any value, on a 503 if and only if the request was not executed. */
inline constexpr auto NotRun = "Plantainweir-Not-Run";
/** Upstream to entry VM: `busy=N;queued=N`, the calls that run and wait there. */
inline constexpr auto Load = "Plantainweir-Load";
/** Upstream to entry VM: `draining` while it wants no new work. */
inline constexpr auto UpstreamState = "Plantainweir-Upstream-State";

}
