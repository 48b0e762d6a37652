#include "operators/changeplan.h"

#include "configuration/configurationcheck.h"
#include "configuration/configurationjson.h"
#include "controllers/applycontroller.h"

#include <fmt/format.h>

#include <algorithm>

namespace Plantainweir {
namespace {

template<typename Object>
std::string firstError(const Object &object)
{
    const auto errors = validate(object);
    return errors.empty() ? std::string() : errors.front().message;
}

/** Adds the decoded object to @p stored; returns its first validation error, or an empty text. */
Result<std::string> decodeInto(StoredConfiguration &stored, const PlatformObject &object)
{
    if (object.name == RulesObjectName) {
        BOOST_LEAF_AUTO(rules, decodeRules(object.value));
        rules.version = object.version;
        stored.configuration.rules = rules;
        return firstError(rules);
    }
    BOOST_LEAF_AUTO(service, decodeService(object.value));
    service.version = object.version;
    stored.configuration.services[object.name.substr(ServiceObjectPrefix.size())] = service;
    return firstError(service);
}

/** Returns the stored service, or a removed one of that name if there is none. */
Service storedService(const StoredConfiguration &stored, const std::string &name)
{
    const auto found = stored.configuration.services.find(name);
    if (found != stored.configuration.services.end()) {
        return found->second;
    }
    Service missing;
    missing.name = name;
    missing.isRemoved = true;
    return missing;
}

std::string objectNameOf(const ObjectContent &content)
{
    const auto *service = std::get_if<Service>(&content);
    return service != nullptr ? serviceObjectName(service->name) : std::string(RulesObjectName);
}

std::string encode(const ObjectContent &content, const std::vector<WriteRecord> &writes)
{
    const auto *service = std::get_if<Service>(&content);
    return service != nullptr ? encodeService(*service, writes) : encodeRules(std::get<Rules>(content), writes);
}

/** Adds the write of @p desired to @p plan unless the platform has this content already. */
void planObject(ChangePlan &plan, const StoredConfiguration &stored, const ObjectContent &desired, const WriteIdGenerator &generateId)
{
    const std::string name = objectNameOf(desired);
    const auto existing = stored.objects.find(name);
    const StoredObject object = existing == stored.objects.end() ? StoredObject{} : existing->second;
    std::vector<Difference> found = differencesFromStored(stored, desired);
    if (found.empty() && object.version != 0 && object.error.empty()) {
        plan.unchanged.push_back(name);
        return;
    }
    const WriteRecord write{.base = object.version, .id = generateId()};
    plan.changes.push_back({.object = name,
                            .write = write,
                            .content = desired,
                            .value = encode(desired, appendWriteRecord(object.writes, write)),
                            .differences = std::move(found)});
}

void copyDrainingState(Service &desired, const Service &existing)
{
    for (Upstream &upstream : desired.upstreams) {
        upstream.isDraining = std::any_of(existing.upstreams.begin(), existing.upstreams.end(), [&upstream](const Upstream &each) {
            return each.name == upstream.name && each.isDraining;
        });
    }
}

}

StoredConfiguration decodeStoredConfiguration(const PlatformObjects &objects)
{
    StoredConfiguration stored;
    for (const PlatformObject &object : objects.objects) {
        const bool isKnown = object.name == RulesObjectName || object.name.starts_with(ServiceObjectPrefix);
        if (!isKnown) {
            continue;
        }
        const std::string errorMessage = valueOr(
            [&stored, &object] {
                return decodeInto(stored, object);
            },
            [](const Error &error) {
                return error.message;
            });
        stored.objects[object.name] = {.version = object.version, .writes = decodeWriteRecords(object.value), .error = errorMessage};
    }
    return stored;
}

ChangePlan planApply(const StoredConfiguration &stored, const DesiredConfiguration &desired, const WriteIdGenerator &generateId)
{
    ChangePlan plan;
    planObject(plan, stored, desired.rules, generateId);
    for (const auto &[name, service] : desired.services) {
        Service withDraining = service;
        copyDrainingState(withDraining, storedService(stored, name));
        planObject(plan, stored, withDraining, generateId);
    }
    for (const auto &[name, service] : stored.configuration.services) {
        if (service.isRemoved || desired.services.contains(name)) {
            continue;
        }
        if (!desired.isPruning) {
            plan.keptServices.push_back(name);
            continue;
        }
        Service tombstone;
        tombstone.name = name;
        tombstone.isRemoved = true;
        planObject(plan, stored, tombstone, generateId);
    }
    return plan;
}

Result<ChangePlan>
planDrain(const StoredConfiguration &stored, const std::string &service, const std::string &upstream, bool isDraining, const WriteIdGenerator &generateId)
{
    Service desired = storedService(stored, service);
    if (desired.isRemoved) {
        return failure(fmt::format("service is \"{}\"; allowed: a service that the platform holds", service));
    }
    const auto found = std::find_if(desired.upstreams.begin(), desired.upstreams.end(), [&upstream](const Upstream &each) {
        return each.name == upstream;
    });
    if (found == desired.upstreams.end()) {
        return failure(fmt::format("upstream is \"{}\"; allowed: an upstream of service {}", upstream, service));
    }
    found->isDraining = isDraining;
    ChangePlan plan;
    planObject(plan, stored, desired, generateId);
    return plan;
}

std::vector<Difference> differencesFromStored(const StoredConfiguration &stored, const ObjectContent &desired)
{
    if (const auto *service = std::get_if<Service>(&desired)) {
        return differences(storedService(stored, service->name), *service);
    }
    return differences(stored.configuration.rules, std::get<Rules>(desired));
}

}
