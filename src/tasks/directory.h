#pragma once

#include "decision/routingstate.h"

#include <chrono>
#include <optional>
#include <random>
#include <string>

namespace Plantainweir {

/** For how long a caller may use an answer of the directory. */
constexpr std::chrono::milliseconds DirectoryTimeToLive{2000};

/**
 * Returns the directory's answer for @p service as JSON: the entry VMs to use, in the order to try them, owners first,
 * in an order drawn anew for each answer (see drawDirectoryOrder()).
 *
 * Entry VMs that leave are left out. Returns nothing if there is no such service.
 */
std::optional<std::string> makeDirectoryAnswer(const RoutingState &routing, const std::string &service, std::mt19937_64 &random);

}
