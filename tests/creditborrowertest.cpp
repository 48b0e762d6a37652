#include "controllers/creditborrower.h"

#include <gtest/gtest.h>

namespace Plantainweir {
namespace {

using namespace std::chrono_literals;

const CreditLine s_line{.kind = CreditKind::Account, .scope = "a", .upstream = {}};

class CreditBorrowerTest : public testing::Test
{
protected:
    BorrowerEnvironment environment()
    {
        return {.keepers = keepers, .keepersExpectedAt = now + 3s, .lastSequence = sequence, .now = now};
    }

    void collect(const BorrowerActions &actions)
    {
        for (const OutgoingBorrowing &message : actions.messages) {
            messages.push_back(message);
        }
        for (const DecidedRequest &decided : actions.decisions) {
            decisions.push_back(decided);
        }
    }

    void requestOne(CreditRequestId id)
    {
        collect(request(borrower, id, s_line, now + 2s, environment()));
    }

    const CreditQuestion &lastQuestion() const
    {
        return std::get<CreditQuestion>(messages.back().body);
    }

    void answerLast(std::uint32_t granted, Duration retryAfter = 100ms, bool isShort = false)
    {
        const CreditAnswer answer{.sequence = lastQuestion().sequence, .granted = granted, .retryAfter = retryAfter, .isShort = isShort};
        const std::string keeper = messages.back().keeper;
        collect(receive(borrower, keeper, answer, environment()));
    }

    TimePoint now{1h};
    std::vector<std::string> keepers{"k1", "k2"};
    std::uint64_t sequence = 0;
    CreditBorrower borrower;
    std::vector<OutgoingBorrowing> messages;
    std::vector<DecidedRequest> decisions;
};

TEST_F(CreditBorrowerTest, AGrantedCreditIsUsableForATimeAfterItsQuestion)
{
    requestOne(1);
    const TimePoint askedAt = now;
    now += 40ms;
    answerLast(1);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].decision.outcome, CreditOutcome::Granted);
    EXPECT_EQ(decisions[0].decision.usableUntil, askedAt + CreditValidity);
}

TEST_F(CreditBorrowerTest, AnAnswerAfterTheEndOfItsCreditIsNotUsed)
{
    keepers = {"k1"};
    requestOne(1);
    const CreditAnswer late{.sequence = lastQuestion().sequence, .granted = 1};
    now += CreditValidity;
    collect(receive(borrower, "k1", late, environment()));
    EXPECT_TRUE(decisions.empty());
}

TEST_F(CreditBorrowerTest, AsksTheOtherKeeperIfOneRefuses)
{
    requestOne(1);
    EXPECT_EQ(messages.back().keeper, "k1");
    answerLast(0);
    EXPECT_EQ(messages.back().keeper, "k2");
    answerLast(1);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].decision.outcome, CreditOutcome::Granted);
}

TEST_F(CreditBorrowerTest, AsksTheOtherKeeperIfOneIsSilent)
{
    requestOne(1);
    now = *nextDeadline(borrower);
    collect(expire(borrower, environment()));
    EXPECT_EQ(messages.back().keeper, "k2");
    requestOne(2);
    answerLast(1);
    EXPECT_EQ(messages.back().keeper, "k2") << "the silent keeper is asked last";
}

TEST_F(CreditBorrowerTest, RefusalsHoldUntilTheTimeThatTheKeepersNamed)
{
    requestOne(1);
    answerLast(0, 300ms);
    answerLast(0, 100ms);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].decision.outcome, CreditOutcome::Denied);
    EXPECT_EQ(decisions[0].decision.retryAt, now + 100ms);
    const std::size_t sent = messages.size();
    now += 99ms;
    requestOne(2);
    EXPECT_EQ(decisions.size(), 2U);
    EXPECT_EQ(messages.size(), sent);
    now += 1ms;
    requestOne(3);
    EXPECT_EQ(messages.size(), sent + 1);
    EXPECT_EQ(messages.back().keeper, "k2");
}

TEST_F(CreditBorrowerTest, KeepersWithoutSharesDoNotMeanThatTheQuotaIsUsedUp)
{
    requestOne(1);
    answerLast(0, 300ms, true);
    answerLast(0, 100ms, true);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].decision.outcome, CreditOutcome::Unavailable);
}

TEST_F(CreditBorrowerTest, WithoutKeepersARequestIsRefusedAtOnce)
{
    keepers.clear();
    requestOne(1);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].decision.outcome, CreditOutcome::Unavailable);
    EXPECT_EQ(decisions[0].decision.retryAt, now + 3s);
}

TEST_F(CreditBorrowerTest, SilentKeepersAreGivenUpWithinTheTimeForWhichCreditWouldBeValid)
{
    requestOne(1);
    const TimePoint start = now;
    while (decisions.empty() && now < start + 1s) {
        now = *nextDeadline(borrower);
        collect(expire(borrower, environment()));
    }
    EXPECT_LE(now, start + CreditValidity);
    EXPECT_EQ(decisions.at(0).decision.outcome, CreditOutcome::Unavailable);
    EXPECT_FALSE(nextDeadline(borrower));
}

TEST_F(CreditBorrowerTest, WaitingCallsAreAskedForTogether)
{
    requestOne(1);
    requestOne(2);
    requestOne(3);
    EXPECT_EQ(messages.size(), 1U);
    answerLast(1);
    EXPECT_EQ(messages.size(), 2U);
    EXPECT_EQ(lastQuestion().count, 2U);
    answerLast(2);
    EXPECT_EQ(decisions.size(), 3U);
}

TEST_F(CreditBorrowerTest, TheCreditOfACancelledRequestGoesBack)
{
    requestOne(1);
    cancel(borrower, 1);
    answerLast(1);
    EXPECT_TRUE(decisions.empty());
    const auto &returned = std::get<CreditReturn>(messages.back().body);
    EXPECT_EQ(returned.total, 1U);
    EXPECT_EQ(messages.back().keeper, "k1");
}

TEST_F(CreditBorrowerTest, CreditThatIsGivenBackGoesToAWaitingCallOrToTheKeeper)
{
    requestOne(1);
    answerLast(1);
    requestOne(2);
    collect(giveBack(borrower, decisions[0].decision.credit, environment()));
    ASSERT_EQ(decisions.size(), 2U);
    EXPECT_EQ(decisions[1].decision.usableUntil, decisions[0].decision.usableUntil);
    collect(giveBack(borrower, decisions[1].decision.credit, environment()));
    EXPECT_TRUE(std::holds_alternative<CreditReturn>(messages.back().body));
    const std::size_t sent = messages.size();
    now += CreditValidity;
    collect(giveBack(borrower, decisions[1].decision.credit, environment()));
    EXPECT_EQ(messages.size(), sent) << "expired credit is not given back";
}

TEST_F(CreditBorrowerTest, ARepeatedAnswerGrantsNothing)
{
    requestOne(1);
    const CreditAnswer answer{.sequence = lastQuestion().sequence, .granted = 1};
    collect(receive(borrower, "k1", answer, environment()));
    requestOne(2);
    collect(receive(borrower, "k1", answer, environment()));
    EXPECT_EQ(decisions.size(), 1U);
}

TEST_F(CreditBorrowerTest, ARequestEndsAtItsDeadline)
{
    collect(request(borrower, 1, s_line, now + 10ms, environment()));
    EXPECT_EQ(nextDeadline(borrower), now + 10ms);
    now += 10ms;
    collect(expire(borrower, environment()));
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].decision.outcome, CreditOutcome::Unavailable);
}

}
}
