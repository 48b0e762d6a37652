#include "decision/proxying.h"
#include "exploration.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <queue>
#include <vector>

/**
 * A fleet, its upstreams and the owner of their credit in virtual time, while an availability zone becomes cold. Messages take
 * random times, and entry VMs learn of registrations and evacuations up to the age of their knowledge later.
 */
namespace Plantainweir {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{std::chrono::seconds(1000)};
constexpr std::array Zones{"a", "b", "c"};
constexpr std::size_t UpstreamsPerZone = 20;
constexpr std::uint32_t Slots = 4;
constexpr std::uint32_t QueueLength = 8;
constexpr std::chrono::milliseconds MeanWork{80};
constexpr std::chrono::milliseconds ColdTime{3000};
/** The limit of a cold upstream: calls a second, tolerated factor and slack. */
constexpr double ColdCallsPerSecond = 4.5;
constexpr double ColdOver = 1.5;
constexpr double ColdSlack = 8.0;
constexpr double ColdBound = ColdCallsPerSecond * ColdOver + ColdSlack;
/** Credit of one upstream: what may be used in a second, also if each credit is used 0.25 s after the question. */
constexpr std::chrono::milliseconds CreditValidity{250};
constexpr double CreditPerSecond = ColdCallsPerSecond * ColdOver;
constexpr double CreditBurst = ColdBound - CreditPerSecond * 1.25;
constexpr std::chrono::milliseconds KnowledgeAge{4250};
constexpr double ProbesPerSecondPerUpstream = 42.0;
/** About three times what cold upstreams bear. */
constexpr double UnnoticedCallsPerSecond = 3.0 * ColdCallsPerSecond * UpstreamsPerZone * Zones.size();

/** How the zone "a" becomes cold. */
enum class Scenario {
    ReturnsFromCrash, ///< Its upstreams end and return together; entry VMs learn of their registrations later.
    ReturnsFromEvacuation, ///< It is emptied and taken back; entry VMs learn of both later.
    ColdAgain, ///< Its upstreams become cold, and nothing but probes tells.
    FleetRestarts, ///< All entry VMs restart while it is cold, and know nothing.
};

constexpr std::array<EnumName<Scenario>, 4> enumNames(Scenario)
{
    return {{
        {Scenario::ReturnsFromCrash, "returns_from_crash"},
        {Scenario::ReturnsFromEvacuation, "returns_from_evacuation"},
        {Scenario::ColdAgain, "cold_again"},
        {Scenario::FleetRestarts, "fleet_restarts"},
    }};
}
static_assert(isEnumTableOrdered<Scenario>());

struct Arrival {
    TimePoint sentAt;
    TimePoint arrivedAt;
};

struct SimulatedAttempt {
    std::size_t vm = 0;
    std::uint64_t generation = 0; ///< Of the entry VM.
    ProxyAttemptId id = 0;
    TimePoint sentAt;
};

struct SimulatedUpstream {
    RegisteredUpstream registration;
    bool isDown = false;
    TimePoint coldSince;
    TimePoint coldUntil;
    std::vector<SimulatedAttempt> running;
    std::deque<SimulatedAttempt> waiting;
    std::vector<Arrival> whileCold;
    std::vector<TimePoint> arrivals;
    double credit = 0.0;
    TimePoint creditAt;
};

struct SimulatedVm {
    ProxyState state;
    std::uint64_t generation = 0; ///< Messages to an earlier one are lost.
    std::optional<TimePoint> wakeUpAt;
    std::map<ProxyCallId, int> ends;
};

class Simulation
{
public:
    Simulation(std::uint64_t seed, std::size_t vms, Scenario scenario)
        : m_random(seed)
        , m_scenario(scenario)
    {
        // Calls on the way to an upstream that becomes cold without notice need no credit. They fit into the bound only if a warm
        // upstream does not get many times what a cold one bears.
        const double highest = scenario == Scenario::ColdAgain ? UnnoticedCallsPerSecond : 3000.0;
        m_callsPerSecond = std::uniform_real_distribution(600.0, highest)(m_random);
        for (std::size_t index = 0; index < UpstreamsPerZone * Zones.size(); ++index) {
            SimulatedUpstream upstream;
            upstream.registration = {.key = index + 1,
                                     .id = "u" + std::to_string(index + 1),
                                     .service = "desk",
                                     .endpoint = {.address = "10.0.0.1", .port = static_cast<std::uint16_t>(index + 1)},
                                     .availabilityZone = Zones.at(index % Zones.size()),
                                     .slots = Slots,
                                     .isColdLimited = true};
            m_upstreams.push_back(upstream);
        }
        m_vms.resize(vms);
        for (std::size_t vm = 0; vm < vms; ++vm) {
            startVm(vm);
            feed(vm, UpstreamsReplaced{registrations(true)});
        }
    }

