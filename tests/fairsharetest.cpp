#include "decision/fairshare.h"

#include "fakes/proxyload.h"

#include <gtest/gtest.h>

#include <array>
#include <random>

namespace Plantainweir {
namespace {

constexpr TimePoint Start{std::chrono::seconds(1000)};

/** Counts the calls of 10 s: @p calls of each account at equal distances, of which @p served were answered. */
FairShares makeShares(const std::map<std::string, int> &calls, int served, Room otherwise)
{
    FairShares shares;
    for (const auto &[account, count] : calls) {
        for (int call = 0; call < count; ++call) {
            recordSent(shares, {.account = account}, Start);
        }
    }
    for (int call = 0; call < 100; ++call) {
        recordRoom(shares, 0, otherwise, Start);
    }
    shares.ranks.at(0).served = {.count = static_cast<double>(served), .updatedAt = Start};
    return shares;
}

TEST(FairShare, RefusesNobodyWhileThereIsRoom)
{
    const FairShares shares = makeShares({{"heavy", 100}, {"small", 5}}, 50, Room::Available);
    EXPECT_EQ(refusedShare(shares, {.account = "heavy"}, Start), 0.0);
}

TEST(FairShare, RefusesTheExcessOfTheHeavyAccountOnly)
{
    const FairShares shares = makeShares({{"heavy", 100}, {"large", 20}, {"small", 5}}, 75, Room::None);
    EXPECT_NEAR(refusedShare(shares, {.account = "heavy"}, Start), 0.5, 0.01);
    EXPECT_EQ(refusedShare(shares, {.account = "large"}, Start), 0.0);
    EXPECT_EQ(refusedShare(shares, {.account = "small"}, Start), 0.0);
    EXPECT_EQ(refusedShare(shares, {.account = "new"}, Start), 0.0);
}

TEST(FairShare, AnAccountThatMayHaveMoreHasAPlaceInProportion)
{
    FairShares shares = makeShares({{"heavy", 100}, {"other", 100}}, 100, Room::None);
    shares.ranks.at(0).accounts.at("heavy").weight = 3.0;
    EXPECT_NEAR(refusedShare(shares, {.account = "heavy"}, Start), 0.25, 0.01);
    EXPECT_NEAR(refusedShare(shares, {.account = "other"}, Start), 0.75, 0.01);
    EXPECT_LT(relativeUse(shares, {.account = "heavy"}, Start), relativeUse(shares, {.account = "other"}, Start));
}

// Guards against an entry VM that refuses nearly all calls for good: after many calls came at once, those that it refused kept
// the number of sent calls high, and none of them found out that there was room again.
TEST(FairShare, AfterABurstCallsPassAgainWhileTheirRateStays)
{
    std::mt19937_64 random{5};
    std::uniform_real_distribution<double> lot(0.0, 1.0);
    FairShares shares = makeShares({{"shop", 40}, {"till", 40}}, 3, Room::None);
    int passed = 0;
    constexpr int Calls = 150; // 10 a second for 15 s, the time in which an entry VM must have recovered.
    TimePoint now = Start;
    for (int call = 0; call < Calls; ++call) {
        now += std::chrono::milliseconds(100);
        const AccountCall incoming{.account = call % 2 == 0 ? "shop" : "till"};
        recordSent(shares, incoming, now);
        if (lot(random) < refusedShare(shares, incoming, now)) {
            continue;
        }
        recordRoom(shares, 0, Room::Available, now);
        recordServed(shares, 0, now);
        passed += call >= Calls * 2 / 3 ? 1 : 0;
    }
    EXPECT_GT(passed, Calls / 4) << "of the calls of the last 5 s";
}

TEST(FairShare, ScarcityStaysWhileFewCallsFindNoRoom)
{
    FairShares shares;
    TimePoint now = Start;
    for (int second = 0; second < 30; ++second) {
        now += std::chrono::seconds(1);
        for (int call = 0; call < 5; ++call) {
            recordSent(shares, {.account = "heavy"}, now);
        }
        recordRoom(shares, 0, Room::None, now);
        recordServed(shares, 0, now);
    }
    EXPECT_GT(refusedShare(shares, {.account = "heavy"}, now), 0.5);
}

/** Hundreds of entry VMs get a call of a service in two seconds each: they must see the same scarcity as a VM with many calls. */
TEST(FairShare, ScarcityDoesNotDependOnTheRateOfCalls)
{
    std::array<double, 2> refused{};
    for (std::size_t pace = 0; pace < refused.size(); ++pace) {
        FairShares shares;
        TimePoint now = Start;
        for (int call = 0; call < 400; ++call) {
            now += pace == 0 ? std::chrono::milliseconds(100) : std::chrono::milliseconds(2000);
            recordRoom(shares, 0, call % 10 == 0 ? Room::None : Room::Available, now);
        }
        for (int call = 0; call < 20; ++call) {
            recordSent(shares, {.account = "heavy"}, now);
        }
        refused[pace] = refusedShare(shares, {.account = "heavy"}, now);
    }
    EXPECT_GT(refused[0], 0.3);
    EXPECT_NEAR(refused[1], refused[0], 0.01);
}

TEST(FairShare, OtherRanksDoNotCount)
{
    const FairShares shares = makeShares({{"heavy", 100}}, 50, Room::None);
    EXPECT_EQ(refusedShare(shares, {.priority = 1, .account = "heavy"}, Start), 0.0);
}

TEST(FairShare, ForgetsIdleAccounts)
{
    FairShares shares;
    for (int account = 0; account < 5000; ++account) {
        recordSent(shares, {.account = "account-" + std::to_string(account)}, Start + std::chrono::seconds(account));
    }
    EXPECT_LE(shares.ranks.at(0).accounts.size(), 1024U);
}

/** Forty accounts with six calls a second each at 48 entry VMs; the upstreams can run little more. */
PlayedLoad manyAccounts()
{
    PlayedLoad load;
    load.zones = 3;
    load.entriesPerZone = 16;
    load.upstreamsPerZone = 10;
    load.isSilentWhenFull = false;
    load.duration = std::chrono::seconds(40);
    for (int account = 0; account < 40; ++account) {
        load.calls.push_back({.account = "account-" + std::to_string(account), .perSecond = 6.0});
    }
    return load;
}

/** Returns the served share of all accounts but the first one. */
double servedShareOfOthers(const PlayedResult &result)
{
    int calls = 0;
    int answered = 0;
    for (std::size_t account = 1; account < result.outcomes.size(); ++account) {
        calls += result.outcomes[account].calls;
        answered += result.outcomes[account].answered;
    }
    return static_cast<double>(answered) / calls;
}

/** Returns the served shares of all other accounts and of the first one. */
std::string describe(const PlayedResult &result)
{
    return "others " + std::to_string(servedShareOfOthers(result)) + ", the one " + std::to_string(result.outcomes[0].servedShare());
}

class FairShareLoad : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(FairShareLoad, AnAccountThatSendsSixTimesItsUsualHarmsItself)
{
    PlayedLoad load = manyAccounts();
    load.seed = GetParam();
    load.calls[0].perSecond = 30.0;
    const PlayedResult usual = ProxyLoadPlayer(load).play();
    load.calls[0].perSecond *= 6.0;
    const PlayedResult heavy = ProxyLoadPlayer(load).play();
    PlayedLoad without = load;
    for (PlayedCalls &calls : without.calls) {
        calls.account.clear();
    }
    const PlayedResult unshared = ProxyLoadPlayer(without).play();
    // The rows of docs/design/scarce-room.md.
    RecordProperty("usual", describe(usual));
    RecordProperty("unshared", describe(unshared));
    RecordProperty("shared", describe(heavy));
    EXPECT_GT(servedShareOfOthers(heavy), servedShareOfOthers(usual) - 0.02);
    EXPECT_GT(heavy.outcomes[0].answered, usual.outcomes[0].answered);
    EXPECT_LT(servedShareOfOthers(unshared), servedShareOfOthers(usual) - 0.1);
    EXPECT_GT(heavy.outcomes[1].inTimeShare(), unshared.outcomes[1].inTimeShare());
}

// Guards against calls above their share that pass only by chance once probes are used up.
TEST_P(FairShareLoad, WithFewProbesTheHeavyAccountKeepsItsShare)
{
    PlayedLoad load = manyAccounts();
    load.seed = GetParam();
    load.probesPerSecond = 6.0;
    load.calls[0].perSecond = 30.0;
    const PlayedResult usual = ProxyLoadPlayer(load).play();
    load.calls[0].perSecond *= 6.0;
    const PlayedResult heavy = ProxyLoadPlayer(load).play();
    RecordProperty("few_probes_usual", describe(usual));
    RecordProperty("few_probes_heavy", describe(heavy));
    EXPECT_GT(servedShareOfOthers(heavy), servedShareOfOthers(usual) - 0.06);
    EXPECT_GT(heavy.outcomes[0].answered, 2 * heavy.outcomes[1].answered);
}

INSTANTIATE_TEST_SUITE_P(Seeds, FairShareLoad, testing::Values(1, 2));

/** Equal accounts at one entry VM, all of which send more than their share while the upstreams are full for some time. */
struct Recovery {
    int accounts = 1;
    double callsPerSecond = 5.0; ///< Of each account.
    double probesPerSecond = 9.25;
    Duration fullFrom = std::chrono::seconds(60);
    Duration fullTime = std::chrono::seconds(10);
};

/** Returns the served share of the calls from 30 s after the upstreams have room again. */
double servedShareAfter(const Recovery &recovery, std::uint64_t seed)
{
    PlayedLoad load;
    load.zones = 1;
    load.entriesPerZone = 1;
    load.upstreamsPerZone = 10;
    load.isSilentWhenFull = false;
    load.noisyShare = 0.0;
    load.seed = seed;
    load.probesPerSecond = recovery.probesPerSecond;
    load.fullFrom = recovery.fullFrom;
    load.fullUntil = recovery.fullFrom + recovery.fullTime;
    load.countedFrom = load.fullUntil + std::chrono::seconds(30);
    load.duration = load.countedFrom + std::chrono::seconds(60);
    for (int account = 0; account < recovery.accounts; ++account) {
        load.calls.push_back({.account = "account-" + std::to_string(account), .perSecond = recovery.callsPerSecond});
    }
    PlayedOutcome all;
    for (const PlayedOutcome &outcome : ProxyLoadPlayer(load).play().outcomes) {
        all.calls += outcome.calls;
        all.answered += outcome.answered;
    }
    return all.servedShare();
}

class FairShareRecovery : public testing::TestWithParam<std::uint64_t>
{
};

// Guards against probes that are withheld from all calls above their share, so that none ever finds the room again.
TEST_P(FairShareRecovery, AccountsAboveTheirSharesFindTheRoomThatReturns)
{
    EXPECT_GT(servedShareAfter({}, GetParam()), 0.95);
    EXPECT_GT(servedShareAfter({.accounts = 5, .probesPerSecond = 57.0}, GetParam()), 0.95);
}

// Guards against a scarcity that no call updates, because all are refused by lot.
TEST_P(FairShareRecovery, ALongTimeWithoutRoomIsForgotten)
{
    const Duration minute = std::chrono::seconds(60);
    EXPECT_GT(servedShareAfter({.fullTime = minute}, GetParam()), 0.95);
    EXPECT_GT(servedShareAfter({.accounts = 5, .probesPerSecond = 57.0, .fullTime = minute}, GetParam()), 0.95);
}

TEST_P(FairShareRecovery, AVmThatStartsWhileThereIsNoRoomFindsItLater)
{
    EXPECT_GT(servedShareAfter({.fullFrom = {}}, GetParam()), 0.95);
    EXPECT_GT(servedShareAfter({.accounts = 5, .probesPerSecond = 57.0, .fullFrom = {}}, GetParam()), 0.95);
}

// Guards against a lack of probes that counts as a lack of room.
TEST_P(FairShareRecovery, MoreCallsThanProbesFindIdleUpstreams)
{
    EXPECT_GT(servedShareAfter({.accounts = 5, .fullTime = {}}, GetParam()), 0.95);
    EXPECT_GT(servedShareAfter({.accounts = 5, .callsPerSecond = 20.0, .fullTime = {}}, GetParam()), 0.95);
}

INSTANTIATE_TEST_SUITE_P(Seeds, FairShareRecovery, testing::Values(1, 2, 3));

}
}
