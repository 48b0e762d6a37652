#include "policydriver.h"

#include "decision/directoryorder.h"
#include "policyentries.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <optional>
#include <unordered_map>

namespace Plantainweir {
namespace {

constexpr std::chrono::milliseconds ConnectTimeout{50};
constexpr std::chrono::milliseconds FailureDetectionTime{1000};
constexpr std::chrono::milliseconds FailureDetectionSpread{10}; ///< Time between the detection by one entry VM and by the next.
constexpr std::chrono::milliseconds ReportInterval{5};
constexpr std::size_t SnapshotsKept = 3;
constexpr std::chrono::microseconds TimerResolution{10};
constexpr std::size_t NoUpstreamIndex = std::numeric_limits<std::size_t>::max();

/** An attempt in flight, sent to an upstream or handed over to a co-owner. */
struct InFlightRequest {
    CallId call = 0;
    std::size_t entry = 0;
    AttemptId attempt = 0;
    std::size_t upstream = NoUpstreamIndex; ///< Index over all services; NoUpstreamIndex for a hand-over.
    std::size_t peer = 0; ///< Co-owner that received a hand-over.
    bool isEnded = false;
    AttemptOutcome outcome = AttemptOutcome::ConnectionLost;
};

class Driver
{
public:
    explicit Driver(RunRecord &record);
    void run();

private:
    // Callers
    void scheduleArrival(CallId call);
    void sendFromCaller(CallId call);
    std::size_t addressOf(CallId call);
    DirectoryAnswer &directoryAnswer(const Arrival &arrival);
    void onConnectTimeout(CallId call, std::size_t entry);
    void answerCaller(CallId call, std::size_t entry, const CallResult &result);

    // Entry VMs
    void receiveCall(CallId call, std::size_t entry);
    void acceptCall(CallId call, std::size_t entry, const std::string &handedOverBy = {});
    void deliver(std::size_t entry, std::size_t service, const ServiceEvent &event);
    void scheduleWakeUp(std::size_t entry, std::size_t service);
    void assignUpstreams(std::size_t entry, std::size_t service);
    void failEntry(std::size_t entry);
    void apply(const UpstreamChange &change);

    // Actions
    void perform(std::size_t entry, std::size_t service, const StartAttempt &action);
    void perform(std::size_t entry, std::size_t service, const HandOverCall &action);
    void perform(std::size_t entry, std::size_t service, const SendPeerLoadReport &action);
    void perform(std::size_t entry, std::size_t service, const CancelAttempt &action);
    void perform(std::size_t entry, std::size_t service, const AnswerCall &action);
    void perform(std::size_t entry, std::size_t service, const RefuseCall &action);
    void perform(std::size_t entry, std::size_t service, const ReportUnknown &action);
    void perform(std::size_t entry, std::size_t service, const CountRetry &action);
    void perform(std::size_t entry, std::size_t service, const EjectionChanged &action);
    std::size_t addRequest(const InFlightRequest &request, std::size_t service, TimePoint deadline);
    void finishRequest(std::size_t requestId, AttemptOutcome outcome, const std::optional<LoadReport> &report);
    bool finishHandOver(std::size_t entry, std::size_t service, CallId call, AttemptOutcome outcome);
    void onCompleted(std::size_t requestId, AttemptOutcome outcome, const LoadReport &report);

    // Load reports of two-choices-reported
    void reportLoads();
    void updateReports(std::size_t entry, std::size_t service);

    Duration delay(std::size_t fromEntry, std::size_t toEntry) const;
    Duration delayToUpstream(std::size_t entry, std::size_t upstream) const;