    std::optional<std::string> run()
    {
        scheduleCall();
        scheduleScenario();
        const TimePoint end = m_returnAt + ColdTime + 3s;
        runUntil(end);
        m_isEnding = true;
        runUntil(end + 6s);
        return findFailure(end);
    }

private:
    void startVm(std::size_t vm)
    {
        m_vms[vm].state = {};
        m_vms[vm].wakeUpAt.reset();
        ++m_vms[vm].generation;
        const double probes = ProbesPerSecondPerUpstream * static_cast<double>(m_upstreams.size()) / static_cast<double>(m_vms.size());
        m_vms[vm].state.settings
            = {.availabilityZone = Zones.at(vm % Zones.size()), .retryShare = 0.2, .retrySlack = 1.0, .probesPerSecond = std::max(1.0, probes)};
    }

    std::vector<RegisteredUpstream> registrations(bool areAllRegistered) const
    {
        std::vector<RegisteredUpstream> registered;
        for (const SimulatedUpstream &upstream : m_upstreams) {
            if (areAllRegistered || upstream.registration.availabilityZone != Zones[0]) {
                registered.push_back(upstream.registration);
            }
        }
        return registered;
    }

    void at(TimePoint time, std::function<void()> action)
    {
        m_events.push({.at = std::max(time, m_now), .number = ++m_lastEvent, .action = std::move(action)});
    }

    /** Runs @p action when a message to @p vm arrives, if it has not restarted meanwhile. */
    void deliver(std::size_t vm, TimePoint time, const ProxyEvent &event)
    {
        at(time, [this, vm, event, generation = m_vms[vm].generation] {
            if (m_vms[vm].generation == generation) {
                feed(vm, event);
            }
        });
    }

    Duration transit()
    {
        return std::chrono::microseconds(std::uniform_int_distribution(200, 2500)(m_random));
    }

