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

/** Runs a policy through a scenario in virtual time and records the result of each call. */
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

/** Result of a call as its caller sees it. */
struct CallResult {
    CallEnd end = CallEnd::Unanswered;
    TimePoint endedAt{};
    RefusalReason refusal = RefusalReason::NoUpstream; ///< Valid for CallEnd::NotRun.
    UnknownReason unknown = UnknownReason::DeadlinePassed; ///< Valid for CallEnd::Unknown.
    std::size_t contactedEntry = 0; ///< The entry VM that the caller reached.
    std::size_t upstream = 0; ///< The upstream that answered, as an index over all services.
    Duration networkTime{}; ///< Round trip from the caller by way of the contacted entry VM to the upstream that answered.
};

/** A finished run. */
struct RunRecord {
    RunSettings settings;
    Policy policy = Policy::Product;
    DeploymentModel model;
    ScenarioPlan plan;
    std::vector<Arrival> arrivals;
    std::vector<CallResult> results; ///< One for each arrival, in the same order.
    std::vector<std::uint32_t> executions; ///< Number of executions of each arrival, as counted by the upstreams.
    std::vector<std::uint64_t> probesPerSecond; ///< Load reports beyond those in answers, for each second of the run.
    std::array<std::uint64_t, enumCount<RetryReason>()> retries{};
    std::uint64_t handOvers = 0;
    std::uint64_t ejections = 0;
};

/** Runs @p policy; equal settings give equal records. */
RunRecord runScenario(const RunSettings &settings, Policy policy);

/** Runs the oracle, the reference for all policies: one queue for all slots of a service, with perfect, undelayed knowledge of slots and faults. */
void runOracle(RunRecord &record);

/** Returns when the answer of a call must leave its entry VM to reach the caller in time. */
TimePoint deadlineAtEntry(const DeploymentModel &model, const Arrival &arrival);

}
