#include "caller/callertask.h"
#include "caller/callprogress.h"
#include "caller/directoryanswer.h"
#include "caller/percentiles.h"
#include "caller/workmix.h"
#include "http/headers.h"
#include "http/httpserver.h"

#include <gtest/gtest.h>

#include <QCoreApplication>
#include <QEventLoop>

namespace Plantainweir {
namespace {

constexpr TimePoint Now{std::chrono::seconds(1000)};
constexpr std::uint32_t MaximumTries = 3;

CallProgress progressOf(Repeatability repeatability)
{
    CallProgress progress;
    progress.repeatability = repeatability;
    progress.deadline = Now + std::chrono::seconds(1);
    return progress;
}

TryResult notSent()
{
    return {.outcome = TryOutcome::NotSent, .callOutcome = CallOutcome::NotRun, .reason = {}};
}

TryResult noResponse()
{
    return {.outcome = TryOutcome::NoResponse, .callOutcome = CallOutcome::Unknown, .reason = {}};
}

TryResult replied(CallOutcome outcome, const std::string &reason)
{
    return {.outcome = TryOutcome::Replied, .callOutcome = outcome, .reason = reason};
}

TEST(CallProgress, KeepsTheKeyOnceItMayHaveBeenReceived)
{
    CallProgress progress = progressOf(Repeatability::AtMostOnce);
    EXPECT_EQ(decideAfterTry(progress, notSent(), MaximumTries, Now).step, NextStep::RetryNewKey);
    EXPECT_EQ(decideAfterTry(progress, noResponse(), MaximumTries, Now).step, NextStep::RetrySameKey);
    const CallDecision last = decideAfterTry(progress, notSent(), MaximumTries, Now);
    EXPECT_EQ(last.step, NextStep::Finish);
    EXPECT_EQ(last.outcome, CallOutcome::Unknown);
    EXPECT_EQ(last.reason, "caller_connection_lost");
}

TEST(CallProgress, IsNotRunIfNothingWasSent)
{
    CallProgress progress = progressOf(Repeatability::AtMostOnce);
    const CallDecision decision = decideAfterTry(progress, notSent(), 1, Now);
    EXPECT_EQ(decision.outcome, CallOutcome::NotRun);
    EXPECT_EQ(decision.reason, "caller_connect_failed");
}

TEST(CallProgress, NeverRetriesAtMostOnceWorkThatMayHaveRun)
{
    CallProgress progress = progressOf(Repeatability::AtMostOnce);
    const CallDecision decision = decideAfterTry(progress, replied(CallOutcome::Unknown, "connection_lost"), MaximumTries, Now);
    EXPECT_EQ(decision.step, NextStep::Finish);
    EXPECT_EQ(decision.outcome, CallOutcome::Unknown);
}

TEST(CallProgress, RetriesElsewhereOnlyForReasonsOfTheEntryVm)
{
    for (const char *reason : {"not_ready", "owner_unreachable"}) {
        CallProgress progress = progressOf(Repeatability::AtMostOnce);
        EXPECT_EQ(decideAfterTry(progress, replied(CallOutcome::NotRun, reason), MaximumTries, Now).step, NextStep::RetryNewKey);
    }
    CallProgress overload = progressOf(Repeatability::Idempotent);
    EXPECT_EQ(decideAfterTry(overload, replied(CallOutcome::NotRun, "queue_full"), MaximumTries, Now).step, NextStep::Finish);
}

TEST(CallProgress, IsUnknownIfARefusalFollowsATryWithoutResponse)
{
    for (const Repeatability repeatability : {Repeatability::AtMostOnce, Repeatability::Idempotent}) {
        CallProgress progress = progressOf(repeatability);
        EXPECT_NE(decideAfterTry(progress, noResponse(), MaximumTries, Now).step, NextStep::Finish);
        const CallDecision decision = decideAfterTry(progress, replied(CallOutcome::NotRun, "queue_full"), MaximumTries, Now);
        EXPECT_EQ(decision.step, NextStep::Finish);
        EXPECT_EQ(decision.outcome, CallOutcome::Unknown) << "the first try may still arrive and run";
        EXPECT_EQ(decision.reason, "caller_connection_lost");
    }
}

TEST(CallProgress, IsUnknownIfTheLastTriesOfRepeatedWorkWereNotSent)
{
    CallProgress progress = progressOf(Repeatability::Idempotent);
    EXPECT_EQ(decideAfterTry(progress, replied(CallOutcome::Unknown, "connection_lost"), MaximumTries, Now).step, NextStep::RetryNewKey);
    progress.mayHaveArrived = false; // A new key was assigned.
    EXPECT_EQ(decideAfterTry(progress, replied(CallOutcome::NotRun, "not_ready"), MaximumTries, Now).step, NextStep::RetryNewKey);
    EXPECT_EQ(decideAfterTry(progress, notSent(), MaximumTries, Now).outcome, CallOutcome::Unknown);
}

TEST(CallProgress, EndsAtItsDeadline)
{
    CallProgress progress = progressOf(Repeatability::Idempotent);
    const CallDecision decision = decideAfterTry(progress, noResponse(), MaximumTries, progress.deadline);
    EXPECT_EQ(decision.outcome, CallOutcome::Unknown);
    EXPECT_EQ(decision.reason, "caller_deadline_passed");
}

TEST(Percentile, IsTheNearestRank)
{
    std::vector<double> values;
    for (int value = 100; value >= 1; --value) {
        values.push_back(value);
    }
    EXPECT_DOUBLE_EQ(percentile(values, 50.0), 50.0);
    EXPECT_DOUBLE_EQ(percentile(values, 99.0), 99.0);
    EXPECT_DOUBLE_EQ(percentile(values, 99.9), 100.0);
    EXPECT_DOUBLE_EQ(percentile({7.0}, 50.0), 7.0);
    EXPECT_DOUBLE_EQ(percentile({}, 50.0), 0.0);
}

std::string mixError(const WorkMixSettings &settings)
{
    return valueOr(
        [&settings]() -> Result<std::string> {
            BOOST_LEAF_AUTO(mix, parseMix(settings));
            return std::string(mix.empty() ? "empty" : "");
        },
        [](const Error &error) {
            return error.message;
        });
}

TEST(WorkMix, ErrorsNameTheFlagAndItsValue)
{
    EXPECT_EQ(mixError({.mix = "lookup=70,sale=x", .service = "rinkdesk", .serviceOf = {}, .rankOf = {}, .atMostOnce = {}}),
              "--mix gives \"sale\" the share \"x\"; allowed: a number above 0");
    EXPECT_EQ(mixError({.mix = "lookup=70", .service = "rinkdesk", .serviceOf = {}, .rankOf = {}, .atMostOnce = "sale"}),
              "--at-most-once names \"sale\"; allowed: kinds of --mix");
    EXPECT_EQ(mixError({.mix = "lookup=70", .service = {}, .serviceOf = {}, .rankOf = {}, .atMostOnce = {}}),
              "--service-of does not name \"lookup\", and --service is empty");
    EXPECT_EQ(mixError({.mix = "lookup=70", .service = "rinkdesk", .serviceOf = {}, .rankOf = "lookup=low", .atMostOnce = "lookup"}), "");
}

bool isParsed(const std::string &text)
{
    return valueOr(
        [&text]() -> Result<bool> {
            BOOST_LEAF_AUTO(answer, parseDirectoryAnswer(text, Now));
            return !answer.entries.empty();
        },
        [](const Error &) {
            return false;
        });
}

TEST(DirectoryAnswer, IsRejectedUnlessComplete)
{
    EXPECT_TRUE(isParsed(R"({"service":"s","validForMs":1000,"entries":[{"address":"127.0.0.1:1","availabilityZone":"z","keyOwner":"i"}]})"));
    EXPECT_FALSE(isParsed(R"({"service":"s","validForMs":1000,"entries":[]})"));
    EXPECT_FALSE(isParsed(R"({"service":"s","entries":[{"address":"127.0.0.1:1"}]})"));
    EXPECT_FALSE(isParsed(R"({"service":"s","validForMs":1000,"entries":[{"address":"rink:1"}]})"));
    EXPECT_FALSE(isParsed("not found"));
}

/** An entry VM that serves a given directory answer, and answers each call or closes its connection. */
class ScriptedEntry
{
public:
    ScriptedEntry()
    {
        EXPECT_TRUE(server.listen({.address = "127.0.0.1", .port = 0}));
        QObject::connect(&server, &HttpServer::requestReceived, &server, [this](HttpExchangeId exchange, const HttpRequest &request) {
            receive(exchange, request);
        });
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(server.port());
    }

