#pragma once

#include "configuration/configuration.h"
#include "core/outcome.h"
#include "core/time.h"
#include "core/work.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** The events that an owner's decisions on one service take and the actions that they give. */
namespace Plantainweir {

using CallId = std::uint64_t;
using AttemptId = std::uint64_t;

/** A call that has passed the filters and waits to be run. */
struct CallArrived {
    CallId call = 0;
    Rank rank = Rank::Low;
    Repeatability repeatability = Repeatability::AtMostOnce;
    double worth = 1.0;
    TimePoint deadline;
    std::uint64_t caller = 0; ///< Hash of the caller's name, for fairness.
    std::string handedOverBy{}; ///< The co-owner that handed the call over; empty for a call of a caller. It is not handed on.
};

/**
 * The caller has gone; nobody waits for the call's answer.
 *
 * A queued call is dropped and an idempotent one is cancelled, both without a final action. An at-most-once call that
 * may run already goes on and gets its final action, so that a retry with the same key finds the answer.
 */
struct CallAbandoned {
    CallId call = 0;
};

/** How an attempt at an upstream ended. */
enum class AttemptOutcome {
    Succeeded, ///< A whole answer that is no server error.
    ServerError, ///< A whole answer with a server error; the call ran or may have run.
    Shed, ///< The upstream said that it did not run the call.
    NotSent, ///< No byte of the request left.
    ConnectionLost, ///< Sent, and the connection was lost before the whole answer.
    DeadlinePassed, ///< Sent, and no whole answer came in time.
};

constexpr std::array<EnumName<AttemptOutcome>, 6> enumNames(AttemptOutcome)
{
    return {{
        {AttemptOutcome::Succeeded, "succeeded"},
        {AttemptOutcome::ServerError, "server_error"},
        {AttemptOutcome::Shed, "shed"},
        {AttemptOutcome::NotSent, "not_sent"},
        {AttemptOutcome::ConnectionLost, "lost"},
        {AttemptOutcome::DeadlinePassed, "deadline_passed"},
    }};
}
static_assert(isEnumTableOrdered<AttemptOutcome>());

/** What an upstream told about itself in an answer or a probe; as old as its way here. */
struct LoadReport {
    std::uint32_t busySlots = 0;
    std::uint32_t queuedCalls = 0;
    bool isDraining = false;
};

/** An attempt at an upstream, or at the co-owner that a call was handed over to, has ended. */
struct AttemptFinished {
    AttemptId attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::ConnectionLost;
    std::optional<LoadReport> report{};
};

/** The upstreams whose slots this owner holds, complete; those that are missing receive no new work. */
struct UpstreamsAssigned {
    std::vector<Upstream> upstreams;
};

/** An upstream leaves, from whichever source the news came first, or is back after it left. */
struct UpstreamLeaving {
    std::string upstream;
    bool isLeaving = true;
};

/** The other owners of the service, complete, in the order of their rendezvous weights. */
struct PeersAssigned {
    std::vector<std::string> peers;
};

/** Calls of each rank that an owner would start within about one service time: into free slots, or next after lower ranks. */
using OpenSlots = std::array<std::uint32_t, enumCount<Rank>()>;

/** What a co-owner told by SendPeerLoadReport; as old as its way here. */
struct PeerLoadReport {
    std::string peer;
    OpenSlots openSlots{};
    std::uint32_t queuedCalls = 0;
    std::uint64_t handOversReceived = 0; ///< Calls that it has received from this owner so far; reveals those under way.
};

/** Time has passed; sent when nextWakeUp() is reached. */
struct TimerFired {
};

using ServiceEvent = std::variant<CallArrived, CallAbandoned, AttemptFinished, UpstreamsAssigned, UpstreamLeaving, PeersAssigned, PeerLoadReport, TimerFired>;

/** Sends the call to the upstream; exactly one AttemptFinished must follow unless the attempt is cancelled. */
struct StartAttempt {
    AttemptId attempt = 0;
    CallId call = 0;
    std::string upstream;
    TimePoint deadline;
};

/**
 * Sends the call to a co-owner, which has open slots for its rank; the co-owner decides on it as on a call of its own.
 *
 * It is an attempt like any other: exactly one AttemptFinished must follow unless it is cancelled. A refusal by the
 * co-owner is AttemptOutcome::Shed, for then nothing has run; its "unknown" is ConnectionLost or DeadlinePassed.
 */
struct HandOverCall {
    AttemptId attempt = 0;
    CallId call = 0;
    std::string peer;
    TimePoint deadline;
};

/** Sends a PeerLoadReport to a co-owner; may be lost without harm. */
struct SendPeerLoadReport {
    std::string peer;
    OpenSlots openSlots{};
    std::uint32_t queuedCalls = 0;
    std::uint64_t handOversReceived = 0;
};

/** Gives an attempt up at the upstream or co-owner; no AttemptFinished follows. */
struct CancelAttempt {
    AttemptId attempt = 0;
};

/** Answers the call with the answer that the attempt brought. */
struct AnswerCall {
    CallId call = 0;
    AttemptId attempt = 0;
};

/** Tells the caller that the call was not run. */
struct RefuseCall {
    CallId call = 0;
    RefusalReason reason = RefusalReason::NoUpstream;
    TimePoint retryAt; ///< When to come again; not before now.
};

/** Tells the caller that the call may have run. */
struct ReportUnknown {
    CallId call = 0;
    UnknownReason reason = UnknownReason::ConnectionLost;
};

/** For counters: a call is sent once more. */
struct CountRetry {
    RetryReason reason = RetryReason::UpstreamShed;
};

/** For logs and counters: an upstream was ejected, or returned. */
struct EjectionChanged {
    std::string upstream;
    bool isEjected = false;
};

using ServiceAction
    = std::variant<StartAttempt, CancelAttempt, AnswerCall, RefuseCall, ReportUnknown, CountRetry, EjectionChanged, HandOverCall, SendPeerLoadReport>;
using ServiceActions = std::vector<ServiceAction>;

}
