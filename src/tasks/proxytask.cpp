#include "tasks/proxytask.h"

#include "core/suspendawareclock.h"
#include "decision/weightedroundrobin.h"
#include "observability/logevents.h"
#include "observability/metrics.h"

#include <QTimer>

#include <fmt/ranges.h>

#include <limits>
#include <set>
#include <unordered_map>

namespace Plantainweir {
namespace {

/** Retry-After of refusals that do not depend on a queue. */
constexpr std::chrono::milliseconds RetryAfterRefusal{300};
/** Minimum Retry-After of refusals for lack of credit. */
constexpr std::chrono::milliseconds MinimumRetryAfterCredit{10};

/** A call that is admitted once it has credit of its client account. */
struct PendingAdmission {
    CreditRequestId credit = 0;
    ProxyCallAdmitted admitted;
};

/** Set in the ids of requests for credit of cold upstreams, which other requests of the same process must not share. */
constexpr CreditRequestId ColdCreditMark = CreditRequestId{1} << 63;
/** Interval at which cold upstreams are counted. */
constexpr std::chrono::milliseconds ColdCountInterval{1000};
/** A whole zone may become cold at once. */
constexpr std::size_t MaximumNamesInLog = 8;

/** A call that has no reply yet. */
struct OpenCall {
    IncomingProxyCall incoming;
    std::optional<PendingAdmission> pending;
    std::optional<CreditDecision> credit; ///< Credit of the client account that the call uses.
    std::string route;
    std::uint64_t tableVersion = 0; ///< Of the route table that the call was admitted by.
    std::optional<std::string> account; ///< See OutgoingProxyAttempt::account.
    std::string lastUpstream; ///< Of the attempt that started or ended last.
    std::uint32_t attempts = 0;
    std::map<ProxyAttemptId, std::shared_ptr<const ResponseMessage>> responses; ///< By attempt; the proxy step decides which one answers the call.
};

/** The body of a call, which takes memory as long as the call is open or one of its attempts may still send it. */
struct HeldBody {
    std::size_t bytes = 0;
    std::size_t holders = 0;
};

/** An attempt whose result is expected. */
struct OpenAttempt {
    HttpExchangeId call = 0;
    std::string upstream;
    bool isHedge = false;
};

/** Returns the name of the call's client account; empty if it belongs to none. */
std::string accountName(const RouteContext &context)
{
    return context.account != nullptr ? context.account->name : std::string();
}

/** Returns what the call's client account may have relative to others: its quota, if it has one. */
double accountWeight(const RouteContext &context)
{
    const bool isLimited = context.account != nullptr && context.account->callsPerSecond > 0.0;
    return isLimited ? context.account->callsPerSecond : 1.0;
}

void addAccount(std::vector<LogField> &fields, const std::string &account)
{
    if (!account.empty()) {
        fields.emplace_back("account", account);
    }
}

}

class ProxyTask::Private : public QObject
{
public:
    Private(ProxyTask *task, const ProxySettings &settings, Metrics &metrics, std::uint64_t seed)
        : q(task)
        , m_metrics(metrics)
        , m_random(seed)
    {
        m_state.settings = settings;
        m_timer.setSingleShot(true);
        m_timer.setTimerType(Qt::PreciseTimer);
        connect(&m_timer, &QTimer::timeout, this, [this] {
            handleEvent(ProxyTimerFired{});
        });
    }

