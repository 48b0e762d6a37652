#pragma once

#include "configuration/configuration.h"
#include "configuration/writerecord.h"
#include "core/result.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/**
 * JSON encoding of the platform's objects; docs/PLATFORM.md describes it.
 *
 * The version is not part of the text: the platform keeps it beside the object. Decoding checks shape and number
 * ranges only; configurationcheck.h judges the content.
 */
namespace Plantainweir {

/** The platform's name of the object with the rules. */
inline constexpr std::string_view RulesObjectName = "plantainweir/rules";
/** The names of the services' objects start with this; the service's name follows. */
inline constexpr std::string_view ServiceObjectPrefix = "plantainweir/services/";
/** All objects of the configuration start with this. */
inline constexpr std::string_view ObjectPrefix = "plantainweir/";
/** The platform keeps no larger object. */
inline constexpr std::size_t MaximumObjectBytes = 1024 * 1024;
/** Returns the platform's name of the object of service @p service. */
std::string serviceObjectName(std::string_view service);

std::string encodeService(const Service &service, const std::vector<WriteRecord> &writes = {});
std::string encodeRules(const Rules &rules, const std::vector<WriteRecord> &writes = {});

/** Reads what encodeService() writes; the version is zero. Fails with the member, its value and what is allowed. */
Result<Service> decodeService(std::string_view text);
/** Reads what encodeRules() writes; the version is zero. */
Result<Rules> decodeRules(std::string_view text);
/** Returns the versions in @p configuration as the member `versions` of `/status`: {"rules": "N", "services": {NAME: "N"}}. */
std::string encodeVersions(const Configuration &configuration);
/** Returns the writes that the object @p text remembers, oldest first; empty if it remembers none. */
std::vector<WriteRecord> decodeWriteRecords(std::string_view text);

}
