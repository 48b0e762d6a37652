#include "decision/peermemory.h"

#include <gmock/gmock.h>

namespace Plantainweir {
namespace {

using std::chrono::seconds;
using testing::ElementsAre;
using testing::IsEmpty;

constexpr TimePoint Now{seconds(1000)};

PeerHolding holding(std::uint64_t connection, std::size_t bytes, seconds age, PeerActivity activity = PeerActivity::Receiving)
{
    return {.connection = connection, .bytes = bytes, .since = Now - age, .activity = activity};
}

TEST(PeerMemory, NothingIsReleasedUpToTheLimit)
{
    EXPECT_THAT(connectionsToRelease({holding(1, 60, seconds(9)), holding(2, 40, seconds(1))}, 100, Now), IsEmpty());
}

TEST(PeerMemory, WhatHoldsMostForLongestGoesFirst)
{
    EXPECT_THAT(connectionsToRelease({holding(1, 60, seconds(1)), holding(2, 60, seconds(9)), holding(3, 1, seconds(90))}, 100, Now), ElementsAre(2));
}

TEST(PeerMemory, AnOldConnectionWithLittleStaysWhileALargeOneGoes)
{
    EXPECT_THAT(connectionsToRelease({holding(1, 1, seconds(30)), holding(2, 120, seconds(1))}, 100, Now), ElementsAre(2));
}

TEST(PeerMemory, ACrowdThatHasJustComeGoesBeforeOldConnectionsWithLittle)
{
    std::vector<PeerHolding> holdings;
    for (std::uint64_t connection = 1; connection <= 40; ++connection) {
        holdings.push_back(connection <= 20 ? holding(connection, 10, seconds(0)) : holding(connection, 1, seconds(600), PeerActivity::Idle));
    }
    const std::vector<std::uint64_t> released = connectionsToRelease(holdings, 200, Now);
    EXPECT_EQ(released.size(), 7U);
    EXPECT_THAT(released, testing::Each(testing::Le(20U)));
}

TEST(PeerMemory, SizeDecidesBetweenConnectionsThatHaveJustCome)
{
    EXPECT_THAT(connectionsToRelease({holding(1, 1, seconds(0)), holding(2, 120, seconds(0))}, 100, Now), ElementsAre(2));
}

TEST(PeerMemory, ACrowdIsReleasedUntilAQuarterIsFree)
{
    std::vector<PeerHolding> crowd;
    for (std::uint64_t connection = 1; connection <= 11; ++connection) {
        crowd.push_back(holding(connection, 10, seconds(connection)));
    }
    EXPECT_THAT(connectionsToRelease(crowd, 100, Now), ElementsAre(11, 10, 9, 8));
}

TEST(PeerMemory, ALargeRequestMayTakeHalfOfWhatIsFree)
{
    constexpr std::size_t Limit = 100 * SmallRequestBytes;
    constexpr std::size_t Held = 40 * SmallRequestBytes;
    EXPECT_EQ(measureForRequest(30 * SmallRequestBytes, Held, Limit), PeerRequestMeasure::Accept);
    EXPECT_EQ(measureForRequest(30 * SmallRequestBytes + 1, Held, Limit), PeerRequestMeasure::Refuse);
    EXPECT_EQ(measureForRequest(SmallRequestBytes + 1, 2 * Limit, Limit), PeerRequestMeasure::Refuse);
}

TEST(PeerMemory, InCalmALargeRequestMayTakeAllThatIsFree)
{
    constexpr std::size_t Limit = 100 * SmallRequestBytes;
    EXPECT_EQ(measureForRequest(100 * SmallRequestBytes, 0, Limit), PeerRequestMeasure::Accept);
    EXPECT_EQ(measureForRequest(75 * SmallRequestBytes, 25 * SmallRequestBytes, Limit), PeerRequestMeasure::Accept);
    EXPECT_EQ(measureForRequest(75 * SmallRequestBytes + 1, 25 * SmallRequestBytes, Limit), PeerRequestMeasure::Refuse);
    EXPECT_EQ(measureForRequest(74 * SmallRequestBytes, 26 * SmallRequestBytes, Limit), PeerRequestMeasure::Refuse);
}

TEST(PeerMemory, ASmallRequestIsAcceptedWhateverOthersHold)
{
    EXPECT_EQ(measureForRequest(SmallRequestBytes, 200, 100), PeerRequestMeasure::Accept);
}

TEST(PeerMemory, TheIdlestConnectionGivesWay)
{
    const std::vector<PeerHolding> holdings{holding(1, 0, seconds(3), PeerActivity::Idle),
                                            holding(2, 0, seconds(5), PeerActivity::Idle),
                                            holding(3, 9, seconds(9), PeerActivity::Receiving),
                                            holding(4, 9, seconds(9), PeerActivity::Answering)};
    EXPECT_EQ(connectionToReplace(holdings, Now), 2U);
}

TEST(PeerMemory, WithoutAnIdleConnectionTheOldestIncompleteRequestGivesWay)
{
    EXPECT_EQ(connectionToReplace({holding(1, 9, seconds(2)), holding(2, 9, seconds(4)), holding(3, 0, seconds(9), PeerActivity::Answering)}, Now), 2U);
}

TEST(PeerMemory, WithoutThoseTheOldestUnreadResponseGivesWay)
{
    const auto unread = [](std::uint64_t connection, seconds age, seconds sinceRead) {
        PeerHolding unreadResponse = holding(connection, 9, age, PeerActivity::Unread);
        unreadResponse.readAt = Now - sinceRead;
        return unreadResponse;
    };
    const PeerHolding waiting = holding(1, 9, seconds(9), PeerActivity::Answering);
    EXPECT_EQ(connectionToReplace({waiting, unread(2, seconds(2), seconds(2)), unread(3, seconds(4), seconds(3))}, Now), 3U);
    EXPECT_EQ(connectionToReplace({unread(1, seconds(9), seconds(9)), holding(2, 9, seconds(1))}, Now), 2U);
    EXPECT_EQ(connectionToReplace({unread(1, seconds(9), seconds(1)), unread(2, seconds(3), seconds(3))}, Now), 2U) << "the first one reads";
    EXPECT_EQ(connectionToReplace({waiting, unread(2, seconds(9), seconds(1))}, Now), std::nullopt);
}

TEST(PeerMemory, NoConnectionThatWaitsForAResponseGivesWay)
{
    EXPECT_EQ(connectionToReplace({holding(1, 0, seconds(9), PeerActivity::Answering)}, Now), std::nullopt);
    EXPECT_EQ(connectionToReplace({}, Now), std::nullopt);
}

}
}
