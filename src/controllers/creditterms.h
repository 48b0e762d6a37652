#pragma once

#include "configuration/routetable.h"
#include "controllers/creditline.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <string>

/** Derives the terms of credit from the configuration and the tolerated excess. */
namespace Plantainweir {

/** Time after its question until which a credit may be used. */
inline constexpr std::chrono::milliseconds CreditValidity{250};

/** By how much the whole fleet may exceed a limit. */
struct CreditToleranceSettings {
    Duration quotaWindow = std::chrono::seconds(5); ///< Window in which the calls of a client account are counted.
    double quotaOver = 0.1; ///< Tolerated excess, as a part of what the quota allows in the window.
    double quotaSlack = 20.0; ///< Tolerated excess beyond that, in calls.
    double coldOver = 1.5; ///< Tolerated factor on the calls that a cold upstream bears in a second.
    double coldSlack = 8.0; ///< Tolerated excess beyond that, in calls.
};

/** The terms of all limits in force. */
struct CreditLimits {
    std::map<std::string, CreditTerms, std::less<>> accounts; ///< By the name of the client account.
    std::map<std::string, CreditTerms, std::less<>> coldUpstreams; ///< By service, for each of its upstreams.
    bool operator==(const CreditLimits &) const = default;
};

/**
 * Returns the terms of all client accounts and services that @p table limits.
 *
 * In each window W, credit for at most `perSecond * (W + CreditValidity) + burst` calls is used. The terms keep this below
 * `(callsPerSecond * W + burst) * (1 + quotaOver) + quotaSlack` in the quota window, and below
 * `coldCallsPerSecond * coldOver + coldSlack` in a second.
 */
CreditLimits creditLimits(const RouteTable &table, const CreditToleranceSettings &tolerance);

/** Returns the terms of @p line, or nothing if it has no limit. */
std::optional<CreditTerms> termsOf(const CreditLimits &limits, const CreditLine &line);

/** Returns whether nothing is limited. */
bool isEmpty(const CreditLimits &limits);

}
