#include "policyreport.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <string>

namespace Plantainweir {
namespace {

constexpr std::array<std::uint64_t, 3> Seeds{11, 22, 33};
constexpr std::size_t Calls = 100'000;
constexpr std::size_t FloodCalls = 300'000;
constexpr double MaximumShareWorseThanOracle = 0.001; ///< Share of calls that may fail where the oracle answers in time.
constexpr double GuaranteedShare = 0.05; ///< Share of the calls answered in time that a rank keeps while another one floods.
/** Two standard errors of the goodput of a window of about 40,000 calls with the bench's service times. */
constexpr double GoodputNoise = 0.02;

struct Case {
    Deployment deployment;
    Scenario scenario;
};

/** A finished run and its summary. */
struct Run {
    RunRecord record;
    RunSummary summary;

    const RankSummary &lookups() const
    {
        return summary.ranks[static_cast<std::size_t>(Rank::Low)];
    }
};

Run run(const RunSettings &settings, Policy policy)
{
    Run result{.record = runScenario(settings, policy), .summary = {}};
    result.summary = summarise(result.record);
    return result;
}

void expectInvariants(const Run &product)
{
    EXPECT_EQ(product.summary.duplicateExecutions, 0U);
    EXPECT_EQ(product.summary.falseNotRun, 0U);
    EXPECT_EQ(product.summary.secondsOverBudget, 0U);
}

void expectLookupTail(const Run &product, const Run &oracle, double factor)
{
    EXPECT_LE(product.lookups().p99OfOfferedMilliseconds, factor * oracle.lookups().p99OfOfferedMilliseconds);
}

/** Expects that the share of lookups, the idempotent calls, that miss their target is hardly larger than with the oracle. */
void expectLookupsAnswered(const Run &product, const Run &oracle)
{
    EXPECT_LE(product.lookups().missedShare(), oracle.lookups().missedShare() + MaximumShareWorseThanOracle);
}

void expectShortWait(const RunSettings &settings, const Run &product)
{
    const Run twoChoices = run(settings, Policy::TwoChoicesReported);
    EXPECT_LE(product.lookups().waitP99Milliseconds, twoChoices.lookups().waitP99Milliseconds / 3.0);
}

/** Expects that few calls are refused that the oracle answers in time. */
void expectNoUnnecessaryRefusals(const Run &product, const Run &oracle)
{
    std::size_t refused = 0;
    for (CallId call = 0; call < product.record.results.size(); ++call) {
        const bool isRefused = product.record.results[call].end == CallEnd::NotRun;
        refused += isRefused && isAnsweredInTime(oracle.record, call) ? 1 : 0;
    }
    EXPECT_LE(static_cast<double>(refused), MaximumShareWorseThanOracle * static_cast<double>(product.record.results.size()));
}

/**
 * Expects that ranks above the flooded one keep the in-time share of the same run without the flood, and that little worth is lost.
 * @p toleranceFactor widens the tolerances for scenarios with a fault in addition to the flood.
 */
void expectHigherRanksUnaffected(const RunSettings &settings, const Run &product, const Run &oracle, double toleranceFactor)
{
    RunSettings withoutFloodSettings = settings;
    withoutFloodSettings.isFloodOmitted = true;
    const Run withoutFlood = run(withoutFloodSettings, Policy::Product);
    for (std::size_t rank = 0; rank < static_cast<std::size_t>(product.record.plan.flood->rank); ++rank) {
        SCOPED_TRACE(nameOf(static_cast<Rank>(rank)));
        EXPECT_GE(product.summary.ranks[rank].inTimeShare(), withoutFlood.summary.ranks[rank].inTimeShare() - 0.001 * toleranceFactor);
    }
    EXPECT_GE(product.summary.worth, (1.0 - 0.05 * toleranceFactor) * oracle.summary.worth);
}

/** Returns the number of calls that the upstreams of the service can run in the window; a slow one counts with its speed. */
double capacityInWindow(const ScenarioPlan &plan, const DeploymentModel &model, std::size_t service)
{
    double upstreams = model.services[service].upstreams;
    for (const UpstreamChange &change : plan.changes) {
        const bool isSlowdown = change.service == service && change.at == plan.windowStart && change.kind == ChangeKind::Speed;
        upstreams -= isSlowdown ? 1.0 - change.value : 0.0;
    }
    const double share = upstreams / model.services[service].upstreams;
    return share * capacityPerSecond(model.services[service]) * toMilliseconds(plan.windowEnd - plan.windowStart) / 1000.0;
}

/**
 * Expects, for each service, that the flooded top rank uses the capacity and that each other rank keeps its guaranteed share.
 * @p toleranceFactor widens the tolerance for the capacity in scenarios with a fault in addition to the flood.
 */
void expectCapacityAndGuaranteedShares(const Run &product, double toleranceFactor)
{
    for (std::size_t service = 0; service < product.record.model.services.size(); ++service) {
        SCOPED_TRACE(product.record.model.services[service].name);
        const auto &ranks = product.summary.services[service];
        const double capacity = capacityInWindow(product.record.plan, product.record.model, service);
        EXPECT_GE(static_cast<double>(ranks[0].answeredInTimeInWindow), (1.0 - 0.15 * toleranceFactor) * capacity);
        const auto answered = static_cast<double>(ranks[0].answeredInTimeInWindow + ranks[1].answeredInTimeInWindow + ranks[2].answeredInTimeInWindow);
        const double guaranteed = GuaranteedShare * answered;
        for (std::size_t rank = 1; rank < ranks.size(); ++rank) {
            SCOPED_TRACE(nameOf(static_cast<Rank>(rank)));
            EXPECT_GE(static_cast<double>(ranks[rank].answeredInTimeInWindow), guaranteed - 3.0 * std::sqrt(guaranteed));
        }
    }
}

double goodput(const Run &product)
{
    std::size_t inTime = 0;
    for (const RankSummary &rank : product.summary.ranks) {
        inTime += rank.answeredInTimeInWindow;
    }
    return static_cast<double>(inTime) / product.summary.windowSeconds;
}

/** Expects that goodput does not fall as the flood grows from one to eight times the capacity. */
void expectNoCollapse(RunSettings settings)
{
    double best = 0.0;
    for (const double factor : {1.0, 2.0, 4.0, 8.0}) {
        SCOPED_TRACE(factor);
        settings.floodFactor = factor;
        settings.calls = static_cast<std::size_t>(static_cast<double>(FloodCalls) * (0.7 + 0.5 * factor) / (0.7 + 0.5 * 4.0));
        const double measured = goodput(run(settings, Policy::Product));
        EXPECT_GE(measured, (1.0 - GoodputNoise) * best);
        best = std::max(best, measured);
    }
}

void expectBounds(const RunSettings &settings)
{
    const Run product = run(settings, Policy::Product);
    const Run oracle = run(settings, Policy::Oracle);
    expectInvariants(product);
    switch (settings.scenario) {
    case Scenario::Steady50:
    case Scenario::EntryLost:
        return;
    case Scenario::Steady70:
        expectLookupTail(product, oracle, 1.15);
        expectShortWait(settings, product);
        return;
    case Scenario::Steady90:
        expectLookupTail(product, oracle, 1.3);
        expectNoUnnecessaryRefusals(product, oracle);
        return;
    case Scenario::Noisy:
    case Scenario::Straggler:
    case Scenario::StallTwo:
        expectLookupTail(product, oracle, 1.5);
        expectLookupsAnswered(product, oracle);
        return;
    case Scenario::FailFast:
    case Scenario::Drain:
    case Scenario::ColdStart:
    case Scenario::Shed:
        expectLookupsAnswered(product, oracle);
        return;
    case Scenario::FloodLow:
    case Scenario::FloodMiddle:
        expectHigherRanksUnaffected(settings, product, oracle, 1.0);
        return;
    case Scenario::EntryLostInFlood:
        expectHigherRanksUnaffected(settings, product, oracle, 1.5);
        return;
    case Scenario::FloodTop:
        expectCapacityAndGuaranteedShares(product, 1.0);
        expectNoCollapse(settings);
        return;
    case Scenario::FloodTopWithStraggler:
        expectCapacityAndGuaranteedShares(product, 1.5);
        return;
    }
}

std::vector<Case> allCases()
{
    std::vector<Case> cases;
    for (const auto &deployment : enumNames(Deployment{})) {
        for (const auto &scenario : enumNames(Scenario{})) {
            cases.push_back({.deployment = deployment.value, .scenario = scenario.value});
        }
    }
    return cases;
}

std::string nameOfCase(const testing::TestParamInfo<Case> &info)
{
    std::string name = std::string(nameOf(info.param.deployment)) + "_" + std::string(nameOf(info.param.scenario));
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
}

class PolicyBounds : public testing::TestWithParam<Case>
{
};

TEST_P(PolicyBounds, Hold)
{
    const bool isFlood = planOf({.deployment = GetParam().deployment, .scenario = GetParam().scenario}).flood.has_value();
    for (const std::uint64_t seed : Seeds) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        expectBounds({
            .deployment = GetParam().deployment,
            .scenario = GetParam().scenario,
            .seed = seed,
            .calls = isFlood ? FloodCalls : Calls,
        });
    }
}

INSTANTIATE_TEST_SUITE_P(All, PolicyBounds, testing::ValuesIn(allCases()), nameOfCase);

}
}
