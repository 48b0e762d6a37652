#include "tasks/dispatchtask.h"

#include "controllers/idempotencytable.h"
#include "filters/filterchain.h"
#include "observability/logevents.h"
#include "observability/metrics.h"

#include <QTimer>

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

namespace Plantainweir {
namespace {

constexpr std::chrono::milliseconds RetryAfterRefusal{100};
constexpr std::chrono::seconds HousekeepingPeriod{1};
constexpr int ServerErrorStatus = 500;

/** A call that has no reply yet. */
struct OpenCall {
    CallToken token;
    CallRequest request;
    SharedRequest message;
    WorkKind workKind;
    TimePoint deadline;
    std::string key; ///< Canonical text of the idempotency key; empty unless this entry VM is the key owner.
    bool isWaiter = false; ///< Whether another call with this key is running and this one waits for its outcome.
    bool isAbandoned = false;
    std::map<AttemptId, SharedResponse> responses; ///< Complete responses, by attempt.
};

/** A service of which this entry VM owns, or has owned, slots. */
struct ServiceRuntime {
    std::uint32_t index = 0;
    std::string name;
    ServiceState state;
    std::map<std::string, Endpoint> endpoints; ///< By upstream name; never erased, since attempts may still be in flight.
    std::optional<TimePoint> wakeUp; ///< Time under which m_wakeUps contains the service.
};

/** Converts the result of a hand-over to a co-owner to that of an attempt. */
AttemptResult attemptResultOf(const AttemptToken &token, const ForwardResult &result)
{
    AttemptResult attempt{.token = token, .outcome = AttemptOutcome::ConnectionLost, .report = std::nullopt, .response = nullptr};
    if (result.outcome == ForwardOutcome::NotSent) {
        attempt.outcome = AttemptOutcome::NotSent;
        return attempt;
    }
    if (result.outcome == ForwardOutcome::ConnectionLost || result.reply.outcome == CallOutcome::Unknown) {
        return attempt;
    }
    if (result.reply.outcome == CallOutcome::NotRun) {
        attempt.outcome = AttemptOutcome::Shed;
        return attempt;
    }
    attempt.response = result.reply.answer;
    attempt.outcome = attempt.response->status >= ServerErrorStatus ? AttemptOutcome::ServerError : AttemptOutcome::Succeeded;
    return attempt;
}

/** Wall-clock time that never goes backwards: the system clock is read once, then the monotonic clock is added. */
class MonotonicWallClock
{
public:
    MonotonicWallClock()
        : m_wallStart(std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now()))
        , m_steadyStart(Clock::now())
    {
    }

    UnixMilliseconds at(TimePoint now) const
    {
        return m_wallStart + std::chrono::duration_cast<std::chrono::milliseconds>(now - m_steadyStart);
    }

private:
    UnixMilliseconds m_wallStart;
    TimePoint m_steadyStart;
};

}

class DispatchTask::Private : public QObject
{
public:
    Private(DispatchTask *task, Metrics &metrics, std::uint64_t seed)
        : q(task)
        , m_metrics(metrics)
        , m_random(seed)
        , m_routing(std::make_shared<const RoutingState>())
    {
        m_wakeUpTimer.setSingleShot(true);
        m_wakeUpTimer.setTimerType(Qt::PreciseTimer);
        connect(&m_wakeUpTimer, &QTimer::timeout, this, &Private::wakeUpServices);
        connect(&m_housekeepingTimer, &QTimer::timeout, this, [this] {
            eraseExpired(m_idempotencyTable, m_wallClock.at(Clock::now()));
        });
        m_housekeepingTimer.start(HousekeepingPeriod);
    }

    // Incoming calls

    void admit(const IncomingCall &call)
    {
        const TimePoint now = Clock::now();
        const FilterEnvironment environment{.routing = *m_routing, .now = now};
        RequestContext context{.request = call.request};
        const FilterOutcome outcome = runFilterChain(context, environment);
        const CallId id = openCall(call, context);
        switch (outcome) {
        case FilterOutcome::Refuse: {
            CallReply reply = refusedReply(context.refusal, now + RetryAfterRefusal);
            reply.keyOwner = context.keyOwner;
            replyTo(id, reply);
            return;
        }
        case FilterOutcome::ReportUnknown:
            replyTo(id, unknownReply(context.unknown));
            return;
        case FilterOutcome::Forward:
            forwardCall(id, *context.forwardTo, CallOrigin::Forwarded);
            return;
        case FilterOutcome::Continue:
            break;
        }
        if (context.isKeyOwner) {
            admitByKey(id, context, now);
            return;
        }
        runCall(id);
    }

