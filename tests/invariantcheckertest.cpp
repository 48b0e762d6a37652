#include "fakes/invariantchecker.h"

#include <gtest/gtest.h>

namespace Plantainweir {
namespace {

CallRecord record(CallOutcome outcome, Repeatability repeatability = Repeatability::AtMostOnce)
{
    CallRecord record;
    record.key = "k";
    record.rank = "middle";
    record.repeatability = repeatability;
    record.outcome = outcome;
    record.status = 200;
    return record;
}

std::vector<InvariantViolation> violationsOf(const CallRecord &call, const ExecutionCounts &counts)
{
    const CheckResult result = checkCalls({call}, counts);
    std::vector<InvariantViolation> violations;
    for (const auto &row : enumNames(InvariantViolation{})) {
        if (result.count(row.value) > 0) {
            violations.push_back(row.value);
        }
    }
    return violations;
}

using Violations = std::vector<InvariantViolation>;

TEST(InvariantChecker, AcceptsTruthfulOutcomes)
{
    EXPECT_EQ(violationsOf(record(CallOutcome::Answered), {{"k", 1}}), Violations{});
    EXPECT_EQ(violationsOf(record(CallOutcome::NotRun), {}), Violations{});
    CallRecord late = record(CallOutcome::Unknown);
    late.reason = "deadline_passed";
    EXPECT_EQ(violationsOf(late, {}), Violations{});
    EXPECT_EQ(violationsOf(late, {{"k", 1}}), Violations{});
    EXPECT_EQ(violationsOf(record(CallOutcome::Answered, Repeatability::Idempotent), {{"k", 2}}), Violations{});
}

TEST(InvariantChecker, FindsDuplicateExecutionsOverAllKeysOfACall)
{
    EXPECT_EQ(violationsOf(record(CallOutcome::Answered), {{"k", 2}}), Violations{InvariantViolation::DuplicateExecution});
    CallRecord retried = record(CallOutcome::Answered);
    retried.earlierKeys = {"j"};
    EXPECT_EQ(violationsOf(retried, {{"k", 1}, {"j", 1}}), Violations{InvariantViolation::DuplicateExecution});
}

TEST(InvariantChecker, FindsFalseOutcomes)
{
    EXPECT_EQ(violationsOf(record(CallOutcome::NotRun), {{"k", 1}}), Violations{InvariantViolation::FalseNotRun});
    EXPECT_EQ(violationsOf(record(CallOutcome::NotRun, Repeatability::Idempotent), {{"k", 1}}), Violations{InvariantViolation::FalseNotRun});
    EXPECT_EQ(violationsOf(record(CallOutcome::Answered), {}), Violations{InvariantViolation::FalseAnswer});
    CallRecord wrong = record(CallOutcome::Answered);
    wrong.isWrongAnswer = true;
    EXPECT_EQ(violationsOf(wrong, {{"k", 1}}), Violations{InvariantViolation::WrongAnswer});
}

TEST(InvariantChecker, FindsInterruptedCalls)
{
    CallRecord lost = record(CallOutcome::Answered);
    lost.lostTries = 1;
    EXPECT_EQ(violationsOf(lost, {{"k", 1}}), Violations{InvariantViolation::InterruptedCall});
    CallRecord unknown = record(CallOutcome::Unknown);
    unknown.reason = "owner_connection_lost";
    EXPECT_EQ(violationsOf(unknown, {{"k", 1}}), Violations{InvariantViolation::InterruptedCall});
    EXPECT_TRUE(hasNoViolations(checkCalls({lost}, {{"k", 1}}), {InvariantViolation::InterruptedCall}));
    EXPECT_FALSE(hasNoViolations(checkCalls({lost}, {{"k", 1}})));
}

TEST(InvariantChecker, ParsesCallRecordsAndExecutionCounts)
{
    FinishedCall call;
    call.kind.rank = "top";
    call.kind.repeatability = Repeatability::AtMostOnce;
    call.outcome = CallOutcome::NotRun;
    call.reason = "queue_full";
    call.lostTries = 2;
    const auto records = valueOr(
        [&call] {
            return parseRecords(toJson(call, false) + "\n");
        },
        [](const Error &) {
            return std::vector<CallRecord>{};
        });
    ASSERT_EQ(records.size(), 1U);
    EXPECT_EQ(records[0].key, toString(call.key));
    EXPECT_EQ(records[0].outcome, CallOutcome::NotRun);
    EXPECT_EQ(records[0].reason, "queue_full");
    EXPECT_EQ(records[0].lostTries, 2U);
    ExecutionCounts counts;
    EXPECT_TRUE(addExecutions(counts, R"({"k":{"workKind":"sale","started":2,"completed":1}})"));
    EXPECT_TRUE(addExecutions(counts, R"({"k":{"workKind":"sale","started":1,"completed":1}})"));
    EXPECT_EQ(counts["k"], 3U);
    EXPECT_FALSE(addExecutions(counts, "not JSON"));
}

}
}
