#include "policyscenarios.h"

#include <algorithm>
#include <random>

namespace Plantainweir {
namespace {

constexpr double WindowStartShare = 0.25;
constexpr double WindowEndShare = 0.75;
constexpr double EntryLostShare = 0.4;
constexpr double StragglerSpeed = 0.1;
constexpr double MeanNoiseGapMilliseconds = 1000.0;
constexpr double ShortestPauseMilliseconds = 5.0;
constexpr double LongestPauseMilliseconds = 25.0;
constexpr std::chrono::seconds AnnouncementDelay{1};
constexpr std::chrono::seconds DrainTime{3};
constexpr std::chrono::seconds WarmUpStep{1};
constexpr std::array WarmUpSpeeds{0.1, 0.25, 0.5, 1.0};

/** Adds a change at the start of the window to the value @p during, and one at its end to the value @p after. */
void addForWindow(ScenarioPlan &plan, std::size_t service, std::size_t upstream, ChangeKind kind, double during, double after)
{
    plan.changes.push_back({.at = plan.windowStart, .service = service, .upstream = upstream, .kind = kind, .value = during});
    plan.changes.push_back({.at = plan.windowEnd, .service = service, .upstream = upstream, .kind = kind, .value = after});
}

void addStraggler(ScenarioPlan &plan, std::size_t service)
{
    addForWindow(plan, service, 0, ChangeKind::Speed, StragglerSpeed, 1.0);
}

void addStalls(ScenarioPlan &plan, std::size_t service)
{
    addForWindow(plan, service, 0, ChangeKind::Speed, 0.0, 1.0);
    addForWindow(plan, service, 1, ChangeKind::Speed, 0.0, 1.0);
}

void addDrain(ScenarioPlan &plan, std::size_t service)
{
    const Duration start = plan.windowStart;
    plan.changes.push_back({.at = start, .service = service, .kind = ChangeKind::Draining, .value = 1.0});
    plan.changes.push_back({.at = start + AnnouncementDelay, .service = service, .kind = ChangeKind::LeavingAnnounced, .value = 1.0});
    plan.changes.push_back({.at = start + DrainTime, .service = service, .kind = ChangeKind::Stopped, .value = 1.0});
}

void addColdStart(ScenarioPlan &plan, std::size_t service)
{
    plan.changes.push_back({.at = plan.windowStart, .service = service, .kind = ChangeKind::Assigned, .value = 1.0});
    Duration at = plan.windowStart;
    for (const double speed : WarmUpSpeeds) {
        plan.changes.push_back({.at = at, .service = service, .kind = ChangeKind::Speed, .value = speed});
        at += WarmUpStep;
    }
}

void addNoise(ScenarioPlan &plan, std::size_t service, std::uint32_t upstreams, std::uint64_t seed)
{
    std::mt19937_64 random(seed * 1000 + service);
    std::exponential_distribution<double> gap(1.0 / MeanNoiseGapMilliseconds);
    std::uniform_real_distribution<double> pause(ShortestPauseMilliseconds, LongestPauseMilliseconds);
    for (std::size_t upstream = 0; upstream < upstreams; ++upstream) {
        Duration at = fromMilliseconds(gap(random));
        while (at < plan.duration) {
            const Duration end = at + fromMilliseconds(pause(random));
            plan.changes.push_back({.at = at, .service = service, .upstream = upstream, .kind = ChangeKind::Pause, .value = 1.0});
            plan.changes.push_back({.at = end, .service = service, .upstream = upstream, .kind = ChangeKind::Pause, .value = 0.0});
            at = end + fromMilliseconds(gap(random));
        }
    }
}

void addFaults(ScenarioPlan &plan, const RunSettings &settings, std::size_t service, std::uint32_t upstreams)
{
    switch (settings.scenario) {
    case Scenario::Noisy:
        addNoise(plan, service, upstreams, settings.seed);
        return;
    case Scenario::Straggler:
    case Scenario::FloodTopWithStraggler:
        addStraggler(plan, service);
        return;
    case Scenario::StallTwo:
        addStalls(plan, service);
        return;
    case Scenario::FailFast:
        addForWindow(plan, service, 0, ChangeKind::Failing, 1.0, 0.0);
        return;
    case Scenario::Drain:
        addDrain(plan, service);
        return;
    case Scenario::ColdStart:
        addColdStart(plan, service);
        return;
    case Scenario::Shed:
        addForWindow(plan, service, 0, ChangeKind::SlotLimit, 1.0, 0.0);
        return;
    default:
        return;
    }
}

double loadOf(Scenario scenario)
{
    switch (scenario) {
    case Scenario::Steady50:
    case Scenario::StallTwo: // Two of six upstreams stall, so that the load is 75% of the remaining capacity.
        return 0.5;
    case Scenario::Steady90:
        return 0.9;
    default:
        return 0.7;
    }
}

std::optional<Rank> floodedRank(Scenario scenario)
{
    switch (scenario) {
    case Scenario::FloodLow:
    case Scenario::EntryLostInFlood:
        return Rank::Low;
    case Scenario::FloodMiddle:
        return Rank::Middle;
    case Scenario::FloodTop:
    case Scenario::FloodTopWithStraggler:
        return Rank::Top;
    default:
        return std::nullopt;
    }
}

}

DeploymentModel modelOf(Deployment deployment)
{
    using std::chrono::milliseconds;
    DeploymentModel model;
    model.withinAvailabilityZone = fromMilliseconds(0.1);
    model.toCaller = milliseconds(3);
    model.probesPerSecond = 20.0;
    model.workKinds[0] = {.name = "payment", .rank = Rank::Top, .target = milliseconds(3000), .worth = 20.0, .repeatability = Repeatability::AtMostOnce};
    model.workKinds[1] = {.name = "booking", .rank = Rank::Middle, .target = milliseconds(1000), .worth = 8.0, .repeatability = Repeatability::AtMostOnce};
    model.workKinds[2] = {.name = "lookup", .rank = Rank::Low, .target = milliseconds(250), .worth = 1.0, .repeatability = Repeatability::Idempotent};
    const std::array<double, 3> frontShares{0.05, 0.15, 0.8};
    const std::array<double, 3> backShares{0.5, 0.3, 0.2};
    if (deployment == Deployment::NorthernBlade) {
        model.availabilityZones = 4;
        model.betweenAvailabilityZones = fromMilliseconds(1.5);
        model.services.push_back({.name = "rinkdesk", .upstreams = 20, .slots = 3, .connectionLimit = 200, .shares = frontShares});
        model.services.push_back({.name = "tillside", .upstreams = 8, .slots = 3, .connectionLimit = 200, .shares = backShares});
    } else {
        model.availabilityZones = 3;
        model.betweenAvailabilityZones = fromMilliseconds(1.0);
        model.services.push_back({.name = "orderdesk", .upstreams = 30, .slots = 2, .connectionLimit = 250, .shares = frontShares});
        model.services.push_back({.name = "payment", .upstreams = 6, .slots = 2, .connectionLimit = 250, .shares = backShares});
    }
    return model;
}

double capacityPerSecond(const ServiceModel &service)
{
    return service.upstreams * service.slots * 1000.0 / MeanServiceMilliseconds;
}

Duration delayBetween(const DeploymentModel &model, std::size_t from, std::size_t to)
{
    return from == to ? model.withinAvailabilityZone : model.betweenAvailabilityZones;
}

std::size_t availabilityZoneOfEntry(const DeploymentModel &model, std::size_t entry)
{
    return entry % model.availabilityZones;
}

ScenarioPlan planOf(const RunSettings &settings)
{
    const DeploymentModel model = modelOf(settings.deployment);
    ScenarioPlan plan;
    plan.load = loadOf(settings.scenario);
    const auto rank = floodedRank(settings.scenario);
    double capacity = 0.0;
    for (const ServiceModel &service : model.services) {
        capacity += capacityPerSecond(service);
    }
    const double floodLoad = rank ? settings.floodFactor * (WindowEndShare - WindowStartShare) : 0.0;
    plan.duration = fromMilliseconds(1000.0 * static_cast<double>(settings.calls) / (capacity * (plan.load + floodLoad)));
    plan.windowStart = std::chrono::duration_cast<Duration>(plan.duration * WindowStartShare);
    plan.windowEnd = std::chrono::duration_cast<Duration>(plan.duration * WindowEndShare);
    if (rank && !settings.isFloodOmitted) {
        plan.flood = Flood{.rank = *rank, .factor = settings.floodFactor};
    }
    if (settings.scenario == Scenario::EntryLost || settings.scenario == Scenario::EntryLostInFlood) {
        plan.entryLostAt = std::chrono::duration_cast<Duration>(plan.duration * EntryLostShare);
    }
    for (std::size_t service = 0; service < model.services.size(); ++service) {
        addFaults(plan, settings, service, model.services[service].upstreams);
    }
    std::stable_sort(plan.changes.begin(), plan.changes.end(), [](const UpstreamChange &left, const UpstreamChange &right) {
        return left.at < right.at;
    });
    return plan;
}

}
