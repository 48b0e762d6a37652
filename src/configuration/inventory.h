#pragma once

#include "configuration/configuration.h"
#include "configuration/sourcefile.h"

#include <map>
#include <string>
#include <string_view>

/** Parser of the inventory, a CSV file (RFC 4180) from an asset register; docs/OPERATORS.md describes it. */
namespace Plantainweir {

/** Services by name. */
using ServiceMap = std::map<std::string, Service, std::less<>>;

/**
 * Parses the services in the inventory @p text.
 *
 * The first row contains the column names in any order and case: service, upstream, address, availability_zone, slots
 * and connection_limit. Other columns are ignored. Fails with all errors as FileErrors.
 * @param file name of the file for error messages.
 */
Result<ServiceMap> parseInventory(std::string_view text, const std::string &file);

/** Parses the inventory file @p path. */
Result<ServiceMap> readInventory(const std::string &path);

}
