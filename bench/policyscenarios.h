#pragma once

#include "configuration/configuration.h"
#include "core/enumnames.h"
#include "core/time.h"
#include "core/work.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/** The deployments and scenarios of the policy bench, as plain data. */
namespace Plantainweir {

/** A fleet at the size that its operators run. */
enum class Deployment {
    NorthernBlade,
    Sabarmati,
};

constexpr std::array<EnumName<Deployment>, 2> enumNames(Deployment)
{
    return {{
        {Deployment::NorthernBlade, "northern-blade"},
        {Deployment::Sabarmati, "sabarmati"},
    }};
}
static_assert(isEnumTableOrdered<Deployment>());

/** The load and the faults of a run. */
enum class Scenario {
    Steady50,
    Steady70,
    Steady90,
    Noisy,
    Straggler,
    StallTwo,
    FailFast,
    Drain,
    ColdStart,
    Shed,
    FloodLow,
    FloodMiddle,
    FloodTop,
    EntryLost,
    FloodTopWithStraggler,
    EntryLostInFlood,
};

constexpr std::array<EnumName<Scenario>, 16> enumNames(Scenario)
{
    return {{
        {Scenario::Steady50, "steady-50"},
        {Scenario::Steady70, "steady-70"},
        {Scenario::Steady90, "steady-90"},
        {Scenario::Noisy, "noisy"},
        {Scenario::Straggler, "straggler"},
        {Scenario::StallTwo, "stall-two"},
        {Scenario::FailFast, "fail-fast"},
        {Scenario::Drain, "drain"},
        {Scenario::ColdStart, "cold-start"},
        {Scenario::Shed, "shed"},
        {Scenario::FloodLow, "flood-low"},
        {Scenario::FloodMiddle, "flood-middle"},
        {Scenario::FloodTop, "flood-top"},
        {Scenario::EntryLost, "entry-lost"},
        {Scenario::FloodTopWithStraggler, "flood-top-with-straggler"},
        {Scenario::EntryLostInFlood, "entry-lost-in-flood"},
    }};
}
static_assert(isEnumTableOrdered<Scenario>());

/** One service of a deployment. */
struct ServiceModel {
    std::string name;
    std::uint32_t upstreams = 1;
    std::uint32_t slots = 1; ///< Of one upstream.
    std::uint32_t connectionLimit = 1; ///< Calls that one upstream accepts, running or queued; it sheds the rest.
    std::array<double, enumCount<Rank>()> shares{}; ///< Share of each rank in the calls of the service.
};

/** A fleet: its availability zones, delays and services. Entry VMs and upstreams are spread evenly over the zones. */
struct DeploymentModel {
    std::size_t entries = 15;
    std::size_t availabilityZones = 1;
    Duration betweenAvailabilityZones{}; ///< One way.
    Duration withinAvailabilityZone{}; ///< One way.
    Duration toCaller{}; ///< One way.
    std::vector<ServiceModel> services;
    std::array<WorkKind, enumCount<Rank>()> workKinds; ///< One for each rank.
    double probesPerSecond = 0.0; ///< Probe budget of the fleet.
};

/** Kind of a change at an upstream. */
enum class ChangeKind {
    Speed, ///< Relative speed of its work; 0 is a stall.
    Pause, ///< 1 while a noisy neighbour stops the VM for some milliseconds, else 0.
    Failing, ///< 1 while it answers each call at once with a server error, else 0.
    SlotLimit, ///< Calls that it accepts before it sheds; 0 restores its slots and queue.
    Draining, ///< 1 when it starts to drain, which its answers report.
    LeavingAnnounced, ///< The list of VMs, which the entry VMs read, shows that the upstream is leaving.
    Stopped, ///< 1 while it refuses connections, else 0.
    Assigned, ///< 1 when it joins the inventory; an upstream with this change is not in the inventory at the start.
};

struct UpstreamChange {
    Duration at{}; ///< Since the start of the run.
    std::size_t service = 0;
    std::size_t upstream = 0;
    ChangeKind kind = ChangeKind::Speed;
    double value = 0.0;
};

/** Calls of one rank in addition to the usual load of the scenario. */
struct Flood {
    Rank rank = Rank::Low;
    double factor = 4.0; ///< Offered load as a multiple of a service's capacity.
};

/** The load and the changes of a scenario for a given deployment, seed and number of calls. */
struct ScenarioPlan {
    double load = 0.7; ///< Usual offered load relative to capacity.
    std::optional<Flood> flood; ///< Offered from windowStart to windowEnd.
    Duration duration{};
    Duration windowStart{}; ///< When faults and floods begin.
    Duration windowEnd{}; ///< When faults and floods end.
    std::optional<Duration> entryLostAt; ///< When the first owner of the first service fails; it does not return.
    std::vector<UpstreamChange> changes;
};

/** Selects a run; the policy is not part of it, so that all policies run with the same calls and faults. */
struct RunSettings {
    Deployment deployment = Deployment::NorthernBlade;
    Scenario scenario = Scenario::Steady70;
    std::uint64_t seed = 1;
    std::size_t calls = 100'000; ///< Expected number of calls; sets the duration.
    double floodFactor = 4.0;
    bool isFloodOmitted = false; ///< Omits the flood, with the same duration, usual load and faults.
};

/** Distribution of the service time: 95% exponential with a mean of 8 ms and 5% exponential with a mean of 46 ms. */
constexpr double FastServiceMilliseconds = 8.0;
constexpr double SlowServiceMilliseconds = 46.0;
constexpr double SlowServiceShare = 0.05;
constexpr double MeanServiceMilliseconds = (1.0 - SlowServiceShare) * FastServiceMilliseconds + SlowServiceShare * SlowServiceMilliseconds;

DeploymentModel modelOf(Deployment deployment);

/** Returns the calls that the slots of @p service can run in a second. */
double capacityPerSecond(const ServiceModel &service);

/** Returns the delay of a message between two availability zones, one way. */
Duration delayBetween(const DeploymentModel &model, std::size_t from, std::size_t to);

/** Returns the availability zone of an entry VM. */
std::size_t availabilityZoneOfEntry(const DeploymentModel &model, std::size_t entry);

ScenarioPlan planOf(const RunSettings &settings);

}
