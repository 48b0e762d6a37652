#pragma once

#include "core/endpoint.h"
#include "core/time.h"
#include "core/work.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/**
 * The active configuration as plain values.
 *
 * The platform stores one object per service and one object with the rules. Each object has its own version, and a
 * member adopts an object only at a higher version than it has.
 */
namespace Plantainweir {

/** One upstream of a service; one row of the inventory. */
struct Upstream {
    std::string name; ///< Unique within the service.
    Endpoint endpoint;
    std::string availabilityZone;
    std::uint32_t slots = 1; ///< Maximum number of calls that it runs concurrently.
    std::uint32_t connectionLimit = 1; ///< Connections that it accepts from the whole fleet.
    bool isDraining = false; ///< Set by an operator; the upstream receives no new calls.
    bool operator==(const Upstream &) const = default;
};

/** A class of calls; callers name it in their requests. */
struct WorkKind {
    std::string name;
    Rank rank = Rank::Low;
    Duration target{}; ///< Latency target, from the arrival of a call; also its default deadline.
    double worth = 1.0; ///< Value of a call that meets its target, relative to other kinds.
    Repeatability repeatability = Repeatability::AtMostOnce;
    bool operator==(const WorkKind &) const = default;
};

/** Work kinds and limits for the whole fleet, set by the operators. */
struct Rules {
    std::uint64_t version = 0;
    std::vector<WorkKind> workKinds;
    double probesPerSecond = 0.0; ///< Limit on the probes of the whole fleet.
    bool operator==(const Rules &) const = default;
};

/** One service and its upstreams. */
struct Service {
    std::string name;
    std::uint64_t version = 0;
    bool isRemoved = false; ///< Whether this version is a tombstone; a removal is distributed like any other version.
    std::vector<Upstream> upstreams;
    bool operator==(const Service &) const = default;
};

/** All objects, by name. */
struct Configuration {
    Rules rules;
    std::map<std::string, Service, std::less<>> services;
    bool operator==(const Configuration &) const = default;
};

}
