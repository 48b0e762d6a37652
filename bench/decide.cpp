#include "core/commandline.h"
#include "decision/dispatch.h"
#include "subcommands.h"

#include <benchmark/benchmark.h>

#include <deque>

/** Measures the time of one decision by the number of upstreams and the length of the queue. */
namespace Plantainweir {
namespace {

constexpr std::uint32_t SlotsPerUpstream = 2;
constexpr std::uint64_t Callers = 400;
/** Virtual time between events; so short that no call reaches its deadline. */
constexpr std::chrono::nanoseconds EventInterval{100};
constexpr std::chrono::hours DeadlineDistance{1};

/** One service whose slots are all busy and whose queue has a given length. */
class LoadedService
{
public:
    LoadedService(std::uint32_t upstreams, std::uint32_t queuedCalls)
    {
        UpstreamsAssigned assigned;
        for (std::uint32_t index = 0; index < upstreams; ++index) {
            Upstream upstream;
            upstream.name = "upstream-" + std::to_string(index);
            upstream.slots = SlotsPerUpstream;
            assigned.upstreams.push_back(upstream);
        }
        send(assigned);
        for (std::uint32_t call = 0; call < upstreams * SlotsPerUpstream + queuedCalls; ++call) {
            arrive();
        }
    }

    void arrive()
    {
        CallArrived event;
        event.call = ++m_lastCall;
        event.rank = static_cast<Rank>(m_lastCall % enumCount<Rank>());
        event.repeatability = Repeatability::Idempotent;
        event.deadline = m_now + DeadlineDistance;
        event.caller = m_lastCall % Callers;
        send(event);
    }

    void finishOldest()
    {
        AttemptFinished event;
        event.attempt = m_running.front();
        event.outcome = AttemptOutcome::Succeeded;
        m_running.pop_front();
        send(event);
    }

    std::size_t queuedCalls() const
    {
        return m_state.queue.size;
    }

private:
    void send(const ServiceEvent &event)
    {
        m_now += EventInterval;
        m_actions.clear();
        step(m_state, event, m_now, m_random, m_actions);
        for (const ServiceAction &action : m_actions) {
            if (const auto *start = std::get_if<StartAttempt>(&action)) {
                m_running.push_back(start->attempt);
            }
        }
    }

    ServiceState m_state;
    RandomGenerator m_random{1};
    TimePoint m_now{std::chrono::hours(1)};
    CallId m_lastCall = 0;
    std::deque<AttemptId> m_running;
    ServiceActions m_actions;
};

/** An iteration is two decisions: a call arrives, and an attempt ends. */
void arriveAndFinish(benchmark::State &state)
{
    LoadedService service(static_cast<std::uint32_t>(state.range(0)), static_cast<std::uint32_t>(state.range(1)));
    for (auto iteration : state) {
        static_cast<void>(iteration);
        service.arrive();
        service.finishOldest();
    }
    const auto decisions = 2.0 * static_cast<double>(state.iterations());
    state.counters["per_decision"] = benchmark::Counter(decisions, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
    state.counters["queued"] = static_cast<double>(service.queuedCalls());
}

}

int runDecide(int argc, char **argv)
{
    benchmark::RegisterBenchmark("decide", arriveAndFinish)->ArgNames({"upstreams", "queued"})->ArgsProduct({{6, 30, 300, 8200}, {0, 100, 10'000, 100'000}});
    benchmark::Initialize(&argc, argv);
    if (benchmark::ReportUnrecognizedArguments(argc, argv)) {
        return static_cast<int>(ExitStatus::Usage);
    }
    benchmark::RunSpecifiedBenchmarks();
    benchmark::Shutdown();
    return static_cast<int>(ExitStatus::Success);
}

}
