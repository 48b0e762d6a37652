#pragma once

#include "configuration/configuration.h"
#include "configuration/sourcefile.h"

#include <string>
#include <string_view>

/** Parser of the rules file, a YAML file with the work kinds and the probe rate; docs/OPERATORS.md describes it. */
namespace Plantainweir {

/** Parses the rules in @p text; fails with all errors as FileErrors, which contain the file name @p file. */
Result<Rules> parseRules(std::string_view text, const std::string &file);

/** Parses the rules file @p path. */
Result<Rules> readRules(const std::string &path);

}