    void admit(const IncomingProxyCall &call)
    {
        const TimePoint now = Clock::now();
        RouteContext context{.call = call.call};
        const RouteEnvironment environment{
            .table = m_table,
            .accounts = &m_accounts,
            .isTableFresh = m_isTableFresh,
            .isStopping = m_isStopping,
            .interruptedAt = m_interruptedAt,
            .freeBodyBytes = m_bodyLimit - std::min(m_bodyLimit, m_bodyBytes),
            .now = now,
        };
        if (runRouteChain(context, environment) == RouteOutcome::Refuse) {
            refuse(call, context, now);
            return;
        }
        const Route &route = *context.route;
        const std::string account = accountName(context);
        holdBody(call.exchange, call.call.bodyBytes);
        m_calls.emplace(call.exchange,
                        OpenCall{.incoming = call,
                                 .route = route.name,
                                 .tableVersion = m_table.version,
                                 .account = m_table.accounts.empty() ? std::nullopt : std::optional(account)});
        const ProxyCallAdmitted admitted{
            .id = call.exchange,
            .service = nextService(roundRobinOf(route)),
            .repeatability = route.repeatability,
            .priority = priorityOf(context),
            .account = account,
            .accountWeight = accountWeight(context),
            .maximumAttempts = route.maximumAttempts,
            .target = route.target,
            .deadline = context.deadline,
        };
        if (context.account != nullptr && context.account->callsPerSecond > 0.0) {
            requestCredit(admitted, context.account->name, now);
        } else {
            handleEvent(admitted);
        }
    }

    void requestCredit(const ProxyCallAdmitted &admitted, const std::string &account, TimePoint now)
    {
        const CreditRequestId id = ++m_lastCreditRequest;
        m_calls.at(admitted.id).pending = PendingAdmission{.credit = id, .admitted = admitted};
        m_creditRequests.emplace(id, admitted.id);
        const TimePoint deadline = suspendAwareNow() + (admitted.deadline - now);
        Q_EMIT q->creditRequested(id, {.kind = CreditKind::Account, .scope = account, .upstream = {}}, deadline);
    }

    void finishCredit(CreditRequestId id, const CreditDecision &decision)
    {
        const auto found = m_creditRequests.find(id);
        if (found == m_creditRequests.end()) {
            return;
        }
        const auto call = m_calls.find(found->second);
        m_creditRequests.erase(found);
        const ProxyCallAdmitted admitted = call->second.pending->admitted;
        call->second.pending.reset();
        const bool isGranted = decision.outcome == CreditOutcome::Granted && decision.usableUntil > suspendAwareNow();
        const bool isInTime = admitted.deadline > Clock::now();
        if (isGranted && isInTime) {
            call->second.credit = decision;
            handleEvent(admitted);
            return;
        }
        if (isGranted) {
            Q_EMIT q->creditReturned(decision);
        }
        const bool isOverQuota = decision.outcome == CreditOutcome::Denied;
        const RefusalReason reason = isOverQuota ? RefusalReason::QuotaExceeded : RefusalReason::CreditUnavailable;
        refuseWaiting(call, isInTime ? reason : RefusalReason::DeadlinePassed, decision);
    }

    void refuseWaiting(std::map<HttpExchangeId, OpenCall>::iterator found, RefusalReason reason, const CreditDecision &decision)
    {
        const OpenCall call = takeCall(found);
        const Duration retryAfter = std::max(Duration(MinimumRetryAfterCredit), Duration(decision.retryAt - suspendAwareNow()));
        const CallReply reply = refusedReply(reason, Clock::now() + retryAfter);
        m_metrics.countRefusal(reason);
        logEnd(call, reply);
        Q_EMIT q->replyReady(call.incoming.exchange, call.incoming.call.requestId, reply);
    }

    /** Gives back the credit of a call that did not run. */
    void returnCredit(const OpenCall &call)
    {
        if (call.credit) {
            Q_EMIT q->creditReturned(*call.credit);
        }
    }

    void refuse(const IncomingProxyCall &call, const RouteContext &context, TimePoint now)
    {
        const std::string account = accountName(context);
        m_metrics.countRefusal(context.refusal);
        countAccountCall(account, CallOutcome::NotRun);
        std::vector<LogField> fields{
            {"id", call.call.requestId}, {"outcome", nameOf(CallOutcome::NotRun)}, {"reason", nameOf(context.refusal)}, {"routes", m_table.version}};
        addAccount(fields, account);
        logEvent(LogEvent::CallEnded, fields);
        Q_EMIT q->replyReady(call.exchange, call.call.requestId, refusedReply(context.refusal, now + RetryAfterRefusal));
    }

