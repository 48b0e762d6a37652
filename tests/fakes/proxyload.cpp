#include "proxyload.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace Plantainweir {
namespace {

constexpr std::chrono::milliseconds NoisePeriod{150};
constexpr double KneeShare = 0.8;
constexpr double KneeSlowdown = 1.7;
constexpr std::chrono::seconds WavePeriod{13};
constexpr std::chrono::microseconds DelayInZone{100};
constexpr std::chrono::microseconds DelayBetweenZones{900};
constexpr std::chrono::milliseconds HandshakeTime{1};
/** First id of an entry VM is its index times this, so that ids differ. */
constexpr std::uint64_t IdsPerEntry = std::uint64_t{1} << 32;

std::string zoneName(std::size_t zone)
{
    return "zone-" + std::to_string(zone);
}

}

ProxyLoadPlayer::ProxyLoadPlayer(const PlayedLoad &load)
    : m_load(load)
    , m_random(load.seed)
    , m_fullFrom(m_now + load.fullFrom)
    , m_fullUntil(m_now + load.fullUntil)
    , m_countedFrom(m_now + load.countedFrom)
    , m_end(m_now + load.duration)
{
    m_result.outcomes.resize(load.calls.size());
    m_upstreams.resize(load.zones * load.upstreamsPerZone);
    m_result.attemptsByUpstream.resize(m_upstreams.size());
    std::vector<RegisteredUpstream> registered;
    for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
        m_upstreams[index].zone = index % load.zones;
        registered.push_back({.key = index,
                              .id = "upstream-" + std::to_string(index),
                              .service = load.services[index / load.zones % load.services.size()],
                              .availabilityZone = zoneName(m_upstreams[index].zone),
                              .slots = load.slots});
    }
    m_entries.resize(load.zones * load.entriesPerZone);
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        Entry &entry = m_entries[index];
        entry.zone = index % load.zones;
        entry.state.lastId = index * IdsPerEntry;
        entry.state.settings = {.name = "entry-" + std::to_string(index),
                                .availabilityZone = zoneName(entry.zone),
                                .retryShare = 0.2,
                                .retrySlack = 319.0 / static_cast<double>(m_entries.size()),
                                .probesPerSecond = load.probesPerSecond,
                                .subsetSize = load.subsetSize,
                                .fullRefusal = load.fullRefusal,
                                .zoneMemory = load.zoneMemory};
        feed(index, UpstreamsReplaced{registered});
    }
}

PlayedResult ProxyLoadPlayer::play()
{
    for (std::size_t kind = 0; kind < m_load.calls.size(); ++kind) {
        scheduleArrival(kind, m_now);
    }
    while (!m_events.empty()) {
        const auto event = m_events.extract(m_events.begin());
        m_now = event.key();
        event.mapped()();
    }
    return m_result;
}

void ProxyLoadPlayer::schedule(TimePoint at, std::function<void()> handler)
{
    m_events.emplace(at, std::move(handler));
}

void ProxyLoadPlayer::scheduleArrival(std::size_t kind, TimePoint after)
{
    const double seconds = std::exponential_distribution(m_load.calls[kind].perSecond * (1.0 + m_load.swing))(m_random);
    const TimePoint at = after + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    if (at >= m_end) {
        return;
    }
    schedule(at, [this, kind] {
        scheduleArrival(kind, m_now);
        const std::size_t entry = std::uniform_int_distribution<std::size_t>(0, m_entries.size() - 1)(m_random);
        const double phase = toMilliseconds(m_now.time_since_epoch()) / toMilliseconds(WavePeriod)
                             + static_cast<double>(m_entries[entry].zone) / static_cast<double>(m_load.zones);
        const double rate = 1.0 + m_load.swing * std::sin(2.0 * std::numbers::pi * phase);
        if (!std::bernoulli_distribution(rate / (1.0 + m_load.swing))(m_random)) {
            return;
        }
        const ProxyCallId id = ++m_lastCall;
        const PlayedCalls &calls = m_load.calls[kind];
        m_calls.emplace(id, Call{.kind = kind, .admittedAt = m_now});
        m_result.outcomes[kind].calls += m_now >= m_countedFrom ? 1 : 0;
        feed(entry,
             ProxyCallAdmitted{.id = id,
                               .service = calls.service,
                               .repeatability = calls.repeatability,
                               .priority = calls.priority,
                               .account = calls.account,
                               .accountWeight = calls.weight,
                               .maximumAttempts = 2,
                               .target = m_load.target,
                               .deadline = m_now + m_load.timeout});
    });
}

