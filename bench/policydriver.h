#pragma once

#include "core/outcome.h"
#include "policybaselines.h"
#include "policycallers.h"
#include "policyscenarios.h"
#include "policysimulation.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

/** Runs a policy through a scenario in virtual time and records what became of each call. */
namespace Plantainweir {

/** How a call ended for its caller. */
enum class CallEnd {
    Unanswered, ///< The caller gave up at its deadline.
    Answered,
    ServerError,
    NotRun,
    Unknown,
};

constexpr std::array<EnumName<CallEnd>, 5> enumNames(CallEnd)
{
    return {{
        {CallEnd::Unanswered, "unanswered"},
        {CallEnd::Answered, "answered"},
        {CallEnd::ServerError, "server_error"},
        {CallEnd::NotRun, "not_run"},
        {CallEnd::Unknown, "unknown"},
    }};
}
static_assert(isEnumTableOrdered<CallEnd>());

/** What became of a call as its caller sees it. */
struct CallResult {
    CallEnd end = CallEnd::Unanswered;
    TimePoint endedAt{};
    RefusalReason refusal = RefusalReason::NoUpstream; ///< Of CallEnd::NotRun.
    UnknownReason unknown = UnknownReason::DeadlinePassed; ///< Of CallEnd::Unknown.
    std::size_t contactedEntry = 0; ///< The entry VM that the caller reached.
    std::size_t upstream = 0; ///< The upstream that answered, among those of all services.
    Duration networkTime{}; ///< There and back between caller, contacted entry VM and the upstream that answered.
};

/** A finished run. */
struct RunRecord {
    RunSettings settings;
    Policy policy = Policy::Product;
    DeploymentModel model;
    ScenarioPlan plan;
    std::vector<Arrival> arrivals;
    std::vector<CallResult> results; ///< Of the arrivals, in their order.
    std::vector<std::uint32_t> executions; ///< Of the arrivals, as the upstreams counted them.
    std::vector<std::uint64_t> probesPerSecond; ///< Load reports beyond those in answers, for each second of the run.
    std::array<std::uint64_t, enumCount<RetryReason>()> retries{};
    std::uint64_t handOvers = 0;
    std::uint64_t ejections = 0;
};

/** Runs @p policy; equal settings give equal records. */
RunRecord runScenario(const RunSettings &settings, Policy policy);

/** Runs the limit: one queue in front of all slots of a service, with perfect, undelayed knowledge of slots and faults. */
void runOracle(RunRecord &record);

/** Returns when the answer of a call must leave its entry VM to reach the caller in time. */
TimePoint deadlineAtEntry(const DeploymentModel &model, const Arrival &arrival);

}
