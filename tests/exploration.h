#pragma once

#include <cstdint>
#include <cstdlib>
#include <functional>
#include <future>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace Plantainweir {

/** Runs one random interleaving and returns the invariant that it broke, if any. */
using Exploration = std::function<std::optional<std::string>(std::uint64_t seed)>;

/** Returns the number in the environment variable @p name, if there is one. */
inline std::optional<std::uint64_t> numberFromEnvironment(const char *name)
{
    const char *text = std::getenv(name);
    return text == nullptr ? std::nullopt : std::optional<std::uint64_t>(std::strtoull(text, nullptr, 10));
}

/**
 * Explores @p count interleavings on four threads and returns the failures, each with the seed that replays it.
 *
 * PLANTAINWEIR_SEED replays one seed alone; PLANTAINWEIR_FIRST_SEED starts elsewhere than at 1;
 * PLANTAINWEIR_EXPLORATIONS replaces @p count.
 */
inline std::vector<std::string> explore(const std::string &name, std::uint64_t count, const Exploration &exploration)
{
    constexpr std::uint64_t ThreadCount = 4;
    const auto only = numberFromEnvironment("PLANTAINWEIR_SEED");
    const std::uint64_t first = only.value_or(numberFromEnvironment("PLANTAINWEIR_FIRST_SEED").value_or(1));
    const std::uint64_t last = only ? first : first + numberFromEnvironment("PLANTAINWEIR_EXPLORATIONS").value_or(count) - 1;
    std::cout << name << ": seeds " << first << " to " << last << '\n';
    const auto runShare = [&](std::uint64_t share) {
        std::vector<std::string> failures;
        for (std::uint64_t seed = first + share; seed <= last; seed += ThreadCount) {
            if (const auto failure = exploration(seed)) {
                failures.push_back("PLANTAINWEIR_SEED=" + std::to_string(seed) + ": " + *failure);
            }
        }
        return failures;
    };
    std::vector<std::future<std::vector<std::string>>> shares;
    for (std::uint64_t share = 0; share < ThreadCount; ++share) {
        shares.push_back(std::async(std::launch::async, runShare, share));
    }
    std::vector<std::string> failures;
    for (auto &share : shares) {
        for (std::string &failure : share.get()) {
            failures.push_back(std::move(failure));
        }
    }
    return failures;
}

}