    void countAccountCall(const std::string &account, CallOutcome outcome)
    {
        if (!account.empty()) {
            m_metrics.countAccountCall(account, outcome);
        }
    }

    void holdBody(HttpExchangeId call, std::size_t bytes)
    {
        HeldBody &body = m_bodies[call];
        if (body.holders == 0) {
            body.bytes = bytes;
            m_bodyBytes += bytes;
        }
        ++body.holders;
    }

    void releaseBody(HttpExchangeId call)
    {
        const auto found = m_bodies.find(call);
        if (--found->second.holders == 0) {
            m_bodyBytes -= found->second.bytes;
            m_bodies.erase(found);
        }
    }

    WeightedRoundRobin &roundRobinOf(const Route &route)
    {
        const auto found = m_roundRobins.find(route.name);
        if (found != m_roundRobins.end() && found->second.targets == route.targets) {
            return found->second;
        }
        return m_roundRobins.insert_or_assign(route.name, makeRoundRobin(route.targets, m_random())).first->second;
    }

    void handleEvent(const ProxyEvent &event)
    {
        const auto actions = step(m_state, event, Clock::now(), m_random);
        for (const ProxyAction &action : actions) {
            std::visit(
                [this](const auto &alternative) {
                    execute(alternative);
                },
                action);
        }
        scheduleWakeUp();
    }

    void scheduleWakeUp()
    {
        const auto next = nextWakeUp(m_state);
        if (!next) {
            m_timer.stop();
            return;
        }
        if (m_timer.isActive() && m_timerDue == *next) {
            return;
        }
        m_timerDue = *next;
        const Duration wait = std::max(Duration(0), Duration(*next - Clock::now()));
        m_timer.start(std::chrono::ceil<std::chrono::milliseconds>(wait));
    }

    void execute(const StartProbe &action)
    {
        const auto service = m_table.services.find(action.upstream.service);
        Q_EMIT q->probeStarted({
            .id = action.id,
            .upstream = action.upstream,
            .healthPath = service == m_table.services.end() ? "/" : service->second.healthPath,
            .deadline = action.deadline,
        });
    }

