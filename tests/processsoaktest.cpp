#include "soak/soak.h"
#include <gtest/gtest.h>

#include <QCoreApplication>
#include <QTemporaryDir>

namespace Plantainweir {
namespace {

class SoakTest : public testing::Test
{
protected:
    static void expectNoViolations(std::uint64_t seed)
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

TEST_F(SoakTest, KeepsInvariantsUnderFaults)
{
    expectNoViolations(1);
}

/** Guards against a fault of the soak: while it stopped all processes it restarted one that had just ended, and then waited for its end. */
TEST_F(SoakTest, Seed302StopsWhileAProcessRestarts)
{
    expectNoViolations(302);
}

/** Guards against an entry VM that refuses nearly all calls of client accounts after many came at once, also in seeds 5106 and 5132 to 5143. */
TEST_F(SoakTest, Seed5133ServesAfterABurst)
{
    expectNoViolations(5133);
}

}
}
