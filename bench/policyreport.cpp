#include "policyreport.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <fmt/format.h>

#include <algorithm>
#include <numeric>

namespace Plantainweir {
namespace {

/** Times of the calls of one rank, in milliseconds; latencies and waits only of answered calls. */
struct Samples {
    std::vector<double> latencies;
    std::vector<double> waits;
    std::vector<double> latenciesOfOffered;
};

/** Returns the sample at the position share * size, rounded down, of the sorted samples; 0 without samples. */
double quantile(std::vector<double> &samples, double share)
{
    if (samples.empty()) {
        return 0.0;
    }
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(samples.size()));
    const auto position = samples.begin() + static_cast<std::ptrdiff_t>(std::min(rank, samples.size() - 1));
    std::nth_element(samples.begin(), position, samples.end());
    return *position;
}

double latencyOf(const Arrival &arrival, const CallResult &result)
{
    return toMilliseconds(result.endedAt - arrival.sentAt);
}

double waitOf(const Arrival &arrival, const CallResult &result)
{
    return toMilliseconds(result.endedAt - arrival.sentAt - arrival.serviceTime - result.networkTime);
}

/** Returns the latency of the call; a call without an answer counts with its target at least. */
double latencyOfOffered(const RunRecord &record, CallId call)
{
    const Arrival &arrival = record.arrivals[call];
    const double latency = latencyOf(arrival, record.results[call]);
    const double target = toMilliseconds(record.model.workKinds[static_cast<std::size_t>(arrival.rank)].target);
    return record.results[call].end == CallEnd::Answered ? latency : std::max(latency, target);
}

void count(RankSummary &summary, const RunRecord &record, CallId call)
{
    const CallResult &result = record.results[call];
    const bool isInTime = isAnsweredInTime(record, call);
    const Duration endedAt = result.endedAt.time_since_epoch();
    const bool isInWindow = endedAt >= record.plan.windowStart && endedAt < record.plan.windowEnd;
    ++summary.offered;
    summary.answeredInTimeInWindow += isInWindow && isInTime ? 1 : 0;
    switch (result.end) {
    case CallEnd::Unanswered:
        ++summary.unanswered;
        break;
    case CallEnd::Answered:
        ++(isInTime ? summary.answeredInTime : summary.answeredLate);
        break;
    case CallEnd::ServerError:
        ++summary.serverErrors;
        break;
    case CallEnd::NotRun:
        ++summary.notRun[static_cast<std::size_t>(result.refusal)];
        break;
    case CallEnd::Unknown:
        ++summary.unknown[static_cast<std::size_t>(result.unknown)];
        break;
    }
}

/** Summarises the calls for which @p isIncluded(arrival) holds. */
template<typename Predicate>
RankSummary summariseRank(const RunRecord &record, Predicate isIncluded)
{
    RankSummary summary;
    Samples samples;
    for (CallId call = 0; call < record.arrivals.size(); ++call) {
        const Arrival &arrival = record.arrivals[call];
        const CallResult &result = record.results[call];
        if (!isIncluded(arrival)) {
            continue;
        }
        count(summary, record, call);
        samples.latenciesOfOffered.push_back(latencyOfOffered(record, call));
        if (result.end == CallEnd::Answered) {
            samples.latencies.push_back(latencyOf(arrival, result));
            samples.waits.push_back(waitOf(arrival, result));
        }
    }
    summary.p50Milliseconds = quantile(samples.latencies, 0.5);
    summary.p99Milliseconds = quantile(samples.latencies, 0.99);
    summary.p999Milliseconds = quantile(samples.latencies, 0.999);
    summary.p99OfOfferedMilliseconds = quantile(samples.latenciesOfOffered, 0.99);
    summary.waitP99Milliseconds = quantile(samples.waits, 0.99);
    return summary;
}

void addExecutionFigures(RunSummary &summary, const RunRecord &record)
{
    for (CallId call = 0; call < record.arrivals.size(); ++call) {
        const WorkKind &kind = record.model.workKinds[static_cast<std::size_t>(record.arrivals[call].rank)];
        const bool isAtMostOnce = kind.repeatability == Repeatability::AtMostOnce;
        summary.duplicateExecutions += isAtMostOnce && record.executions[call] > 1 ? 1 : 0;
        summary.falseNotRun += record.results[call].end == CallEnd::NotRun && record.executions[call] > 0 ? 1 : 0;
        summary.worthOffered += kind.worth;
        summary.worth += isAnsweredInTime(record, call) ? kind.worth : 0.0;
    }
}

template<typename Enum>
QJsonObject countsByName(const std::array<std::size_t, enumCount<Enum>()> &counts)
{
    QJsonObject object;
    for (const auto &row : enumNames(Enum{})) {
        const std::size_t value = counts[static_cast<std::size_t>(row.value)];
        if (value > 0) {
            object.insert(QString::fromUtf8(row.name.data(), static_cast<qsizetype>(row.name.size())), static_cast<qint64>(value));
        }
    }
    return object;
}

QString text(std::string_view name)
{
    return QString::fromUtf8(name.data(), static_cast<qsizetype>(name.size()));
}

QJsonObject toObject(const RankSummary &rank)
{
    return {
        {"offered", static_cast<qint64>(rank.offered)},
        {"answered_in_time", static_cast<qint64>(rank.answeredInTime)},
        {"answered_late", static_cast<qint64>(rank.answeredLate)},
        {"server_errors", static_cast<qint64>(rank.serverErrors)},
        {"unanswered", static_cast<qint64>(rank.unanswered)},
        {"not_run", countsByName<RefusalReason>(rank.notRun)},
        {"unknown", countsByName<UnknownReason>(rank.unknown)},
        {"p50_ms", rank.p50Milliseconds},
        {"p99_ms", rank.p99Milliseconds},
        {"p999_ms", rank.p999Milliseconds},
        {"p99_of_offered_ms", rank.p99OfOfferedMilliseconds},
        {"wait_p99_ms", rank.waitP99Milliseconds},
        {"window_in_time", static_cast<qint64>(rank.answeredInTimeInWindow)},
    };
}

QJsonObject toObject(const std::array<RankSummary, enumCount<Rank>()> &ranks)
{
    QJsonObject object;
    for (const auto &row : enumNames(Rank{})) {
        object.insert(text(row.name), toObject(ranks[static_cast<std::size_t>(row.value)]));
    }
    return object;
}

}

