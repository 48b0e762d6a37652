#include "decision/otherzones.h"

#include "fakes/proxyload.h"

#include <gtest/gtest.h>

namespace Plantainweir {
namespace {

constexpr TimePoint Start{std::chrono::seconds(1000)};
constexpr std::chrono::seconds Memory{10};

OtherZones makeFull(const std::string &zone)
{
    OtherZones others;
    for (int probe = 0; probe < 100; ++probe) {
        recordProbed(others, zone, false, Memory, Start);
    }
    return others;
}

TEST(OtherZones, AZoneThatWasNotProbedCountsAsIdle)
{
    EXPECT_FALSE(isProbablyFull({}, "b", Memory, Start));
    EXPECT_EQ(availableShare({}, "b", Memory, Start), 1.0);
}

TEST(OtherZones, EachZoneIsJudgedForItself)
{
    const OtherZones others = makeFull("b");
    EXPECT_TRUE(isProbablyFull(others, "b", Memory, Start));
    EXPECT_FALSE(isProbablyFull(others, "c", Memory, Start));
}

TEST(OtherZones, AZoneThatWasFullIsProbedAgain)
{
    OtherZones others = makeFull("b");
    EXPECT_TRUE(isProbablyFull(others, "b", Memory, Start + std::chrono::seconds(1)));
    const TimePoint later = Start + std::chrono::seconds(2);
    EXPECT_FALSE(isProbablyFull(others, "b", Memory, later));
    recordProbed(others, "b", false, Memory, later);
    recordProbed(others, "b", false, Memory, later);
    EXPECT_TRUE(isProbablyFull(others, "b", Memory, later));
}

TEST(OtherZones, AnAvailableUpstreamEndsItAtOnce)
{
    OtherZones others = makeFull("b");
    recordProbed(others, "b", true, Memory, Start);
    EXPECT_FALSE(isProbablyFull(others, "b", Memory, Start));
}

TEST(OtherZones, WhatIsForgottenIsNotKept)
{
    OtherZones others = makeFull("b");
    EXPECT_EQ(availableShare(others, "b", Memory, Start + Memory), 1.0);
    recordProbed(others, "c", true, Memory, Start + Memory);
    EXPECT_EQ(others.zones.size(), 1U);
}

/** Less than the upstreams of all zones can run together, and nearly twice as much as those of one zone can at the top of its wave. */
PlayedLoad wavesThatReachTheZonesInTurn()
{
    PlayedLoad load;
    load.duration = std::chrono::seconds(13);
    load.swing = 0.9;
    load.calls = {{.priority = 2, .perSecond = 1000.0}};
    return load;
}

TEST(OtherZonesLoad, CallsOfAFullZoneGoWhereThereIsRoomInsteadOfBeingRefused)
{
    PlayedLoad load = wavesThatReachTheZonesInTurn();
    const PlayedOutcome off = ProxyLoadPlayer(load).play().outcomes[0];
    load.zoneMemory = Memory;
    const PlayedOutcome on = ProxyLoadPlayer(load).play().outcomes[0];
    RecordProperty("refused_off", off.refused);
    RecordProperty("refused_on", on.refused);
    EXPECT_GT(off.refused, off.calls / 100) << "the load is too low to show anything";
    EXPECT_LT(on.refused, on.calls / 200);
    EXPECT_GT(on.inTimeShare(), off.inTimeShare());
}

/** Nothing is gained by probes of other zones if all zones are full alike. */
TEST(OtherZonesLoad, WhileAllZonesAreFullFewProbesAndLittleWorkCross)
{
    PlayedLoad load = wavesThatReachTheZonesInTurn();
    load.duration = std::chrono::seconds(6);
    load.swing = 0.0;
    load.calls[0].perSecond = 1600.0;
    load.zoneMemory = Memory;
    const PlayedResult result = ProxyLoadPlayer(load).play();
    load.calls[0].priority = 0;
    const PlayedResult urgent = ProxyLoadPlayer(load).play();
    RecordProperty("probes", result.otherZoneProbes);
    RecordProperty("probes_urgent", urgent.otherZoneProbes);
    RecordProperty("attempts", result.otherZoneAttempts);
    RecordProperty("attempts_urgent", urgent.otherZoneAttempts);
    EXPECT_LT(result.otherZoneProbes, urgent.otherZoneProbes);
    EXPECT_LT(result.otherZoneAttempts, urgent.otherZoneAttempts);
    EXPECT_GE(result.outcomes[0].inTimeShare(), urgent.outcomes[0].inTimeShare() - 0.01);
}

}
}
