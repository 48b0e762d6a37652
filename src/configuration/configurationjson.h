#pragma once

#include "configuration/configuration.h"
#include "configuration/writerecord.h"
#include "core/result.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/**
 * JSON encoding of the configuration objects that the platform stores; docs/PLATFORM.md describes it.
 *
 * The version is not part of the JSON text, because the platform stores it separately. Decoding checks only the
 * structure and the ranges of numbers; configurationcheck.h validates the content.
 */
namespace Plantainweir {

/** Name of the object with the rules. */
inline constexpr std::string_view RulesObjectName = "plantainweir/rules";
/** Prefix of the names of the services' objects; the service's name follows. */
inline constexpr std::string_view ServiceObjectPrefix = "plantainweir/services/";
/** Prefix of the names of all configuration objects. */
inline constexpr std::string_view ObjectPrefix = "plantainweir/";
/** Maximum size of an object at the platform. */
inline constexpr std::size_t MaximumObjectBytes = 1024 * 1024;
/** Returns the name of the object of @p service. */
std::string serviceObjectName(std::string_view service);

std::string encodeService(const Service &service, const std::vector<WriteRecord> &writes = {});
std::string encodeRules(const Rules &rules, const std::vector<WriteRecord> &writes = {});

/** Parses the output of encodeService(), with version zero. The error contains the member, its value and the allowed values. */
Result<Service> decodeService(std::string_view text);
/** Parses the output of encodeRules(), with version zero. */
Result<Rules> decodeRules(std::string_view text);
/** Returns the versions in @p configuration as the member `versions` of `/status`: {"rules": "N", "services": {NAME: "N"}}. */
std::string encodeVersions(const Configuration &configuration);
/** Returns the write records in the object @p text, oldest first; empty if it has none. */
std::vector<WriteRecord> decodeWriteRecords(std::string_view text);

}
