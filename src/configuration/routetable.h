#pragma once

#include "core/endpoint.h"
#include "core/time.h"
#include "core/work.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/** Routes by host and path, for callers that name no service; the whole table is replaced at each version. */
namespace Plantainweir {

/** One service of a route and its share of the calls. */
struct RouteTarget {
    std::string service;
    std::uint32_t weight = 1;
    bool operator==(const RouteTarget &) const = default;
};

struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    Repeatability repeatability = Repeatability::AtMostOnce;
    Duration timeout{}; ///< Longest time from arrival to the final answer.
    Duration target{}; ///< Time from arrival within which an answer has its full worth.
    std::uint32_t priority = 0; ///< Zero is the most urgent.
    std::uint32_t maximumAttempts = 1; ///< Upstreams that one call may be sent to.
    std::vector<RouteTarget> targets; ///< At least one.
    bool operator==(const Route &) const = default;
};

/** What a service's upstreams have in common. */
struct RoutedService {
    std::string name;
    std::string healthPath;
    std::uint32_t connectionLimit = 1; ///< Connections that each upstream accepts from the whole fleet.
    bool operator==(const RoutedService &) const = default;
};

/** Bounds on what callers may send. */
struct CallerLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3); ///< To a whole request header.
    Duration idleTimeout = std::chrono::seconds(15); ///< Between two requests of a connection.
    bool operator==(const CallerLimits &) const = default;
};

struct RouteTable {
    std::uint64_t version = 0; ///< Zero before the first table.
    std::vector<Route> routes;
    std::map<std::string, RoutedService, std::less<>> services;
    CallerLimits limits;
    bool operator==(const RouteTable &) const = default;
};

/** Returns the route of @p host with the longest prefix of @p path, or null. */
const Route *findRoute(const RouteTable &table, std::string_view host, std::string_view path);

}
