#include "soak/soak.h"
#include <gtest/gtest.h>

#include <QCoreApplication>
#include <QTemporaryDir>

namespace Plantainweir {
namespace {

class SoakTest : public testing::Test
{
protected:
    static void expectPromisesKept(std::uint64_t seed)
    {
        int argumentCount = 1;
        char program[] = "test";
        char *arguments[] = {program, nullptr};
        const QCoreApplication application(argumentCount, arguments);
        const QTemporaryDir directory;
        Soak soak({.seed = seed, .duration = std::chrono::seconds(15), .isTimingChecked = false, .directory = directory.path().toStdString()});
        const SoakHistory &history = soak.run();
        for (const std::string &violation : history.violations) {
            ADD_FAILURE() << "seed " << seed << ": " << violation;
        }
        EXPECT_GT(history.answered, 0U);
    }
};

TEST_F(SoakTest, KeepsThePromisesUnderFaults)
{
    expectPromisesKept(1);
}

/** The soak itself started a process that had just ended while it was stopping all, and then waited for its end. */
TEST_F(SoakTest, Seed302EndsWithAProcessThatIsBetweenTwoRuns)
{
    expectPromisesKept(302);
}

}
}