    RunRecord &m_record;
    const DeploymentModel &m_model;
    EventQueue m_events;
    RandomGenerator m_random;
    SimulatedUpstreams m_upstreams;
    std::vector<SimulatedEntry> m_entries;
    std::vector<std::vector<bool>> m_isInInventory; ///< For each service and upstream.
    std::vector<std::vector<DirectoryAnswer>> m_answers; ///< For each caller and service.
    std::vector<InFlightRequest> m_requests;
    std::deque<LoadSnapshot> m_snapshots;
};

Driver::Driver(RunRecord &record)
    : m_record(record)
    , m_model(record.model)
    , m_random(record.settings.seed)
    , m_upstreams(m_events,
                  m_model,
                  record.arrivals.size(),
                  [this](std::size_t requestId, AttemptOutcome outcome, const LoadReport &report) {
                      onCompleted(requestId, outcome, report);
                  })
    , m_entries(m_model.entries)
    , m_answers(UsualCallers + FloodCallers, std::vector<DirectoryAnswer>(m_model.services.size()))
{
    for (const ServiceModel &service : m_model.services) {
        m_isInInventory.emplace_back(service.upstreams, true);
    }
    for (const UpstreamChange &change : record.plan.changes) {
        if (change.kind == ChangeKind::Assigned) {
            m_isInInventory[change.service][change.upstream] = false;
        }
        m_events.schedule(TimePoint{} + change.at, [this, change] {
            apply(change);
        });
    }
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        m_entries[entry].availabilityZone = availabilityZoneOfEntry(m_model, entry);
        m_entries[entry].isMember.assign(m_entries.size(), true);
        m_entries[entry].services.resize(m_model.services.size());
        for (std::size_t service = 0; service < m_model.services.size(); ++service) {
            m_entries[entry].services[service].baseline.policy = record.policy;
            assignUpstreams(entry, service);
        }
    }
}

void Driver::run()
{
    if (m_record.plan.entryLostAt) {
        m_events.schedule(TimePoint{} + *m_record.plan.entryLostAt, [this] {
            failEntry(m_entries[0].services[0].assignment.owners[0]);
        });
    }
    if (m_record.policy == Policy::TwoChoicesReported) {
        reportLoads();
    }
    scheduleArrival(0);
    while (m_events.runNext()) {
    }
    for (CallId call = 0; call < m_record.arrivals.size(); ++call) {
        m_record.executions.push_back(m_upstreams.executionsOf(call));
    }
}

/** Returns the caller's cached directory answer for the call's service, renewed if it has expired. */
DirectoryAnswer &Driver::directoryAnswer(const Arrival &arrival)
{
    DirectoryAnswer &answer = m_answers[arrival.caller][arrival.service];
    if (answer.expiresAt > m_events.now()) {
        return answer;
    }
    std::size_t queried = arrival.caller % m_entries.size();
    while (m_entries[queried].hasFailed) {
        queried = (queried + 1) % m_entries.size();
    }
    std::vector<std::size_t> owners;
    const Assignment &assignment = m_entries[queried].services[arrival.service].assignment;
    if (m_record.policy == Policy::Product) {
        for (const std::size_t owner : drawDirectoryOrder(assignment.shares, assignment.allUpstreams, m_random)) {
            owners.push_back(assignment.owners[owner]);
        }
    }
    answer = queryDirectory(arrival.caller, queried, std::move(owners), m_entries[queried].isMember, m_events.now());
    return answer;
}

std::size_t Driver::addressOf(CallId call)
{
    const Arrival &arrival = m_record.arrivals[call];
    const DirectoryAnswer &answer = directoryAnswer(arrival);
    const std::size_t misdirected = call % m_entries.size();
    if (arrival.isMisdirected && !m_entries[misdirected].hasFailed) {
        return misdirected;
    }
    return answer.addresses[answer.current];
}

/** Schedules the arrival of one call, which schedules the next, to keep the event queue short. */
void Driver::scheduleArrival(CallId call)
{
    if (call >= m_record.arrivals.size()) {
        return;
    }
    m_events.schedule(m_record.arrivals[call].sentAt, [this, call] {
        sendFromCaller(call);
        scheduleArrival(call + 1);
    });
}

void Driver::sendFromCaller(CallId call)
{
    const std::size_t entry = addressOf(call);
    if (m_entries[entry].hasFailed) {
        m_events.schedule(m_events.now() + ConnectTimeout, [this, call, entry] {
            onConnectTimeout(call, entry);
        });
        return;
    }
    m_record.results[call].contactedEntry = entry;
    m_events.schedule(m_events.now() + m_model.toCaller, [this, call, entry] {
        receiveCall(call, entry);
    });
}

void Driver::onConnectTimeout(CallId call, std::size_t entry)
{
    const Arrival &arrival = m_record.arrivals[call];
    DirectoryAnswer &answer = directoryAnswer(arrival);
    if (answer.addresses[answer.current] == entry) {
        answer.current = (answer.current + 1) % answer.addresses.size();
    }
    if (m_events.now() < deadlineAtEntry(m_model, arrival)) {
        sendFromCaller(call);
    }
}

/** Delivers a result to the caller, from the entry VM that decided, by way of the one that the caller contacted. */
void Driver::answerCaller(CallId call, std::size_t entry, const CallResult &result)
{
    const std::size_t contacted = m_record.results[call].contactedEntry;
    if (m_entries[contacted].hasFailed) {
        return;
    }
    CallResult final = result;
    final.contactedEntry = contacted;
    final.endedAt = m_events.now() + delay(entry, contacted) + m_model.toCaller;
    if (final.end == CallEnd::Answered) {
        final.networkTime = 2 * (m_model.toCaller + delayToUpstream(contacted, final.upstream));
    }
    m_record.results[call] = final;
}

void Driver::receiveCall(CallId call, std::size_t entry)
{
    const Arrival &arrival = m_record.arrivals[call];
    const auto &owners = m_entries[entry].services[arrival.service].assignment.owners;
    const bool isOwner = std::find(owners.begin(), owners.end(), entry) != owners.end();
    if (m_record.policy != Policy::Product || isOwner) {
        acceptCall(call, entry);
        return;
    }
    const std::size_t owner = owners[arrival.caller % owners.size()];
    m_events.schedule(m_events.now() + delay(entry, owner), [this, call, owner] {
        acceptCall(call, owner);
    });
}

void Driver::acceptCall(CallId call, std::size_t entry, const std::string &handedOverBy)
{
    const Arrival &arrival = m_record.arrivals[call];
    const WorkKind &kind = m_model.workKinds[static_cast<std::size_t>(arrival.rank)];
    if (m_record.policy == Policy::TwoChoicesReported) {
        updateReports(entry, arrival.service);
    }
    CallArrived event{
        .call = call,
        .rank = arrival.rank,
        .repeatability = kind.repeatability,
        .worth = kind.worth,
        .deadline = deadlineAtEntry(m_model, arrival),
        .caller = arrival.caller,
        .handedOverBy = handedOverBy,
    };
    deliver(entry, arrival.service, event);
}

void Driver::deliver(std::size_t entry, std::size_t service, const ServiceEvent &event)
{
    if (m_entries[entry].hasFailed) {
        return;
    }
    ServiceAtEntry &state = m_entries[entry].services[service];
    ServiceActions actions;
    if (m_record.policy == Policy::Product) {
        step(state.product, event, m_events.now(), m_random, actions);
    } else {
        step(state.baseline, event, m_events.now(), m_random, actions);
    }
    for (const ServiceAction &action : actions) {
        std::visit(
            [this, entry, service](const auto &specific) {
                perform(entry, service, specific);
            },
            action);
    }
    if (m_record.policy == Policy::Product) {
        scheduleWakeUp(entry, service);
    }
}

void Driver::scheduleWakeUp(std::size_t entry, std::size_t service)
{
    ServiceAtEntry &state = m_entries[entry].services[service];
    const auto next = nextWakeUp(state.product);
    if (!next || (state.wakeUp && *state.wakeUp <= *next)) {
        return;
    }
    const TimePoint at = std::max(*next, m_events.now() + TimerResolution);
    state.wakeUp = at;
    m_events.schedule(at, [this, entry, service, at] {
        ServiceAtEntry &woken = m_entries[entry].services[service];
        if (woken.wakeUp != at) {
            return;
        }
        woken.wakeUp.reset();
        const auto due = nextWakeUp(woken.product);
        if (due && *due <= m_events.now()) {
            deliver(entry, service, TimerFired{});
        } else {
            scheduleWakeUp(entry, service);
        }
    });
}

/** Assigns the entry VM its share of the upstreams according to the members that it knows. */
void Driver::assignUpstreams(std::size_t entry, std::size_t service)
{
    const bool isSharedByOwners = m_record.policy == Policy::Product;
    const Assignment assignment = assignmentOf(m_model, service, m_isInInventory[service], m_entries[entry].isMember, entry, isSharedByOwners);
    m_entries[entry].services[service].assignment = assignment;
    deliver(entry, service, assignment.upstreams);
    deliver(entry, service, assignment.peers);
}

/** Fails an entry VM without notice. The others detect the failure one after the other, the first after FailureDetectionTime. */
void Driver::failEntry(std::size_t entry)
{
    m_entries[entry].hasFailed = true;
    for (std::size_t other = 0; other < m_entries.size(); ++other) {
        m_events.schedule(m_events.now() + FailureDetectionTime + other * FailureDetectionSpread, [this, entry, other] {
            m_entries[other].isMember[entry] = false;
            for (std::size_t service = 0; service < m_model.services.size(); ++service) {
                assignUpstreams(other, service);
            }
        });
    }
}

void Driver::apply(const UpstreamChange &change)
{
    m_upstreams.apply(change);
    if (change.kind == ChangeKind::Assigned) {
        m_isInInventory[change.service][change.upstream] = true;
    }
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        if (change.kind == ChangeKind::Assigned) {
            assignUpstreams(entry, change.service);
        }
        if (change.kind == ChangeKind::LeavingAnnounced) {
            deliver(entry, change.service, UpstreamLeaving{.upstream = upstreamName(m_model.services[change.service], change.upstream)});
        }
    }
}