void ProxyLoadPlayer::feed(std::size_t entry, const ProxyEvent &event)
{
    ProxyState &state = m_entries[entry].state;
    for (const ProxyAction &action : step(state, event, m_now, m_random)) {
        std::visit(
            [this, entry](const auto &alternative) {
                execute(entry, alternative);
            },
            action);
    }
    const auto next = nextWakeUp(state);
    if (next && *next != m_entries[entry].wakeUp) {
        m_entries[entry].wakeUp = *next;
        schedule(std::max(*next, m_now), [this, entry, at = *next] {
            if (m_entries[entry].wakeUp == at) {
                m_entries[entry].wakeUp = {};
                feed(entry, ProxyTimerFired{});
            }
        });
    }
}

void ProxyLoadPlayer::execute(std::size_t entry, const StartProbe &action)
{
    const std::size_t upstream = action.upstream.key;
    ++m_result.probes;
    m_result.otherZoneProbes += isSameZone(entry, upstream) ? 0 : 1;
    schedule(m_now + connect(entry, upstream), [this, entry, upstream, id = action.id] {
        const ProbeEnded ended{.id = id, .outcome = ProbeOutcome::Answered, .load = loadOf(upstream), .notice = {}};
        schedule(m_now + delay(entry, upstream), [this, entry, upstream, ended] {
            keepConnection(entry, upstream);
            feed(entry, ended);
        });
    });
}

void ProxyLoadPlayer::execute(std::size_t entry, const StartProxyAttempt &action)
{
    const std::size_t upstream = action.upstream.key;
    ++m_result.attempts;
    m_result.otherZoneAttempts += isSameZone(entry, upstream) ? 0 : 1;
    ++m_result.attemptsByUpstream[upstream];
    m_attempts.emplace(action.id, upstream);
    const Work work{.entry = entry, .attempt = action.id};
    schedule(m_now + connect(entry, upstream), [this, upstream, work] {
        if (m_attempts.contains(work.attempt)) {
            receive(upstream, work);
        }
    });
    schedule(action.deadline, [this, work] {
        if (m_attempts.contains(work.attempt)) {
            execute(work.entry, CancelProxyAttempt{work.attempt});
            feed(work.entry, ProxyAttemptEnded{.id = work.attempt, .outcome = ProxyAttemptOutcome::DeadlinePassed, .load = std::nullopt, .notice = {}});
        }
    });
}

void ProxyLoadPlayer::execute(std::size_t, const CancelProxyAttempt &action)
{
    if (const auto found = m_attempts.find(action.id); found != m_attempts.end()) {
        const std::size_t upstream = found->second;
        m_attempts.erase(found);
        remove(upstream, action.id);
    }
}

// Calls to the upstreams of a load are not limited while they are cold.
void ProxyLoadPlayer::execute(std::size_t, const RequestColdCredit &) {}

void ProxyLoadPlayer::execute(std::size_t, const CancelColdCredit &) {}

void ProxyLoadPlayer::execute(std::size_t, const ReturnColdCredit &) {}

void ProxyLoadPlayer::execute(std::size_t, const EndProxyCall &action)
{
    const auto call = m_calls.extract(action.call).mapped();
    if (call.admittedAt < m_countedFrom) {
        return;
    }
    PlayedOutcome &outcome = m_result.outcomes[call.kind];
    switch (action.outcome) {
    case CallOutcome::Answered:
        ++outcome.answered;
        outcome.inTime += m_now - call.admittedAt <= m_load.target ? 1 : 0;
        return;
    case CallOutcome::NotRun:
        ++outcome.refused;
        return;
    case CallOutcome::Unknown:
        ++outcome.unknown;
        return;
    }
}

Duration ProxyLoadPlayer::connect(std::size_t entry, std::size_t upstream)
{
    std::vector<TimePoint> &idle = m_entries[entry].idleConnections[upstream];
    std::erase_if(idle, [this](TimePoint closedAt) {
        return closedAt <= m_now;
    });
    const Duration oneWay = delay(entry, upstream);
    if (!idle.empty()) {
        idle.pop_back();
        return oneWay;
    }
    ++m_result.connections;
    return 3 * oneWay + HandshakeTime;
}

Duration ProxyLoadPlayer::delay(std::size_t entry, std::size_t upstream) const
{
    return isSameZone(entry, upstream) ? DelayInZone : DelayBetweenZones;
}

