#pragma once

#include "configuration/configuration.h"
#include "configuration/configurationdiff.h"
#include "configuration/inventory.h"
#include "configuration/writerecord.h"
#include "core/result.h"
#include "tasks/platformapi.h"

#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

/** Plans which objects an operator's change writes; pure functions. */
namespace Plantainweir {

/** An object of the configuration as the platform stores it. */
struct StoredObject {
    std::uint64_t version = 0;
    std::vector<WriteRecord> writes;
    std::string error; ///< Why its value is invalid; empty if it is valid.
};

/** All objects of the configuration as the platform stores them. */
struct StoredConfiguration {
    Configuration configuration; ///< Only the objects that can be decoded.
    std::map<std::string, StoredObject> objects; ///< By object name.
};

/** Decodes and validates the objects of a list. */
StoredConfiguration decodeStoredConfiguration(const PlatformObjects &objects);

/** The desired content of an object. */
using ObjectContent = std::variant<Service, Rules>;

/** The write of one object. */
struct PlannedChange {
    std::string object;
    WriteRecord write;
    ObjectContent content;
    std::string value; ///< JSON text of the content and of the last writes of the object.
    std::vector<Difference> differences; ///< Changes from the stored to the desired content.
};

struct ChangePlan {
    std::vector<PlannedChange> changes;
    std::vector<std::string> unchanged; ///< Objects that already have the desired content.
    std::vector<std::string> keptServices; ///< Stored services that the inventory does not name, if pruning is off.
};

/** Returns a new id for each write. */
using WriteIdGenerator = std::function<std::string()>;

/** The configuration that an operator wants to apply. */
struct DesiredConfiguration {
    ServiceMap services;
    Rules rules;
    bool isPruning = false; ///< Whether to remove services that the inventory does not name.
};

/**
 * Plans the writes that change @p stored into @p desired.
 *
 * The inventory does not say whether an upstream is draining, so the stored state is kept.
 */
ChangePlan planApply(const StoredConfiguration &stored, const DesiredConfiguration &desired, const WriteIdGenerator &generateId);

/** Plans to start or end the draining of @p upstream of @p service; fails if there is no such upstream. */
Result<ChangePlan>
planDrain(const StoredConfiguration &stored, const std::string &service, const std::string &upstream, bool isDraining, const WriteIdGenerator &generateId);

/** Returns the differences from the object in @p stored to @p desired, except the version. */
std::vector<Difference> differencesFromStored(const StoredConfiguration &stored, const ObjectContent &desired);

}
