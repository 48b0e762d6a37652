#include "controllers/applycontroller.h"
#include "configuration/adoption.h"

#include <gtest/gtest.h>

namespace Plantainweir {
namespace {

const WriteRecord s_write{.base = 7, .id = "mine"};
const WriteRecord s_otherWrite{.base = 7, .id = "theirs"};
constexpr TimePoint Start{};
constexpr TimePoint Deadline = Start + std::chrono::seconds(10);

Apply startedApply()
{
    Apply apply{.changes = {{.object = "object", .write = s_write}}, .deadline = Deadline};
    EXPECT_EQ(step(apply, ApplyStarted{}, Start).size(), 1U);
    return apply;
}

WriteFinished written(WriteOutcome outcome)
{
    return {.change = 0, .result = {.outcome = outcome, .version = outcome == WriteOutcome::Accepted ? 8U : 0U}};
}

ReadFinished read(std::uint64_t version, std::vector<WriteRecord> writes)
{
    return {.change = 0, .observed = ObservedObject{.version = version, .writes = std::move(writes)}};
}

TEST(ApplyController, ResolvesALostResponseByReadingBack)
{
    Apply apply = startedApply();
    EXPECT_TRUE(std::holds_alternative<SendRead>(step(apply, written(WriteOutcome::AnswerLost), Start).at(0)));
    step(apply, read(8, {s_write}), Start);
    EXPECT_EQ(apply.changes[0].state, ChangeState::Accepted);
    EXPECT_EQ(apply.changes[0].version, 8U);
}

TEST(ApplyController, WritesAgainWhileTheBaseIsUnchanged)
{
    Apply apply = startedApply();
    step(apply, written(WriteOutcome::AnswerLost), Start);
    EXPECT_TRUE(std::holds_alternative<SendWrite>(step(apply, read(7, {}), Start).at(0)));
    EXPECT_EQ(apply.changes[0].state, ChangeState::Writing);
}

TEST(ApplyController, ReportsAConflictToTheLaterOfTwoChanges)
{
    Apply apply = startedApply();
    step(apply, written(WriteOutcome::Conflict), Start);
    step(apply, read(9, {s_otherWrite, {.base = 8, .id = "later"}}), Start);
    EXPECT_EQ(apply.changes[0].state, ChangeState::Rejected);
    EXPECT_EQ(apply.changes[0].rejection, RejectionReason::Conflict);
}

TEST(ApplyController, ConflictWithItsOwnDuplicatedWriteIsAccepted)
{
    Apply apply = startedApply();
    step(apply, written(WriteOutcome::Conflict), Start);
    step(apply, read(9, {s_write, {.base = 8, .id = "later"}}), Start);
    EXPECT_EQ(apply.changes[0].state, ChangeState::Accepted);
    EXPECT_EQ(apply.changes[0].version, 0U);
}

TEST(ApplyController, ReportsThatTheEffectIsNotKnown)
{
    Apply unreadable = startedApply();
    step(unreadable, written(WriteOutcome::AnswerLost), Start);
    step(unreadable, ReadFinished{.change = 0, .observed = std::nullopt}, Deadline);
    EXPECT_EQ(unreadable.changes[0].state, ChangeState::NotKnown);
    Apply truncated = startedApply();
    step(truncated, written(WriteOutcome::AnswerLost), Start);
    step(truncated, read(90, {{.base = 80, .id = "later"}}), Start);
    EXPECT_EQ(truncated.changes[0].state, ChangeState::NotKnown);
    Apply timedOut = startedApply();
    step(timedOut, ApplyDeadlineReached{}, Deadline);
    EXPECT_EQ(timedOut.changes[0].state, ChangeState::NotKnown);
}

TEST(ApplyController, WriteThatWasNeverSentIsRejected)
{
    Apply apply = startedApply();
    EXPECT_TRUE(std::holds_alternative<SendWrite>(step(apply, written(WriteOutcome::NotSent), Start).at(0)));
    EXPECT_TRUE(step(apply, written(WriteOutcome::NotSent), Deadline).empty());
    EXPECT_EQ(apply.changes[0].state, ChangeState::Rejected);
    EXPECT_EQ(apply.changes[0].rejection, RejectionReason::NotSent);
    EXPECT_TRUE(isFinished(apply));
}

TEST(ApplyController, RefusalAfterALostResponseIsReadBack)
{
    Apply apply = startedApply();
    step(apply, written(WriteOutcome::AnswerLost), Start);
    step(apply, read(7, {}), Start);
    EXPECT_TRUE(std::holds_alternative<SendRead>(step(apply, written(WriteOutcome::Refused), Start).at(0)));
    Apply refused = startedApply();
    step(refused, written(WriteOutcome::Refused), Start);
    EXPECT_EQ(refused.changes[0].rejection, RejectionReason::Refused);
}

TEST(ApplyController, StoresABoundedNumberOfWriteRecords)
{
    std::vector<WriteRecord> writes;
    for (std::uint64_t base = 0; base < 100; ++base) {
        writes = appendWriteRecord(writes, {.base = base, .id = "write"});
    }
    ASSERT_EQ(writes.size(), MaximumWriteRecords);
    EXPECT_EQ(writes.back().base, 99U);
}

TEST(Adoption, AcceptsOnlyHigherVersionsAndKeepsTombstones)
{
    Configuration configuration;
    Service service{.name = "orders", .version = 3, .isRemoved = false, .upstreams = {}};
    EXPECT_TRUE(adopt(configuration, service));
    EXPECT_FALSE(adopt(configuration, service));
    service.version = 5;
    service.isRemoved = true;
    EXPECT_TRUE(adopt(configuration, service));
    service.version = 4;
    service.isRemoved = false;
    EXPECT_FALSE(adopt(configuration, service));
    EXPECT_TRUE(configuration.services.at("orders").isRemoved);
    EXPECT_FALSE(adopt(configuration, Rules{}));
    Rules rules;
    rules.version = 1;
    EXPECT_TRUE(adopt(configuration, rules));
}

}
}
