#include "configuration/routetablecheck.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace Plantainweir {
namespace {

constexpr double MillisecondsPerSecond = 1000.0;

/** Collects the findings about one entry. */
struct EntryFindings {
    std::vector<Finding> &findings;
    FindingEntry entry = FindingEntry::Configuration;
    std::string name;
};

void add(EntryFindings &target, FindingSeverity severity, std::string field, std::string message)
{
    target.findings.push_back({.severity = severity, .entry = target.entry, .name = target.name, .field = std::move(field), .message = std::move(message)});
}

void addError(EntryFindings &target, std::string field, std::string message)
{
    add(target, FindingSeverity::Error, std::move(field), std::move(message));
}

void addWarning(EntryFindings &target, std::string field, std::string message)
{
    add(target, FindingSeverity::Warning, std::move(field), std::move(message));
}

void checkMatch(EntryFindings &target, const Route &route)
{
    if (route.host.empty()) {
        addError(target, "host", "the host is empty, so no call matches");
    }
    if (!route.pathPrefix.starts_with('/') || !route.pathPrefix.ends_with('/')) {
        addError(target, "path prefix", fmt::format("\"{}\" does not begin and end with a slash", route.pathPrefix));
    }
}

void checkTargets(EntryFindings &target, const Route &route, const RouteTable &table)
{
    std::uint64_t weights = 0;
    for (const RouteTarget &part : route.targets) {
        weights += part.weight;
        if (!table.services.contains(part.service)) {
            addError(target, "service", fmt::format("the service \"{}\" does not exist", part.service));
        }
        if (part.weight == 0) {
            addWarning(target, "weight", fmt::format("the service \"{}\" has the weight 0 and gets no calls", part.service));
        }
    }
    if (weights == 0) {
        addError(target, "weight", "no service has a weight above 0, so calls have no destination");
    }
}

/**
 * A cold upstream gets up to coldCallsPerSecond calls a second, and each occupies a connection until its timeout at most. The
 * product must be within the limit of connections, or a cold upstream that answers slowly refuses connections.
 */
void checkColdCalls(EntryFindings &target, const Route &route, const RouteTable &table)
{
    for (const RouteTarget &part : route.targets) {
        const auto service = table.services.find(part.service);
        if (service == table.services.end() || part.weight == 0) {
            continue;
        }
        const double connections = service->second.coldCallsPerSecond * toMilliseconds(route.timeout) / MillisecondsPerSecond;
        if (connections > service->second.connectionLimit) {
            addWarning(target,
                       "timeout",
                       fmt::format("{} cold calls a second of {} ms each need {:.0f} connections to an upstream of \"{}\", which accepts {}",
                                   service->second.coldCallsPerSecond,
                                   toMilliseconds(route.timeout),
                                   connections,
                                   part.service,
                                   service->second.connectionLimit));
        }
    }
}

void checkTimes(EntryFindings &target, const Route &route)
{
    if (route.timeout <= Duration(0)) {
        addError(target, "timeout", "the timeout is 0, so each call ends at once");
    }
    if (route.target > route.timeout) {
        addError(
            target, "target", fmt::format("the target of {} ms is above the timeout of {} ms", toMilliseconds(route.target), toMilliseconds(route.timeout)));
    }
}

void checkAttempts(EntryFindings &target, const Route &route, const FleetSettings &settings)
{
    const std::uint32_t retries = route.maximumAttempts - std::min(route.maximumAttempts, 1U);
    if (settings.retryShare && *settings.retryShare <= 0.0 && retries > 0) {
        addWarning(target, "attempts", fmt::format("{} attempts are allowed, but the fleet may not send retries", route.maximumAttempts));
    }
}

void checkRoutes(std::vector<Finding> &findings, const RouteTable &table, const FleetSettings &settings)
{
    std::map<std::pair<std::string, std::string>, std::string> matches;
    std::set<std::string> names;
    for (const Route &route : table.routes) {
        EntryFindings target{findings, FindingEntry::Route, route.name};
        if (!names.insert(route.name).second) {
            addError(target, "name", "another route has the same name");
        }
        checkMatch(target, route);
        checkTargets(target, route, table);
        checkTimes(target, route);
        checkColdCalls(target, route, table);
        checkAttempts(target, route, settings);
        const auto [other, isFirst] = matches.try_emplace({route.host, route.pathPrefix}, route.name);
        if (!isFirst) {
            addError(target, "path prefix", fmt::format("never matches: route \"{}\" has the same host and path prefix", other->second));
        }
        if (route.isPublic && table.accounts.empty()) {
            addWarning(target, "public", "has no effect without client accounts");
        }
    }
}

void checkServices(std::vector<Finding> &findings, const RouteTable &table)
{
    std::set<std::string> named;
    for (const Route &route : table.routes) {
        for (const RouteTarget &part : route.targets) {
            named.insert(part.service);
        }
    }
    for (const auto &[name, service] : table.services) {
        EntryFindings target{findings, FindingEntry::Service, name};
        if (!named.contains(name)) {
            addWarning(target, {}, "no route names this service");
        }
        if (service.connectionLimit == 0) {
            addError(target, "connections", "the limit is 0, so no call can be sent");
        }
    }
}

void checkAccounts(std::vector<Finding> &findings, const RouteTable &table)
{
    for (const auto &[name, account] : table.accounts) {
        EntryFindings target{findings, FindingEntry::Account, name};
        if (account.keys.empty()) {
            addWarning(target, "keys", "has no key, so no call belongs to it");
        }
        if (account.callsPerSecond > 0.0 && account.burst < 1.0) {
            // A call passes only because gatewayd uses part of the excess that the platform tolerates.
            addWarning(
                target, "burst", fmt::format("a burst of {} is below one call, although {} a second are allowed", account.burst, account.callsPerSecond));
        }
        if (account.callsPerSecond <= 0.0 && account.burst > 0.0) {
            addWarning(target, "burst", "has no effect without a limit on calls a second");
        }
    }
}

/** Routes do not say how large their bodies are; those of calls that may run only once have one as a rule. */
void checkBodyLimit(EntryFindings &target, const RouteTable &table, const FleetSettings &settings)
{
    const std::size_t limit = table.limits.bodyBytes;
    if (settings.largestBodyBytes && *settings.largestBodyBytes > limit) {
        addError(target, "body bytes", fmt::format("callers send bodies of {} bytes, and those above {} are refused", *settings.largestBodyBytes, limit));
    }
    const auto route = std::find_if(table.routes.begin(), table.routes.end(), [](const Route &row) {
        return row.repeatability == Repeatability::AtMostOnce;
    });
    if (limit == 0 && route != table.routes.end()) {
        addWarning(target, "body bytes", fmt::format("the limit is 0, so calls with a body are refused, also those of route \"{}\"", route->name));
    }
}

void checkLimits(std::vector<Finding> &findings, const RouteTable &table, const FleetSettings &settings)
{
    const CallerLimits &limits = table.limits;
    EntryFindings target{findings, FindingEntry::Limits, {}};
    checkBodyLimit(target, table, settings);
    if (limits.headerBytes == 0) {
        addError(target, "header bytes", "the limit is 0, so each call is refused");
    }
    if (limits.headerTimeout <= Duration(0)) {
        addError(target, "header timeout", "the timeout is 0, so each call is refused");
    }
    if (limits.idleTimeout <= Duration(0)) {
        addError(target, "idle timeout", "the timeout is 0, so connections are not reused");
    }
}

}

std::vector<Finding> findingsIn(const RouteTable &table, const FleetSettings &settings)
{
    std::vector<Finding> findings;
    if (table.routes.empty()) {
        EntryFindings target{findings, FindingEntry::Configuration, {}};
        addWarning(target, "routes", "there are none, so each call is refused");
    }
    checkRoutes(findings, table, settings);
    checkServices(findings, table);
    checkAccounts(findings, table);
    checkLimits(findings, table, settings);
    return findings;
}

std::string toString(const Finding &finding)
{
    std::string place(nameOf(finding.entry));
    if (!finding.name.empty()) {
        place += fmt::format(" \"{}\"", finding.name);
    }
    if (!finding.field.empty()) {
        place += ", " + finding.field;
    }
    return fmt::format("{}: {}: {}", nameOf(finding.severity), place, finding.message);
}

}
