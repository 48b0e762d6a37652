#include "configuration/configurationdiff.h"

#include <fmt/format.h>

#include <map>

namespace Plantainweir {
namespace {

using Items = std::map<std::string, std::string>;

std::string describe(const Upstream &upstream)
{
    return fmt::format("{} in {}, {} slots, {} connections{}",
                       toString(upstream.endpoint),
                       upstream.availabilityZone,
                       upstream.slots,
                       upstream.connectionLimit,
                       upstream.isDraining ? ", draining" : "");
}

std::string describe(const WorkKind &kind)
{
    return fmt::format("{}, target {} ms, worth {}, {}", nameOf(kind.rank), toMilliseconds(kind.target), kind.worth, nameOf(kind.repeatability));
}

Items itemsOf(const Service &service)
{
    Items items{{"service", service.isRemoved ? "removed" : "present"}};
    for (const Upstream &upstream : service.upstreams) {
        items.emplace("upstream " + upstream.name, describe(upstream));
    }
    return items;
}

Items itemsOf(const Rules &rules)
{
    Items items{{"probes_per_second", fmt::format("{}", rules.probesPerSecond)}};
    for (const WorkKind &kind : rules.workKinds) {
        items.emplace("work kind " + kind.name, describe(kind));
    }
    return items;
}

std::vector<Difference> compare(const Items &before, const Items &after)
{
    std::vector<Difference> found;
    for (const auto &[item, text] : before) {
        const auto other = after.find(item);
        if (other == after.end()) {
            found.push_back({.kind = DifferenceKind::Removed, .item = item, .before = text, .after = {}});
        } else if (other->second != text) {
            found.push_back({.kind = DifferenceKind::Changed, .item = item, .before = text, .after = other->second});
        }
    }
    for (const auto &[item, text] : after) {
        if (!before.contains(item)) {
            found.push_back({.kind = DifferenceKind::Added, .item = item, .before = {}, .after = text});
        }
    }
    return found;
}

}

std::vector<Difference> differences(const Service &before, const Service &after)
{
    return compare(itemsOf(before), itemsOf(after));
}

std::vector<Difference> differences(const Rules &before, const Rules &after)
{
    return compare(itemsOf(before), itemsOf(after));
}

std::string toString(const Difference &difference)
{
    switch (difference.kind) {
    case DifferenceKind::Added:
        return fmt::format("+ {}: {}", difference.item, difference.after);
    case DifferenceKind::Removed:
        return fmt::format("- {}: {}", difference.item, difference.before);
    case DifferenceKind::Changed:
        return fmt::format("~ {}: {} -> {}", difference.item, difference.before, difference.after);
    }
    return {};
}

}