    CallId openCall(const IncomingCall &call, const RequestContext &context)
    {
        const CallId id = ++m_lastCall;
        OpenCall open{.token = call.token, .request = call.request, .message = call.message, .deadline = context.deadline};
        open.request.deadline = context.deadline;
        if (context.workKind != nullptr) {
            open.workKind = *context.workKind;
        }
        if (context.isKeyOwner) {
            open.key = toString(context.key);
        }
        m_calls.emplace(id, std::move(open));
        m_callByToken.emplace(call.token, id);
        return id;
    }

    void admitByKey(CallId id, const RequestContext &context, TimePoint now)
    {
        const std::string key = m_calls.at(id).key;
        const KeyAdmission admission = admitKey(m_idempotencyTable, key, timestampOf(context.key), id, m_wallClock.at(now));
        switch (admission.decision) {
        case KeyDecision::Run:
            runCall(id);
            return;
        case KeyDecision::Wait:
            m_calls.at(id).isWaiter = true;
            return;
        case KeyDecision::Replay:
            replyTo(id, answeredReply(admission.answer));
            return;
        case KeyDecision::Unknown:
            replyTo(id, unknownReply(UnknownReason::ConnectionLost));
            return;
        case KeyDecision::Expired:
            replyTo(id, unknownReply(UnknownReason::KeyExpired));
            return;
        case KeyDecision::TimestampInFuture:
            replyTo(id, refusedReply(RefusalReason::KeyInvalid, now));
            return;
        case KeyDecision::Full:
            replyTo(id, refusedReply(RefusalReason::IdempotencyTableFull, now + RetryAfterRefusal));
            return;
        }
    }

    /** Queues the call here if this entry VM owns slots of the service, otherwise forwards it to an owner. */
    void runCall(CallId id)
    {
        const OpenCall &call = m_calls.at(id);
        if (isOwner(*m_routing, call.request.service)) {
            dispatch(runtimeOf(call.request.service),
                     CallArrived{
                         .call = id,
                         .rank = call.workKind.rank,
                         .repeatability = call.workKind.repeatability,
                         .worth = call.workKind.worth,
                         .deadline = call.deadline,
                         .caller = std::hash<std::string>{}(call.request.caller),
                         .handedOverBy = call.request.origin == CallOrigin::Delegated ? call.request.sender : std::string(),
                     });
            return;
        }
        const EntryMember *owner = findOtherOwner(*m_routing, call.request.service);
        if (owner == nullptr || call.request.origin == CallOrigin::Delegated) {
            finishCall(id, refusedReply(RefusalReason::OwnerUnreachable, Clock::now() + RetryAfterRefusal));
            return;
        }
        forwardCall(id, *owner, CallOrigin::Delegated);
    }

    /** Sends the call to another entry VM; returns the id of the forward. */
    std::uint64_t sendForward(const OpenCall &call, const EntryMember &member, CallOrigin origin)
    {
        const std::uint64_t id = ++m_lastForward;
        OutgoingForward forward{.id = id, .endpoint = member.peerEndpoint, .request = call.request, .message = call.message};
        forward.request.origin = origin;
        Q_EMIT q->forwardStarted(forward);
        return id;
    }

    void forwardCall(CallId id, const EntryMember &member, CallOrigin origin)
    {
        m_callByForward.emplace(sendForward(m_calls.at(id), member, origin), id);
    }

    void finishForward(const ForwardResult &result)
    {
        if (const auto call = m_callByForward.extract(result.id)) {
            finishCall(call.mapped(), replyOf(result));
            return;
        }
        if (const auto attempt = m_attemptByForward.extract(result.id)) {
            m_forwardByAttempt.erase(attempt.mapped());
            finishAttempt(attemptResultOf(attempt.mapped(), result));
        }
    }

    CallReply replyOf(const ForwardResult &result) const
    {
        switch (result.outcome) {
        case ForwardOutcome::Replied:
            return result.reply;
        case ForwardOutcome::NotSent:
            return refusedReply(RefusalReason::OwnerUnreachable, Clock::now() + RetryAfterRefusal);
        case ForwardOutcome::ConnectionLost:
            break;
        }
        return unknownReply(UnknownReason::OwnerConnectionLost);
    }