    Duration randomUpTo(Duration longest)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(0, longest.count())(m_random));
    }

    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            const SimulatedEvent event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
    }

    void scheduleCall()
    {
        const double seconds = std::exponential_distribution(m_callsPerSecond)(m_random);
        at(m_now + fromMilliseconds(seconds * 1000.0), [this] {
            if (!m_isEnding) {
                const std::size_t vm = m_random() % m_vms.size();
                const ProxyCallId id = ++m_lastCall;
                m_vms[vm].ends[id] = 0;
                feed(vm,
                     ProxyCallAdmitted{.id = id,
                                       .service = "desk",
                                       .repeatability = id % 2 == 0 ? Repeatability::Idempotent : Repeatability::AtMostOnce,
                                       .priority = 1,
                                       .maximumAttempts = 2,
                                       .target = 600ms,
                                       .deadline = m_now + 2s});
                scheduleCall();
            }
        });
    }

    void scheduleScenario()
    {
        const TimePoint leaveAt = Start + 1s;
        m_returnAt = Start + (m_scenario == Scenario::ReturnsFromEvacuation ? 7s : 3s);
        switch (m_scenario) {
        case Scenario::ReturnsFromCrash:
            at(leaveAt, [this] {
                endZone();
            });
            tellAll(leaveAt + 1s, 1s, UpstreamsReplaced{registrations(false)});
            break;
        case Scenario::ReturnsFromEvacuation:
            tellAll(leaveAt, KnowledgeAge, EvacuationsReplaced{{Zones[0]}});
            tellAll(m_returnAt, KnowledgeAge, EvacuationsReplaced{});
            break;
        case Scenario::ColdAgain:
            break;
        case Scenario::FleetRestarts:
            at(m_returnAt + 200ms, [this] {
                restartFleet();
            });
            break;
        }
        at(m_returnAt, [this] {
            returnZone();
        });
    }

    void tellAll(TimePoint from, Duration longestDelay, const ProxyEvent &event)
    {
        for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
            deliver(vm, from + randomUpTo(longestDelay), event);
        }
    }

    void endZone()
    {
        for (SimulatedUpstream &upstream : m_upstreams) {
            if (upstream.registration.availabilityZone != Zones[0]) {
                continue;
            }
            upstream.isDown = true;
            for (const SimulatedAttempt &attempt : upstream.running) {
                endAttempt(upstream, attempt, ProxyAttemptOutcome::ConnectionLost, false);
            }
            for (const SimulatedAttempt &attempt : upstream.waiting) {
                endAttempt(upstream, attempt, ProxyAttemptOutcome::ConnectionLost, false);
            }
            upstream.running.clear();
            upstream.waiting.clear();
        }
    }

    void returnZone()
    {
        for (SimulatedUpstream &upstream : m_upstreams) {
            if (upstream.registration.availabilityZone != Zones[0]) {
                continue;
            }
            upstream.isDown = false;
            upstream.coldSince = m_now;
            upstream.coldUntil = m_now + ColdTime;
            if (m_scenario == Scenario::ReturnsFromCrash) {
                upstream.registration.key += 1000;
                upstream.registration.coldUntil = upstream.coldUntil;
            }
        }
        if (m_scenario == Scenario::ReturnsFromCrash) {
            tellAll(m_now, 1750ms, UpstreamsReplaced{registrations(true)});
        }
    }

    void restartFleet()
    {
        for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
            for (SimulatedUpstream &upstream : m_upstreams) {
                std::erase_if(upstream.waiting, [vm](const SimulatedAttempt &attempt) {
                    return attempt.vm == vm;
                });
            }
            for (auto &[call, ends] : m_vms[vm].ends) {
                ends = 1; // Their callers lost the connection.
            }
            startVm(vm);
            deliver(vm, m_now + randomUpTo(1s), UpstreamsReplaced{registrations(true)});
        }
    }

    SimulatedUpstream &upstreamOf(const std::string &id)
    {
        return m_upstreams.at(static_cast<std::size_t>(std::stoul(id.substr(1))) - 1);
    }

    void feed(std::size_t vm, const ProxyEvent &event)
    {
        for (const ProxyAction &action : step(m_vms[vm].state, event, m_now, m_random)) {
            if (const auto *probe = std::get_if<StartProbe>(&action)) {
                execute(vm, *probe);
            } else if (const auto *attempt = std::get_if<StartProxyAttempt>(&action)) {
                execute(vm, *attempt);
            } else if (const auto *credit = std::get_if<RequestColdCredit>(&action)) {
                execute(vm, *credit);
            } else if (const auto *end = std::get_if<EndProxyCall>(&action)) {
                ++m_vms[vm].ends[end->call];
            }
        }
        scheduleWakeUp(vm);
    }

    void scheduleWakeUp(std::size_t vm)
    {
        const auto next = nextWakeUp(m_vms[vm].state);
        if (!next || (m_vms[vm].wakeUpAt && *m_vms[vm].wakeUpAt <= *next)) {
            return;
        }
        m_vms[vm].wakeUpAt = next;
        at(*next, [this, vm, next, generation = m_vms[vm].generation] {
            if (m_vms[vm].generation == generation && m_vms[vm].wakeUpAt == next) {
                m_vms[vm].wakeUpAt.reset();
                feed(vm, ProxyTimerFired{});
            }
        });
    }

    UpstreamLoad loadOf(const SimulatedUpstream &upstream) const
    {
        return {.running = static_cast<std::uint32_t>(upstream.running.size()), .waiting = static_cast<std::uint32_t>(upstream.waiting.size()), .slots = Slots};
    }

    void execute(std::size_t vm, const StartProbe &action)
    {
        at(m_now + transit(), [this, vm, action, generation = m_vms[vm].generation] {
            const SimulatedUpstream &upstream = upstreamOf(action.upstream.id);
            ProbeEnded ended{.id = action.id, .outcome = ProbeOutcome::Answered, .load = loadOf(upstream)};
            ended.coldTime = std::max(Duration(0), Duration(upstream.coldUntil - m_now));
            if (upstream.isDown) {
                ended = {.id = action.id, .outcome = ProbeOutcome::Unreachable};
            }
            if (m_vms[vm].generation == generation) {
                deliver(vm, m_now + transit(), ended);
            }
        });
    }

    void execute(std::size_t vm, const StartProxyAttempt &action)
    {
        noteSend(vm, action);
        const SimulatedAttempt attempt{.vm = vm, .generation = m_vms[vm].generation, .id = action.id, .sentAt = m_now};
        at(m_now + transit(), [this, attempt, id = action.upstream.id] {
            arrive(upstreamOf(id), attempt);
        });
    }

    /** Checks that an upstream of which the entry VM knows that it is cold gets only calls with credit. */
    void noteSend(std::size_t vm, const StartProxyAttempt &action)
    {
        const PooledUpstream *upstream = findUpstream(m_vms[vm].state.services.at("desk").pool, action.upstream.key);
        const bool hasCredit = m_grantedCall == std::pair(vm, action.call);
        if (!hasCredit && (upstream == nullptr || coldnessOf(*upstream, m_now) != Coldness::Warm)) {
            m_failure = "an upstream that is not known to be warm got a call without credit";
        }
    }

    void arrive(SimulatedUpstream &upstream, const SimulatedAttempt &attempt)
    {
        if (upstream.isDown) {
            endAttempt(upstream, attempt, ProxyAttemptOutcome::NotSent, false);
            return;
        }
        upstream.arrivals.push_back(m_now);
        if (m_now < upstream.coldUntil && attempt.sentAt >= upstream.coldSince) {
            upstream.whileCold.push_back({.sentAt = attempt.sentAt, .arrivedAt = m_now});
        }
        if (upstream.running.size() < Slots) {
            start(upstream, attempt);
        } else if (upstream.waiting.size() < QueueLength) {
            upstream.waiting.push_back(attempt);
        } else {
            endAttempt(upstream, attempt, ProxyAttemptOutcome::Shed, true);
        }
    }

    void start(SimulatedUpstream &upstream, const SimulatedAttempt &attempt)
    {
        upstream.running.push_back(attempt);
        const auto work = MeanWork / 2 + randomUpTo(MeanWork);
        at(m_now + (m_now < upstream.coldUntil ? 2 : 1) * work, [this, &upstream, attempt] {
            const auto isIt = [&attempt](const SimulatedAttempt &running) {
                return running.vm == attempt.vm && running.generation == attempt.generation && running.id == attempt.id;
            };
            if (std::erase_if(upstream.running, isIt) == 0) {
                return;
            }
            endAttempt(upstream, attempt, ProxyAttemptOutcome::Succeeded, true);
            if (!upstream.waiting.empty()) {
                const SimulatedAttempt next = upstream.waiting.front();
                upstream.waiting.pop_front();
                start(upstream, next);
            }
        });
    }

    void endAttempt(const SimulatedUpstream &upstream, const SimulatedAttempt &attempt, ProxyAttemptOutcome outcome, bool hasLoad)
    {
        if (m_vms[attempt.vm].generation != attempt.generation) {
            return;
        }
        ProxyAttemptEnded ended{.id = attempt.id, .outcome = outcome, .load = std::nullopt};
        if (hasLoad) {
            ended.load = loadOf(upstream);
        }
        deliver(attempt.vm, m_now + transit(), ended);
    }

    void execute(std::size_t vm, const RequestColdCredit &action)
    {
        at(m_now + transit(), [this, vm, action, askedAt = m_now, generation = m_vms[vm].generation] {
            const CreditAnswer answer = answerCredit(upstreamOf(action.upstream));
            // Some answers are lost or late; the question is then decided at its deadline.
            const bool isLost = m_random() % 20 == 0;
            const TimePoint decidedAt = isLost ? action.deadline : m_now + transit();
            at(decidedAt, [this, vm, action, answer, isLost, askedAt, generation] {
                if (m_vms[vm].generation == generation) {
                    decide(vm, action, answer.isGranted && !isLost && m_now < askedAt + CreditValidity, answer.retryAt);
                }
            });
        });
    }

    struct CreditAnswer {
        bool isGranted = false;
        TimePoint retryAt;
    };

    CreditAnswer answerCredit(SimulatedUpstream &upstream) const
    {
        const double seconds = upstream.creditAt == TimePoint{} ? 0.0 : toMilliseconds(m_now - upstream.creditAt) / 1000.0;
        upstream.credit = upstream.creditAt == TimePoint{} ? CreditBurst : std::min(CreditBurst, upstream.credit + seconds * CreditPerSecond);
        upstream.creditAt = m_now;
        if (upstream.credit < 1.0) {
            return {.isGranted = false, .retryAt = m_now + fromMilliseconds((1.0 - upstream.credit) / CreditPerSecond * 1000.0)};
        }
        upstream.credit -= 1.0;
        return {.isGranted = true, .retryAt = m_now};
    }

    void decide(std::size_t vm, const RequestColdCredit &request, bool isGranted, TimePoint retryAt)
    {
        const auto credit = m_vms[vm].state.credits.find(request.id);
        if (credit != m_vms[vm].state.credits.end() && isGranted) {
            m_grantedCall = std::pair(vm, credit->second.call);
        }
        feed(vm, ColdCreditDecided{.id = request.id, .isGranted = isGranted, .retryAt = std::max(retryAt, m_now)});
        m_grantedCall.reset();
    }

    std::optional<std::string> findFailure(TimePoint end) const
    {
        if (m_failure) {
            return m_failure;
        }
        for (const SimulatedUpstream &upstream : m_upstreams) {
            if (const std::size_t most = mostInASecond(upstream.whileCold); static_cast<double>(most) > ColdBound) {
                return upstream.registration.id + " got " + std::to_string(most) + " calls in a second while it was cold";
            }
        }
        for (const SimulatedVm &vm : m_vms) {
            for (const auto &[call, ends] : vm.ends) {
                if (ends != 1) {
                    return "call " + std::to_string(call) + " ended " + std::to_string(ends) + " times";
                }
            }
        }
        return findStarvation(end);
    }

    /** The returned zone must have half of its fair share of the calls in the last second. */
    std::optional<std::string> findStarvation(TimePoint end) const
    {
        std::size_t all = 0;
        std::size_t returned = 0;
        for (const SimulatedUpstream &upstream : m_upstreams) {
            const auto arrivals = static_cast<std::size_t>(std::count_if(upstream.arrivals.begin(), upstream.arrivals.end(), [end](TimePoint at) {
                return at >= end - 1s && at < end;
            }));
            all += arrivals;
            returned += upstream.registration.availabilityZone == Zones[0] ? arrivals : 0;
        }
        if (returned * 2 * Zones.size() < all) {
            return "the returned zone got " + std::to_string(returned) + " of " + std::to_string(all) + " calls";
        }
        return std::nullopt;
    }

    /** Returns the most calls that were both sent and arrived within some second. */
    static std::size_t mostInASecond(const std::vector<Arrival> &arrivals)
    {
        std::size_t most = 0;
        for (const Arrival &first : arrivals) {
            most = std::max(most, static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), [&first](const Arrival &arrival) {
                                return arrival.sentAt >= first.sentAt && arrival.arrivedAt < first.sentAt + 1s;
                            })));
        }
        return most;
    }

    struct SimulatedEvent {
        TimePoint at;
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const SimulatedEvent &other) const
        {
            return std::pair(at, number) > std::pair(other.at, other.number);
        }
    };

    std::mt19937_64 m_random;
    Scenario m_scenario;
    double m_callsPerSecond = 0.0;
    TimePoint m_now = Start;
    TimePoint m_returnAt;
    bool m_isEnding = false;
    std::priority_queue<SimulatedEvent> m_events;
    std::uint64_t m_lastEvent = 0;
    ProxyCallId m_lastCall = 0;
    std::vector<SimulatedUpstream> m_upstreams;
    std::vector<SimulatedVm> m_vms;
    std::optional<std::pair<std::size_t, ProxyCallId>> m_grantedCall; ///< The call whose credit is being used.
    std::optional<std::string> m_failure;
};

class ColdStartExploration : public testing::TestWithParam<std::size_t>
{
};

TEST_P(ColdStartExploration, AReturningZoneIsNeitherOverloadedNorStarved)
{
    const std::size_t vms = GetParam();
    const auto failures = explore("cold start, " + std::to_string(vms) + " entry VMs", 16, [vms](std::uint64_t seed) {
        const auto scenario = static_cast<Scenario>(seed % enumCount<Scenario>());
        auto failure = Simulation(seed, vms, scenario).run();
        return failure ? std::optional(std::string(nameOf(scenario)) + ": " + *failure) : std::nullopt;
    });
    for (const std::string &failure : failures) {
        ADD_FAILURE() << failure;
    }
}

INSTANTIATE_TEST_SUITE_P(Fleets, ColdStartExploration, testing::Values(141, 1000));

}
}
