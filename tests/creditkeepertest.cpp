#include "controllers/creditkeeper.h"

#include <gtest/gtest.h>

namespace Plantainweir {
namespace {

using namespace std::chrono_literals;

constexpr ProcessInstance Self = 7;
const CreditLine s_line{.kind = CreditKind::Account, .scope = "a", .upstream = {}};

/** A keeper of one account with 10 calls a second and a burst of 20. */
class CreditKeeperTest : public testing::Test
{
protected:
    CreditKeeperTest()
    {
        keeper.advancedAt = now;
        changeLimits(keeper, {}, limits, now);
    }

    std::optional<ShareReceipt> delegate(ProcessInstance delegator, double share, TimePoint echoedAt)
    {
        const CreditMessage sender{.sender = "vm-" + std::to_string(delegator), .instance = delegator};
        return receive(keeper, limits, Self, sender, {}, {.keeper = Self, .sequence = ++sequence, .echoedAt = echoedAt, .share = share}, now);
    }

    void wait(Duration duration)
    {
        now += duration;
        advance(keeper, limits, now);
    }

    CreditAnswer ask(std::uint32_t count, const CreditLine &line = s_line)
    {
        return answer(keeper, limits, 1, {.sequence = ++sequence, .line = line, .count = count}, now);
    }