std::size_t RankSummary::notRunTotal() const
{
    return std::accumulate(notRun.begin(), notRun.end(), std::size_t{0});
}

std::size_t RankSummary::unknownTotal() const
{
    return std::accumulate(unknown.begin(), unknown.end(), std::size_t{0});
}

double RankSummary::inTimeShare() const
{
    return offered > 0 ? static_cast<double>(answeredInTime) / static_cast<double>(offered) : 1.0;
}

double RankSummary::missedShare() const
{
    return 1.0 - inTimeShare();
}

bool isAnsweredInTime(const RunRecord &record, CallId call)
{
    const Arrival &arrival = record.arrivals[call];
    const CallResult &result = record.results[call];
    return result.end == CallEnd::Answered && result.endedAt <= arrival.sentAt + record.model.workKinds[static_cast<std::size_t>(arrival.rank)].target;
}

RunSummary summarise(const RunRecord &record)
{
    RunSummary summary;
    summary.services.resize(record.model.services.size());
    for (std::size_t rank = 0; rank < summary.ranks.size(); ++rank) {
        summary.ranks[rank] = summariseRank(record, [rank](const Arrival &arrival) {
            return static_cast<std::size_t>(arrival.rank) == rank;
        });
        for (std::size_t service = 0; service < summary.services.size(); ++service) {
            summary.services[service][rank] = summariseRank(record, [rank, service](const Arrival &arrival) {
                return static_cast<std::size_t>(arrival.rank) == rank && arrival.service == service;
            });
        }
    }
    addExecutionFigures(summary, record);
    for (const std::uint64_t probes : record.probesPerSecond) {
        summary.maximumProbesPerSecond = std::max(summary.maximumProbesPerSecond, probes);
        summary.secondsOverBudget += static_cast<double>(probes) > record.model.probesPerSecond ? 1 : 0;
    }
    summary.windowSeconds = toMilliseconds(record.plan.windowEnd - record.plan.windowStart) / 1000.0;
    return summary;
}

std::string toJson(const RunRecord &record, const RunSummary &summary)
{
    QJsonObject services;
    for (std::size_t service = 0; service < summary.services.size(); ++service) {
        services.insert(text(record.model.services[service].name), toObject(summary.services[service]));
    }
    const QJsonObject object{
        {"deployment", text(nameOf(record.settings.deployment))},
        {"scenario", text(nameOf(record.settings.scenario))},
        {"policy", text(nameOf(record.policy))},
        {"seed", static_cast<qint64>(record.settings.seed)},
        {"calls", static_cast<qint64>(record.arrivals.size())},
        {"duration_s", toMilliseconds(record.plan.duration) / 1000.0},
        {"window_s", summary.windowSeconds},
        {"ranks", toObject(summary.ranks)},
        {"services", services},
        {"doubled_executions", static_cast<qint64>(summary.duplicateExecutions)},
        {"false_not_run", static_cast<qint64>(summary.falseNotRun)},
        {"probe_budget_per_s", record.model.probesPerSecond},
        {"probes_max_per_s", static_cast<qint64>(summary.maximumProbesPerSecond)},
        {"seconds_over_probe_budget", static_cast<qint64>(summary.secondsOverBudget)},
        {"worth", summary.worth},
        {"worth_offered", summary.worthOffered},
        {"retries", countsByName<RetryReason>(record.retries)},
        {"hand_overs", static_cast<qint64>(record.handOvers)},
        {"ejections", static_cast<qint64>(record.ejections)},
    };
    return QJsonDocument(object).toJson(QJsonDocument::Indented).toStdString();
}

std::string traceOf(const RunRecord &record)
{
    std::string trace = "call,service,rank,caller,sent_ms,work_ms,end,reason,latency_ms,wait_ms,entry,upstream,executions\n";
    for (CallId call = 0; call < record.arrivals.size(); ++call) {
        const Arrival &arrival = record.arrivals[call];
        const CallResult &result = record.results[call];
        const bool isAnswered = result.end == CallEnd::Answered;
        const std::string_view reason = result.end == CallEnd::NotRun ? nameOf(result.refusal) : result.end == CallEnd::Unknown ? nameOf(result.unknown) : "";
        trace += fmt::format("{},{},{},{},{:.3f},{:.3f},{},{},{:.3f},{:.3f},{},{},{}\n",
                             call,
                             record.model.services[arrival.service].name,
                             nameOf(arrival.rank),
                             arrival.caller,
                             toMilliseconds(arrival.sentAt.time_since_epoch()),
                             toMilliseconds(arrival.serviceTime),
                             nameOf(result.end),
                             reason,
                             latencyOf(arrival, result),
                             isAnswered ? waitOf(arrival, result) : 0.0,
                             result.contactedEntry,
                             result.upstream,
                             record.executions[call]);
    }
    return trace;
}

}
