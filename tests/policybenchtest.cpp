#include "policyreport.h"

#include <gtest/gtest.h>

#include <cmath>
#include <vector>

namespace Plantainweir {
namespace {

using std::chrono::milliseconds;

TimePoint at(int value)
{
    return TimePoint{} + milliseconds(value);
}

DeploymentModel oneUpstream(std::uint32_t slots, std::uint32_t connectionLimit)
{
    DeploymentModel model;
    model.services.push_back({.name = "service", .upstreams = 1, .slots = slots, .connectionLimit = connectionLimit, .shares = {}});
    return model;
}

/** Runs calls at one upstream and records when and how each ends. */
struct UpstreamRun {
    struct End {
        std::size_t requestId;
        AttemptOutcome outcome;
        long atMilliseconds;
        bool operator==(const End &) const = default;
    };
    EventQueue events;
    std::vector<End> ends;
    SimulatedUpstreams upstreams;

    UpstreamRun(std::uint32_t slots, std::uint32_t connectionLimit)
        : upstreams(events, oneUpstream(slots, connectionLimit), 10, [this](std::size_t requestId, AttemptOutcome outcome, const LoadReport &) {
            ends.push_back({requestId, outcome, std::lround(toMilliseconds(events.now().time_since_epoch()))});
        })
    {
    }

    void send(std::size_t requestId, int atMilliseconds, int serviceTime, int deadline = 1000)
    {
        events.schedule(at(atMilliseconds), [this, requestId, serviceTime, deadline] {
            upstreams.receive(0, {.requestId = requestId, .call = requestId, .serviceTime = milliseconds(serviceTime), .deadline = at(deadline)});
        });
    }

    void change(int atMilliseconds, ChangeKind kind, double value)
    {
        events.schedule(at(atMilliseconds), [this, kind, value] {
            upstreams.apply({.kind = kind, .value = value});
        });
    }

