#pragma once

#include "configuration/configuration.h"
#include "configuration/sourcefile.h"

#include <string>
#include <string_view>

/** The rules file: work kinds and the measuring budget, in YAML; docs/OPERATORS.md describes it. */
namespace Plantainweir {

/** Reads the rules of @p text; fails with every fault as FileErrors, which name the file @p file. */
Result<Rules> parseRules(std::string_view text, const std::string &file);

/** Reads the rules from the file @p path. */
Result<Rules> readRules(const std::string &path);

}
