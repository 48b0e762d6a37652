#pragma once

#include "configuration/configuration.h"
#include "core/enumnames.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

/** Validation of configuration objects: before a change is written, and again when a member receives an object. */
namespace Plantainweir {

/** Limits on configuration values. */
inline constexpr std::size_t MaximumNameLength = 63;
inline constexpr std::size_t MaximumUpstreamsOfService = 4096;
inline constexpr std::size_t MaximumWorkKinds = 64;
inline constexpr std::uint32_t MaximumSlots = 10'000;
inline constexpr std::uint32_t MaximumConnectionLimit = 100'000;
inline constexpr double MaximumProbesPerSecond = 1'000'000.0;
inline constexpr double MaximumWorth = 1'000'000.0;
inline constexpr std::chrono::milliseconds MaximumTarget{600'000};

/** Field with an error; the names are the columns of the inventory and the keys of the rules file. */
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

/** One error in a service or in the rules. */
struct ConfigurationError {
    std::optional<std::size_t> item; ///< Index of the upstream or work kind with the error; empty if the error concerns the whole object.
    ConfigurationField field = ConfigurationField::Service;
    std::string message; ///< Contains the value and the allowed values.
    bool operator==(const ConfigurationError &) const = default;
};

/** Returns whether @p name has 1 to MaximumNameLength lower-case letters, digits and inner hyphens. */
bool isValidName(const std::string &name);

/** Returns all errors in @p service; none if it is valid. */
std::vector<ConfigurationError> validate(const Service &service);
/** Returns all errors in @p rules; none if they are valid. */
std::vector<ConfigurationError> validate(const Rules &rules);

}