    void execute(const StartProxyAttempt &action)
    {
        OpenCall &call = m_calls.at(action.call);
        call.lastUpstream = action.upstream.id;
        ++call.attempts;
        holdBody(action.call, call.incoming.call.bodyBytes);
        m_attempts.emplace(action.id, OpenAttempt{.call = action.call, .upstream = action.upstream.id, .isHedge = action.retry == RetryReason::Hedge});
        if (action.retry) {
            m_metrics.countRetry(*action.retry);
        }
        logEvent(LogEvent::CallSent,
                 {{"id", call.incoming.call.requestId},
                  {"upstream", action.upstream.id},
                  {"address", toString(action.upstream.endpoint)},
                  {"running", action.load.running},
                  {"waiting", action.load.waiting},
                  {"pace", action.load.workTimeFactor},
                  {"age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(action.loadAge).count()},
                  {"retry", action.retry ? nameOf(*action.retry) : "none"}});
        Q_EMIT q->attemptStarted(
            {.id = action.id, .upstream = action.upstream, .message = call.incoming.message, .deadline = action.deadline, .account = call.account});
    }

    void execute(const CancelProxyAttempt &action)
    {
        const auto attempt = m_attempts.find(action.id);
        if (attempt != m_attempts.end()) {
            countHedge(attempt->second, HedgeOutcome::Cancelled);
            eraseAttempt(attempt);
        }
        Q_EMIT q->attemptCancelled(action.id);
    }

    void eraseAttempt(std::map<ProxyAttemptId, OpenAttempt>::iterator attempt)
    {
        releaseBody(attempt->second.call);
        m_attempts.erase(attempt);
    }

    void countHedge(const OpenAttempt &attempt, HedgeOutcome outcome)
    {
        if (attempt.isHedge) {
            m_metrics.addToCounter(
                "plantainweir_hedges_total", "Second attempts while the first one was slow, by how they ended.", std::string(nameOf(outcome)));
        }
    }

    void execute(const RequestColdCredit &action)
    {
        const CreditLine line{.kind = CreditKind::ColdUpstream, .scope = action.service, .upstream = action.upstream};
        m_credits.emplace(action.id, CreditDecision{});
        Q_EMIT q->creditRequested(action.id | ColdCreditMark, line, suspendAwareNow() + (action.deadline - Clock::now()));
    }

    void execute(const CancelColdCredit &action)
    {
        m_credits.erase(action.id);
        Q_EMIT q->creditCancelled(action.id | ColdCreditMark);
    }

    void execute(const ReturnColdCredit &action)
    {
        Q_EMIT q->creditReturned(m_credits.at(action.id));
    }

    void finishColdCredit(CreditRequestId id, const CreditDecision &decision)
    {
        const ColdCreditId credit = id & ~ColdCreditMark;
        const auto found = m_credits.find(credit);
        if (found == m_credits.end()) {
            return;
        }
        found->second = decision;
        const TimePoint now = suspendAwareNow();
        // The credit is used at once or not at all, since Clock does not count the time while this VM is suspended.
        const bool isGranted = decision.outcome == CreditOutcome::Granted && now < decision.usableUntil;
        handleEvent(ColdCreditDecided{.id = credit, .isGranted = isGranted, .retryAt = Clock::now() + (decision.retryAt - now)});
        m_credits.erase(credit);
    }

    /** Reports the upstreams that said that they are cold, at most once in ColdCountInterval. */
    void countColdUpstreams()
    {
        const TimePoint now = Clock::now();
        if (now < m_coldCountDue) {
            return;
        }
        m_coldCountDue = now + ColdCountInterval;
        bool isAnyLimited = false;
        std::set<std::string> cold;
        for (const auto &[name, service] : m_state.services) {
            for (const auto &[key, upstream] : service.pool.upstreams) {
                isAnyLimited = isAnyLimited || upstream.registration.isColdLimited;
                if (upstream.registration.isColdLimited && upstream.coldStart.coldUntil > now) {
                    cold.insert(upstream.registration.id);
                }
            }
        }
        if (isAnyLimited) {
            m_metrics.setGauge("plantainweir_cold_upstreams", "Upstreams whose calls are limited because they are cold.", static_cast<double>(cold.size()));
        }
        logColdChanges(coldChanges(m_coldUpstreams, cold), cold.size());
        m_coldUpstreams = std::move(cold);
    }

    static void logColdChanges(const ColdChanges &changes, std::size_t coldCount)
    {
        if (changes.cold.empty() && changes.warm.empty()) {
            return;
        }
        logEvent(LogEvent::ColdUpstreamsChanged, {{"cold", coldCount}, {"became_cold", someOf(changes.cold)}, {"became_warm", someOf(changes.warm)}});
    }

    /** Returns the first of @p names, and how many others there are. */
    static std::string someOf(const std::vector<std::string> &names)
    {
        const std::size_t shown = std::min(names.size(), MaximumNamesInLog);
        const std::string list = fmt::format("{}", fmt::join(names.begin(), names.begin() + static_cast<std::ptrdiff_t>(shown), ","));
        return shown == names.size() ? list : fmt::format("{} and {} more", list, names.size() - shown);
    }

    void execute(const EndProxyCall &action)
    {
        const OpenCall call = takeCall(m_calls.find(action.call));
        const CallReply reply = replyFor(action, call);
        if (reply.outcome == CallOutcome::NotRun) {
            returnCredit(call);
        }
        logEnd(call, reply);
        Q_EMIT q->replyReady(action.call, call.incoming.call.requestId, reply);
    }

    OpenCall takeCall(std::map<HttpExchangeId, OpenCall>::iterator found)
    {
        OpenCall call = std::move(found->second);
        m_calls.erase(found);
        releaseBody(call.incoming.exchange);
        return call;
    }

    CallReply replyFor(const EndProxyCall &end, const OpenCall &call)
    {
        switch (end.outcome) {
        case CallOutcome::Answered:
            return answeredReply(call.responses.at(*end.answer));
        case CallOutcome::NotRun:
            m_metrics.countRefusal(end.refusal);
            return refusedReply(end.refusal, Clock::now() + end.retryAfter);
        case CallOutcome::Unknown:
            break;
        }
        m_metrics.countUnknown(end.unknown);
        return unknownReply(end.unknown);
    }

    void logEnd(const OpenCall &call, const CallReply &reply)
    {
        std::string_view reason = "none";
        if (reply.outcome == CallOutcome::NotRun) {
            reason = nameOf(reply.refusal);
        } else if (reply.outcome == CallOutcome::Unknown) {
            reason = nameOf(reply.unknown);
        }
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - call.incoming.call.arrivedAt);
        std::vector<LogField> fields{{"id", call.incoming.call.requestId},
                                     {"outcome", nameOf(reply.outcome)},
                                     {"reason", reason},
                                     {"status", reply.answer ? reply.answer->status : 0},
                                     {"route", call.route},
                                     {"upstream", call.lastUpstream},
                                     {"attempts", call.attempts},
                                     {"ms", age.count()},
                                     {"routes", call.tableVersion}};
        addAccount(fields, call.account.value_or(""));
        logEvent(LogEvent::CallEnded, fields);
        countAccountCall(call.account.value_or(""), reply.outcome);
    }

