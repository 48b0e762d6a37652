#include "fakes/invariantchecker.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QString>
#include <QStringList>
#include <fmt/core.h>

#include <algorithm>

namespace Plantainweir {
namespace {

constexpr std::size_t MaximumKeysShown = 5;
constexpr int FirstServerError = 500;

std::string stringField(const QJsonObject &object, const char *key)
{
    return object[QLatin1String(key)].toString().toStdString();
}

Result<CallRecord> parseRecord(const QJsonObject &object)
{
    const auto outcome = valueNamed<CallOutcome>(stringField(object, "outcome"));
    const auto repeatability = valueNamed<Repeatability>(stringField(object, "repeatability"));
    if (!outcome || !repeatability || stringField(object, "key").empty()) {
        return failure("a record lacks its key, outcome or repeatability");
    }
    CallRecord record{
        .key = stringField(object, "key"),
        .earlierKeys = {},
        .rank = stringField(object, "rank"),
        .repeatability = *repeatability,
        .outcome = *outcome,
        .reason = stringField(object, "reason"),
        .status = object["status"].toInt(),
        .latencyMs = object["latencyMs"].toDouble(),
        .lostTries = static_cast<std::uint32_t>(object["lostTries"].toInt()),
        .isWrongAnswer = object["wrongAnswer"].toBool(),
    };
    for (const QJsonValue key : object["earlierKeys"].toArray()) {
        record.earlierKeys.push_back(key.toString().toStdString());
    }
    return record;
}

std::uint64_t executionCount(const ExecutionCounts &counts, const std::string &key)
{
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

/** Returns the executions of the call in @p record: under all its keys if it runs at most once, else under the key of its last try. */
std::uint64_t executionCount(const ExecutionCounts &counts, const CallRecord &record)
{
    std::uint64_t executions = executionCount(counts, record.key);
    if (record.repeatability == Repeatability::AtMostOnce) {
        for (const std::string &key : record.earlierKeys) {
            executions += executionCount(counts, key);
        }
    }
    return executions;
}

bool isInterrupted(const CallRecord &record)
{
    const bool isLate = record.reason == nameOf(UnknownReason::DeadlinePassed) || record.reason == "caller_deadline_passed";
    return record.lostTries > 0 || (record.outcome == CallOutcome::Unknown && !isLate);
}

bool hasViolation(InvariantViolation violation, const CallRecord &record, std::uint64_t executions)
{
    switch (violation) {
    case InvariantViolation::DuplicateExecution:
        return record.repeatability == Repeatability::AtMostOnce && executions > 1;
    case InvariantViolation::FalseNotRun:
        return record.outcome == CallOutcome::NotRun && executions > 0;
    case InvariantViolation::FalseAnswer:
        return record.outcome == CallOutcome::Answered && record.status < FirstServerError && executions == 0;
    case InvariantViolation::WrongAnswer:
        return record.isWrongAnswer;
    case InvariantViolation::InterruptedCall:
        return isInterrupted(record);
    }
    return true;
}

void addToReport(CallReport &report, const CallRecord &record)
{
    FinishedCall call;
    call.kind.rank = record.rank;
    call.outcome = record.outcome;
    call.reason = record.reason;
    call.status = record.status;
    call.latency = fromMilliseconds(record.latencyMs);
    addCall(report, call, record.isWrongAnswer);
}

}

Result<std::vector<CallRecord>> parseRecords(const std::string &text)
{
    std::vector<CallRecord> records;
    for (const QString &line : QString::fromStdString(text).split(QLatin1Char('\n'), Qt::SkipEmptyParts)) {
        BOOST_LEAF_AUTO(record, parseRecord(QJsonDocument::fromJson(line.toUtf8()).object()));
        records.push_back(record);
    }
    return records;
}

bool addExecutions(ExecutionCounts &counts, const std::string &json)
{
    const QJsonDocument document = QJsonDocument::fromJson(QByteArray::fromStdString(json));
    const QJsonObject executions = document.object();
    for (const QString &key : executions.keys()) {
        counts[key.toStdString()] += static_cast<std::uint64_t>(executions[key].toObject()["started"].toInteger());
    }
    return document.isObject();
}

CheckResult checkCalls(const std::vector<CallRecord> &records, const ExecutionCounts &counts)
{
    CheckResult result;
    for (const CallRecord &record : records) {
        addToReport(result.report, record);
        const std::uint64_t executions = executionCount(counts, record);
        for (const auto &row : enumNames(InvariantViolation{})) {
            if (hasViolation(row.value, record, executions)) {
                result.callKeys[static_cast<std::size_t>(row.value)].push_back(record.key);
            }
        }
        result.duplicatesByRank[record.rank] += hasViolation(InvariantViolation::DuplicateExecution, record, executions) ? 1 : 0;
    }
    return result;
}

bool hasNoViolations(const CheckResult &result, const std::vector<InvariantViolation> &ignored)
{
    const auto &violations = enumNames(InvariantViolation{});
    return std::all_of(violations.begin(), violations.end(), [&result, &ignored](const auto &row) {
        const bool isIgnored = std::find(ignored.begin(), ignored.end(), row.value) != ignored.end();
        return isIgnored || result.count(row.value) == 0;
    });
}

std::string toTable(const CheckResult &result)
{
    std::string table = toTable(result.report) + "\ndoubled executions:";
    for (const auto &[rank, duplicates] : result.duplicatesByRank) {
        table += fmt::format(" {}={}", rank, duplicates);
    }
    table += "\n";
    for (const auto &row : enumNames(InvariantViolation{})) {
        const auto &keys = result.callKeys[static_cast<std::size_t>(row.value)];
        table += fmt::format("{}: {}", row.name, keys.size());
        for (std::size_t index = 0; index < std::min(keys.size(), MaximumKeysShown); ++index) {
            table += " " + keys[index];
        }
        table += "\n";
    }
    return table;
}

}
