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

/** Works out which objects an operator's change replaces; pure functions. */
namespace Plantainweir {

/** An object of the configuration as the platform holds it. */
struct StoredObject {
    std::uint64_t version = 0;
    std::vector<WriteRecord> writes;
    std::string error; ///< Why its value cannot come into force; empty if it is sound.
};

/** All objects of the configuration as the platform holds them. */
struct StoredConfiguration {
    Configuration configuration; ///< What is sound.
    std::map<std::string, StoredObject> objects; ///< By object name.
};

/** Decodes and checks the objects of a list. */
StoredConfiguration decodeStoredConfiguration(const PlatformObjects &objects);

/** The wanted content of an object. */
using ObjectContent = std::variant<Service, Rules>;

/** One object to be written. */
struct PlannedChange {
    std::string object;
    WriteRecord write;
    ObjectContent content;
    std::string value; ///< JSON text of the content with the writes that the object remembers.
    std::vector<Difference> differences; ///< From what the platform holds.
};

struct ChangePlan {
    std::vector<PlannedChange> changes;
    std::vector<std::string> unchanged; ///< Objects that are already as wanted.
    std::vector<std::string> keptServices; ///< Services that the platform has and the inventory does not name.
};

/** Returns a new id for each write. */
using WriteIdGenerator = std::function<std::string()>;

/** What an operator wants to have in force. */
struct DesiredConfiguration {
    ServiceMap services;
    Rules rules;
    bool isPruning = false; ///< Services that the inventory does not name are removed.
};

/**
 * Plans the writes that bring @p stored to @p wanted.
 *
 * Whether an upstream drains is not the inventory's to say: the stored state stays.
 */
ChangePlan planApply(const StoredConfiguration &stored, const DesiredConfiguration &desired, const WriteIdGenerator &generateId);

/** Plans that @p upstream of @p service drains, or no longer drains; fails if there is no such upstream. */
Result<ChangePlan>
planDrain(const StoredConfiguration &stored, const std::string &service, const std::string &upstream, bool isDraining, const WriteIdGenerator &generateId);

/** Returns how @p wanted differs from what @p stored holds of the object, apart from the version. */
std::vector<Difference> differencesFromStored(const StoredConfiguration &stored, const ObjectContent &desired);

}