    void finishAttempt(const ProxyAttemptResult &result)
    {
        const auto attempt = m_attempts.find(result.ended.id);
        if (attempt != m_attempts.end()) {
            const auto call = m_calls.find(attempt->second.call);
            if (call != m_calls.end()) {
                call->second.lastUpstream = attempt->second.upstream;
                call->second.responses.emplace(result.ended.id, result.response);
                logFailure(call->second, result.ended);
                logNotice(call->second.lastUpstream, result.ended.notice);
                countHedge(attempt->second, result.ended.outcome == ProxyAttemptOutcome::Succeeded ? HedgeOutcome::Won : HedgeOutcome::Failed);
            }
            eraseAttempt(attempt);
        }
        handleEvent(result.ended);
    }

    void logNotice(const std::string &upstream, const UpstreamNotice &notice)
    {
        if (notice.isLeaving) {
            logEvent(LogEvent::UpstreamLeaving, {{"upstream", upstream}});
        }
        if (notice.quietTime) {
            m_metrics.addToCounter("plantainweir_quiet_requests_total", "Refusals of upstreams that asked for no calls for a time.");
            logEvent(LogEvent::UpstreamQuiet,
                     {{"upstream", upstream}, {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(*notice.quietTime).count()}});
        }
    }

    void logFailure(const OpenCall &call, const ProxyAttemptEnded &ended)
    {
        if (ended.outcome == ProxyAttemptOutcome::Succeeded) {
            return;
        }
        m_metrics.addToCounter("plantainweir_failed_attempts_total", "Attempts that did not succeed, by outcome.", std::string(nameOf(ended.outcome)));
        logEvent(LogEvent::AttemptFailed, {{"id", call.incoming.call.requestId}, {"upstream", call.lastUpstream}, {"outcome", nameOf(ended.outcome)}});
    }

    void abandon(HttpExchangeId exchange)
    {
        const auto found = m_calls.find(exchange);
        if (found == m_calls.end()) {
            return;
        }
        const OpenCall call = takeCall(found);
        std::vector<LogField> fields{{"id", call.incoming.call.requestId}, {"upstream", call.lastUpstream}};
        addAccount(fields, call.account.value_or(""));
        logEvent(LogEvent::CallAbandoned, fields);
        if (call.pending) {
            m_creditRequests.erase(call.pending->credit);
            Q_EMIT q->creditCancelled(call.pending->credit);
            return;
        }
        if (call.attempts == 0) {
            returnCredit(call);
        }
        handleEvent(ProxyCallAbandoned{exchange});
    }

