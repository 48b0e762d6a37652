#include "decision/upstreampool.h"

#include <algorithm>

namespace Plantainweir {
namespace {

/** Share of busy slots above which calls take longer, and their slowdown then (docs/GATEWAY.md). */
constexpr double KneeShare = 0.8;
constexpr double KneeSlowdown = 1.7;
constexpr double ColdSlowdown = 2.0;
/** A call usually still meets its target up to this slowdown. */
constexpr double MaximumAvailableSlowdown = 1.75;

/** Weight of the newest attempt in the failure rate. */
constexpr double FailureWeight = 0.3;
/** Weight of an overdue attempt: seven in a row eject an upstream, three do not. */
constexpr double OverdueWeight = 0.1;
/** Exceeded by two consecutive failures, or if about half of many attempts fail. */
constexpr double EjectionFailureRate = 0.5;
constexpr std::chrono::milliseconds BaseEjectionTime{1500};
constexpr std::chrono::milliseconds UnreachableEjectionTime{700};
constexpr std::uint32_t MaximumDoublings = 3;
constexpr std::chrono::seconds ReplacedEjectionTime{60};
/** Longest quiet time that an upstream can ask for; a longer one is cut to this. */
constexpr std::chrono::minutes MaximumQuietTime{5};
/** Far longer than an upstream that is leaving stays registered. */
constexpr std::chrono::hours LeavingMemory{1};
constexpr std::size_t MaximumLeavingIncarnations = 4096;

void eject(PooledUpstream &upstream, Duration time, TimePoint now)
{
    const std::uint32_t doublings = std::min(upstream.consecutiveEjections, MaximumDoublings);
    upstream.ejectedUntil = now + time * (std::uint64_t{1} << doublings);
    ++upstream.consecutiveEjections;
}

void addFailure(PooledUpstream &upstream, double weight, TimePoint now)
{
    upstream.failureRate = upstream.failureRate * (1.0 - weight) + weight;
    if (upstream.failureRate > EjectionFailureRate) {
        upstream.failureRate = EjectionFailureRate / 2.0;
        eject(upstream, BaseEjectionTime, now);
    }
}

std::uint32_t slotsOf(const PooledUpstream &upstream)
{
    return std::max(1U, upstream.load.slots == 0 ? upstream.registration.slots : upstream.load.slots);
}

/** Returns the estimated number of calls at the upstream, including those of other entry VMs. */
std::uint32_t runningCalls(const PooledUpstream &upstream)
{
    return std::max(upstream.load.running + upstream.sentSinceLoadReport, upstream.inFlight);
}

UpstreamIncarnation incarnationOf(const RegisteredUpstream &registration)
{
    return {.id = registration.id, .startedAtMs = registration.startedAtMs};
}

bool acceptsCalls(const PooledUpstream &upstream)
{
    return !upstream.registration.isDraining && !upstream.isLeaving && !upstream.isEvacuated;
}

}

void replaceUpstreams(UpstreamPool &pool, const std::vector<RegisteredUpstream> &upstreams)
{
    std::map<UpstreamKey, PooledUpstream> replaced;
    pool.absent.merge(pool.upstreams);
    for (const RegisteredUpstream &registration : upstreams) {
        const auto known = pool.absent.extract(registration.key);
        PooledUpstream upstream = known.empty() ? PooledUpstream{} : known.mapped();
        if (upstream.registration.coldUntil != registration.coldUntil) {
            recordRegistration(upstream.coldStart, registration.coldUntil);
        }
        upstream.registration = registration;
        upstream.isLeaving = pool.leaving.contains(incarnationOf(registration));
        replaced.emplace(registration.key, std::move(upstream));
    }
    pool.upstreams = std::move(replaced);
    std::erase_if(pool.absent, [](const auto &row) {
        return row.second.inFlight == 0;
    });
}

void setEvacuatedZones(UpstreamPool &pool, const std::set<std::string> &availabilityZones)
{
    for (auto *upstreams : {&pool.upstreams, &pool.absent}) {
        for (auto &[key, upstream] : *upstreams) {
            upstream.isEvacuated = availabilityZones.contains(upstream.registration.availabilityZone);
        }
    }
}

PooledUpstream *findUpstream(UpstreamPool &pool, UpstreamKey key)
{
    for (auto *upstreams : {&pool.upstreams, &pool.absent}) {
        if (const auto found = upstreams->find(key); found != upstreams->end()) {
            return &found->second;
        }
    }
    return nullptr;
}

void recordLoadReport(PooledUpstream &upstream, const UpstreamLoad &load, TimePoint now)
{
    upstream.load = load;
    upstream.loadReceivedAt = now;
    upstream.sentSinceLoadReport = 0;
}

void recordEndWithoutLoadReport(PooledUpstream &upstream)
{
    if (upstream.sentSinceLoadReport > 0) {
        --upstream.sentSinceLoadReport;
    } else if (upstream.load.running > 0) {
        --upstream.load.running;
    }
}

void recordSuccess(PooledUpstream &upstream)
{
    upstream.failureRate *= 1.0 - FailureWeight;
    upstream.consecutiveEjections = 0;
}

void recordFailure(PooledUpstream &upstream, TimePoint now)
{
    addFailure(upstream, FailureWeight, now);
}

void recordOverdue(PooledUpstream &upstream, TimePoint now)
{
    addFailure(upstream, OverdueWeight, now);
}

void recordUnreachable(PooledUpstream &upstream, TimePoint now)
{
    eject(upstream, UnreachableEjectionTime, now);
}

void recordReplaced(PooledUpstream &upstream, TimePoint now)
{
    upstream.ejectedUntil = now + ReplacedEjectionTime;
}

void recordNotice(UpstreamPool &pool, PooledUpstream &upstream, const UpstreamNotice &notice, TimePoint now)
{
    if (notice.quietTime) {
        const Duration quietTime = std::clamp(*notice.quietTime, Duration(0), Duration(MaximumQuietTime));
        upstream.quietUntil = std::max(upstream.quietUntil, now + quietTime);
    }
    if (!notice.isLeaving) {
        return;
    }
    if (pool.leaving.size() >= MaximumLeavingIncarnations) {
        std::erase_if(pool.leaving, [now](const auto &row) {
            return row.second <= now;
        });
    }
    pool.leaving[incarnationOf(upstream.registration)] = now + LeavingMemory;
    upstream.isLeaving = true;
}

Coldness coldnessOf(const PooledUpstream &upstream, TimePoint now)
{
    return upstream.registration.isColdLimited ? coldnessOf(upstream.coldStart, now) : Coldness::Warm;
}

double expectedSlowdown(const PooledUpstream &upstream, TimePoint now)
{
    const bool isAboveKnee = runningCalls(upstream) + 1 > KneeShare * slotsOf(upstream);
    const double kneeSlowdown = isAboveKnee ? KneeSlowdown : 1.0;
    const TimePoint coldUntil = upstream.registration.isColdLimited ? upstream.coldStart.coldUntil : upstream.registration.coldUntil;
    const double coldSlowdown = coldUntil > now ? ColdSlowdown : 1.0;
    return std::max(upstream.load.workTimeFactor, 0.1) * kneeSlowdown * coldSlowdown;
}

LoadState loadStateOf(const PooledUpstream &upstream, Duration maximumAge, TimePoint now)
{
    const bool isFresh = upstream.loadReceivedAt != TimePoint{} && now - upstream.loadReceivedAt <= maximumAge;
    const Coldness coldness = coldnessOf(upstream, now);
    if (!isFresh || coldness == Coldness::Unknown) {
        return LoadState::Unknown;
    }
    if (upstream.load.waiting > 0 || runningCalls(upstream) >= slotsOf(upstream)) {
        return LoadState::Full;
    }
    if (coldness == Coldness::Cold) {
        return LoadState::Cold;
    }
    return expectedSlowdown(upstream, now) <= MaximumAvailableSlowdown ? LoadState::Available : LoadState::Slow;
}

std::vector<PooledUpstream *> usableUpstreams(UpstreamPool &pool, TimePoint now)
{
    std::vector<PooledUpstream *> usable;
    std::vector<PooledUpstream *> ejected;
    usable.reserve(pool.upstreams.size());
    for (auto &[key, upstream] : pool.upstreams) {
        if (!acceptsCalls(upstream) || upstream.quietUntil > now) {
            continue;
        }
        // Only recordReplaced() ejects an upstream for longer than half of ReplacedEjectionTime.
        const bool isReplaced = upstream.ejectedUntil > now + ReplacedEjectionTime / 2;
        if (upstream.ejectedUntil <= now) {
            usable.push_back(&upstream);
        } else if (!isReplaced) {
            ejected.push_back(&upstream);
        }
    }
    if (usable.size() < ejected.size()) {
        usable.insert(usable.end(), ejected.begin(), ejected.end());
    }
    return usable;
}

std::optional<TimePoint> firstQuietEnd(const UpstreamPool &pool, TimePoint now)
{
    std::optional<TimePoint> first;
    for (const auto &[key, upstream] : pool.upstreams) {
        const bool isQuiet = acceptsCalls(upstream) && upstream.quietUntil > now;
        if (isQuiet && (!first || upstream.quietUntil < *first)) {
            first = upstream.quietUntil;
        }
    }
    return first;
}

}