    void abandon(const CallToken &token)
    {
        const auto found = m_callByToken.find(token);
        if (found == m_callByToken.end()) {
            return;
        }
        const CallId id = found->second;
        OpenCall &call = m_calls.at(id);
        call.isAbandoned = true;
        const bool isAwaited = !call.key.empty() && removeWaiter(m_idempotencyTable, call.key, id);
        const CallReply callerDisconnected = refusedReply(RefusalReason::CallerDisconnected, Clock::now());
        if (call.isWaiter) {
            replyTo(id, callerDisconnected);
            return;
        }
        const auto runtime = m_services.find(call.request.service);
        const bool isQueuedHere = runtime != m_services.end() && runtime->second->state.calls.contains(id);
        if (isAwaited || !isQueuedHere) {
            return;
        }
        const bool isStarted = runtime->second->state.calls.at(id).runningCount > 0;
        dispatch(*runtime->second, CallAbandoned{.call = id});
        // The dispatch step removes a call that it drops or cancels. An at-most-once call that is running stays until
        // it ends.
        if (m_calls.contains(id) && !runtime->second->state.calls.contains(id)) {
            finishCall(id, isStarted ? unknownReply(UnknownReason::CallerDisconnected) : callerDisconnected);
        }
    }

    // Dispatch step of a service

    ServiceRuntime &runtimeOf(const std::string &service)
    {
        auto &runtime = m_services[service];
        if (!runtime) {
            runtime = std::make_unique<ServiceRuntime>();
            runtime->index = static_cast<std::uint32_t>(m_serviceByIndex.size());
            runtime->name = service;
            m_serviceByIndex.push_back(runtime.get());
        }
        return *runtime;
    }

    void dispatch(ServiceRuntime &runtime, const ServiceEvent &event)
    {
        ServiceActions actions;
        step(runtime.state, event, Clock::now(), m_random, actions);
        for (const ServiceAction &action : actions) {
            std::visit(
                [this, &runtime](const auto &specific) {
                    execute(runtime, specific);
                },
                action);
        }
        scheduleWakeUp(runtime);
    }

    void execute(ServiceRuntime &runtime, const StartAttempt &action)
    {
        const OpenCall &call = m_calls.at(action.call);
        Q_EMIT q->attemptStarted({
            .token = {.service = runtime.index, .attempt = action.attempt},
            .endpoint = runtime.endpoints.at(action.upstream),
            .deadline = action.deadline,
            .workKind = call.workKind.name,
            .idempotencyKey = call.request.idempotencyKey,
            .message = call.message,
        });
    }

    void execute(ServiceRuntime &runtime, const HandOverCall &action)
    {
        const AttemptToken token{.service = runtime.index, .attempt = action.attempt};
        const EntryMember *peer = findMember(*m_routing, action.peer);
        if (peer == nullptr) {
            // The dispatch step does not know yet that this co-owner has left. Nothing was sent.
            QMetaObject::invokeMethod(
                this,
                [this, token] {
                    finishAttempt({.token = token, .outcome = AttemptOutcome::NotSent, .report = std::nullopt, .response = nullptr});
                },
                Qt::QueuedConnection);
            return;
        }
        const std::uint64_t id = sendForward(m_calls.at(action.call), *peer, CallOrigin::Delegated);
        m_attemptByForward.emplace(id, token);
        m_forwardByAttempt.emplace(token, id);
    }

    void execute(ServiceRuntime &runtime, const SendPeerLoadReport &action)
    {
        const EntryMember *peer = findMember(*m_routing, action.peer);
        if (peer == nullptr) {
            return;
        }
        const PeerLoadReport report{.openSlots = action.openSlots, .queuedCalls = action.queuedCalls, .handOversReceived = action.handOversReceived};
        Q_EMIT q->loadReportReady({.endpoint = peer->peerEndpoint, .load = {.service = runtime.name, .report = report}});
    }

    void execute(ServiceRuntime &runtime, const CancelAttempt &action)
    {
        const AttemptToken token{.service = runtime.index, .attempt = action.attempt};
        if (const auto forward = m_forwardByAttempt.extract(token)) {
            m_attemptByForward.erase(forward.mapped());
            Q_EMIT q->forwardCancelled(forward.mapped());
            return;
        }
        Q_EMIT q->attemptCancelled(token);
    }

    void execute(ServiceRuntime &, const AnswerCall &action)
    {
        finishCall(action.call, answeredReply(m_calls.at(action.call).responses.at(action.attempt)));
    }

