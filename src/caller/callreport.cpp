#include "caller/callreport.h"

#include "caller/percentiles.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <fmt/core.h>

namespace Plantainweir {
namespace {

constexpr int FirstServerError = 500;

QString toQString(std::string_view text)
{
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

QJsonObject toObject(const std::map<std::string, std::uint64_t> &counts)
{
    QJsonObject object;
    for (const auto &[reason, count] : counts) {
        object.insert(toQString(reason), static_cast<qint64>(count));
    }
    return object;
}

QJsonObject toObject(const RankReport &rank)
{
    return {
        {"sent", static_cast<qint64>(rank.sent)},
        {"answered", static_cast<qint64>(rank.answered)},
        {"serverErrors", static_cast<qint64>(rank.serverErrors)},
        {"wrongAnswers", static_cast<qint64>(rank.wrongAnswers)},
        {"retried", static_cast<qint64>(rank.retried)},
        {"notRun", toObject(rank.notRun)},
        {"unknown", toObject(rank.unknown)},
        {"p50Ms", percentile(rank.latenciesMs, 50.0)},
        {"p99Ms", percentile(rank.latenciesMs, 99.0)},
        {"p999Ms", percentile(rank.latenciesMs, 99.9)},
    };
}

std::string toText(const std::map<std::string, std::uint64_t> &counts)
{
    std::string text;
    for (const auto &[reason, count] : counts) {
        text += fmt::format("{}{}={}", text.empty() ? "" : " ", reason, count);
    }
    return text.empty() ? "-" : text;
}

std::string compact(const QJsonObject &object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

}

void addCall(CallReport &report, const FinishedCall &call, bool isWrongAnswer)
{
    RankReport &rank = report.ranks[call.kind.rank];
    ++rank.sent;
    rank.retried += call.tries > 1 ? 1 : 0;
    switch (call.outcome) {
    case CallOutcome::Answered:
        ++rank.answered;
        rank.serverErrors += call.status >= FirstServerError ? 1 : 0;
        rank.wrongAnswers += isWrongAnswer ? 1 : 0;
        rank.latenciesMs.push_back(toMilliseconds(call.latency));
        return;
    case CallOutcome::NotRun:
        ++rank.notRun[call.reason];
        return;
    case CallOutcome::Unknown:
        ++rank.unknown[call.reason];
        return;
    }
}

std::string toTable(const CallReport &report)
{
    std::string table
        = fmt::format("{:<12} {:>8} {:>8} {:>9} {:>9} {:>9}  {:<30} {}\n", "rank", "sent", "answered", "p50 ms", "p99 ms", "p99.9 ms", "not run", "unknown");
    for (const auto &[name, rank] : report.ranks) {
        table += fmt::format("{:<12} {:>8} {:>8} {:>9.2f} {:>9.2f} {:>9.2f}  {:<30} {}\n",
                             name,
                             rank.sent,
                             rank.answered,
                             percentile(rank.latenciesMs, 50.0),
                             percentile(rank.latenciesMs, 99.0),
                             percentile(rank.latenciesMs, 99.9),
                             toText(rank.notRun),
                             toText(rank.unknown));
    }
    return table;
}

std::string toJson(const CallReport &report)
{
    QJsonObject ranks;
    for (const auto &[name, rank] : report.ranks) {
        ranks.insert(toQString(name), toObject(rank));
    }
    return compact({{"ranks", ranks}});
}

std::string toJson(const FinishedCall &call, bool isWrongAnswer)
{
    QJsonArray earlierKeys;
    for (const UuidV7 &key : call.earlierKeys) {
        earlierKeys.append(toQString(toString(key)));
    }
    return compact({
        {"key", toQString(toString(call.key))},
        {"earlierKeys", earlierKeys},
        {"workKind", toQString(call.kind.name)},
        {"rank", toQString(call.kind.rank)},
        {"service", toQString(call.kind.service)},
        {"repeatability", toQString(nameOf(call.kind.repeatability))},
        {"outcome", toQString(nameOf(call.outcome))},
        {"reason", toQString(call.reason)},
        {"status", call.status},
        {"latencyMs", toMilliseconds(call.latency)},
        {"tries", static_cast<qint64>(call.tries)},
        {"lostTries", static_cast<qint64>(call.lostTries)},
        {"wrongAnswer", isWrongAnswer},
    });
}

std::string toSummary(const FinishedCall &call)
{
    const double latencyMs = toMilliseconds(call.latency);
    switch (call.outcome) {
    case CallOutcome::Answered:
        return fmt::format("answered: status {} after {:.1f} ms", call.status, latencyMs);
    case CallOutcome::NotRun:
        return fmt::format("not run: {} after {:.1f} ms", call.reason, latencyMs);
    case CallOutcome::Unknown:
        break;
    }
    return fmt::format("unknown, it may have run: {} after {:.1f} ms", call.reason, latencyMs);
}

}
