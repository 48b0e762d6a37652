#pragma once

#include "core/result.h"
#include "core/work.h"

#include <random>
#include <string>
#include <vector>

/** The mix of work kinds that a caller sends. */
namespace Plantainweir {

/** One kind of work in a mix. */
struct WorkMixEntry {
    std::string name;
    double share = 1.0; ///< Relative to the other kinds.
    std::string service;
    std::string rank; ///< Heading under which the kind is reported; the kind's name if no rank is given.
    Repeatability repeatability = Repeatability::Idempotent;
};

/** Unparsed command line values that describe a mix. */
struct WorkMixSettings {
    std::string mix; ///< `KIND=SHARE,…`
    std::string service; ///< Service of the kinds that serviceOf does not name.
    std::string serviceOf; ///< `KIND=SERVICE,…`
    std::string rankOf; ///< `KIND=RANK,…`
    std::string atMostOnce; ///< `KIND,…`
};

/** Parses a mix; fails with a message that names the flag, its value and the allowed values. */
Result<std::vector<WorkMixEntry>> parseMix(const WorkMixSettings &settings);

/** Returns a random kind, weighted by share. */
const WorkMixEntry &drawWorkKind(const std::vector<WorkMixEntry> &mix, std::mt19937_64 &random);

}