    void execute(ServiceRuntime &, const RefuseCall &action)
    {
        finishCall(action.call, refusedReply(action.reason, action.retryAt));
    }

    void execute(ServiceRuntime &, const ReportUnknown &action)
    {
        finishCall(action.call, unknownReply(action.reason));
    }

    void execute(ServiceRuntime &, const CountRetry &action)
    {
        m_metrics.countRetry(action.reason);
    }

    void execute(ServiceRuntime &runtime, const EjectionChanged &action)
    {
        const LogEvent event = action.isEjected ? LogEvent::UpstreamEjected : LogEvent::UpstreamReturned;
        logEvent(event, {{"service", runtime.name}, {"upstream", action.upstream}});
    }

    void finishAttempt(const AttemptResult &result)
    {
        ServiceRuntime &runtime = *m_serviceByIndex.at(result.token.service);
        const auto attempt = runtime.state.attempts.find(result.token.attempt);
        if (attempt == runtime.state.attempts.end()) {
            return;
        }
        const auto call = m_calls.find(attempt->second.call);
        if (call != m_calls.end() && result.response) {
            call->second.responses.emplace(result.token.attempt, result.response);
        }
        const auto upstream = attempt->second.upstream;
        if (upstream && result.report && result.report->isDraining) {
            Q_EMIT q->upstreamDraining({.service = runtime.name, .upstream = runtime.state.upstreams.at(*upstream).upstream.name});
        }
        dispatch(runtime, AttemptFinished{.attempt = result.token.attempt, .outcome = result.outcome, .report = result.report});
    }

    void scheduleWakeUp(ServiceRuntime &runtime)
    {
        const auto next = nextWakeUp(runtime.state);
        if (next == runtime.wakeUp) {
            return;
        }
        if (runtime.wakeUp) {
            m_wakeUps.erase({*runtime.wakeUp, runtime.index});
        }
        runtime.wakeUp = next;
        if (next) {
            m_wakeUps.insert({*next, runtime.index});
        }
        armWakeUpTimer();
    }

    void armWakeUpTimer()
    {
        if (m_wakeUps.empty()) {
            m_wakeUpTimer.stop();
            m_wakeUpTimerDue.reset();
            return;
        }
        if (m_wakeUpTimerDue == m_wakeUps.begin()->first) {
            return;
        }
        m_wakeUpTimerDue = m_wakeUps.begin()->first;
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(*m_wakeUpTimerDue - Clock::now());
        m_wakeUpTimer.start(std::max(remaining, std::chrono::milliseconds(0)));
    }

    void wakeUpServices()
    {
        m_wakeUpTimerDue.reset();
        const TimePoint now = Clock::now();
        std::vector<std::uint32_t> due;
        while (!m_wakeUps.empty() && m_wakeUps.begin()->first <= now) {
            const std::uint32_t index = m_wakeUps.begin()->second;
            m_wakeUps.erase(m_wakeUps.begin());
            m_serviceByIndex[index]->wakeUp.reset();
            due.push_back(index);
        }
        for (const std::uint32_t index : due) {
            dispatch(*m_serviceByIndex[index], TimerFired{});
        }
        armWakeUpTimer();
    }

    // Replies

    /**
     * Replies to a call and to all calls that wait for its key. A key is erased if the call did not run; otherwise the
     * outcome is recorded under it.
     */
    void finishCall(CallId id, const CallReply &reply)
    {
        const std::string key = m_calls.at(id).key;
        if (key.empty()) {
            replyTo(id, reply);
            return;
        }
        for (const WaiterId waiter : completeKey(key, reply)) {
            if (waiter != id) {
                replyTo(waiter, reply);
            }
        }
        replyTo(id, reply);
    }

    std::vector<WaiterId> completeKey(const std::string &key, const CallReply &reply)
    {
        switch (reply.outcome) {
        case CallOutcome::Answered:
            return finishKey(m_idempotencyTable, key, reply.answer);
        case CallOutcome::NotRun:
            return eraseKey(m_idempotencyTable, key);
        case CallOutcome::Unknown:
            break;
        }
        return finishKeyUnknown(m_idempotencyTable, key);
    }

