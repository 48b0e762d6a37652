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

/** Runs one random interleaving and returns the violated invariant, if any. */
using Exploration = std::function<std::optional<std::string>(std::uint64_t seed)>;

/** Returns the number in the environment variable @p name, if it is set. */
inline std::optional<std::uint64_t> numberFromEnvironment(const char *name)
{
    const char *text = std::getenv(name);
    return text == nullptr ? std::nullopt : std::optional<std::uint64_t>(std::strtoull(text, nullptr, 10));
}

/**
 * Explores @p count interleavings on four threads and returns the failures, each with the seed that reproduces it.
 *
 * The environment variable PLANTAINWEIR_SEED runs one seed only, PLANTAINWEIR_FIRST_SEED sets the first seed, which is 1
 * by default, and PLANTAINWEIR_EXPLORATIONS overrides @p count.
 */
inline std::vector<std::string> explore(const std::string &name, std::uint64_t count, const Exploration &exploration)
{
    constexpr std::uint64_t ThreadCount = 4;
    const auto only = numberFromEnvironment("PLANTAINWEIR_SEED");
    const std::uint64_t first = only.value_or(numberFromEnvironment("PLANTAINWEIR_FIRST_SEED").value_or(1));
    const std::uint64_t last = only ? first : first + numberFromEnvironment("PLANTAINWEIR_EXPLORATIONS").value_or(count) - 1;
    std::cout << name << ": seeds " << first << " to " << last << '\n';
    const auto runEveryFourthSeed = [&](std::uint64_t thread) {
        std::vector<std::string> failures;
        for (std::uint64_t seed = first + thread; seed <= last; seed += ThreadCount) {
            if (const auto failure = exploration(seed)) {
                failures.push_back("PLANTAINWEIR_SEED=" + std::to_string(seed) + ": " + *failure);
            }
        }
        return failures;
    };
    std::vector<std::future<std::vector<std::string>>> results;
    for (std::uint64_t thread = 0; thread < ThreadCount; ++thread) {
        results.push_back(std::async(std::launch::async, runEveryFourthSeed, thread));
    }
    std::vector<std::string> failures;
    for (auto &result : results) {
        for (std::string &failure : result.get()) {
            failures.push_back(std::move(failure));
        }
    }
    return failures;
}

}
