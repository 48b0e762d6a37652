#pragma once

#include "core/endpoint.h"
#include "core/time.h"
#include "core/work.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/**
 * The configuration in force, as plain values.
 *
 * The platform keeps one object per service and one object with the rules; each has its own version, and a member
 * adopts an object only at a higher version than it has.
 */
namespace Plantainweir {

/** One upstream of a service, a row of the inventory. */
struct Upstream {
    std::string name; ///< Unique within the service.
    Endpoint endpoint;
    std::string availabilityZone;
    std::uint32_t slots = 1; ///< Calls that it runs at the same time.
    std::uint32_t connectionLimit = 1; ///< Connections that it accepts from the whole system.
    bool isDraining = false; ///< Set by an operator; it receives no new work.
    bool operator==(const Upstream &) const = default;
};

/** A kind of work that callers name in their requests. */
struct WorkKind {
    std::string name;
    Rank rank = Rank::Low;
    Duration target{}; ///< Time from arrival within which the answer has its worth; the default deadline of a call.
    double worth = 1.0; ///< Worth of one call answered in time, relative to other kinds.
    Repeatability repeatability = Repeatability::AtMostOnce;
    bool operator==(const WorkKind &) const = default;
};

/** The rules that the operators add to the inventory; one object for the whole fleet. */
struct Rules {
    std::uint64_t version = 0;
    std::vector<WorkKind> workKinds;
    double probesPerSecond = 0.0; ///< Budget of measuring for the whole fleet.
    bool operator==(const Rules &) const = default;
};

/** One service and its upstreams. */
struct Service {
    std::string name;
    std::uint64_t version = 0;
    bool isRemoved = false; ///< A tombstone, so that a removal is a version like any other.
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
