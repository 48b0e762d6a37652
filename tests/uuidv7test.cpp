#include "core/uuidv7.h"

#include <gtest/gtest.h>

#include <set>

namespace Plantainweir {
namespace {

constexpr std::uint64_t Seed = 7;

UnixMilliseconds at(std::int64_t milliseconds)
{
    return UnixMilliseconds(std::chrono::milliseconds(milliseconds));
}

TEST(UuidV7, ParsesTheExampleOfTheRfc)
{
    // RFC 9562, appendix A.6: Tuesday, February 22, 2022 2:22:22 PM GMT-05:00.
    const auto uuid = parseUuidV7("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
    ASSERT_TRUE(uuid);
    EXPECT_EQ(timestampOf(*uuid), at(1645557742000));
    EXPECT_EQ(toString(*uuid), "017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
}

TEST(UuidV7, KeepsItsTimestampInTheTextForm)
{
    std::mt19937_64 random(Seed);
    for (const std::int64_t milliseconds : {std::int64_t{0}, std::int64_t{1}, std::int64_t{1796381849123}, (std::int64_t{1} << 48) - 1}) {
        const UuidV7 uuid = makeUuidV7(at(milliseconds), random);
        EXPECT_EQ(timestampOf(uuid), at(milliseconds));
        EXPECT_EQ(parseUuidV7(toString(uuid)), uuid);
    }
}

TEST(UuidV7, IsUniqueWithinOneMillisecondAndOrderedOverMilliseconds)
{
    std::mt19937_64 random(Seed);
    std::set<UuidV7> uuids;
    for (int count = 0; count < 10'000; ++count) {
        uuids.insert(makeUuidV7(at(1796381849123), random));
    }
    EXPECT_EQ(uuids.size(), 10'000U);
    EXPECT_LT(*uuids.rbegin(), makeUuidV7(at(1796381849124), random));
}

TEST(UuidV7, RejectsOtherText)
{
    const std::string good = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";
    ASSERT_TRUE(parseUuidV7(good));
    for (std::size_t length = 0; length < good.size(); ++length) {
        EXPECT_FALSE(parseUuidV7(good.substr(0, length)));
    }
    EXPECT_FALSE(parseUuidV7(good + "0"));
    EXPECT_FALSE(parseUuidV7("{017f22e2-79b0-7cc3-98c4-dc0c0c07398}"));
    for (std::size_t position = 0; position < good.size(); ++position) {
        std::string bad = good;
        bad[position] = 'g';
        EXPECT_FALSE(parseUuidV7(bad)) << bad;
        bad[position] = good[position] == '-' ? '0' : '-';
        EXPECT_FALSE(parseUuidV7(bad)) << bad;
    }
}

TEST(UuidV7, RejectsOtherVersionsAndVariants)
{
    EXPECT_FALSE(parseUuidV7("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"));
    EXPECT_FALSE(parseUuidV7("017f22e2-79b0-7cc3-18c4-dc0c0c07398f"));
    EXPECT_FALSE(parseUuidV7("017f22e2-79b0-7cc3-c8c4-dc0c0c07398f"));
    EXPECT_FALSE(parseUuidV7("00000000-0000-0000-0000-000000000000"));
}

}
}
