#pragma once

#include "core/endpoint.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/** The upstreams of one service as one entry VM sees them: their last load answers, and which of them to avoid. */
namespace Plantainweir {

/** Names one incarnation of an upstream; never used twice in a process. */
using UpstreamKey = std::uint64_t;

/** An upstream that may receive calls. */
struct RegisteredUpstream {
    UpstreamKey key = 0;
    std::string id; ///< As the upstream itself knows it.
    std::string service;
    Endpoint endpoint;
    std::string availabilityZone;
    std::uint32_t slots = 1;
    bool isDraining = false;
    TimePoint coldUntil; ///< Work takes longer before.
    bool operator==(const RegisteredUpstream &) const = default;
};

/** What an upstream said of its load. */
struct UpstreamLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0; ///< Zero if not told.
    double workTimeFactor = 1.0; ///< Factor on the time of work at that moment, from the neighbours on its VM.
};

/** Whether an upstream can take a call now, by its last load answer. */
enum class LoadState {
    Available, ///< A slot is free and work takes about its usual time.
    Slow, ///< A slot is free, and work takes longer.
    Full,
    Unknown, ///< No answer that is fresh enough.
};

struct PooledUpstream {
    RegisteredUpstream registration;
    UpstreamLoad load;
    TimePoint loadReceivedAt; ///< When the answer came; the epoch before the first.
    std::uint32_t sentSinceLoadReport = 0;
    std::uint32_t inFlight = 0; ///< Calls of this entry VM.
    double failureRate = 0.0; ///< Exponentially weighted, of attempts.
    std::uint32_t consecutiveEjections = 0; ///< In a row.
    TimePoint ejectedUntil;
};

struct UpstreamPool {
    std::map<UpstreamKey, PooledUpstream> upstreams;
};

/** Takes over the registered upstreams; what is known of those that stay is kept. */
void replaceUpstreams(UpstreamPool &pool, const std::vector<RegisteredUpstream> &upstreams);

PooledUpstream *findUpstream(UpstreamPool &pool, UpstreamKey key);

void recordLoadReport(PooledUpstream &upstream, const UpstreamLoad &load, TimePoint now);
/** Takes one call that ended without a load answer out of the last one. */
void recordEndWithoutLoadReport(PooledUpstream &upstream);
/** Records an attempt's success. */
void recordSuccess(PooledUpstream &upstream);
/** Records an attempt that failed; ejects the upstream if it fails often. */
void recordFailure(PooledUpstream &upstream, TimePoint now);
/** Ejects an upstream that cannot be reached, for longer each time. */
void recordUnreachable(PooledUpstream &upstream, TimePoint now);
/** Ejects an upstream whose address another process uses, until it is registered anew. */
void recordReplaced(PooledUpstream &upstream, TimePoint now);

/** Returns the factor by which work sent now is expected to take longer than on an idle upstream. */
double expectedSlowdown(const PooledUpstream &upstream, TimePoint now);

/** Returns what the last load answer says, if it is younger than @p maximumAge. */
LoadState loadStateOf(const PooledUpstream &upstream, Duration maximumAge, TimePoint now);

/** Returns the upstreams that may receive calls; ejected ones only if less than half of all would be left. */
std::vector<UpstreamKey> usableUpstreams(const UpstreamPool &pool, TimePoint now);

}