    void receive(HttpExchangeId exchange, const HttpRequest &request)
    {
        if (request.target == "/directory/rinkdesk") {
            server.respond(exchange, {.status = 200, .fields = {}, .body = directory});
            return;
        }
        calls.push_back(request);
        if (isClosingConnections) {
            server.abortExchange(exchange);
            return;
        }
        server.respond(exchange, {.status = 200, .fields = {{Headers::Outcome, "answered"}}, .body = request.target});
    }

    HttpServer server{HttpLimits{}};
    std::string directory;
    bool isClosingConnections = false;
    std::vector<HttpRequest> calls;
};

class CallerTaskTest : public testing::Test
{
protected:
    /** Sets a directory answer that names @p first and then the second entry VM. */
    void setDirectory(const std::string &first)
    {
        entry.directory = R"({"service":"rinkdesk","validForMs":60000,"entries":[{"address":")" + first + R"(","keyOwner":"one"},{"address":")"
                          + second.address() + R"(","keyOwner":"two"}]})";
    }

    FinishedCall call()
    {
        CallerTask caller({.entries = {{.address = "127.0.0.1", .port = entry.server.port()}}}, 5);
        return callThrough(caller);
    }

    FinishedCall callThrough(CallerTask &caller)
    {
        FinishedCall result;
        QObject receiver; // Ends the connection with this function, since the next call uses the same task.
        QObject::connect(&caller, &CallerTask::finished, &receiver, [this, &result](const FinishedCall &finished) {
            result = finished;
            loop.quit();
        });
        OutgoingCall outgoing;
        outgoing.kind = {.name = "sale", .share = 1.0, .service = "rinkdesk", .rank = "middle", .repeatability = Repeatability::AtMostOnce};
        outgoing.target = "/sale";
        outgoing.dueAt = Clock::now();
        caller.call(outgoing);
        loop.exec();
        return result;
    }

    int argumentCount = 1;
    char programName[5] = "test";
    char *arguments[2] = {programName, nullptr};
    QCoreApplication application{argumentCount, arguments};
    QEventLoop loop;
    ScriptedEntry entry;
    ScriptedEntry second;
};

