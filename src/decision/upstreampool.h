#pragma once

#include "core/endpoint.h"
#include "core/time.h"
#include "decision/coldstart.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/** The upstreams of one service as known to one entry VM: their last load reports, and which ones are ejected. */
namespace Plantainweir {

/** Identifies one incarnation of an upstream. A key is never reused within a process. */
using UpstreamKey = std::uint64_t;

/** An upstream that may receive calls. */
struct RegisteredUpstream {
    UpstreamKey key = 0;
    std::string id; ///< The id by which the upstream identifies itself.
    std::string service;
    Endpoint endpoint;
    std::string availabilityZone;
    std::uint32_t slots = 1;
    bool isDraining = false;
    TimePoint coldUntil; ///< End of the cold start, during which work takes longer.
    bool isColdLimited = false; ///< Whether the calls to it are limited over the fleet while it is cold.
    std::int64_t startedAtMs = 0; ///< Unix time of its start in milliseconds, zero if not given.
    bool operator==(const RegisteredUpstream &) const = default;
};

/** The load that an upstream reports. */
struct UpstreamLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0; ///< Zero if not reported.
    double workTimeFactor = 1.0; ///< Current factor on the time of work, caused by the other upstreams on its VM.
};

/** What an upstream says in an answer about the further calls that it wants from this entry VM. */
struct UpstreamNotice {
    bool isLeaving = false; ///< It is leaving and takes no new calls.
    std::optional<Duration> quietTime; ///< Time from the answer during which it wants no calls.
    bool operator==(const UpstreamNotice &) const = default;
};

/** Classifies an upstream by its last load report. */
enum class LoadState {
    Available, ///< A slot is free, and work takes about its usual time.
    Slow, ///< A slot is free, and work takes longer than usual.
    Full, ///< No slot is free, or calls are queued at the upstream.
    Cold, ///< A slot is free, but each call needs credit.
    Unknown, ///< There is no recent load report, or it is not known whether the upstream is cold.
};

struct PooledUpstream {
    RegisteredUpstream registration;
    UpstreamLoad load;
    TimePoint loadReceivedAt; ///< Time of the last load report. The epoch if there is none.
    std::uint32_t sentSinceLoadReport = 0;
    std::uint32_t inFlight = 0; ///< Calls of this entry VM that are running at the upstream.
    double failureRate = 0.0; ///< Exponentially weighted share of failed attempts.
    std::uint32_t consecutiveEjections = 0; ///< Since the last successful attempt.
    TimePoint ejectedUntil;
    TimePoint quietUntil; ///< It asked for no calls before this time.
    bool isLeaving = false; ///< Whether its incarnation is among UpstreamPool::leaving.
    ColdStart coldStart; ///< Kept if RegisteredUpstream::isColdLimited.
    bool isEvacuated = false; ///< Whether its availability zone gets no calls.
    std::uint64_t preference = 0; ///< Upstreams with the highest values form the subset of this entry VM (subset.h).
};

/** Identifies an incarnation of an upstream across registrations, which each get a new key. */
struct UpstreamIncarnation {
    std::string id;
    std::int64_t startedAtMs = 0;
    auto operator<=>(const UpstreamIncarnation &) const = default;
};

struct UpstreamPool {
    std::map<UpstreamKey, PooledUpstream> upstreams;
    std::map<UpstreamKey, PooledUpstream> absent; ///< No longer registered, with calls in flight; they may be registered again.
    /**
     * Incarnations that said that they leave, with the time until which this is remembered. A registration that says
     * otherwise is outdated.
     */
    std::map<UpstreamIncarnation, TimePoint> leaving;
};

/** Replaces the registered upstreams. The state of upstreams that stay registered is kept. */
void replaceUpstreams(UpstreamPool &pool, const std::vector<RegisteredUpstream> &upstreams);

/** Sends no calls to the upstreams of @p availabilityZones, and calls to those of all other zones again. */
void setEvacuatedZones(UpstreamPool &pool, const std::set<std::string> &availabilityZones);

/** Returns the upstream, also one that is absent, or nullptr if it is not known. */
PooledUpstream *findUpstream(UpstreamPool &pool, UpstreamKey key);

void recordLoadReport(PooledUpstream &upstream, const UpstreamLoad &load, TimePoint now);
/** Subtracts a call that ended without a load report from the last reported load. */
void recordEndWithoutLoadReport(PooledUpstream &upstream);
/** Records a successful attempt. */
void recordSuccess(PooledUpstream &upstream);
/** Records a failed attempt, and ejects the upstream if its failure rate is high. */
void recordFailure(PooledUpstream &upstream, TimePoint now);
/** Records an attempt that was cancelled although most take less time. It weighs less than a failure. */
void recordOverdue(PooledUpstream &upstream, TimePoint now);
/** Ejects an upstream that cannot be reached. The ejection time doubles with each ejection. */
void recordUnreachable(PooledUpstream &upstream, TimePoint now);
/** Ejects an upstream whose address is used by another process. It returns with a new key when it is registered again. */
void recordReplaced(PooledUpstream &upstream, TimePoint now);

/** Records what @p upstream said about further calls. */
void recordNotice(UpstreamPool &pool, PooledUpstream &upstream, const UpstreamNotice &notice, TimePoint now);

/** Returns whether @p upstream is cold; one whose calls are not limited meanwhile counts as warm. */
Coldness coldnessOf(const PooledUpstream &upstream, TimePoint now);

/** Returns the factor by which a call sent now is expected to take longer than at an idle upstream. */
double expectedSlowdown(const PooledUpstream &upstream, TimePoint now);

/** Returns the state according to the last load report, or LoadState::Unknown if the report is older than @p maximumAge. */
LoadState loadStateOf(const PooledUpstream &upstream, Duration maximumAge, TimePoint now);

/**
 * Returns the upstreams that may receive calls: none that are leaving, evacuated or asked for quiet. If more than half of the others
 * are ejected, the ejected ones are included.
 */
std::vector<PooledUpstream *> usableUpstreams(UpstreamPool &pool, TimePoint now);

/**
 * Returns when the first upstream that asked for quiet accepts calls again, or nothing if none of those that stay
 * registered has asked.
 */
std::optional<TimePoint> firstQuietEnd(const UpstreamPool &pool, TimePoint now);

}
