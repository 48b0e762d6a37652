#pragma once

#include "configuration/configuration.h"
#include "core/enumnames.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

/** Checks of configuration values: made whole before a change is offered, and once more when an object arrives. */
namespace Plantainweir {

/** Bounds of a configuration. */
inline constexpr std::size_t MaximumNameLength = 63;
inline constexpr std::size_t MaximumUpstreamsOfService = 4096;
inline constexpr std::size_t MaximumWorkKinds = 64;
inline constexpr std::uint32_t MaximumSlots = 10'000;
inline constexpr std::uint32_t MaximumConnectionLimit = 100'000;
inline constexpr double MaximumProbesPerSecond = 1'000'000.0;
inline constexpr double MaximumWorth = 1'000'000.0;
inline constexpr std::chrono::milliseconds MaximumTarget{600'000};

/** What a fault is about; the names are the inventory's columns and the rules' keys. */
enum class ConfigurationField {
    Service,
    Upstream,
    Address,
    AvailabilityZone,
    Slots,
    ConnectionLimit,
    ProbesPerSecond,
    WorkKinds,
    Name,
    Rank,
    TargetMs,
    Worth,
    Repeatability,
};

constexpr std::array<EnumName<ConfigurationField>, 13> enumNames(ConfigurationField)
{
    return {{
        {ConfigurationField::Service, "service"},
        {ConfigurationField::Upstream, "upstream"},
        {ConfigurationField::Address, "address"},
        {ConfigurationField::AvailabilityZone, "availability_zone"},
        {ConfigurationField::Slots, "slots"},
        {ConfigurationField::ConnectionLimit, "connection_limit"},
        {ConfigurationField::ProbesPerSecond, "probes_per_second"},
        {ConfigurationField::WorkKinds, "work_kinds"},
        {ConfigurationField::Name, "name"},
        {ConfigurationField::Rank, "rank"},
        {ConfigurationField::TargetMs, "target_ms"},
        {ConfigurationField::Worth, "worth"},
        {ConfigurationField::Repeatability, "repeatability"},
    }};
}
static_assert(isEnumTableOrdered<ConfigurationField>());

/** One fault of a service or of the rules. */
struct ConfigurationError {
    std::optional<std::size_t> item; ///< Index of the upstream or work kind at fault, if it is one.
    ConfigurationField field = ConfigurationField::Service;
    std::string message; ///< Names the value and what is allowed.
    bool operator==(const ConfigurationError &) const = default;
};

/** Returns whether @p name has 1 to MaximumNameLength lower-case letters, digits and inner hyphens. */
bool isValidName(const std::string &name);

/** Returns every fault of @p service; none if it may come into force. */
std::vector<ConfigurationError> validate(const Service &service);
/** Returns every fault of @p rules. */
std::vector<ConfigurationError> validate(const Rules &rules);

}
