#include "operators/texttable.h"

#include <fmt/format.h>

#include <algorithm>

namespace Plantainweir {
namespace {

std::string renderRow(const std::vector<std::string> &cells, const std::vector<std::size_t> &widths)
{
    std::string line;
    for (std::size_t column = 0; column < cells.size(); ++column) {
        const bool isLast = column + 1 == cells.size();
        line += isLast ? cells[column] : fmt::format("{:<{}}  ", cells[column], widths[column]);
    }
    return line + '\n';
}

}

std::string renderTable(const TextTable &table)
{
    std::vector<std::size_t> widths;
    for (std::size_t column = 0; column < table.header.size(); ++column) {
        std::size_t width = table.header[column].size();
        for (const auto &row : table.rows) {
            width = std::max(width, row[column].size());
        }
        widths.push_back(width);
    }
    std::string text = renderRow(table.header, widths);
    for (const auto &row : table.rows) {
        text += renderRow(row, widths);
    }
    return text;
}

}
