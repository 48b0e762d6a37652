#include "policybaselines.h"

#include <algorithm>
#include <optional>

namespace Plantainweir {
namespace {

constexpr std::uint32_t MaximumAttempts = 3;

std::vector<std::size_t> usableUpstreams(const BaselineState &state)
{
    std::vector<std::size_t> usable;
    for (std::size_t index = 0; index < state.upstreams.size(); ++index) {
        if (!state.upstreams[index].isLeaving) {
            usable.push_back(index);
        }
    }
    return usable;
}

std::size_t pickRandom(const std::vector<std::size_t> &usable, RandomGenerator &random)
{
    return usable[std::uniform_int_distribution<std::size_t>(0, usable.size() - 1)(random)];
}

std::size_t pickLeastOutstanding(const BaselineState &state, std::vector<std::size_t> usable, RandomGenerator &random)
{
    std::shuffle(usable.begin(), usable.end(), random);
    return *std::min_element(usable.begin(), usable.end(), [&state](std::size_t left, std::size_t right) {
        return state.upstreams[left].outstanding < state.upstreams[right].outstanding;
    });
}

std::size_t pickOfTwo(const BaselineState &state, const std::vector<std::size_t> &usable, RandomGenerator &random)
{
    const std::size_t first = pickRandom(usable, random);
    const std::size_t second = pickRandom(usable, random);
    return state.upstreams[second].reportedLoad < state.upstreams[first].reportedLoad ? second : first;
}

std::size_t pick(BaselineState &state, const std::vector<std::size_t> &usable, RandomGenerator &random)
{
    switch (state.policy) {
    case Policy::RoundRobin:
        return usable[state.nextUpstream++ % usable.size()];
    case Policy::LeastOutstanding:
        return pickLeastOutstanding(state, usable, random);
    case Policy::TwoChoicesReported:
        return pickOfTwo(state, usable, random);
    default:
        return pickRandom(usable, random);
    }
}

void send(BaselineState &state, CallId call, RandomGenerator &random, ServiceActions &actions)
{
    const auto usable = usableUpstreams(state);
    if (usable.empty()) {
        actions.emplace_back(RefuseCall{.call = call, .reason = RefusalReason::NoUpstream, .retryAt = {}});
        state.calls.erase(call);
        return;
    }
    const std::size_t index = pick(state, usable, random);
    BaselineCall &record = state.calls.at(call);
    ++record.attempts;
    ++state.upstreams[index].outstanding;
    state.attempts.emplace(++state.lastAttempt, std::pair{call, index});
    actions.emplace_back(StartAttempt{
        .attempt = state.lastAttempt,
        .call = call,
        .upstream = state.upstreams[index].upstream.name,
        .deadline = record.arrival.deadline,
    });
}

std::optional<RetryReason> retryReasonOf(const BaselineCall &call, AttemptOutcome outcome, TimePoint now)
{
    const bool isIdempotent = call.arrival.repeatability == Repeatability::Idempotent;
    if (call.attempts >= MaximumAttempts || call.arrival.deadline <= now) {
        return std::nullopt;
    }
    switch (outcome) {
    case AttemptOutcome::Shed:
        return RetryReason::UpstreamShed;
    case AttemptOutcome::NotSent:
        return RetryReason::ConnectFailed;
    case AttemptOutcome::ServerError:
        return isIdempotent ? std::optional(RetryReason::UpstreamError) : std::nullopt;
    case AttemptOutcome::ConnectionLost:
        return isIdempotent ? std::optional(RetryReason::ConnectionLost) : std::nullopt;
    case AttemptOutcome::Succeeded:
    case AttemptOutcome::DeadlinePassed:
        return std::nullopt;
    }
    return std::nullopt;
}

ServiceAction finalAction(CallId call, const AttemptFinished &event)
{
    switch (event.outcome) {
    case AttemptOutcome::Succeeded:
    case AttemptOutcome::ServerError:
        return AnswerCall{.call = call, .attempt = event.attempt};
    case AttemptOutcome::Shed:
        return RefuseCall{.call = call, .reason = RefusalReason::UpstreamShed, .retryAt = {}};
    case AttemptOutcome::NotSent:
        return RefuseCall{.call = call, .reason = RefusalReason::ConnectFailed, .retryAt = {}};
    case AttemptOutcome::ConnectionLost:
        return ReportUnknown{.call = call, .reason = UnknownReason::ConnectionLost};
    case AttemptOutcome::DeadlinePassed:
        break;
    }
    return ReportUnknown{.call = call, .reason = UnknownReason::DeadlinePassed};
}

void finishAttempt(BaselineState &state, const AttemptFinished &event, TimePoint now, RandomGenerator &random, ServiceActions &actions)
{
    const auto [call, index] = state.attempts.at(event.attempt);
    state.attempts.erase(event.attempt);
    BaselineUpstream &upstream = state.upstreams[index];
    --upstream.outstanding;
    upstream.isLeaving = upstream.isLeaving || (event.report && event.report->isDraining);
    const auto reason = retryReasonOf(state.calls.at(call), event.outcome, now);
    if (reason) {
        actions.emplace_back(CountRetry{.reason = *reason});
        send(state, call, random, actions);
        return;
    }
    actions.push_back(finalAction(call, event));
    state.calls.erase(call);
}

/** Adds new upstreams. No scenario removes an upstream from the assignment of an entry VM. */
void assign(BaselineState &state, const UpstreamsAssigned &event)
{
    for (const Upstream &upstream : event.upstreams) {
        const bool isKnown = std::any_of(state.upstreams.begin(), state.upstreams.end(), [&upstream](const BaselineUpstream &known) {
            return known.upstream.name == upstream.name;
        });
        if (!isKnown) {
            state.upstreams.push_back({.upstream = upstream});
        }
    }
}

void markLeaving(BaselineState &state, const UpstreamLeaving &event)
{
    for (BaselineUpstream &upstream : state.upstreams) {
        if (upstream.upstream.name == event.upstream) {
            upstream.isLeaving = event.isLeaving;
        }
    }
}

}

void step(BaselineState &state, const ServiceEvent &event, TimePoint now, RandomGenerator &random, ServiceActions &actions)
{
    if (const auto *arrival = std::get_if<CallArrived>(&event)) {
        state.calls.emplace(arrival->call, BaselineCall{.arrival = *arrival});
        send(state, arrival->call, random, actions);
    } else if (const auto *finished = std::get_if<AttemptFinished>(&event)) {
        finishAttempt(state, *finished, now, random, actions);
    } else if (const auto *assigned = std::get_if<UpstreamsAssigned>(&event)) {
        assign(state, *assigned);
    } else if (const auto *leaving = std::get_if<UpstreamLeaving>(&event)) {
        markLeaving(state, *leaving);
    }
}

}
