#include "observability/logevents.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace Plantainweir {
namespace {

std::string readCatalogue()
{
    std::ifstream file(PLANTAINWEIR_SOURCE_DIR "/docs/EVENTS.md");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string catalogueRow(const LogEventDescription &event)
{
    return fmt::format("| {} | {} | `{}` | {} |", static_cast<int>(event.event), nameOf(event.severity), event.name, event.meaning);
}

TEST(LogEvents, CatalogueHasEachEventAndNoOther)
{
    const std::string catalogue = readCatalogue();
    for (const LogEventDescription &event : logEvents()) {
        EXPECT_NE(catalogue.find(catalogueRow(event)), std::string::npos) << "docs/EVENTS.md lacks: " << catalogueRow(event);
    }
    std::istringstream lines(catalogue);
    std::size_t rows = 0;
    for (std::string line; std::getline(lines, line);) {
        rows += line.rfind("| 1", 0) == 0 ? 1 : 0;
    }
    EXPECT_EQ(rows, logEvents().size());
}

TEST(LogEvents, NumbersRise)
{
    EXPECT_TRUE(std::is_sorted(logEvents().begin(), logEvents().end(), [](const auto &left, const auto &right) {
        return left.event < right.event;
    }));
}

}
}
