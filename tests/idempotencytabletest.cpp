#include "controllers/idempotencytable.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <random>
#include <set>

namespace Plantainweir {
namespace {

using std::chrono::milliseconds;

StoredResponse answer(std::size_t bytes = 10)
{
    auto message = std::make_shared<ResponseMessage>();
    message->body.assign(bytes, 'x');
    return message;
}

TEST(IdempotencyTable, RunsOnceThenReplays)
{
    IdempotencyTable table;
    const UnixMilliseconds now{milliseconds(1'000'000'000)};
    EXPECT_EQ(admitKey(table, "k", now, 1, now).decision, KeyDecision::Run);
    EXPECT_EQ(admitKey(table, "k", now, 2, now).decision, KeyDecision::Wait);
    const StoredResponse stored = answer();
    EXPECT_EQ(finishKey(table, "k", stored), (std::vector<WaiterId>{1, 2}));
    const KeyAdmission repeated = admitKey(table, "k", now, 3, now);
    EXPECT_EQ(repeated.decision, KeyDecision::Replay);
    EXPECT_EQ(repeated.answer, stored);
}

TEST(IdempotencyTable, RunsAgainOnlyIfTheCallCertainlyDidNotRun)
{
    IdempotencyTable table;
    const UnixMilliseconds now{milliseconds(1'000'000'000)};
    admitKey(table, "k", now, 1, now);
    eraseKey(table, "k");
    EXPECT_EQ(table.bytes, 0U);
    EXPECT_EQ(admitKey(table, "k", now, 2, now).decision, KeyDecision::Run);
    finishKeyUnknown(table, "k");
    EXPECT_EQ(admitKey(table, "k", now, 3, now).decision, KeyDecision::Unknown);
}

TEST(IdempotencyTable, OldAndFutureKeysNeverRun)
{
    IdempotencyTable table;
    const UnixMilliseconds now{milliseconds(1'000'000'000)};
    EXPECT_EQ(admitKey(table, "old", now - table.limits.maximumKeyAge, 1, now).decision, KeyDecision::Expired);
    EXPECT_EQ(admitKey(table, "future", now + table.limits.maximumClockSkew + milliseconds(1), 1, now).decision, KeyDecision::TimestampInFuture);
    EXPECT_TRUE(table.records.empty());
}

TEST(IdempotencyTable, FullTableRefusesNewKeysAndKeepsItsRecords)
{
    IdempotencyTable table;
    table.limits.maximumBytes = 4096;
    const UnixMilliseconds now{milliseconds(1'000'000'000)};
    int admitted = 0;
    while (admitKey(table, "key-" + std::to_string(admitted), now, 1, now).decision == KeyDecision::Run) {
        ++admitted;
    }
    EXPECT_GT(admitted, 0);
    EXPECT_LE(table.bytes, table.limits.maximumBytes);
    EXPECT_EQ(admitKey(table, "key-0", now, 2, now).decision, KeyDecision::Wait);
    finishKey(table, "key-0", answer(8192));
    EXPECT_EQ(admitKey(table, "key-0", now, 3, now).decision, KeyDecision::Unknown);
    EXPECT_LE(table.bytes, table.limits.maximumBytes);
}

/** One key of an exploration and the expected effects of its calls. */
struct ExploredKey {
    std::string text;
    UnixMilliseconds timestamp;
    bool isRunning = false;
    bool mayHaveRun = false;
    std::uint32_t runs = 0; ///< Number of runs that may have happened, without runs that certainly did not.
};

/** Repeats keys, finishes calls in every way and advances the time at random; returns the violated invariant, or nothing. */
std::string explore(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto pick = [&random](std::uint64_t count) {
        return random() % count;
    };
    IdempotencyTable table;
    table.limits.maximumBytes = 2048 + pick(4096);
    UnixMilliseconds now{milliseconds(1'000'000'000)};
    std::vector<ExploredKey> keys;
    for (int step = 0; step < 60; ++step) {
        if (keys.empty() || pick(6) == 0) {
            const auto skew = milliseconds(static_cast<std::int64_t>(pick(400'000)) - 350'000);
            keys.push_back({.text = "key-" + std::to_string(keys.size()), .timestamp = now + skew});
        }
        ExploredKey &key = keys[pick(keys.size())];
        switch (pick(6)) {
        case 0:
        case 1:
        case 2: {
            const KeyDecision decision = admitKey(table, key.text, key.timestamp, random(), now).decision;
            if (decision == KeyDecision::Run) {
                if (key.isRunning || key.mayHaveRun) {
                    return "a key ran again although it was running or may have run";
                }
                key.isRunning = true;
                ++key.runs;
            }
            if (decision == KeyDecision::TimestampInFuture && (key.isRunning || key.mayHaveRun)) {
                return "a key that may have run was reported as not run";
            }
            if (decision == KeyDecision::Full && (key.isRunning || key.mayHaveRun)) {
                return "a recorded key was refused for lack of memory";
            }
            break;
        }
        case 3:
            if (key.isRunning) {
                const bool isAnswered = pick(2) == 0;
                isAnswered ? finishKey(table, key.text, answer(pick(1024))) : finishKeyUnknown(table, key.text);
                key.isRunning = false;
                key.mayHaveRun = true;
            }
            break;
        case 4:
            if (key.isRunning) {
                eraseKey(table, key.text);
                key.isRunning = false;
                --key.runs;
            }
            break;
        case 5:
            now += milliseconds(pick(pick(10) == 0 ? 400'000 : 5'000));
            eraseExpired(table, now);
            break;
        }
        if (key.runs > 1) {
            return "a key ran twice";
        }
        if (table.bytes > table.limits.maximumBytes || table.expiries.size() != table.records.size()) {
            return "the table exceeds its memory limit, or records and expiries differ in number";
        }
    }
    return {};
}

TEST(IdempotencyTable, NoInterleavingRunsAKeyTwice)
{
    const char *replayed = std::getenv("PLANTAINWEIR_TEST_SEED");
    const std::uint64_t first = replayed != nullptr ? std::strtoull(replayed, nullptr, 10) : 1;
    const std::uint64_t count = replayed != nullptr ? 1 : 40'000;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const std::string problem = explore(seed);
        ASSERT_TRUE(problem.empty()) << problem << "; replay with PLANTAINWEIR_TEST_SEED=" << seed;
    }
}

}
}
