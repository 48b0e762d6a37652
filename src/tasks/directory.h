#pragma once

#include "decision/routingstate.h"

#include <chrono>
#include <optional>
#include <random>
#include <string>

namespace Plantainweir {

/** How long a caller may use a directory answer. */
constexpr std::chrono::milliseconds DirectoryTimeToLive{2000};

/**
 * Returns the directory answer for @p service as JSON: the entry VMs in the order in which to try them. Owners come
 * first, in an order drawn at random for each answer (see drawDirectoryOrder()).
 *
 * Entry VMs that are leaving are left out. Returns an empty value if the service does not exist.
 */
std::optional<std::string> makeDirectoryAnswer(const RoutingState &routing, const std::string &service, std::mt19937_64 &random);

}
