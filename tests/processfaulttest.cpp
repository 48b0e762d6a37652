#include "fakes/processtest.h"

#include <csignal>

/**
 * Entry VMs are killed or paused under load: no booking may be executed twice, and each reported outcome must be true.
 */
namespace Plantainweir {
namespace {

using ProcessFaultTest = ProcessTest;

constexpr int Entries = 3;
/** Mostly work that must run at most once. */
constexpr auto BookingMix = "session-lookup=20,ticket-sale=50,pass-redemption=30";

TEST_F(ProcessFaultTest, KillingAnEntryDoublesNoBooking)
{
    fleet.start(Entries);
    ASSERT_FALSE(HasFailure());
    QProcess &calls = fleet.startCalls({.count = 2400, .callsPerSecond = 300, .mix = BookingMix});
    fleet.waitForExecutions(400);
    EntryVm &killed = fleet.ownerOf("rinkdesk");
    Fleet::signalProcess(*killed.entryd, SIGKILL);
    Fleet::signalProcess(*killed.controld, SIGKILL);
    Fleet::waitUntilEnded(*killed.entryd);
    Fleet::waitUntilEnded(*killed.controld);
    fleet.waitUntilReady(fleet.otherEntryThan(killed), Entries - 1);
    EXPECT_EQ(calls.state(), QProcess::Running) << "the calls ended before the other entry VMs noticed the loss";
    fleet.waitForCalls();
    EXPECT_TRUE(hasNoViolations(fleet.stopAndCheckCalls(), {InvariantViolation::InterruptedCall}));
}

TEST_F(ProcessFaultTest, PausingAnEntryDoublesNoBooking)
{
    fleet.start(Entries);
    ASSERT_FALSE(HasFailure());
    QProcess &calls = fleet.startCalls({.count = 3000, .callsPerSecond = 300, .timeoutMs = 10'000, .tryTimeoutMs = 500, .mix = BookingMix});
    fleet.waitForExecutions(300);
    EntryVm &paused = fleet.busiestEntry();
    Fleet::signalProcess(*paused.entryd, SIGSTOP);
    Fleet::signalProcess(*paused.controld, SIGSTOP);
    fleet.waitUntilReady(fleet.otherEntryThan(paused), Entries - 1);
    fleet.waitForExecutions(1000);
    Fleet::signalProcess(*paused.controld, SIGCONT);
    Fleet::signalProcess(*paused.entryd, SIGCONT);
    EXPECT_EQ(calls.state(), QProcess::Running) << "the calls ended before the pause did";
    fleet.waitForCalls();
    fleet.waitUntilReady(paused, Entries);
    const CheckResult result = fleet.stopAndCheckCalls();
    EXPECT_TRUE(hasNoViolations(result, {InvariantViolation::InterruptedCall}));
    EXPECT_GT(result.count(InvariantViolation::InterruptedCall), 0U) << "the pause cut off no call";
}

TEST_F(ProcessFaultTest, PausingOnlyEntrydDoublesNoBooking)
{
    fleet.start(Entries);
    ASSERT_FALSE(HasFailure());
    QProcess &calls = fleet.startCalls({.count = 2400, .callsPerSecond = 300, .timeoutMs = 10'000, .tryTimeoutMs = 500, .mix = BookingMix});
    fleet.waitForExecutions(300);
    EntryVm &paused = fleet.busiestEntry();
    Fleet::signalProcess(*paused.entryd, SIGSTOP);
    fleet.waitForExecutions(900);
    Fleet::signalProcess(*paused.entryd, SIGCONT);
    EXPECT_EQ(calls.state(), QProcess::Running) << "the calls ended before the pause did";
    fleet.waitForCalls();
    const CheckResult result = fleet.stopAndCheckCalls();
    EXPECT_TRUE(hasNoViolations(result, {InvariantViolation::InterruptedCall}));
    EXPECT_GT(result.count(InvariantViolation::InterruptedCall), 0U) << "the pause cut off no call";
}

TEST_F(ProcessFaultTest, ClosedUpstreamConnectionsDoubleNoBooking)
{
    fleet.start(Entries);
    ASSERT_FALSE(HasFailure());
    fleet.configureUpstreams("rinkdesk-1", R"({"fault":"close_after_run"})");
    fleet.configureUpstreams("rinkdesk-2", R"({"fault":"close_in_answer"})");
    fleet.configureUpstreams("tillside-1", R"({"fault":"shed"})");
    fleet.startCalls({.count = 1200, .callsPerSecond = 300, .mix = BookingMix});
    fleet.waitForCalls();
    EXPECT_TRUE(hasNoViolations(fleet.stopAndCheckCalls(), {InvariantViolation::InterruptedCall}));
}

}
}
