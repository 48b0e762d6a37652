#pragma once

#include <string>
#include <vector>

namespace Plantainweir {

/** A table for a terminal: columns as wide as their widest cell. */
struct TextTable {
    std::vector<std::string> header;
    std::vector<std::vector<std::string>> rows; ///< Each has as many cells as the header.
};

/** Returns the lines of @p table, each ended by a line feed. */
std::string renderTable(const TextTable &table);

}