    TimePoint now{1h};
    CreditKeeper keeper;
    CreditLimits limits{.accounts = {{"a", {.perSecond = 10.0, .burst = 20.0}}}, .coldUpstreams = {{"desk", {.perSecond = 4.0, .burst = 8.0}}}};
    std::uint64_t sequence = 0;
};

TEST_F(CreditKeeperTest, ANewKeeperHasNoCreditAndGainsItInProportionToItsShare)
{
    delegate(1, 0.5, now);
    EXPECT_EQ(ask(4).granted, 0U);
    wait(1s);
    EXPECT_EQ(ask(32).granted, 5U);
}

TEST_F(CreditKeeperTest, ARefusalNamesTheTimeAtWhichCreditReturns)
{
    delegate(1, 0.5, now);
    const CreditAnswer refusal = ask(1);
    EXPECT_EQ(refusal.granted, 0U);
    EXPECT_FALSE(refusal.isShort);
    EXPECT_EQ(refusal.retryAfter, 200ms);
    wait(refusal.retryAfter);
    EXPECT_EQ(ask(1).granted, 1U);
}

TEST_F(CreditKeeperTest, AKeeperWithFewSharesSaysSo)
{
    delegate(1, 0.01, now);
    EXPECT_TRUE(ask(1).isShort);
}

TEST_F(CreditKeeperTest, ADelegationIsCountedFromTheReceiptThatItEchoes)
{
    const TimePoint echoedAt = now;
    wait(1400ms);
    delegate(1, 0.5, echoedAt);
    EXPECT_EQ(keeper.held, 0.5);
    wait(100ms);
    EXPECT_EQ(keeper.held, 0.0);
    delegate(1, 0.5, echoedAt);
    EXPECT_EQ(keeper.held, 0.0) << "a delegation that was under way for too long";
}

TEST_F(CreditKeeperTest, AnOlderDelegationThatArrivesLaterIsIgnored)
{
    delegate(1, 0.5, now);
    const CreditMessage sender{.sender = "vm-1", .instance = 1};
    const ShareDelegation withdrawn{.keeper = Self, .sequence = 9, .echoedAt = now};
    const ShareDelegation older{.keeper = Self, .sequence = 8, .echoedAt = now, .share = 0.5};
    EXPECT_EQ(receive(keeper, limits, Self, sender, {}, withdrawn, now)->releasedUpTo, 9U);
    EXPECT_FALSE(receive(keeper, limits, Self, sender, {}, older, now));
    EXPECT_EQ(keeper.held, 0.0);
}

TEST_F(CreditKeeperTest, CreditBeyondTheBurstOfTheHeldShareIsLostWithTheShare)
{
    delegate(1, 0.25, now);
    delegate(2, 0.25, now + 0ms);
    for (int count = 0; count < 10; ++count) {
        wait(500ms);
        delegate(1, 0.25, now);
        delegate(2, 0.25, now);
    }
    wait(1s);
    delegate(1, 0.25, now);
    wait(500ms);
    EXPECT_EQ(keeper.held, 0.25);
    EXPECT_EQ(ask(32).granted, 5U);
}

TEST_F(CreditKeeperTest, ARepeatedQuestionTakesNoMoreCredit)
{
    delegate(1, 0.5, now);
    wait(1s);
    const CreditQuestion question{.sequence = 99, .line = s_line, .count = 2};
    EXPECT_EQ(answer(keeper, limits, 1, question, now).granted, 2U);
    EXPECT_EQ(answer(keeper, limits, 1, question, now).granted, 2U);
    EXPECT_EQ(ask(32).granted, 3U);
}

TEST_F(CreditKeeperTest, ReturnedCreditIsCountedOnceAndOnlyWhileItIsValid)
{
    delegate(1, 0.5, now);
    wait(1s);
    answer(keeper, limits, 1, {.sequence = 99, .line = s_line, .count = 5}, now);
    takeBack(keeper, limits, 1, {.sequence = 99, .total = 2});
    takeBack(keeper, limits, 1, {.sequence = 99, .total = 2});
    takeBack(keeper, limits, 1, {.sequence = 99, .total = 1});
    EXPECT_EQ(ask(32).granted, 2U);
    wait(CreditValidity);
    const double tokens = keeper.buckets.at(s_line).tokens;
    takeBack(keeper, limits, 1, {.sequence = 99, .total = 5});
    EXPECT_EQ(keeper.buckets.at(s_line).tokens, tokens);
}

TEST_F(CreditKeeperTest, ALoweredLimitTakesTheExcessAway)
{
    delegate(1, 0.5, now);
    wait(1400ms);
    const CreditLimits lower{.accounts = {{"a", {.perSecond = 1.0, .burst = 2.0}}}, .coldUpstreams = {}};
    changeLimits(keeper, limits, lower, now);
    limits = lower;
    EXPECT_EQ(ask(32).granted, 1U);
}

TEST_F(CreditKeeperTest, ALimitThatReturnsStartsWithoutCredit)
{
    delegate(1, 0.5, now);
    wait(1s);
    changeLimits(keeper, limits, {}, now);
    changeLimits(keeper, {}, limits, now);
    EXPECT_EQ(ask(32).granted, 0U);
}

TEST_F(CreditKeeperTest, LeavingReleasesAllSharesForGood)
{
    delegate(1, 0.25, now);
    delegate(2, 0.25, now);
    const auto receipts = leave(keeper, limits, now);
    EXPECT_EQ(receipts.size(), 2U);
    EXPECT_EQ(keeper.held, 0.0);
    delegate(1, 0.25, now);
    EXPECT_EQ(keeper.held, 0.0);
}

TEST_F(CreditKeeperTest, TheNumberOfLinesIsBounded)
{
    delegate(1, 0.5, now);
    wait(1s);
    const auto coldLine = [](int number) {
        return CreditLine{.kind = CreditKind::ColdUpstream, .scope = "desk", .upstream = std::to_string(number)};
    };
    for (int number = 0; number < 20'000; ++number) {
        ask(1, coldLine(number));
    }
    EXPECT_LE(keeper.buckets.size(), 4096U);
    EXPECT_EQ(ask(1, coldLine(20'001)).granted, 0U);
    EXPECT_EQ(ask(1).granted, 1U) << "known lines are still served";
}

TEST_F(CreditKeeperTest, AnUnlimitedLineGetsNoCredit)
{
    delegate(1, 0.5, now);
    wait(1s);
    EXPECT_EQ(ask(1, {.kind = CreditKind::Account, .scope = "unknown", .upstream = {}}).granted, 0U);
}

TEST(CreditTerms, StayWithinTheToleratedExcess)
{
    const CreditToleranceSettings tolerance;
    for (const double perSecond : {0.1, 1.0, 7.0, 80.0, 5000.0}) {
        for (const double burst : {0.0, 3.0, 200.0}) {
            RouteTable table;
            table.accounts["a"] = {.name = "a", .callsPerSecond = perSecond, .burst = burst};
            table.services["desk"] = {.name = "desk", .coldCallsPerSecond = perSecond};
            const CreditTerms account = *termsOf(creditLimits(table, tolerance), s_line);
            EXPECT_LE(account.perSecond * 5.25 + account.burst, (perSecond * 5.0 + burst) * 1.1 + 20.0);
            EXPECT_GE(account.perSecond, perSecond * 0.99);
            EXPECT_GE(account.burst, burst);
            const CreditTerms cold = *termsOf(creditLimits(table, tolerance), {.kind = CreditKind::ColdUpstream, .scope = "desk", .upstream = "i"});
            const double usable = perSecond * 1.5 + 8.0;
            EXPECT_LE(cold.perSecond * 1.25 + cold.burst, usable);
            EXPECT_GE(cold.burst, usable * 0.1);
        }
    }
}

TEST(CreditTerms, WithoutARateThereIsNoLimit)
{
    RouteTable table;
    table.accounts["a"] = {.name = "a", .burst = 3.0};
    table.services["desk"] = {.name = "desk"};
    EXPECT_FALSE(termsOf(creditLimits(table, {}), s_line));
    EXPECT_TRUE(isEmpty(creditLimits(table, {})));
}

}
}
