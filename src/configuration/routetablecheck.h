#pragma once

#include "configuration/routetable.h"
#include "core/enumnames.h"

#include <optional>
#include <string>
#include <vector>

/** Findings about a route table before it is in force, as shown to operators. */
namespace Plantainweir {

enum class FindingSeverity {
    Error, ///< The entry does not work as written.
    Warning, ///< The entry works, but part of it has no effect.
};

constexpr std::array<EnumName<FindingSeverity>, 2> enumNames(FindingSeverity)
{
    return {{
        {FindingSeverity::Error, "error"},
        {FindingSeverity::Warning, "warning"},
    }};
}
static_assert(isEnumTableOrdered<FindingSeverity>());

/** The kind of entry that a finding is about. */
enum class FindingEntry {
    Configuration, ///< The whole configuration.
    Route,
    Service,
    Account,
    Limits,
};

constexpr std::array<EnumName<FindingEntry>, 5> enumNames(FindingEntry)
{
    return {{
        {FindingEntry::Configuration, "configuration"},
        {FindingEntry::Route, "route"},
        {FindingEntry::Service, "service"},
        {FindingEntry::Account, "account"},
        {FindingEntry::Limits, "limits"},
    }};
}
static_assert(isEnumTableOrdered<FindingEntry>());

struct Finding {
    FindingSeverity severity = FindingSeverity::Error;
    FindingEntry entry = FindingEntry::Configuration;
    std::string name; ///< Of the entry; empty for the configuration and its limits.
    std::string field; ///< Empty if the finding is about the whole entry.
    std::string message; ///< Contains the value and what it contradicts. Never contains a key.
    bool operator==(const Finding &) const = default;
};

/** What operators know about the fleet and its callers, and a configuration may contradict; not checked where it is not known. */
struct FleetSettings {
    std::optional<double> retryShare; ///< Retries that the fleet may send for each call.
    std::optional<std::size_t> largestBodyBytes; ///< Largest request body that callers send.
};

/** Returns all findings about @p table, in the order of its entries. */
std::vector<Finding> findingsIn(const RouteTable &table, const FleetSettings &settings);

/** Formats @p finding as `severity: entry "name", field: message`. */
std::string toString(const Finding &finding);

}
