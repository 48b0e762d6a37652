#include "fakes/processtest.h"

#include <csignal>

/** All calls must be answered while the platform is down or slow, or controld is dead. */
namespace Plantainweir {
namespace {

using ProcessControlTest = ProcessTest;

constexpr int Entries = 3;

void expectAllAnswered(const CheckResult &result)
{
    EXPECT_TRUE(hasNoViolations(result));
    for (const auto &[rank, report] : result.report.ranks) {
        EXPECT_EQ(report.answered, report.sent) << rank;
    }
}

TEST_F(ProcessControlTest, ServesWhileThePlatformIsDownAndAFreshEntryJoins)
{
    fleet.start(Entries);
    ASSERT_FALSE(HasFailure());
    fleet.setPlatformFaults(R"({"mode":"down"})");
    fleet.startCalls({.count = 1500, .callsPerSecond = 300});
    const EntryVm &fresh = fleet.addEntry();
    fleet.waitUntilReady(fresh, Entries + 1);
    fleet.waitForCalls();
    // The new entry VM got the configuration from its peers and must serve calls by it.
    fleet.startCalls({.count = 300, .callsPerSecond = 300});
    fleet.waitForCalls();
    expectAllAnswered(fleet.stopAndCheckCalls());
}

TEST_F(ProcessControlTest, ServesWhileThePlatformIsSlow)
{
    fleet.start(Entries);
    ASSERT_FALSE(HasFailure());
    fleet.setPlatformFaults(R"({"mode":"slow","delayMs":5000})");
    const EntryVm &fresh = fleet.addEntry();
    fleet.startCalls({.count = 1500, .callsPerSecond = 300});
    fleet.waitUntilReady(fresh, Entries + 1);
    fleet.waitForCalls();
    expectAllAnswered(fleet.stopAndCheckCalls());
}

TEST_F(ProcessControlTest, EntrydServesWhileItsControldIsDead)
{
    fleet.start(Entries);
    ASSERT_FALSE(HasFailure());
    QProcess &calls = fleet.startCalls({.count = 2400, .callsPerSecond = 300});
    fleet.waitForExecutions(300);
    for (std::size_t index = 0; index < Entries; ++index) {
        Fleet::signalProcess(*fleet.entry(index).controld, SIGKILL);
        Fleet::waitUntilEnded(*fleet.entry(index).controld);
    }
    EXPECT_EQ(calls.state(), QProcess::Running) << "the calls ended before controld was killed";
    fleet.waitForCalls();
    expectAllAnswered(fleet.stopAndCheckCalls());
}

}
}
