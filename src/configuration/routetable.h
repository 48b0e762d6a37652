#pragma once

#include "core/endpoint.h"
#include "core/time.h"
#include "core/work.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/** Routes by host and path, for calls that name no service. Each version replaces the whole table. */
namespace Plantainweir {

/** One service of a route and its weight, its relative share of the calls. */
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
    Duration timeout{}; ///< Maximum time from the arrival of a call to its final response.
    Duration target{}; ///< Latency target from the arrival of a call; an answer within it has its full worth.
    std::uint32_t priority = 0; ///< Zero is the highest priority.
    std::uint32_t maximumAttempts = 1; ///< Maximum number of upstreams that one call is sent to.
    std::vector<RouteTarget> targets; ///< At least one.
    bool isPublic = false; ///< Whether calls need no key although the configuration has client accounts.
    bool operator==(const Route &) const = default;
};

/** Settings that apply to all upstreams of a service. */
struct RoutedService {
    std::string name;
    std::string healthPath;
    std::uint32_t connectionLimit = 1; ///< Connections that each upstream accepts from the whole fleet.
    double coldCallsPerSecond = 0.0; ///< Calls a second that a cold upstream bears from the whole fleet; zero if there is no limit.
    bool operator==(const RoutedService &) const = default;
};

/** SHA-256 of the key of a client account. The keys themselves are not kept. */
using KeyDigest = std::array<std::uint8_t, 32>;

/** A client account and the quota of its calls over the whole fleet. */
struct ClientAccount {
    std::string name;
    std::vector<KeyDigest> keys;
    std::optional<std::uint32_t> priority; ///< Goes before the priority of the route; zero is the highest.
    double callsPerSecond = 0.0; ///< Zero if there is no limit.
    double burst = 0.0; ///< Calls beyond callsPerSecond that may come at once.
    bool operator==(const ClientAccount &) const = default;
};

/** Limits on callers' requests and connections. */
struct CallerLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3); ///< Maximum time to receive a complete request header.
    Duration idleTimeout = std::chrono::seconds(15); ///< Maximum idle time between two requests on a connection.
    bool operator==(const CallerLimits &) const = default;
};

struct RouteTable {
    std::uint64_t version = 0; ///< Zero until the first table is received.
    std::vector<Route> routes;
    std::map<std::string, RoutedService, std::less<>> services;
    std::map<std::string, ClientAccount, std::less<>> accounts; ///< By name. If there are any, calls need a key.
    CallerLimits limits;
    bool operator==(const RouteTable &) const = default;
};

/** Returns the route of @p host with the longest matching path prefix, or null. */
const Route *findRoute(const RouteTable &table, std::string_view host, std::string_view path);

}
