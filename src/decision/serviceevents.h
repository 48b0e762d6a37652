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

/** The events that step() handles for one service at one of its owners, and the actions that it returns. */
namespace Plantainweir {

using CallId = std::uint64_t;
using AttemptId = std::uint64_t;

/** A call passed the filters. step() queues or refuses it. */
struct CallArrived {
    CallId call = 0;
    Rank rank = Rank::Low;
    Repeatability repeatability = Repeatability::AtMostOnce;
    double worth = 1.0;
    TimePoint deadline;
    std::uint64_t caller = 0; ///< Hash of the caller's name, for fairness.
    std::string handedOverBy{}; ///< The co-owner that handed the call over, or empty. Such a call is not handed over again.
};

/**
 * The caller closed its connection before the call ended.
 *
 * A queued call is dropped and a running idempotent call is cancelled, both without a final action (AnswerCall,
 * RefuseCall or ReportUnknown). A running at-most-once call continues to its final action, so that a retry with the same
 * key finds the answer.
 */
struct CallAbandoned {
    CallId call = 0;
};

/** The outcome of an attempt at an upstream, or of a hand-over. */
enum class AttemptOutcome {
    Succeeded, ///< A complete answer that is not a server error.
    ServerError, ///< A complete answer with a server error. The call may have run.
    Shed, ///< The upstream answered that it did not run the call.
    NotSent, ///< No byte of the request was sent.
    ConnectionLost, ///< The request was sent, and the connection was lost before the complete answer arrived.
    DeadlinePassed, ///< The request was sent, and no complete answer arrived before the deadline.
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

/** The load that an upstream reports in an answer or a probe response. It is out of date by the network delay. */
struct LoadReport {
    std::uint32_t busySlots = 0;
    std::uint32_t queuedCalls = 0;
    bool isDraining = false;
};

/** An attempt at an upstream, or a hand-over to a co-owner, has ended. */
struct AttemptFinished {
    AttemptId attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::ConnectionLost;
    std::optional<LoadReport> report{};
};

/** The complete list of the upstreams whose slots this owner manages. Upstreams that are not listed receive no new work. */
struct UpstreamsAssigned {
    std::vector<Upstream> upstreams;
};

/** An upstream is leaving, whichever source reported it first, or it has returned. */
struct UpstreamLeaving {
    std::string upstream;
    bool isLeaving = true;
};

/** The complete list of the other owners of the service, in the order of ServiceOwners::owners. */
struct PeersAssigned {
    std::vector<std::string> peers;
};

/**
 * By rank, the calls that an owner could start within about one service time: in free slots, and in slots where calls of
 * lower ranks are running.
 */
using OpenSlots = std::array<std::uint32_t, enumCount<Rank>()>;

/** A load report that a co-owner sent by SendPeerLoadReport. It is out of date by the network delay. */
struct PeerLoadReport {
    std::string peer;
    OpenSlots openSlots{};
    std::uint32_t queuedCalls = 0;
    std::uint64_t handOversReceived = 0; ///< Calls received from this owner so far. Other sent calls are still in transit.
};

/** The time that nextWakeUp() returned has been reached. */
struct TimerFired {
};

using ServiceEvent = std::variant<CallArrived, CallAbandoned, AttemptFinished, UpstreamsAssigned, UpstreamLeaving, PeersAssigned, PeerLoadReport, TimerFired>;

/** Sends the call to the upstream. Exactly one AttemptFinished must follow unless the attempt is cancelled. */
struct StartAttempt {
    AttemptId attempt = 0;
    CallId call = 0;
    std::string upstream;
    TimePoint deadline;
};

/**
 * Sends the call to a co-owner with open slots for its rank. The co-owner schedules it like a call of its own.
 *
 * Exactly one AttemptFinished must follow unless the attempt is cancelled. A refusal by the co-owner is reported as
 * AttemptOutcome::Shed, because the call did not run. An "unknown" outcome is reported as ConnectionLost or
 * DeadlinePassed.
 */
struct HandOverCall {
    AttemptId attempt = 0;
    CallId call = 0;
    std::string peer;
    TimePoint deadline;
};

/** Sends a PeerLoadReport to a co-owner. A lost report does no harm, because each one is complete. */
struct SendPeerLoadReport {
    std::string peer;
    OpenSlots openSlots{};
    std::uint32_t queuedCalls = 0;
    std::uint64_t handOversReceived = 0;
};

/** Cancels an attempt at an upstream or co-owner. No AttemptFinished follows. */
struct CancelAttempt {
    AttemptId attempt = 0;
};

/** Answers the call with the answer of the attempt. */
struct AnswerCall {
    CallId call = 0;
    AttemptId attempt = 0;
};

/** Tells the caller that the call was not run. */
struct RefuseCall {
    CallId call = 0;
    RefusalReason reason = RefusalReason::NoUpstream;
    TimePoint retryAt; ///< Earliest time at which the caller should retry, not before the current time.
};

/** Tells the caller that the call may have run. */
struct ReportUnknown {
    CallId call = 0;
    UnknownReason reason = UnknownReason::ConnectionLost;
};

/** Counts a retry or hedge in the metrics. */
struct CountRetry {
    RetryReason reason = RetryReason::UpstreamShed;
};

/** Records in logs and metrics that an upstream was ejected or returned to service. */
struct EjectionChanged {
    std::string upstream;
    bool isEjected = false;
};

using ServiceAction
    = std::variant<StartAttempt, CancelAttempt, AnswerCall, RefuseCall, ReportUnknown, CountRetry, EjectionChanged, HandOverCall, SendPeerLoadReport>;
using ServiceActions = std::vector<ServiceAction>;

}
