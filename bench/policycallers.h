#pragma once

#include "policyscenarios.h"

#include <cstddef>
#include <cstdint>
#include <vector>

/** Stand-ins for callers: their calls, and the directory answers that they keep for a while. */
namespace Plantainweir {

/** A call as its caller sends it; the same for all policies of a run. */
struct Arrival {
    TimePoint sentAt;
    std::size_t service = 0;
    Rank rank = Rank::Low;
    std::size_t caller = 0;
    Duration serviceTime{}; ///< Service time at full speed, for each attempt.
    bool isMisdirected = false; ///< Sent to any entry VM, as by a caller with an outdated answer.
};

/** Callers of the usual load, and those of a flood, who are few. */
constexpr std::size_t UsualCallers = 400;
constexpr std::size_t FloodCallers = 20;

/** Returns the calls of a run in the order of time; call N of a policy is row N. */
std::vector<Arrival> makeArrivals(const DeploymentModel &model, const ScenarioPlan &plan, std::uint64_t seed);

/** What a caller remembers of its latest directory answer for one service. */
struct DirectoryAnswer {
    TimePoint expiresAt{};
    std::vector<std::size_t> addresses{};
    std::size_t current = 0; ///< Moves on when an address cannot be reached.
};

/**
 * Returns the answer of entry VM @p asked to the caller.
 * @param owners the service's owners in the order of this answer; empty if any entry VM will do
 * @param isMember for each entry VM, whether @p asked takes it for alive
 */
DirectoryAnswer askDirectory(std::size_t caller, std::size_t asked, std::vector<std::size_t> owners, const std::vector<bool> &isMember, TimePoint now);

}