/** Records an attempt, which ends at its deadline at the latest. @return its request id. */
std::size_t Driver::addRequest(const InFlightRequest &request, std::size_t service, TimePoint deadline)
{
    const std::size_t requestId = m_requests.size();
    m_requests.push_back(request);
    m_entries[request.entry].services[service].requestIds.emplace(request.attempt, requestId);
    m_events.schedule(deadline, [this, requestId] {
        const InFlightRequest &due = m_requests[requestId];
        if (due.isEnded) {
            return;
        }
        if (due.upstream != NoUpstreamIndex) {
            m_upstreams.cancel(due.upstream, requestId);
        }
        finishRequest(requestId, AttemptOutcome::DeadlinePassed, std::nullopt);
    });
    return requestId;
}

void Driver::finishRequest(std::size_t requestId, AttemptOutcome outcome, const std::optional<LoadReport> &report)
{
    InFlightRequest &finished = m_requests[requestId];
    if (finished.isEnded) {
        return;
    }
    finished.isEnded = true;
    finished.outcome = outcome;
    deliver(finished.entry, m_record.arrivals[finished.call].service, AttemptFinished{.attempt = finished.attempt, .outcome = outcome, .report = report});
}

void Driver::onCompleted(std::size_t requestId, AttemptOutcome outcome, const LoadReport &report)
{
    const InFlightRequest &sent = m_requests[requestId];
    m_events.schedule(m_events.now() + delayToUpstream(sent.entry, sent.upstream), [this, requestId, outcome, report] {
        finishRequest(requestId, outcome, report);
    });
}

