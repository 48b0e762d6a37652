#include "decision/fullness.h"

#include <gtest/gtest.h>

namespace Plantainweir {
namespace {

constexpr TimePoint Start{std::chrono::seconds(1000)};
constexpr FullRefusalSettings Settings{.share = 0.5, .slots = 2.0};

UpstreamPool makePool(std::uint32_t slots)
{
    UpstreamPool pool;
    replaceUpstreams(pool, {{.key = 1, .id = "u1", .slots = slots}, {.key = 2, .id = "u2", .slots = slots}});
    return pool;
}

Fullness makeFull()
{
    Fullness fullness;
    for (int probe = 0; probe < 100; ++probe) {
        recordProbed(fullness, true, Start);
    }
    return fullness;
}

TEST(Fullness, RefusesUnprobedCallsWhileUpstreamsWithFewSlotsAreFull)
{
    Fullness fullness = makeFull();
    EXPECT_TRUE(refusesUnprobed(fullness, makePool(2), Settings, Start));
    for (int probe = 0; probe < 100; ++probe) {
        recordProbed(fullness, false, Start);
    }
    EXPECT_FALSE(refusesUnprobed(fullness, makePool(2), Settings, Start));
}

TEST(Fullness, UpstreamsWithManySlotsGetUnprobedCallsUnlessOneWasSilent)
{
    Fullness fullness = makeFull();
    EXPECT_FALSE(refusesUnprobed(fullness, makePool(6), Settings, Start));
    recordSilence(fullness, Start);
    EXPECT_TRUE(refusesUnprobed(fullness, makePool(6), Settings, Start + std::chrono::minutes(1)));
    EXPECT_FALSE(refusesUnprobed(fullness, makePool(6), Settings, Start + std::chrono::hours(1)));
}

TEST(Fullness, WithoutALimitOfSlotsOnlySilenceCounts)
{
    Fullness fullness = makeFull();
    EXPECT_FALSE(refusesUnprobed(fullness, makePool(1), {.share = 0.5}, Start));
    recordSilence(fullness, Start);
    EXPECT_TRUE(refusesUnprobed(fullness, makePool(1), {.share = 0.5}, Start));
}

TEST(Fullness, RefusesNothingWithoutTheSetting)
{
    Fullness fullness = makeFull();
    recordSilence(fullness, Start);
    EXPECT_FALSE(refusesUnprobed(fullness, makePool(2), {}, Start));
}

}
}
