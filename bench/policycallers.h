#pragma once

#include "policyscenarios.h"

#include <cstddef>
#include <cstdint>
#include <vector>

/** Simulated callers: their calls, and the directory answers that they cache. */
namespace Plantainweir {

/** A call as its caller sends it; the same for all policies of a run. */
struct Arrival {
    TimePoint sentAt;
    std::size_t service = 0;
    Rank rank = Rank::Low;
    std::size_t caller = 0;
    Duration serviceTime{}; ///< Of each attempt, at an upstream that runs at full speed.
    bool isMisdirected = false; ///< Sent to an arbitrary entry VM, as by a caller with an outdated directory answer.
};

/** Number of callers of the usual load, and of a flood, whose calls come from few callers. */
constexpr std::size_t UsualCallers = 400;
constexpr std::size_t FloodCallers = 20;

/** Returns the calls of a run, ordered by time; the index of a call is its id under every policy. */
std::vector<Arrival> makeArrivals(const DeploymentModel &model, const ScenarioPlan &plan, std::uint64_t seed);

/** A caller's cached directory answer for one service. */
struct DirectoryAnswer {
    TimePoint expiresAt{};
    std::vector<std::size_t> addresses{};
    std::size_t current = 0; ///< Index of the address in use; advances when an address cannot be reached.
};

/**
 * Returns the answer of entry VM @p queried to the caller.
 * @param owners the service's owners in the order of this answer; empty if calls may go to any entry VM
 * @param isMember for each entry VM, whether @p queried considers it alive
 */
DirectoryAnswer queryDirectory(std::size_t caller, std::size_t queried, std::vector<std::size_t> owners, const std::vector<bool> &isMember, TimePoint now);

}