void Driver::perform(std::size_t entry, std::size_t service, const StartAttempt &action)
{
    const std::size_t upstream = m_upstreams.indexOf(service, indexInName(action.upstream));
    const std::size_t requestId = addRequest({.call = action.call, .entry = entry, .attempt = action.attempt, .upstream = upstream}, service, action.deadline);
    const SimulatedUpstreams::Request request{
        .requestId = requestId,
        .call = action.call,
        .serviceTime = m_record.arrivals[action.call].serviceTime,
        .deadline = action.deadline,
    };
    m_events.schedule(m_events.now() + delayToUpstream(entry, upstream), [this, upstream, request] {
        m_upstreams.receive(upstream, request);
    });
}

void Driver::perform(std::size_t entry, std::size_t service, const HandOverCall &action)
{
    const std::size_t peer = indexInName(action.peer);
    const std::size_t requestId = addRequest({.call = action.call, .entry = entry, .attempt = action.attempt, .peer = peer}, service, action.deadline);
    ++m_record.handOvers;
    m_events.schedule(m_events.now() + delay(entry, peer), [this, entry, service, peer, requestId, call = action.call] {
        m_entries[peer].services[service].handedOverRequests[call] = requestId;
        acceptCall(call, peer, entryName(entry));
    });
}

void Driver::perform(std::size_t entry, std::size_t service, const SendPeerLoadReport &action)
{
    const std::size_t peer = indexInName(action.peer);
    const PeerLoadReport report{
        .peer = entryName(entry),
        .openSlots = action.openSlots,
        .queuedCalls = action.queuedCalls,
        .handOversReceived = action.handOversReceived,
    };
    m_events.schedule(m_events.now() + delay(entry, peer), [this, peer, service, report] {
        deliver(peer, service, report);
    });
}

void Driver::perform(std::size_t entry, std::size_t service, const CancelAttempt &action)
{
    const std::size_t requestId = m_entries[entry].services[service].requestIds.at(action.attempt);
    InFlightRequest &cancelled = m_requests[requestId];
    cancelled.isEnded = true;
    if (cancelled.upstream == NoUpstreamIndex) {
        m_events.schedule(m_events.now() + delay(entry, cancelled.peer), [this, service, peer = cancelled.peer, call = cancelled.call] {
            deliver(peer, service, CallAbandoned{.call = call});
        });
        return;
    }
    m_events.schedule(m_events.now() + delayToUpstream(entry, cancelled.upstream), [this, requestId, upstream = cancelled.upstream] {
        m_upstreams.cancel(upstream, requestId);
    });
}

/** Returns the result of a handed-over call to the co-owner that sent it. @return false if the call was not handed over. */
bool Driver::finishHandOver(std::size_t entry, std::size_t service, CallId call, AttemptOutcome outcome)
{
    auto &handedOverRequests = m_entries[entry].services[service].handedOverRequests;
    const auto found = handedOverRequests.find(call);
    if (found == handedOverRequests.end()) {
        return false;
    }
    const std::size_t requestId = found->second;
    handedOverRequests.erase(found);
    m_events.schedule(m_events.now() + delay(entry, m_requests[requestId].entry), [this, requestId, outcome] {
        finishRequest(requestId, outcome, std::nullopt);
    });
    return true;
}

