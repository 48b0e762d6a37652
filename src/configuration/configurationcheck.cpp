#include "configuration/configurationcheck.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace Plantainweir {
namespace {

constexpr std::string_view AllowedName = "1 to 63 lower-case letters, digits and inner hyphens";

using Errors = std::vector<ConfigurationError>;
using Field = ConfigurationField;

void checkName(Errors &errors, std::optional<std::size_t> item, ConfigurationField field, const std::string &name)
{
    if (!isValidName(name)) {
        errors.push_back({item, field, fmt::format("{} is \"{}\"; allowed: {}", nameOf(field), name, AllowedName)});
    }
}

void checkRange(Errors &errors, std::size_t item, ConfigurationField field, std::uint32_t value, std::uint32_t maximum)
{
    if (value < 1 || value > maximum) {
        errors.push_back({item, field, fmt::format("{} is {}; allowed: a whole number from 1 to {}", nameOf(field), value, maximum)});
    }
}

void checkUpstream(Errors &errors, std::size_t item, const Upstream &upstream)
{
    checkName(errors, item, Field::Upstream, upstream.name);
    checkName(errors, item, Field::AvailabilityZone, upstream.availabilityZone);
    const std::string address = toString(upstream.endpoint);
    if (upstream.endpoint.port == 0 || parseEndpoint(address) != upstream.endpoint) {
        errors.push_back(
            {item, Field::Address, fmt::format("address is \"{}\"; allowed: IP:port or [IPv6]:port, an IP number and a port from 1 to 65535", address)});
    }
    checkRange(errors, item, Field::Slots, upstream.slots, MaximumSlots);
    checkRange(errors, item, Field::ConnectionLimit, upstream.connectionLimit, MaximumConnectionLimit);
    if (upstream.connectionLimit < upstream.slots) {
        errors.push_back(
            {item, Field::ConnectionLimit, fmt::format("connection_limit is {}; allowed: at least the {} slots", upstream.connectionLimit, upstream.slots)});
    }
}

void checkWorkKind(Errors &errors, std::size_t item, const WorkKind &kind)
{
    checkName(errors, item, Field::Name, kind.name);
    if (kind.target <= Duration::zero() || kind.target > MaximumTarget) {
        errors.push_back(
            {item, Field::TargetMs, fmt::format("target_ms is {}; allowed: above 0 up to {}", toMilliseconds(kind.target), toMilliseconds(MaximumTarget))});
    }
    if (!std::isfinite(kind.worth) || kind.worth <= 0.0 || kind.worth > MaximumWorth) {
        errors.push_back({item, Field::Worth, fmt::format("worth is {}; allowed: above 0 up to {}", kind.worth, MaximumWorth)});
    }
}

bool isLowerCaseLetterOrDigit(char letter)
{
    return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9');
}

}

bool isValidName(const std::string &name)
{
    if (name.empty() || name.size() > MaximumNameLength || name.front() == '-' || name.back() == '-') {
        return false;
    }
    return std::all_of(name.begin(), name.end(), [](char letter) {
        return letter == '-' || isLowerCaseLetterOrDigit(letter);
    });
}

std::vector<ConfigurationError> validate(const Service &service)
{
    Errors errors;
    checkName(errors, std::nullopt, Field::Service, service.name);
    if (service.isRemoved && !service.upstreams.empty()) {
        errors.push_back({std::nullopt, Field::Service, fmt::format("a removed service has {} upstreams; allowed: none", service.upstreams.size())});
    }
    if (!service.isRemoved && (service.upstreams.empty() || service.upstreams.size() > MaximumUpstreamsOfService)) {
        errors.push_back(
            {std::nullopt, Field::Service, fmt::format("the service has {} upstreams; allowed: 1 to {}", service.upstreams.size(), MaximumUpstreamsOfService)});
    }
    std::set<std::string> names;
    std::set<Endpoint> endpoints;
    for (std::size_t item = 0; item < service.upstreams.size(); ++item) {
        const Upstream &upstream = service.upstreams[item];
        checkUpstream(errors, item, upstream);
        if (!names.insert(upstream.name).second) {
            errors.push_back({item, Field::Upstream, fmt::format("upstream \"{}\" appears twice in the service; allowed: once", upstream.name)});
        }
        if (!endpoints.insert(upstream.endpoint).second) {
            errors.push_back({item, Field::Address, fmt::format("address {} appears twice in the service; allowed: once", toString(upstream.endpoint))});
        }
    }
    return errors;
}

std::vector<ConfigurationError> validate(const Rules &rules)
{
    Errors errors;
    if (rules.workKinds.empty() || rules.workKinds.size() > MaximumWorkKinds) {
        errors.push_back(
            {std::nullopt, Field::WorkKinds, fmt::format("the rules have {} work kinds; allowed: 1 to {}", rules.workKinds.size(), MaximumWorkKinds)});
    }
    if (!std::isfinite(rules.probesPerSecond) || rules.probesPerSecond < 0.0 || rules.probesPerSecond > MaximumProbesPerSecond) {
        errors.push_back(
            {std::nullopt, Field::ProbesPerSecond, fmt::format("probes_per_second is {}; allowed: 0 to {}", rules.probesPerSecond, MaximumProbesPerSecond)});
    }
    std::set<std::string> names;
    for (std::size_t item = 0; item < rules.workKinds.size(); ++item) {
        checkWorkKind(errors, item, rules.workKinds[item]);
        if (!names.insert(rules.workKinds[item].name).second) {
            errors.push_back({item, Field::Name, fmt::format("work kind \"{}\" appears twice; allowed: once", rules.workKinds[item].name)});
        }
    }
    return errors;
}

}
