#include "configuration/adoption.h"

namespace Plantainweir {

bool adopt(Configuration &configuration, const Service &service)
{
    const auto current = configuration.services.find(service.name);
    const std::uint64_t currentVersion = current == configuration.services.end() ? 0 : current->second.version;
    if (service.version <= currentVersion) {
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