    ProxyTask *q;
    Metrics &m_metrics;
    std::mt19937_64 m_random;
    ProxyState m_state;
    RouteTable m_table;
    AccountIndex m_accounts; ///< Of m_table.
    bool m_isTableFresh = false;
    bool m_isStopping = false;
    std::optional<TimePoint> m_interruptedAt;
    QTimer m_timer;
    TimePoint m_timerDue;
    std::map<std::string, WeightedRoundRobin> m_roundRobins;
    std::map<HttpExchangeId, OpenCall> m_calls;
    std::map<CreditRequestId, HttpExchangeId> m_creditRequests; ///< Calls that wait for credit.
    CreditRequestId m_lastCreditRequest = 0;
    std::size_t m_bodyLimit = std::numeric_limits<std::size_t>::max(); ///< Of all m_bodies together.
    std::unordered_map<HttpExchangeId, HeldBody> m_bodies; ///< By call; also of calls whose caller has disconnected while an attempt runs.
    std::size_t m_bodyBytes = 0; ///< Of all m_bodies.
    std::map<ProxyAttemptId, OpenAttempt> m_attempts;
    std::map<ColdCreditId, CreditDecision> m_credits; ///< Of the requests for credit of cold upstreams; empty until they are decided.
    TimePoint m_coldCountDue;
    std::set<std::string> m_coldUpstreams; ///< When they were counted last, by id.
};

ProxyTask::ProxyTask(const ProxySettings &settings, Metrics &metrics, std::uint64_t seed, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, settings, metrics, seed))
{
}

ProxyTask::~ProxyTask() = default;

bool ProxyTask::setRouteTable(const RouteTable &table)
{
    if (table.version <= d->m_table.version) {
        return false;
    }
    d->m_table = table;
    d->m_accounts = makeAccountIndex(d->m_table);
    return true;
}

const RouteTable &ProxyTask::table() const
{
    return d->m_table;
}

void ProxyTask::setRouteTableFresh(bool isFresh)
{
    d->m_isTableFresh = isFresh;
}

void ProxyTask::setUpstreams(const std::vector<RegisteredUpstream> &upstreams)
{
    d->handleEvent(UpstreamsReplaced{upstreams});
}

void ProxyTask::setEvacuatedZones(const std::set<std::string> &availabilityZones)
{
    d->handleEvent(EvacuationsReplaced{availabilityZones});
}

void ProxyTask::setFleetShare(const FleetShareChanged &share)
{
    d->handleEvent(share);
}

void ProxyTask::setInterruption(TimePoint at)
{
    d->m_interruptedAt = at;
}

void ProxyTask::setBodyLimit(std::size_t bytes)
{
    d->m_bodyLimit = bytes;
}

void ProxyTask::refuseNewCalls()
{
    d->m_isStopping = true;
}

void ProxyTask::admit(const IncomingProxyCall &call)
{
    d->admit(call);
}

void ProxyTask::abandon(HttpExchangeId exchange)
{
    d->abandon(exchange);
}

void ProxyTask::finishProbe(const ProbeEnded &ended)
{
    d->handleEvent(ended);
    d->countColdUpstreams();
}

void ProxyTask::finishAttempt(const ProxyAttemptResult &result)
{
    d->finishAttempt(result);
}

void ProxyTask::finishCredit(CreditRequestId id, const CreditDecision &decision)
{
    if ((id & ColdCreditMark) != 0) {
        d->finishColdCredit(id, decision);
    } else {
        d->finishCredit(id, decision);
    }
}

std::size_t ProxyTask::openCallCount() const
{
    return d->m_calls.size();
}

}
