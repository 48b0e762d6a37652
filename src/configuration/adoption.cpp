#include "configuration/adoption.h"

namespace Plantainweir {

bool adopt(Configuration &configuration, const Service &service)
{
    const auto held = configuration.services.find(service.name);
    const std::uint64_t heldVersion = held == configuration.services.end() ? 0 : held->second.version;
    if (service.version <= heldVersion) {
        return false;
    }
    configuration.services.insert_or_assign(service.name, service);
    return true;
}

bool adopt(Configuration &configuration, const Rules &rules)
{
    if (rules.version <= configuration.rules.version) {
        return false;
    }
    configuration.rules = rules;
    return true;
}

}
