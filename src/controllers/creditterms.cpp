#include "controllers/creditterms.h"

#include <algorithm>

namespace Plantainweir {
namespace {

/** Part of the tolerated excess of a quota that is used. The rest covers clocks of different pace and a fleet that grows. */
constexpr double UsedTolerance = 0.5;
/** Part of the calls that a cold upstream tolerates that is used. */
constexpr double UsedColdFraction = 0.8;
/** Part of those that may come at a steady rate. The rest may come at once. */
constexpr double SteadyColdFraction = 0.85;
/** The window in which the calls to a cold upstream are counted. */
constexpr std::chrono::seconds ColdWindow{1};

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::optional<CreditTerms> accountTerms(const ClientAccount &account, const CreditToleranceSettings &tolerance)
{
    if (account.callsPerSecond <= 0.0) {
        return std::nullopt;
    }
    const double window = toSeconds(tolerance.quotaWindow);
    const double factor = 1.0 + tolerance.quotaOver * UsedTolerance;
    return CreditTerms{
        .perSecond = account.callsPerSecond * factor * window / (window + toSeconds(CreditValidity)),
        .burst = account.burst * factor + tolerance.quotaSlack * UsedTolerance,
    };
}

std::optional<CreditTerms> coldTerms(const RoutedService &service, const CreditToleranceSettings &tolerance)
{
    if (service.coldCallsPerSecond <= 0.0) {
        return std::nullopt;
    }
    const double usable = (service.coldCallsPerSecond * tolerance.coldOver + tolerance.coldSlack) * UsedColdFraction;
    const double seconds = toSeconds(ColdWindow + CreditValidity);
    const double perSecond = std::min(service.coldCallsPerSecond, usable * SteadyColdFraction / seconds);
    return CreditTerms{.perSecond = perSecond, .burst = usable - perSecond * seconds};
}

}

CreditLimits creditLimits(const RouteTable &table, const CreditToleranceSettings &tolerance)
{
    CreditLimits limits;
    for (const auto &[name, account] : table.accounts) {
        if (const auto terms = accountTerms(account, tolerance)) {
            limits.accounts.emplace(name, *terms);
        }
    }
    for (const auto &[name, service] : table.services) {
        if (const auto terms = coldTerms(service, tolerance)) {
            limits.coldUpstreams.emplace(name, *terms);
        }
    }
    return limits;
}

std::optional<CreditTerms> termsOf(const CreditLimits &limits, const CreditLine &line)
{
    const auto &terms = line.kind == CreditKind::Account ? limits.accounts : limits.coldUpstreams;
    const auto found = terms.find(line.scope);
    return found == terms.end() ? std::nullopt : std::optional(found->second);
}

bool isEmpty(const CreditLimits &limits)
{
    return limits.accounts.empty() && limits.coldUpstreams.empty();
}

}
