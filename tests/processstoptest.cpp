#include "fakes/processtest.h"

/** Planned stops under load must cut off no call. */
namespace Plantainweir {
namespace {

using ProcessStopTest = ProcessTest;

void expectAllAnswered(const CheckResult &result)
{
    EXPECT_TRUE(hasNoViolations(result));
    EXPECT_EQ(result.report.ranks.size(), enumCount<Rank>());
    for (const auto &[rank, report] : result.report.ranks) {
        EXPECT_EQ(report.answered, report.sent) << rank;
    }
}

constexpr int Entries = 3;

TEST_F(ProcessStopTest, AnswersAllRanksWithoutAFault)
{
    fleet.start(Entries);
    ASSERT_FALSE(HasFailure());
    fleet.startCalls({.count = 600, .callsPerSecond = 300});
    fleet.waitForCalls();
    expectAllAnswered(fleet.stopAndCheckCalls());
}

TEST_F(ProcessStopTest, StoppingAnEntryUnderLoadCutsNothingOff)
{
    fleet.start(Entries);
    ASSERT_FALSE(HasFailure());
    QProcess &calls = fleet.startCalls({.count = 2400, .callsPerSecond = 300});
    fleet.waitForExecutions(300);
    fleet.stopEntry(fleet.ownerOf("rinkdesk"));
    EXPECT_EQ(calls.state(), QProcess::Running) << "the calls ended before the stop did";
    fleet.waitForCalls();
    expectAllAnswered(fleet.stopAndCheckCalls());
}

TEST_F(ProcessStopTest, RollingReplacementOfAllEntriesCutsNothingOff)
{
    fleet.start(Entries);
    ASSERT_FALSE(HasFailure());
    QProcess &calls = fleet.startCalls({.count = 6000, .callsPerSecond = 300});
    for (std::size_t index = 0; index < Entries; ++index) {
        fleet.waitForExecutions(200 * (index + 1));
        const EntryVm &fresh = fleet.addEntry();
        fleet.waitUntilReady(fresh, Entries + 1);
        fleet.stopEntry(fleet.entry(index));
        ASSERT_FALSE(HasFailure());
    }
    EXPECT_EQ(calls.state(), QProcess::Running) << "the calls ended before the replacement did";
    fleet.waitForCalls();
    expectAllAnswered(fleet.stopAndCheckCalls());
}

}
}