    void replyTo(CallId id, const CallReply &reply)
    {
        const auto found = m_calls.find(id);
        if (found == m_calls.end()) {
            return;
        }
        const OpenCall call = std::move(found->second);
        m_calls.erase(found);
        m_callByToken.erase(call.token);
        countReply(call, reply);
        if (!call.isAbandoned) {
            Q_EMIT q->replyReady(call.token, reply);
        }
        if (m_calls.empty()) {
            Q_EMIT q->idle();
        }
    }

    void countReply(const OpenCall &call, const CallReply &reply)
    {
        m_metrics.countOutcome(call.workKind.rank, reply.outcome);
        if (reply.outcome == CallOutcome::NotRun) {
            m_metrics.countRefusal(reply.refusal);
        }
        if (reply.outcome == CallOutcome::Unknown) {
            m_metrics.countUnknown(reply.unknown);
        }
    }

    void handleLoadReport(const OwnerLoadReport &load)
    {
        const auto runtime = m_services.find(load.service);
        if (runtime != m_services.end()) {
            dispatch(*runtime->second, load.report);
        }
    }

    // Routing

    void setRouting(const SharedRouting &routing)
    {
        m_routing = routing;
        for (const auto &[name, service] : routing->configuration.services) {
            assign(name, service.isRemoved ? std::vector<Upstream>{} : ownedUpstreams(*routing, service));
        }
    }

    void assign(const std::string &service, const std::vector<Upstream> &upstreams)
    {
        if (upstreams.empty() && m_services.find(service) == m_services.end()) {
            return;
        }
        ServiceRuntime &runtime = runtimeOf(service);
        for (const Upstream &upstream : upstreams) {
            runtime.endpoints[upstream.name] = upstream.endpoint;
        }
        Q_EMIT q->upstreamsOwned(upstreams);
        if (upstreams.empty()) {
            delegateQueuedCalls(runtime);
        }
        dispatch(runtime, PeersAssigned{.peers = otherOwners(*m_routing, service)});
        dispatch(runtime, UpstreamsAssigned{.upstreams = upstreams});
    }

    /** Delegates the queued calls of a service that this entry VM no longer owns to an owner. */
    void delegateQueuedCalls(ServiceRuntime &runtime)
    {
        std::vector<CallId> queued;
        for (const auto &[id, call] : runtime.state.calls) {
            if (call.runningCount == 0) {
                queued.push_back(id);
            }
        }
        for (const CallId id : queued) {
            dispatch(runtime, CallAbandoned{.call = id});
            if (m_calls.contains(id) && !runtime.state.calls.contains(id)) {
                runCall(id);
            }
        }
    }

    DispatchTask *q;
    Metrics &m_metrics;
    RandomGenerator m_random;
    MonotonicWallClock m_wallClock;
    SharedRouting m_routing;
    IdempotencyTable m_idempotencyTable;
    CallId m_lastCall = 0;
    std::unordered_map<CallId, OpenCall> m_calls;
    std::map<CallToken, CallId> m_callByToken;
    std::uint64_t m_lastForward = 0;
    std::unordered_map<std::uint64_t, CallId> m_callByForward;
    std::unordered_map<std::uint64_t, AttemptToken> m_attemptByForward; ///< Attempts handed over to co-owners, by id of the forward.
    std::map<AttemptToken, std::uint64_t> m_forwardByAttempt;
    std::map<std::string, std::unique_ptr<ServiceRuntime>> m_services;
    std::vector<ServiceRuntime *> m_serviceByIndex;
    std::set<std::pair<TimePoint, std::uint32_t>> m_wakeUps;
    std::optional<TimePoint> m_wakeUpTimerDue;
    QTimer m_wakeUpTimer;
    QTimer m_housekeepingTimer;
};

DispatchTask::DispatchTask(Metrics &metrics, std::uint64_t seed, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, metrics, seed))
{
}

DispatchTask::~DispatchTask() = default;

void DispatchTask::setRouting(const SharedRouting &routing)
{
    d->setRouting(routing);
}

void DispatchTask::admit(const IncomingCall &call)
{
    d->admit(call);
}

void DispatchTask::abandon(const CallToken &token)
{
    d->abandon(token);
}

void DispatchTask::finishAttempt(const AttemptResult &result)
{
    d->finishAttempt(result);
}

void DispatchTask::handleLoadReport(const OwnerLoadReport &load)
{
    d->handleLoadReport(load);
}

void DispatchTask::finishForward(const ForwardResult &result)
{
    d->finishForward(result);
}

std::size_t DispatchTask::openCallCount() const
{
    return d->m_calls.size();
}

}