    void finish()
    {
        while (events.runNext()) {
        }
    }
};

TEST(EventQueue, RunsByTimeThenByOrderOfScheduling)
{
    EventQueue events;
    std::vector<int> order;
    events.schedule(at(2), [&order] {
        order.push_back(3);
    });
    events.schedule(at(1), [&order] {
        order.push_back(1);
    });
    events.schedule(at(1), [&order] {
        order.push_back(2);
    });
    while (events.runNext()) {
    }
    EXPECT_EQ(order, (std::vector{1, 2, 3}));
    EXPECT_EQ(events.now(), at(2));
}

TEST(SimulatedUpstreams, QueuesBeyondItsSlotsAndShedsBeyondItsConnections)
{
    UpstreamRun run(1, 2);
    run.send(0, 0, 10);
    run.send(1, 1, 10);
    run.send(2, 2, 10);
    run.finish();
    EXPECT_EQ(run.ends, (std::vector<UpstreamRun::End>{{2, AttemptOutcome::Shed, 2}, {0, AttemptOutcome::Succeeded, 10}, {1, AttemptOutcome::Succeeded, 20}}));
    EXPECT_EQ(run.upstreams.executionsOf(2), 0U);
}

TEST(SimulatedUpstreams, ProlongsRunningCallsWhenItSlowsDownOrStalls)
{
    UpstreamRun run(1, 2);
    run.send(0, 0, 10);
    run.change(5, ChangeKind::Speed, 0.5);
    run.change(7, ChangeKind::Pause, 1.0);
    run.change(20, ChangeKind::Pause, 0.0);
    run.finish();
    EXPECT_EQ(run.ends, (std::vector<UpstreamRun::End>{{0, AttemptOutcome::Succeeded, 28}}));
}

TEST(SimulatedUpstreams, DoesNotRunQueuedCallAfterItsDeadline)
{
    UpstreamRun run(1, 2);
    run.send(0, 0, 10);
    run.send(1, 0, 10, 5);
    run.finish();
    EXPECT_EQ(run.ends.at(0), (UpstreamRun::End{1, AttemptOutcome::Shed, 10}));
    EXPECT_EQ(run.upstreams.executionsOf(1), 0U);
}

TEST(SimulatedUpstreams, CountsEveryExecution)
{
    UpstreamRun run(2, 4);
    run.send(0, 0, 10);
    run.send(0, 1, 10);
    run.change(20, ChangeKind::Failing, 1.0);
    run.send(0, 30, 10);
    run.finish();
    EXPECT_EQ(run.upstreams.executionsOf(0), 3U);
    EXPECT_EQ(run.ends.back(), (UpstreamRun::End{0, AttemptOutcome::ServerError, 31}));
}

TEST(SimulatedUpstreams, StalledUpstreamIgnoresCancellation)
{
    UpstreamRun run(1, 2);
    run.change(0, ChangeKind::Speed, 0.0);
    run.send(0, 1, 10);
    run.events.schedule(at(2), [&run] {
        run.upstreams.cancel(0, 0);
    });
    run.change(100, ChangeKind::Speed, 1.0);
    run.finish();
    EXPECT_EQ(run.upstreams.executionsOf(0), 1U);
}

TEST(PolicyDriver, EqualSettingsGiveEqualRuns)
{
    for (const auto &policy : enumNames(Policy{})) {
        const RunSettings settings{.deployment = Deployment::Sabarmati, .scenario = Scenario::EntryLostInFlood, .seed = 5, .calls = 5000};
        EXPECT_EQ(traceOf(runScenario(settings, policy.value)), traceOf(runScenario(settings, policy.value))) << policy.name;
    }
}

TEST(PolicyDriver, PoliciesSeeTheSameCalls)
{
    const RunSettings settings{.scenario = Scenario::FloodTop, .calls = 5000};
    const RunRecord product = runScenario(settings, Policy::Product);
    const RunRecord oracle = runScenario(settings, Policy::Oracle);
    ASSERT_EQ(product.arrivals.size(), oracle.arrivals.size());
    for (CallId call = 0; call < product.arrivals.size(); ++call) {
        EXPECT_EQ(product.arrivals[call].sentAt, oracle.arrivals[call].sentAt);
        EXPECT_EQ(product.arrivals[call].serviceTime, oracle.arrivals[call].serviceTime);
        EXPECT_EQ(product.arrivals[call].rank, oracle.arrivals[call].rank);
    }
}

TEST(PolicyDriver, OmittingTheFloodKeepsTheOtherCalls)
{
    RunSettings settings{.scenario = Scenario::FloodLow, .calls = 5000};
    const RunRecord flooded = runScenario(settings, Policy::Oracle);
    settings.isFloodOmitted = true;
    const RunRecord unflooded = runScenario(settings, Policy::Oracle);
    EXPECT_EQ(flooded.plan.duration, unflooded.plan.duration);
    EXPECT_EQ(summarise(flooded).ranks[0].offered, summarise(unflooded).ranks[0].offered);
    EXPECT_LT(summarise(unflooded).ranks[2].offered, summarise(flooded).ranks[2].offered);
}

TEST(PolicyReport, AccountsForEveryCall)
{
    for (const auto &scenario : enumNames(Scenario{})) {
        for (const auto &policy : enumNames(Policy{})) {
            const RunRecord record = runScenario({.scenario = scenario.value, .calls = 2000}, policy.value);
            const RunSummary summary = summarise(record);
            std::size_t accounted = 0;
            for (const RankSummary &rank : summary.ranks) {
                accounted += rank.answeredInTime + rank.answeredLate + rank.serverErrors + rank.unanswered + rank.notRunTotal() + rank.unknownTotal();
            }
            EXPECT_EQ(accounted, record.arrivals.size()) << scenario.name << " " << policy.name;
        }
    }
}

TEST(PolicyReport, CountsTheProbesOfReportingPoliciesAgainstTheBudget)
{
    const RunSettings settings{.scenario = Scenario::Steady50, .calls = 10'000};
    EXPECT_GT(summarise(runScenario(settings, Policy::TwoChoicesReported)).secondsOverBudget, 0U);
    EXPECT_EQ(summarise(runScenario(settings, Policy::LeastOutstanding)).secondsOverBudget, 0U);
}

}
}