TEST_F(CallerTaskTest, RetriesALostCallElsewhereWithKeyAndKeyOwner)
{
    setDirectory(entry.address());
    entry.isClosingConnections = true;
    const FinishedCall finished = call();
    EXPECT_EQ(finished.outcome, CallOutcome::Answered);
    EXPECT_EQ(finished.tries, 2U);
    EXPECT_EQ(finished.lostTries, 1U);
    ASSERT_EQ(entry.calls.size(), 1U);
    ASSERT_EQ(second.calls.size(), 1U);
    const HttpFields &first = entry.calls[0].fields;
    const HttpFields &retried = second.calls[0].fields;
    EXPECT_EQ(fieldValue(first, Headers::IdempotencyKey), toString(finished.key));
    EXPECT_EQ(fieldValue(retried, Headers::IdempotencyKey), toString(finished.key));
    EXPECT_EQ(fieldValue(retried, Headers::KeyOwner), "one");
    EXPECT_EQ(second.calls[0].target, "/call/rinkdesk/sale?call=" + toString(finished.key));
}

TEST_F(CallerTaskTest, QueriesTheEntriesOfItsNewestAnswerOnceTheFirstOnesAreGone)
{
    entry.directory = R"({"service":"rinkdesk","validForMs":0,"entries":[{"address":")" + second.address() + R"(","keyOwner":"two"}]})";
    second.directory = entry.directory;
    CallerTask caller({.entries = {{.address = "127.0.0.1", .port = entry.server.port()}}}, 5);
    EXPECT_EQ(callThrough(caller).outcome, CallOutcome::Answered);
    entry.server.drain();
    EXPECT_EQ(callThrough(caller).outcome, CallOutcome::Answered);
    EXPECT_EQ(second.calls.size(), 2U);
}

TEST_F(CallerTaskTest, MakesANewKeyForAnotherEntryIfNothingWasSent)
{
    ScriptedEntry closed;
    setDirectory(closed.address());
    closed.server.drain();
    const FinishedCall finished = call();
    EXPECT_EQ(finished.outcome, CallOutcome::Answered);
    ASSERT_EQ(second.calls.size(), 1U);
    EXPECT_EQ(fieldValue(second.calls[0].fields, Headers::KeyOwner), "two");
    ASSERT_EQ(finished.earlierKeys.size(), 1U);
    EXPECT_NE(finished.earlierKeys[0], finished.key);
}

}
}
