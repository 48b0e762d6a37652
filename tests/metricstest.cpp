#include "observability/metrics.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace Plantainweir {
namespace {

std::size_t countIn(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++count;
    }
    return count;
}

TEST(Metrics, LabelsOfAccountsAreBounded)
{
    Metrics metrics;
    for (int account = 0; account < 1000; ++account) {
        metrics.countAccountCall(fmt::format("a{}", account), CallOutcome::Answered);
    }
    metrics.countAccountCall("a0", CallOutcome::Answered);
    const std::string text = metrics.toText();
    EXPECT_EQ(countIn(text, "plantainweir_account_calls_total{"), (Metrics::MaximumAccountLabels + 1) * enumCount<CallOutcome>());
    EXPECT_NE(text.find(R"(plantainweir_account_calls_total{account="a0",outcome="answered"} 2)"), std::string::npos);
    EXPECT_NE(text.find(R"(plantainweir_account_calls_total{account="all others",outcome="answered"} 900)"), std::string::npos);
}

}
}
