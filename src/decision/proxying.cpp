#include "decision/proxying.h"

#include <algorithm>
#include <utility>

namespace Plantainweir {
namespace {

/** A load report up to this age is used instead of a probe. */
constexpr std::chrono::milliseconds FreshLoadAge{20};
/** Age up to which load reports are compared at the end of a probe round. */
constexpr std::chrono::milliseconds RoundLoadAge{150};
/** An upstream that reported that it is full is assumed to be full for this time if it cannot be probed. */
constexpr std::chrono::seconds FullLoadAge{4};
constexpr std::uint32_t MaximumConcurrentProbes = 2;
/** A hedge probes so many upstreams at a time: the first attempt is running meanwhile. */
constexpr std::uint32_t MaximumHedgeProbes = 2;
/** Limits on the probes of one round, in the availability zone of the entry VM and in others. */
constexpr std::uint32_t MaximumSameZoneProbes = 6;
constexpr std::uint32_t MaximumOtherZoneProbes = 4;
/** Weight of the newest probe in the share of available upstreams in other availability zones. */
constexpr double OtherZoneAvailableWeight = 0.1;
/** Below this share, most probes in other availability zones are wasted, and only some rounds send one there. */
constexpr double MinimumOtherZoneAvailableRate = 0.15;
constexpr double OtherZoneTrialProbability = 0.1;
constexpr std::chrono::milliseconds ProbeTimeout{150};
/** Capacity of the token bucket for probes, in seconds. The platform counts probes over much longer windows. */
constexpr double ProbeBurstSeconds = 8.0;
/** Parts of these probes that calls leave to others: those of accounts above their share, and less urgent ones while upstreams are full. */
constexpr double ProbesLeftByExcess = 0.5;
constexpr double ProbesLeftToUrgent = 0.125;
/** Without a probe for this time it is not known whether upstreams are full. */
constexpr std::chrono::seconds FullnessValidity{1};
constexpr std::chrono::milliseconds ProbeRoundInterval{20};
/** A call waits for an available upstream for at most its target divided by this. */
constexpr int QueueingTimeDivisor = 8;
constexpr std::uint32_t MaximumFailedConnects = 4;
/** A call asks for credit of at most this many cold upstreams, and waits for each answer for at most this time. */
constexpr std::uint32_t MaximumCreditRequests = 3;
constexpr std::chrono::milliseconds CreditTimeout{100};

/** Bounds on the time after which a refused caller is asked to retry. It is randomised to spread the callers. */
constexpr std::chrono::milliseconds MinimumRetryAfter{200};
constexpr std::chrono::milliseconds MaximumRetryAfter{500};
/** The same bounds for a call that was shed by an upstream with free slots: others probably accept the call at once. */
constexpr std::chrono::milliseconds MinimumRetryAfterWithFreeSlot{10};
constexpr std::chrono::milliseconds MaximumRetryAfterWithFreeSlot{40};

/** Capacity of the retry budget and its refill per window, as shares of ProxySettings::retrySlack. */
constexpr double SlackCapacityShare = 0.4;
constexpr double SlackRefillShare = 0.5;
/** Part of ProxySettings::retryShare that is used: a call and its retry may be counted in different windows. */
constexpr double UsedRetryShare = 0.85;

struct ProxyStepContext {
    ProxyState &state;
    TimePoint now;
    std::mt19937_64 &random;
    std::vector<ProxyAction> actions;
};

/** Returns the service called @p name, with its retry budget refilled up to the current time. */
ProxyService &serviceOf(ProxyStepContext &context, const std::string &name)
{
    ProxyService &service = context.state.services[name];
    service.retryBudget.tokensPerCall = context.state.settings.retryShare * UsedRetryShare;
    service.retryBudget.capacity = std::max(1.0, context.state.settings.retrySlack * SlackCapacityShare);
    if (service.budgetRefilledAt == TimePoint{}) {
        service.retryBudget.tokens = 0.0;
        service.budgetRefilledAt = context.now;
    }
    const double windows = toMilliseconds(context.now - service.budgetRefilledAt) / toMilliseconds(context.state.settings.retryWindow);
    deposit(service.retryBudget, windows * context.state.settings.retrySlack * SlackRefillShare);
    service.budgetRefilledAt = context.now;
    return service;
}

void setTimer(ProxyStepContext &context, ProxyCallId id, TimePoint at)
{
    context.state.timers.insert({at, id});
}

/** Gives up the request for credit that the call waits for, if there is one. */
void cancelCreditRequest(ProxyStepContext &context, ProxyCall &call)
{
    if (call.openCredit) {
        context.state.credits.erase(*call.openCredit);
        context.actions.emplace_back(CancelColdCredit{*call.openCredit});
        call.openCredit.reset();
    }
}

/** Removes the call. The results of its running probes and attempts still update the upstreams. */
void removeCall(ProxyStepContext &context, ProxyCallId id)
{
    const auto found = context.state.calls.find(id);
    ProxyCall &call = found->second;
    cancelCreditRequest(context, call);
    serviceOf(context, call.admitted.service).waiting.erase(id);
    context.state.calls.erase(found);
}

void endCall(ProxyStepContext &context, const EndProxyCall &end)
{
    const bool isAbandoned = context.state.calls.at(end.call).isAbandoned;
    removeCall(context, end.call);
    if (!isAbandoned) {
        context.actions.emplace_back(end);
    }
}

void cancelRunning(ProxyStepContext &context, ProxyCall &call)
{
    for (std::optional<ProxyAttemptId> *running : {&call.running, &call.hedge}) {
        if (!*running) {
            continue;
        }
        const auto attempt = context.state.attempts.find(**running);
        ProxyService &service = serviceOf(context, attempt->second.service);
        const Duration age = context.now - attempt->second.startedAt;
        const bool isIdempotent = call.admitted.repeatability == Repeatability::Idempotent;
        if (PooledUpstream *upstream = findUpstream(service.pool, attempt->second.upstream)) {
            --upstream->inFlight;
            if (context.state.settings.hedgeShare > 0.0) {
                // Otherwise upstreams that often lose against hedges would seem full.
                recordEndWithoutLoadReport(*upstream);
                if (isIdempotent && isOverdue(service.hedging, age)) {
                    // Otherwise an upstream that hangs on calls and answers probes would never be ejected.
                    recordOverdue(*upstream, context.now);
                }
            }
        }
        if (isIdempotent) {
            recordCancelled(service.hedging, age);
        }
        context.actions.emplace_back(CancelProxyAttempt{**running});
        context.state.attempts.erase(attempt);
        running->reset();
    }
}

Duration drawRetryAfter(ProxyStepContext &context, bool hasFreeSlot)
{
    const auto minimum = hasFreeSlot ? MinimumRetryAfterWithFreeSlot : MinimumRetryAfter;
    const auto maximum = hasFreeSlot ? MaximumRetryAfterWithFreeSlot : MaximumRetryAfter;
    std::uniform_int_distribution<std::int64_t> distribution(minimum.count(), maximum.count());
    return std::chrono::milliseconds(distribution(context.random));
}

/**
 * Ends a call that gets no successful answer: with a server error if there was one, otherwise as "unknown" if an attempt
 * may have run, otherwise as "not run".
 */
void endWithoutAnswer(ProxyStepContext &context, ProxyCallId id, RefusalReason refusal, UnknownReason unknown)
{
    const ProxyCall &call = context.state.calls.at(id);
    EndProxyCall end{.call = id, .refusal = refusal, .unknown = unknown};
    if (call.fallbackAnswer) {
        end.outcome = CallOutcome::Answered;
        end.answer = call.fallbackAnswer;
    } else if (call.mayHaveRun) {
        end.outcome = CallOutcome::Unknown;
    } else {
        end.outcome = CallOutcome::NotRun;
        end.retryAfter = drawRetryAfter(context, call.wasShedWithFreeSlot);
        const auto quietEnd = firstQuietEnd(serviceOf(context, call.admitted.service).pool, context.now);
        if (refusal == RefusalReason::NoUpstream && quietEnd) {
            end.retryAfter = std::max(end.retryAfter, Duration(*quietEnd - context.now));
        }
    }
    endCall(context, end);
}

HedgedCall hedgedCall(const ProxyCall &call)
{
    return {
        .repeatability = call.admitted.repeatability,
        .attempts = call.attempts,
        .maximumAttempts = call.admitted.maximumAttempts,
        .deadline = call.admitted.deadline,
    };
}

HedgeLimits hedgeLimits(const ProxyStepContext &context, const ProxyService &service)
{
    const bool hasQueuedCalls = std::any_of(service.waiting.begin(), service.waiting.end(), [&context](ProxyCallId id) {
        return context.state.calls.at(id).nextRoundAt != TimePoint{};
    });
    return {.retries = service.retryBudget, .hasQueuedCalls = hasQueuedCalls};
}

/** Hedges the call once an attempt that started at @p startedAt takes longer than usual. */
void scheduleHedge(ProxyStepContext &context, ProxyCallId id, TimePoint startedAt)
{
    ProxyCall &call = context.state.calls.at(id);
    const ProxyService &service = serviceOf(context, call.admitted.service);
    call.hedgeAt = hedgeTime(service.hedging, hedgedCall(call), startedAt).value_or(TimePoint{});
    call.isHedgeProbing = false;
    if (call.hedgeAt != TimePoint{}) {
        setTimer(context, id, call.hedgeAt);
    }
}

/** Sends the call to @p upstream: as a hedge if another attempt is running. */
void startAttempt(ProxyStepContext &context, ProxyCallId id, PooledUpstream &upstream)
{
    ProxyCall &call = context.state.calls.at(id);
    const bool isHedge = call.running.has_value();
    cancelCreditRequest(context, call);
    const ProxyAttemptId attempt = ++context.state.lastId;
    context.state.attempts.emplace(attempt, ProxyAttempt{id, call.admitted.service, upstream.registration.key, context.now});
    context.actions.emplace_back(StartProxyAttempt{
        .id = attempt,
        .call = id,
        .upstream = upstream.registration,
        .deadline = call.admitted.deadline,
        .retry = isHedge ? RetryReason::Hedge : call.retry,
        .load = upstream.load,
        .loadAge = context.now - upstream.loadReceivedAt,
    });
    ++upstream.inFlight;
    ++upstream.sentSinceLoadReport;
    call.tried.insert(upstream.registration.key);
    (isHedge ? call.hedge : call.running) = attempt;
    ++call.attempts;
    serviceOf(context, call.admitted.service).waiting.erase(id);
    if (!isHedge) {
        scheduleHedge(context, id, context.now);
    }
}

bool isSameZone(const ProxyStepContext &context, const PooledUpstream &upstream)
{
    return upstream.registration.availabilityZone == context.state.settings.availabilityZone;
}

/**
 * Returns the usable upstreams that the call has not tried: the same availability zone first, within each group the subset first.
 *
 * After the first round, all upstreams are alike: a round takes longer than its load reports stay fresh, so that the next one would
 * find the subset unknown and probe it again.
 */
std::vector<PooledUpstream *> candidatesOf(ProxyStepContext &context, ProxyService &service, const ProxyCall &call)
{
    std::vector<PooledUpstream *> candidates = usableUpstreams(service.pool, context.now);
    std::erase_if(candidates, [&call](const PooledUpstream *upstream) {
        return call.tried.contains(upstream->registration.key);
    });
    std::shuffle(candidates.begin(), candidates.end(), context.random);
    const auto otherZones = std::partition(candidates.begin(), candidates.end(), [&context](const PooledUpstream *upstream) {
        return isSameZone(context, *upstream);
    });
    if (context.state.settings.subsetSize > 0 && call.probeRounds <= 1) {
        const std::size_t size = subsetSize(perSecondAt(service.calls, context.now), context.state.settings.subsetSize);
        moveSubsetToFront({candidates.begin(), otherZones}, size, context.now);
        moveSubsetToFront({otherZones, candidates.end()}, size, context.now);
    }
    return candidates;
}

/**
 * Returns the candidate in the state @p loadState with the lowest expected slowdown, or null.
 *
 * The same availability zone is preferred.
 */
PooledUpstream *bestCandidate(const ProxyStepContext &context, const std::vector<PooledUpstream *> &candidates, LoadState loadState, Duration maximumAge)
{
    PooledUpstream *best = nullptr;
    for (PooledUpstream *upstream : candidates) {
        if (loadStateOf(*upstream, maximumAge, context.now) != loadState) {
            continue;
        }
        if (best != nullptr && isSameZone(context, *best) && !isSameZone(context, *upstream)) {
            break;
        }
        if (best == nullptr || expectedSlowdown(*upstream, context.now) < expectedSlowdown(*best, context.now)) {
            best = upstream;
        }
    }
    return best;
}

/**
 * Returns how many upstreams of other availability zones a round may probe.
 *
 * Calls of the highest priority always get the full limit, and so do all if each zone is known for itself (isZoneLeftOut()).
 */
std::uint32_t drawOtherZoneProbeLimit(ProxyStepContext &context, const ProxyService &service, const ProxyCall &call)
{
    const bool areZonesKnown = context.state.settings.zoneMemory > Duration(0);
    if (areZonesKnown || call.admitted.priority == 0 || service.otherZoneAvailableRate >= MinimumOtherZoneAvailableRate) {
        return MaximumOtherZoneProbes;
    }
    return std::bernoulli_distribution(OtherZoneTrialProbability)(context.random) ? 1 : 0;
}

void startRound(ProxyStepContext &context, const ProxyService &service, ProxyCall &call)
{
    ++call.probeRounds;
    call.probed.clear();
    call.isProbeLimited = false;
    call.sameZoneProbes = 0;
    call.otherZoneProbes = 0;
    call.otherZoneProbeLimit = drawOtherZoneProbeLimit(context, service, call);
}

/** Returns whether the call sends no probes to the availability zone of @p upstream because it was full lately. */
bool isZoneLeftOut(const ProxyStepContext &context, const ProxyService &service, const ProxyCall &call, const PooledUpstream &upstream)
{
    const Duration memory = context.state.settings.zoneMemory;
    if (memory == Duration(0) || call.admitted.priority == 0 || isSameZone(context, upstream)) {
        return false;
    }
    return isProbablyFull(service.otherZones, upstream.registration.availabilityZone, memory, context.now);
}

/** Updates the shares of available upstreams in other availability zones. */
void recordOtherZoneAvailability(const ProxyStepContext &context, ProxyService &service, const PooledUpstream &upstream)
{
    const bool isAvailable = loadStateOf(upstream, FreshLoadAge, context.now) == LoadState::Available;
    if (const Duration memory = context.state.settings.zoneMemory; memory > Duration(0)) {
        recordProbed(service.otherZones, upstream.registration.availabilityZone, isAvailable, memory, context.now);
    }
    service.otherZoneAvailableRate += OtherZoneAvailableWeight * ((isAvailable ? 1.0 : 0.0) - service.otherZoneAvailableRate);
}

/**
 * Returns the candidate with the fewest calls of this entry VM that was not full recently, or null. It is known to be warm, if
 * cold ones are limited.
 *
 * The same availability zone is preferred.
 */
PooledUpstream *leastLoadedCandidate(const ProxyStepContext &context, const std::vector<PooledUpstream *> &candidates)
{
    PooledUpstream *best = nullptr;
    for (PooledUpstream *upstream : candidates) {
        const bool wasFull = loadStateOf(*upstream, FullLoadAge, context.now) == LoadState::Full;
        const bool isWarm = coldnessOf(*upstream, context.now) == Coldness::Warm;
        if (wasFull || !isWarm || upstream->inFlight >= upstream->registration.slots) {
            continue;
        }
        if (best != nullptr && isSameZone(context, *best) && !isSameZone(context, *upstream)) {
            break;
        }
        if (best == nullptr || upstream->inFlight < best->inFlight) {
            best = upstream;
        }
    }
    return best;
}

void startProbe(ProxyStepContext &context, ProxyCallId id, const PooledUpstream &upstream)
{
    ProxyCall &call = context.state.calls.at(id);
    const ProbeId probe = ++context.state.lastId;
    const TimePoint deadline = context.now + ProbeTimeout;
    context.state.probes.emplace(probe, ProxyProbe{id, call.admitted.service, upstream.registration.key, context.now, deadline});
    call.probed.insert(upstream.registration.key);
    ++(isSameZone(context, upstream) ? call.sameZoneProbes : call.otherZoneProbes);
    ++call.openProbes;
    context.actions.emplace_back(StartProbe{probe, upstream.registration, deadline});
}

/** Adds the tokens for probes that became due since the last time. */
void refillProbes(ProxyStepContext &context)
{
    ProxyState &state = context.state;
    const double seconds = toMilliseconds(context.now - state.probeTokensRefilledAt) / 1000.0;
    state.probeTokens = std::min(state.settings.probesPerSecond * ProbeBurstSeconds, state.probeTokens + seconds * state.settings.probesPerSecond);
    state.probeTokensRefilledAt = context.now;
}

/** Takes one token for a probe. Returns false if the rate limit is reached. */
bool withdrawProbe(ProxyStepContext &context)
{
    refillProbes(context);
    ProxyState &state = context.state;
    if (state.probeTokens < 1.0) {
        return false;
    }
    state.probeTokens -= 1.0;
    return true;
}

/** Returns whether less than @p share of the probes are left that may be sent at once. */
bool areProbesScarce(ProxyStepContext &context, double share)
{
    refillProbes(context);
    const ProxyState &state = context.state;
    return state.probeTokens < state.settings.probesPerSecond * ProbeBurstSeconds * share;
}

void startProbes(ProxyStepContext &context, ProxyCallId id, const std::vector<PooledUpstream *> &candidates)
{
    ProxyCall &call = context.state.calls.at(id);
    const ProxyService &service = serviceOf(context, call.admitted.service);
    for (const PooledUpstream *upstream : candidates) {
        const bool isKnown = loadStateOf(*upstream, FreshLoadAge, context.now) != LoadState::Unknown;
        const bool isLimitReached
            = isSameZone(context, *upstream) ? call.sameZoneProbes >= MaximumSameZoneProbes : call.otherZoneProbes >= call.otherZoneProbeLimit;
        if (isKnown || isLimitReached || call.probed.contains(upstream->registration.key) || isZoneLeftOut(context, service, call, *upstream)) {
            continue;
        }
        if (call.openProbes >= MaximumConcurrentProbes) {
            return;
        }
        if (!withdrawProbe(context)) {
            call.isProbeLimited = true;
            return;
        }
        startProbe(context, id, *upstream);
    }
}

AccountCall accountCallOf(const ProxyCallAdmitted &call)
{
    return {.priority = call.priority, .account = call.account, .weight = call.accountWeight};
}

void recordRoom(ProxyStepContext &context, const ProxyCall &call, Room room)
{
    if (!call.admitted.account.empty()) {
        recordRoom(serviceOf(context, call.admitted.service).shares, call.admitted.priority, room, context.now);
    }
}

void recordServed(ProxyStepContext &context, const ProxyCall &call)
{
    if (!call.admitted.account.empty()) {
        recordServed(serviceOf(context, call.admitted.service).shares, call.admitted.priority, context.now);
    }
}

/**
 * Returns whether the call leaves scarce room to more urgent ones: calls that may not probe are refused, and none of both has a client
 * account. If none has probed lately, it is not known whether room is scarce.
 */
bool mustYield(const ProxyStepContext &context, const ProxyService &service, const ProxyCall &call)
{
    const bool isKnown = context.now - service.fullness.probedAt < FullnessValidity;
    const bool isRoomScarce = isKnown && refusesUnprobed(service.fullness, service.pool, context.state.settings.fullRefusal, context.now);
    return isRoomScarce && call.admitted.account.empty() && isLessUrgent(service.urgency, call.admitted.priority, context.now);
}

/**
 * Requests credit for a call to the best cold candidate, unless @p warm is at least as good. Returns whether it does.
 *
 * @param warm may be null.
 */
bool requestColdCredit(ProxyStepContext &context, ProxyCallId id, std::vector<PooledUpstream *> candidates, const PooledUpstream *warm)
{
    ProxyCall &call = context.state.calls.at(id);
    std::erase_if(candidates, [&context](const PooledUpstream *upstream) {
        return upstream->coldStart.creditRetryAt > context.now;
    });
    const PooledUpstream *cold = bestCandidate(context, candidates, LoadState::Cold, RoundLoadAge);
    const bool isWarmBetter = cold == nullptr || (warm != nullptr && expectedSlowdown(*warm, context.now) <= expectedSlowdown(*cold, context.now));
    if (isWarmBetter || call.creditRequests >= MaximumCreditRequests) {
        return false;
    }
    const ColdCreditId credit = ++context.state.lastId;
    context.state.credits.emplace(credit, ColdCredit{.call = id, .service = call.admitted.service, .upstream = cold->registration.key});
    call.openCredit = credit;
    ++call.creditRequests;
    context.actions.emplace_back(RequestColdCredit{
        .id = credit,
        .service = call.admitted.service,
        .upstream = cold->registration.id,
        .deadline = std::min(context.now + CreditTimeout, call.admitted.deadline),
    });
    return true;
}

/** Continues a call without a running attempt: starts an attempt or probes, waits for the next round, or ends the call. */
void advance(ProxyStepContext &context, ProxyCallId id)
{
    ProxyCall &call = context.state.calls.at(id);
    ProxyService &service = serviceOf(context, call.admitted.service);
    const std::vector<PooledUpstream *> candidates = candidatesOf(context, service, call);
    if (PooledUpstream *available = bestCandidate(context, candidates, LoadState::Available, FreshLoadAge)) {
        recordRoom(context, call, Room::Available);
        startAttempt(context, id, *available);
        return;
    }
    if (call.nextRoundAt > context.now || call.openCredit) {
        return;
    }
    // Calls of accounts that send beyond their share, and less urgent ones, leave the last probes to others.
    const bool leavesToOthers = call.isAboveShare && areProbesScarce(context, ProbesLeftByExcess);
    const bool leavesToUrgent = mustYield(context, service, call) && areProbesScarce(context, ProbesLeftToUrgent);
    if (leavesToOthers || leavesToUrgent) {
        call.isProbeLimited = true;
    } else {
        startProbes(context, id, candidates);
    }
    if (call.openProbes > 0) {
        return;
    }
    if (call.isAboveShare) {
        endWithoutAnswer(context, id, RefusalReason::ShareExceeded, UnknownReason::ConnectionLost);
        return;
    }
    const bool isRefused = refusesUnprobed(service.fullness, service.pool, context.state.settings.fullRefusal, context.now);
    if (std::exchange(call.isProbeLimited, false) && !isRefused) {
        // Without probes, the choice is based on the calls that this entry VM has in flight. If most upstreams are full, the
        // upstream would probably queue the call beyond its target, or have no place for it in its queue.
        if (PooledUpstream *upstream = leastLoadedCandidate(context, candidates)) {
            startAttempt(context, id, *upstream);
            context.state.attempts.at(*call.running).isUnprobed = true;
            return;
        }
    }
    if (context.now < call.queueingDeadline && !candidates.empty()) {
        startRound(context, service, call);
        call.nextRoundAt = std::min(context.now + ProbeRoundInterval, call.queueingDeadline);
        setTimer(context, id, call.nextRoundAt);
        return;
    }
    PooledUpstream *upstream = bestCandidate(context, candidates, LoadState::Available, RoundLoadAge);
    if (upstream == nullptr) {
        upstream = bestCandidate(context, candidates, LoadState::Slow, RoundLoadAge);
    }
    if (requestColdCredit(context, id, candidates, upstream)) {
        return;
    }
    if (upstream != nullptr) {
        recordRoom(context, call, Room::Scarce);
        startAttempt(context, id, *upstream);
        return;
    }
    recordRoom(context, call, Room::None);
    endWithoutAnswer(context, id, candidates.empty() ? RefusalReason::NoUpstream : RefusalReason::QueueFull, UnknownReason::ConnectionLost);
}

/** Returns the waiting calls in the order in which they may take room: as they came, or by rank and use if there are accounts. */
std::vector<ProxyCallId> waitingCalls(ProxyStepContext &context, const ProxyService &service)
{
    std::vector<ProxyCallId> waiting(service.waiting.begin(), service.waiting.end());
    if (service.shares.ranks.empty()) {
        return waiting;
    }
    std::map<ProxyCallId, std::pair<std::uint32_t, double>> keys;
    for (const ProxyCallId id : waiting) {
        const ProxyCallAdmitted &call = context.state.calls.at(id).admitted;
        keys.emplace(id, std::pair(call.priority, relativeUse(service.shares, accountCallOf(call), context.now)));
    }
    std::ranges::stable_sort(waiting, {}, [&keys](ProxyCallId id) {
        return keys.at(id);
    });
    return waiting;
}

void advanceWaiting(ProxyStepContext &context, const std::string &name)
{
    const std::vector<ProxyCallId> waiting = waitingCalls(context, serviceOf(context, name));
    for (const ProxyCallId id : waiting) {
        if (context.state.calls.contains(id)) {
            advance(context, id);
        }
    }
}

/** Retries the call if its attempts, its deadline and the retry budget allow. Returns whether it does. */
bool retry(ProxyStepContext &context, ProxyCallId id, RetryReason reason, bool isCharged)
{
    ProxyCall &call = context.state.calls.at(id);
    ProxyService &service = serviceOf(context, call.admitted.service);
    const bool hasAttempts = call.attempts < call.admitted.maximumAttempts;
    if (call.isAbandoned || !hasAttempts || context.now >= call.admitted.deadline) {
        return false;
    }
    if (isCharged && !withdraw(service.retryBudget)) {
        return false;
    }
    call.retry = reason;
    startRound(context, service, call);
    call.nextRoundAt = {};
    call.queueingDeadline = std::max(call.queueingDeadline, context.now + call.admitted.target / QueueingTimeDivisor);
    service.waiting.insert(id);
    advance(context, id);
    return true;
}

void startHedgeProbes(ProxyStepContext &context, ProxyCallId id, const std::vector<PooledUpstream *> &candidates)
{
    std::uint32_t probes = 0;
    for (const PooledUpstream *upstream : candidates) {
        const bool isKnown = loadStateOf(*upstream, FreshLoadAge, context.now) != LoadState::Unknown;
        if (isKnown) {
            continue;
        }
        if (probes >= MaximumHedgeProbes || !withdrawProbe(context)) {
            return;
        }
        startProbe(context, id, *upstream);
        ++probes;
    }
}

/**
 * Hedges the running attempt if that is allowed and an upstream is known to be available; otherwise probes a few. If none of them
 * answers, it tries again after a while.
 */
void hedge(ProxyStepContext &context, ProxyCallId id)
{
    ProxyCall &call = context.state.calls.at(id);
    ProxyService &service = serviceOf(context, call.admitted.service);
    const bool hasProbed = std::exchange(call.isHedgeProbing, false);
    if (!canHedge(service.hedging, hedgedCall(call), hedgeLimits(context, service), context.now)) {
        return;
    }
    std::vector<PooledUpstream *> candidates = candidatesOf(context, service, call);
    std::erase_if(candidates, [&context](const PooledUpstream *upstream) {
        return upstream->registration.coldUntil > context.now;
    });
    if (PooledUpstream *available = bestCandidate(context, candidates, LoadState::Available, FreshLoadAge)) {
        withdrawHedge(service.hedging, service.retryBudget);
        startAttempt(context, id, *available);
        return;
    }
    if (!hasProbed) {
        startHedgeProbes(context, id, candidates);
    }
    call.isHedgeProbing = call.openProbes > 0;
    const bool isLoadUnknown = std::all_of(candidates.begin(), candidates.end(), [&context](const PooledUpstream *upstream) {
        return loadStateOf(*upstream, FreshLoadAge, context.now) == LoadState::Unknown;
    });
    if (!call.isHedgeProbing && isLoadUnknown && !candidates.empty()) {
        // The probes were lost, or there was none to spare. Upstreams that answered are not asked again.
        scheduleHedge(context, id, context.now + ProbeTimeout);
    }
}

void handle(ProxyStepContext &context, const ProxyCallAdmitted &event)
{
    ProxyService &service = serviceOf(context, event.service);
    deposit(service.retryBudget);
    if (event.repeatability == Repeatability::Idempotent) {
        service.hedging.budget.tokensPerCall = context.state.settings.hedgeShare;
        deposit(service.hedging.budget);
    }
    add(service.calls, context.now);
    if (event.account.empty()) {
        recordPriority(service.urgency, event.priority, context.now);
    }
    ProxyCall call{.admitted = event};
    call.queueingDeadline = context.now + event.target / QueueingTimeDivisor;
    startRound(context, service, call);
    context.state.calls.emplace(event.id, std::move(call));
    recordSent(service.shares, accountCallOf(event), context.now);
    const double refused = refusedShare(service.shares, accountCallOf(event), context.now);
    context.state.calls.at(event.id).isAboveShare = refused > 0.0;
    if (refused > 0.0 && std::bernoulli_distribution(refused)(context.random)) {
        endWithoutAnswer(context, event.id, RefusalReason::ShareExceeded, UnknownReason::ConnectionLost);
        return;
    }
    service.waiting.insert(event.id);
    setTimer(context, event.id, event.deadline);
    advance(context, event.id);
}

/** Takes into account that @p attempt was not answered before the deadline of its call, although its upstream may have answered others. */
void recordUnanswered(ProxyStepContext &context, const ProxyAttempt &attempt)
{
    ProxyService &service = serviceOf(context, attempt.service);
    const PooledUpstream *upstream = findUpstream(service.pool, attempt.upstream);
    if (upstream != nullptr && upstream->loadReceivedAt > attempt.startedAt) {
        recordSilence(service.fullness, context.now);
    }
}

void handle(ProxyStepContext &context, const ProxyCallAbandoned &event)
{
    const auto found = context.state.calls.find(event.id);
    if (found == context.state.calls.end()) {
        return;
    }
    ProxyCall &call = found->second;
    call.isAbandoned = true;
    const bool mustFinish = call.running && call.admitted.repeatability == Repeatability::AtMostOnce;
    if (mustFinish) {
        return;
    }
    cancelRunning(context, call);
    removeCall(context, event.id);
}

void recordProbeResult(PooledUpstream &upstream, const ProxyProbe &probe, const ProbeEnded &event, TimePoint now)
{
    switch (event.outcome) {
    case ProbeOutcome::Answered:
        recordLoadReport(upstream, event.load, now);
        recordAnswer(upstream.coldStart, event.coldTime, probe.startedAt, now);
        return;
    case ProbeOutcome::Unhealthy:
        upstream.loadReceivedAt = {};
        return;
    case ProbeOutcome::Replaced:
        recordReplaced(upstream, now);
        return;
    case ProbeOutcome::Unreachable:
        recordUnreachable(upstream, now);
        return;
    }
}

void handle(ProxyStepContext &context, const ProbeEnded &event)
{
    const auto found = context.state.probes.find(event.id);
    if (found == context.state.probes.end()) {
        return;
    }
    const ProxyProbe probe = found->second;
    context.state.probes.erase(found);
    if (PooledUpstream *upstream = findUpstream(serviceOf(context, probe.service).pool, probe.upstream)) {
        recordProbeResult(*upstream, probe, event, context.now);
        recordNotice(serviceOf(context, probe.service).pool, *upstream, event.notice, context.now);
        recordAvailability(serviceOf(context, probe.service).hedging, loadStateOf(*upstream, FreshLoadAge, context.now) == LoadState::Available);
        if (event.outcome == ProbeOutcome::Answered) {
            recordProbed(serviceOf(context, probe.service).fullness, loadStateOf(*upstream, FreshLoadAge, context.now) == LoadState::Full, context.now);
        }
        if (!isSameZone(context, *upstream)) {
            recordOtherZoneAvailability(context, serviceOf(context, probe.service), *upstream);
        }
    }
    const auto call = context.state.calls.find(probe.call);
    if (call == context.state.calls.end()) {
        return;
    }
    --call->second.openProbes;
    if (event.outcome == ProbeOutcome::Answered && context.now > probe.deadline) {
        // An entry VM that was stopped may read an answer of any age before its timers fire. It does not tell whether the upstream is cold.
        call->second.probed.erase(probe.upstream);
    }
    if (!call->second.running) {
        advance(context, probe.call);
    } else if (call->second.isHedgeProbing) {
        hedge(context, probe.call);
    }
}

void recordAttemptResult(PooledUpstream &upstream, const ProxyAttemptEnded &event, TimePoint now)
{
    --upstream.inFlight;
    if (event.load) {
        recordLoadReport(upstream, *event.load, now);
    } else {
        recordEndWithoutLoadReport(upstream);
    }
    switch (event.outcome) {
    case ProxyAttemptOutcome::Succeeded:
        recordSuccess(upstream);
        return;
    case ProxyAttemptOutcome::ServerError:
    case ProxyAttemptOutcome::ConnectionLost:
    case ProxyAttemptOutcome::DeadlinePassed:
    case ProxyAttemptOutcome::Shed:
        recordFailure(upstream, now);
        return;
    case ProxyAttemptOutcome::Replaced:
        recordReplaced(upstream, now);
        return;
    case ProxyAttemptOutcome::NotSent:
        if (!event.isOutOfConnections) {
            recordUnreachable(upstream, now);
        }
        return;
    }
}

/** Ends or retries a call after an attempt. */
void continueAfterAttempt(ProxyStepContext &context, ProxyCallId id, ProxyAttemptId attempt, ProxyAttemptOutcome outcome)
{
    ProxyCall &call = context.state.calls.at(id);
    const bool isIdempotent = call.admitted.repeatability == Repeatability::Idempotent;
    switch (outcome) {
    case ProxyAttemptOutcome::Succeeded:
        recordServed(context, call);
        endCall(context, {.call = id, .outcome = CallOutcome::Answered, .answer = attempt});
        return;
    case ProxyAttemptOutcome::NotSent:
        --call.attempts;
        ++call.failedConnects;
        if (call.failedConnects > MaximumFailedConnects || !retry(context, id, RetryReason::ConnectFailed, false)) {
            endWithoutAnswer(context, id, RefusalReason::ConnectFailed, UnknownReason::ConnectionLost);
        }
        return;
    case ProxyAttemptOutcome::Shed:
    case ProxyAttemptOutcome::Replaced:
        recordRoom(context, call, Room::None);
        if (!retry(context, id, RetryReason::UpstreamShed, true)) {
            endWithoutAnswer(context, id, RefusalReason::UpstreamShed, UnknownReason::ConnectionLost);
        }
        return;
    case ProxyAttemptOutcome::ServerError:
        call.mayHaveRun = true;
        call.fallbackAnswer = attempt;
        if (!isIdempotent || !retry(context, id, RetryReason::UpstreamError, true)) {
            endCall(context, {.call = id, .outcome = CallOutcome::Answered, .answer = attempt});
        }
        return;
    case ProxyAttemptOutcome::ConnectionLost:
        call.mayHaveRun = true;
        if (!isIdempotent || !retry(context, id, RetryReason::ConnectionLost, true)) {
            endWithoutAnswer(context, id, RefusalReason::ConnectFailed, UnknownReason::ConnectionLost);
        }
        return;
    case ProxyAttemptOutcome::DeadlinePassed:
        call.mayHaveRun = true;
        endWithoutAnswer(context, id, RefusalReason::DeadlinePassed, UnknownReason::DeadlinePassed);
        return;
    }
}

/**
 * Handles the end of one of two running attempts: a success ends the call and cancels the other attempt, which otherwise decides.
 */
void endOneOfTwo(ProxyStepContext &context, ProxyCallId id, ProxyAttemptId attempt, ProxyAttemptOutcome outcome)
{
    ProxyCall &call = context.state.calls.at(id);
    const bool isHedge = call.hedge == attempt;
    if (!isHedge) {
        call.running = call.hedge;
    }
    call.hedge.reset();
    switch (outcome) {
    case ProxyAttemptOutcome::Succeeded:
        cancelRunning(context, call);
        recordServed(context, call);
        endCall(context, {.call = id, .outcome = CallOutcome::Answered, .answer = attempt});
        return;
    case ProxyAttemptOutcome::NotSent:
        --call.attempts;
        if (isHedge) {
            ProxyService &service = serviceOf(context, call.admitted.service);
            returnHedge(service.hedging, service.retryBudget);
        }
        return;
    case ProxyAttemptOutcome::ServerError:
        call.fallbackAnswer = attempt;
        call.mayHaveRun = true;
        return;
    case ProxyAttemptOutcome::ConnectionLost:
    case ProxyAttemptOutcome::DeadlinePassed:
        call.mayHaveRun = true;
        return;
    case ProxyAttemptOutcome::Shed:
    case ProxyAttemptOutcome::Replaced:
        return;
    }
}

void handle(ProxyStepContext &context, const ProxyAttemptEnded &event)
{
    const auto found = context.state.attempts.find(event.id);
    if (found == context.state.attempts.end()) {
        return;
    }
    const ProxyAttempt attempt = found->second;
    context.state.attempts.erase(found);
    if (event.outcome == ProxyAttemptOutcome::DeadlinePassed) {
        recordUnanswered(context, attempt);
    }
    LoadState reported = LoadState::Unknown;
    if (PooledUpstream *upstream = findUpstream(serviceOf(context, attempt.service).pool, attempt.upstream)) {
        recordAttemptResult(*upstream, event, context.now);
        recordNotice(serviceOf(context, attempt.service).pool, *upstream, event.notice, context.now);
        if (event.load) {
            reported = loadStateOf(*upstream, FreshLoadAge, context.now);
        }
    }
    const bool hasFreeSlot = reported == LoadState::Available;
    ProxyHedging &hedging = serviceOf(context, attempt.service).hedging;
    if (event.load) {
        recordAvailability(hedging, hasFreeSlot);
    }
    const auto call = context.state.calls.find(attempt.call);
    if (call != context.state.calls.end()) {
        if (event.outcome == ProxyAttemptOutcome::Succeeded && call->second.admitted.repeatability == Repeatability::Idempotent) {
            recordLatency(hedging, context.now - attempt.startedAt);
        }
        const bool hasLeft = event.outcome == ProxyAttemptOutcome::Shed || event.outcome == ProxyAttemptOutcome::Replaced;
        if (attempt.isUnprobed && reported != LoadState::Unknown && !hasLeft) {
            recordRoom(context, call->second, reported == LoadState::Full ? Room::Scarce : Room::Available);
        }
        call->second.wasShedWithFreeSlot = event.outcome == ProxyAttemptOutcome::Shed && hasFreeSlot;
        if (call->second.hedge) {
            endOneOfTwo(context, attempt.call, event.id, event.outcome);
        } else {
            call->second.running.reset();
            // Attempts elsewhere would not be sent either, and would take the time of other calls.
            call->second.failedConnects += event.isOutOfConnections ? MaximumFailedConnects : 0;
            continueAfterAttempt(context, attempt.call, event.id, event.outcome);
        }
    }
    advanceWaiting(context, attempt.service);
}

void handleTimer(ProxyStepContext &context, ProxyCallId id)
{
    const auto found = context.state.calls.find(id);
    if (found == context.state.calls.end()) {
        return;
    }
    ProxyCall &call = found->second;
    if (context.now >= call.admitted.deadline) {
        call.mayHaveRun = call.mayHaveRun || call.running.has_value();
        if (call.running) {
            recordUnanswered(context, context.state.attempts.at(*call.running));
        }
        cancelRunning(context, call);
        endWithoutAnswer(context, id, RefusalReason::DeadlinePassed, UnknownReason::DeadlinePassed);
        return;
    }
    if (call.running && call.hedgeAt != TimePoint{} && context.now >= call.hedgeAt) {
        call.hedgeAt = {};
        hedge(context, id);
        return;
    }
    const bool isRoundDue = !call.running && call.nextRoundAt != TimePoint{} && context.now >= call.nextRoundAt;
    if (isRoundDue) {
        call.nextRoundAt = {};
        advance(context, id);
    }
}

void handle(ProxyStepContext &context, const ProxyTimerFired &)
{
    auto &timers = context.state.timers;
    while (!timers.empty() && timers.begin()->first <= context.now) {
        const ProxyCallId id = timers.begin()->second;
        timers.erase(timers.begin());
        handleTimer(context, id);
    }
}

void handle(ProxyStepContext &context, const UpstreamsReplaced &event)
{
    std::map<std::string, std::vector<RegisteredUpstream>> byService;
    for (const RegisteredUpstream &upstream : event.upstreams) {
        byService[upstream.service].push_back(upstream);
    }
    for (auto &[name, service] : context.state.services) {
        byService.try_emplace(name);
    }
    for (const auto &[name, upstreams] : byService) {
        UpstreamPool &pool = serviceOf(context, name).pool;
        replaceUpstreams(pool, upstreams);
        setEvacuatedZones(pool, context.state.evacuatedZones);
        assignPreferences(pool, context.state.settings.name);
        advanceWaiting(context, name);
    }
}

void handle(ProxyStepContext &context, const EvacuationsReplaced &event)
{
    context.state.evacuatedZones = event.availabilityZones;
    for (auto &[name, service] : context.state.services) {
        setEvacuatedZones(service.pool, event.availabilityZones);
        advanceWaiting(context, name);
    }
}

void handle(ProxyStepContext &context, const ColdCreditDecided &event)
{
    const auto found = context.state.credits.find(event.id);
    if (found == context.state.credits.end()) {
        return;
    }
    const ColdCredit credit = found->second;
    context.state.credits.erase(found);
    ProxyCall &call = context.state.calls.at(credit.call);
    call.openCredit.reset();
    ProxyService &service = serviceOf(context, credit.service);
    if (!event.isGranted) {
        if (PooledUpstream *upstream = findUpstream(service.pool, credit.upstream)) {
            upstream->coldStart.creditRetryAt = event.retryAt;
        }
        advance(context, credit.call);
        return;
    }
    for (PooledUpstream *upstream : candidatesOf(context, service, call)) {
        const bool isCredited = upstream->registration.key == credit.upstream;
        if (isCredited && loadStateOf(*upstream, FullLoadAge, context.now) != LoadState::Full) {
            startAttempt(context, credit.call, *upstream);
            return;
        }
    }
    context.actions.emplace_back(ReturnColdCredit{event.id});
    advance(context, credit.call);
}

void handle(ProxyStepContext &context, const FleetShareChanged &event)
{
    context.state.settings.retrySlack = event.retrySlack;
    context.state.settings.probesPerSecond = event.probesPerSecond;
}

}

std::vector<ProxyAction> step(ProxyState &state, const ProxyEvent &event, TimePoint now, std::mt19937_64 &random)
{
    ProxyStepContext context{state, now, random, {}};
    std::visit(
        [&context](const auto &alternative) {
            handle(context, alternative);
        },
        event);
    return std::move(context.actions);
}

std::optional<TimePoint> nextWakeUp(const ProxyState &state)
{
    if (state.timers.empty()) {
        return std::nullopt;
    }
    return state.timers.begin()->first;
}

}