bool ProxyLoadPlayer::isSameZone(std::size_t entry, std::size_t upstream) const
{
    return m_entries[entry].zone == m_upstreams[upstream].zone;
}

void ProxyLoadPlayer::keepConnection(std::size_t entry, std::size_t upstream)
{
    m_entries[entry].idleConnections[upstream].push_back(m_now + m_load.idleTime);
}

void ProxyLoadPlayer::receive(std::size_t upstream, const Work &work)
{
    Upstream &target = m_upstreams[upstream];
    if (!isFull() && target.running.size() < m_load.slots) {
        run(upstream, work);
        return;
    }
    if (!isFull() && target.queue.size() < m_load.queuePlaces) {
        target.queue.push_back(work);
        return;
    }
    ++m_result.neverAnswered;
    if (m_load.isSilentWhenFull) {
        return;
    }
    schedule(m_now + delay(work.entry, upstream), [this, upstream, work] {
        if (m_attempts.erase(work.attempt) > 0) {
            keepConnection(work.entry, upstream);
            feed(work.entry, ProxyAttemptEnded{.id = work.attempt, .outcome = ProxyAttemptOutcome::Shed, .load = loadOf(upstream), .notice = {}});
        }
    });
}

void ProxyLoadPlayer::run(std::size_t upstream, const Work &work)
{
    Upstream &target = m_upstreams[upstream];
    target.running.push_back(work.attempt);
    const bool isAboveKnee = static_cast<double>(target.running.size()) > KneeShare * m_load.slots;
    double left = toMilliseconds(m_load.workTime) * std::gamma_distribution(10.0, 0.1)(m_random) * (isAboveKnee ? KneeSlowdown : 1.0);
    TimePoint at = m_now;
    while (left > 0.0) {
        const TimePoint periodEnd{(at.time_since_epoch() / NoisePeriod + 1) * Duration(NoisePeriod)};
        const double slowdown = slowdownAt(upstream, at);
        const double step = std::min(left, toMilliseconds(periodEnd - at) / slowdown);
        left -= step;
        at = left > 0.0 ? periodEnd : at + std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(step * slowdown));
    }
    schedule(at, [this, upstream, work] {
        finish(upstream, work);
    });
}

void ProxyLoadPlayer::finish(std::size_t upstream, const Work &work)
{
    if (std::erase(m_upstreams[upstream].running, work.attempt) == 0) {
        return;
    }
    runQueued(upstream);
    const ProxyAttemptEnded ended{.id = work.attempt, .outcome = ProxyAttemptOutcome::Succeeded, .load = loadOf(upstream), .notice = {}};
    schedule(m_now + delay(work.entry, upstream), [this, upstream, work, ended] {
        if (m_attempts.erase(work.attempt) > 0) {
            keepConnection(work.entry, upstream);
            feed(work.entry, ended);
        }
    });
}

void ProxyLoadPlayer::remove(std::size_t upstream, ProxyAttemptId attempt)
{
    std::erase(m_upstreams[upstream].running, attempt);
    std::erase_if(m_upstreams[upstream].queue, [attempt](const Work &work) {
        return work.attempt == attempt;
    });
    runQueued(upstream);
}

void ProxyLoadPlayer::runQueued(std::size_t upstream)
{
    Upstream &target = m_upstreams[upstream];
    while (!target.queue.empty() && target.running.size() < m_load.slots) {
        const Work work = target.queue.front();
        target.queue.pop_front();
        run(upstream, work);
    }
}

double ProxyLoadPlayer::slowdownAt(std::size_t upstream, TimePoint at) const
{
    std::seed_seq sequence{static_cast<std::uint64_t>(upstream), static_cast<std::uint64_t>(at.time_since_epoch() / NoisePeriod)};
    std::mt19937 random(sequence);
    return std::bernoulli_distribution(m_load.noisyShare)(random) ? m_load.noisySlowdown : 1.0;
}

bool ProxyLoadPlayer::isFull() const
{
    return m_now >= m_fullFrom && m_now < m_fullUntil;
}

UpstreamLoad ProxyLoadPlayer::loadOf(std::size_t upstream) const
{
    if (isFull()) {
        return {.running = m_load.slots, .waiting = m_load.queuePlaces, .slots = m_load.slots};
    }
    const Upstream &target = m_upstreams[upstream];
    return {.running = static_cast<std::uint32_t>(target.running.size()),
            .waiting = static_cast<std::uint32_t>(target.queue.size()),
            .slots = m_load.slots,
            .workTimeFactor = slowdownAt(upstream, m_now)};
}

}