void Driver::perform(std::size_t entry, std::size_t service, const AnswerCall &action)
{
    const InFlightRequest &request = m_requests[m_entries[entry].services[service].requestIds.at(action.attempt)];
    m_record.results[action.call].upstream = request.upstream != NoUpstreamIndex ? request.upstream : m_record.results[action.call].upstream;
    if (finishHandOver(entry, service, action.call, request.outcome)) {
        return;
    }
    CallResult result = m_record.results[action.call];
    result.end = request.outcome == AttemptOutcome::Succeeded ? CallEnd::Answered : CallEnd::ServerError;
    answerCaller(action.call, entry, result);
}

void Driver::perform(std::size_t entry, std::size_t service, const RefuseCall &action)
{
    if (!finishHandOver(entry, service, action.call, AttemptOutcome::Shed)) {
        answerCaller(action.call, entry, {.end = CallEnd::NotRun, .refusal = action.reason});
    }
}

void Driver::perform(std::size_t entry, std::size_t service, const ReportUnknown &action)
{
    const bool isLate = action.reason == UnknownReason::DeadlinePassed;
    if (!finishHandOver(entry, service, action.call, isLate ? AttemptOutcome::DeadlinePassed : AttemptOutcome::ConnectionLost)) {
        answerCaller(action.call, entry, {.end = CallEnd::Unknown, .unknown = action.reason});
    }
}

void Driver::perform(std::size_t, std::size_t, const CountRetry &action)
{
    ++m_record.retries[static_cast<std::size_t>(action.reason)];
}

void Driver::perform(std::size_t, std::size_t, const EjectionChanged &action)
{
    m_record.ejections += action.isEjected ? 1 : 0;
}

/** Records all loads and counts one report from each upstream to each entry VM as a probe. */
void Driver::reportLoads()
{
    m_snapshots.push_front(takeSnapshot(m_model, m_upstreams, m_events.now()));
    m_snapshots.resize(std::min(m_snapshots.size(), SnapshotsKept));
    const auto second = static_cast<std::size_t>(std::chrono::floor<std::chrono::seconds>(m_events.now().time_since_epoch()).count());
    m_record.probesPerSecond[second] += m_snapshots.front().loads.size() * m_entries.size();
    if (m_events.now() + ReportInterval < TimePoint{} + m_record.plan.duration) {
        m_events.schedule(m_events.now() + ReportInterval, [this] {
            reportLoads();
        });
    }
}

/** Updates the entry VM with the latest reports that have had time to arrive. */
void Driver::updateReports(std::size_t entry, std::size_t service)
{
    for (BaselineUpstream &known : m_entries[entry].services[service].baseline.upstreams) {
        const std::size_t upstream = m_upstreams.indexOf(service, indexInName(known.upstream.name));
        known.reportedLoad = reportedLoad(m_snapshots, upstream, m_events.now() - delayToUpstream(entry, upstream));
    }
}

Duration Driver::delay(std::size_t fromEntry, std::size_t toEntry) const
{
    if (fromEntry == toEntry) {
        return {};
    }
    return delayBetween(m_model, m_entries[fromEntry].availabilityZone, m_entries[toEntry].availabilityZone);
}

Duration Driver::delayToUpstream(std::size_t entry, std::size_t upstream) const
{
    return delayBetween(m_model, m_entries[entry].availabilityZone, m_upstreams.availabilityZoneOf(upstream));
}

}

TimePoint deadlineAtEntry(const DeploymentModel &model, const Arrival &arrival)
{
    return arrival.sentAt + model.workKinds[static_cast<std::size_t>(arrival.rank)].target - model.toCaller;
}

RunRecord runScenario(const RunSettings &settings, Policy policy)
{
    RunRecord record;
    record.settings = settings;
    record.policy = policy;
    record.model = modelOf(settings.deployment);
    record.plan = planOf(settings);
    record.arrivals = makeArrivals(record.model, record.plan, settings.seed);
    record.results.resize(record.arrivals.size());
    record.probesPerSecond.resize(static_cast<std::size_t>(std::chrono::ceil<std::chrono::seconds>(record.plan.duration).count()));
    if (policy == Policy::Oracle) {
        runOracle(record);
    } else {
        Driver(record).run();
    }
    return record;
}

}
