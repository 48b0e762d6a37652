#pragma once

#include "configuration/configuration.h"
#include "configuration/sourcefile.h"

#include <map>
#include <string>
#include <string_view>

/** The inventory: a CSV file (RFC 4180) from an asset register; docs/OPERATORS.md describes it. */
namespace Plantainweir {

/** Services by name. */
using ServiceMap = std::map<std::string, Service, std::less<>>;

/**
 * Reads the services of the inventory @p text.
 *
 * The first row names the columns, in any order and case: service, upstream, address, availability_zone, slots and
 * connection_limit; further columns are ignored. Fails with every fault as FileErrors.
 * @param file name of the file for the faults.
 */
Result<ServiceMap> parseInventory(std::string_view text, const std::string &file);

/** Reads the inventory from the file @p path. */
Result<ServiceMap> readInventory(const std::string &path);

}
