#include "controllers/fleetshare.h"

#include <gtest/gtest.h>

namespace Plantainweir {
namespace {

constexpr FleetLimits Limits{.retrySlack = 56.0, .probesPerSecondPerUpstream = 60.0};

TEST(FleetShare, SharesStayWithinTheFleetsLimits)
{
    for (const std::size_t size : {1U, 13U, 118U, 300U}) {
        const FleetShareChanged share = fleetShare(Limits, {.largestSize = size, .isConverged = true}, 29);
        EXPECT_LE(share.retrySlack * static_cast<double>(size), 56.0 * 1.0001);
        EXPECT_LE(share.probesPerSecond * static_cast<double>(size), 60.0 * 29.0);
    }
}

TEST(FleetShare, NewEntryVmAssumesALargeFleetForRetriesOnly)
{
    const FleetShareChanged fresh = fleetShare(Limits, {.largestSize = 1, .isConverged = false}, 29);
    const FleetShareChanged converged = fleetShare(Limits, {.largestSize = 13, .isConverged = true}, 29);
    EXPECT_LT(fresh.retrySlack, converged.retrySlack);
    EXPECT_GE(fresh.probesPerSecond, converged.probesPerSecond) << "without probes its calls would be sent without load reports";
}

TEST(FleetShare, RespectsALargeFleetBeforeConvergence)
{
    const FleetShareChanged share = fleetShare(Limits, {.largestSize = 200, .isConverged = false}, 29);
    EXPECT_LE(share.retrySlack * 200.0, 56.0 * 1.0001);
    EXPECT_LE(share.probesPerSecond * 200.0, 60.0 * 29.0);
}

TEST(FleetShare, TheFleetIsKnownOnceNoFurtherMemberIsFound)
{
    using namespace std::chrono_literals;
    constexpr TimePoint Start{1000s};
    FleetSizeEstimate fleet;
    observeFleetSize(fleet, 1, Start);
    for (int step = 1; step <= 20; ++step) {
        observeFleetSize(fleet, static_cast<std::size_t>(step) * 20, Start + step * 500ms);
        EXPECT_FALSE(fleet.isConverged) << "more members are found after " << step * 500 << " ms";
    }
    observeFleetSize(fleet, 390, Start + 12900ms);
    EXPECT_FALSE(fleet.isConverged);
    observeFleetSize(fleet, 390, fleet.convergesAt);
    EXPECT_TRUE(fleet.isConverged);
    EXPECT_EQ(fleetSize(fleet), 400U);
    observeFleetSize(fleet, 401, Start + 60s);
    EXPECT_TRUE(fleet.isConverged) << "one more member is no reason to assume a larger fleet";
}

TEST(FleetShare, AFleetThatStartsSettlesBeforeItHasConverged)
{
    using namespace std::chrono_literals;
    constexpr TimePoint Start{1000s};
    FleetSizeEstimate fleet;
    observeFleetSize(fleet, 1, Start);
    EXPECT_FALSE(nextSettling(fleet, Start));
    observeFleetSize(fleet, 141, Start + 500ms);
    EXPECT_FALSE(fleet.isSettled);
    ASSERT_EQ(nextSettling(fleet, Start + 500ms), Start + 1500ms);
    observeFleetSize(fleet, 141, Start + 1500ms);
    EXPECT_TRUE(fleet.isSettled);
    EXPECT_FALSE(fleet.isConverged);
    EXPECT_FALSE(nextSettling(fleet, Start + 1500ms));
}

TEST(FleetShare, AnEntryVmThatReachesNoOtherMemberAssumesALargeFleet)
{
    using namespace std::chrono_literals;
    constexpr TimePoint Start{1000s};
    FleetSizeEstimate fleet;
    observeFleetSize(fleet, 1, Start);
    observeFleetSize(fleet, 1, Start + 600s);
    const FleetShareChanged alone = fleetShare(Limits, fleet, 29);
    EXPECT_LE(alone.retrySlack * 64.0, 56.0 * 1.0001) << "the others may be cut off from it and retry too";
    EXPECT_FALSE(nextFleetSizeChange(fleet, Start + 600s)) << "only a member that is found changes the estimate";
    observeFleetSize(fleet, 13, Start + 601s);
    ASSERT_TRUE(nextFleetSizeChange(fleet, Start + 601s));
    observeFleetSize(fleet, 13, *nextFleetSizeChange(fleet, Start + 601s));
    EXPECT_EQ(fleetSize(fleet), 13U);
    EXPECT_FALSE(nextFleetSizeChange(fleet, Start + 700s));
}

TEST(FleetShare, ConnectionsAreSharedWithAMinimum)
{
    EXPECT_EQ(connectionShare(220, {.largestSize = 13, .isConverged = true}), 13U);
    EXPECT_EQ(connectionShare(220, {.largestSize = 94, .isConverged = true}), 8U);
}

}
}
