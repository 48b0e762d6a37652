#include "policytable.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace Plantainweir {
namespace {

double percentage(std::size_t part, std::size_t whole)
{
    return whole > 0 ? 100.0 * static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

const RankSummary &lookups(const TableRow &row)
{
    return row.summary.ranks[static_cast<std::size_t>(Rank::Low)];
}

/** Returns the values of the ranks, best rank first, separated by slashes. */
template<typename Value>
std::string byRank(const TableRow &row, const char *format, Value value)
{
    std::string text;
    for (const RankSummary &rank : row.summary.ranks) {
        text += text.empty() ? "" : " / ";
        text += fmt::format(fmt::runtime(format), value(rank));
    }
    return text;
}

template<typename Enum>
std::string countsByName(const std::array<std::size_t, enumCount<Enum>()> &counts)
{
    std::string text;
    for (const auto &row : enumNames(Enum{})) {
        const std::size_t count = counts[static_cast<std::size_t>(row.value)];
        if (count > 0) {
            text += fmt::format("{}{}={}", text.empty() ? "" : " ", row.name, count);
        }
    }
    return text;
}

/** A panel of the plot, which shows one measure. */
struct Panel {
    std::string title;
    double maximum;
    double top; ///< Upper edge of the panel, in pixels.
    double (*value)(const TableRow &row);
};

constexpr double PanelHeight = 200.0;
constexpr double LeftMargin = 60.0;
constexpr double BarWidth = 9.0;
constexpr double GroupGap = 12.0;
constexpr double GroupWidth = static_cast<double>(enumCount<Policy>()) * BarWidth + GroupGap;
constexpr std::array<const char *, enumCount<Policy>()> Colours{"#bbbbbb", "#88aacc", "#4477aa", "#ddaa33", "#228833", "#222222"};

std::string toBars(const Panel &panel, const std::vector<TableRow> &rows)
{
    std::string svg = fmt::format("<text x=\"{}\" y=\"{}\">{}</text>\n", LeftMargin, panel.top - 8.0, panel.title);
    for (const double share : {0.0, 0.5, 1.0}) {
        const double y = panel.top + PanelHeight * (1.0 - share);
        const double right = LeftMargin + GroupWidth * static_cast<double>(enumCount<Scenario>());
        svg += fmt::format("<line x1=\"{0}\" x2=\"{1}\" y1=\"{2}\" y2=\"{2}\" stroke=\"#dddddd\"/>\n", LeftMargin, right, y);
        svg += fmt::format("<text x=\"{}\" y=\"{}\" text-anchor=\"end\">{:g}</text>\n", LeftMargin - 4.0, y + 4.0, share * panel.maximum);
    }
    for (const TableRow &row : rows) {
        const auto scenario = static_cast<double>(row.settings.scenario);
        const auto policy = static_cast<std::size_t>(row.policy);
        const double height = PanelHeight * std::min(panel.value(row) / panel.maximum, 1.0);
        svg += fmt::format("<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{}\" height=\"{:.1f}\" fill=\"{}\"/>\n",
                           LeftMargin + scenario * GroupWidth + static_cast<double>(policy) * BarWidth,
                           panel.top + PanelHeight - height,
                           BarWidth - 1.0,
                           height,
                           Colours[policy]);
    }
    return svg;
}

std::string toLegend(double top)
{
    std::string svg;
    for (const auto &row : enumNames(Policy{})) {
        const auto index = static_cast<std::size_t>(row.value);
        const double x = LeftMargin + 170.0 * static_cast<double>(index);
        svg += fmt::format("<rect x=\"{}\" y=\"{}\" width=\"10\" height=\"10\" fill=\"{}\"/>\n", x, top - 10.0, Colours[index]);
        svg += fmt::format("<text x=\"{}\" y=\"{}\">{}</text>\n", x + 14.0, top, row.name);
    }
    return svg;
}

std::string toScenarioNames(double top)
{
    std::string svg;
    for (const auto &row : enumNames(Scenario{})) {
        const double x = LeftMargin + GroupWidth * static_cast<double>(row.value) + GroupWidth / 2.0;
        svg += fmt::format("<text transform=\"translate({:.1f},{:.1f}) rotate(-35)\" text-anchor=\"end\">{}</text>\n", x, top, row.name);
    }
    return svg;
}

}

std::vector<TableRow> runAll(Deployment deployment, std::uint64_t seed, std::size_t calls)
{
    std::vector<TableRow> rows;
    for (const auto &scenario : enumNames(Scenario{})) {
        for (const auto &policy : enumNames(Policy{})) {
            const RunSettings settings{.deployment = deployment, .scenario = scenario.value, .seed = seed, .calls = calls};
            rows.push_back({.settings = settings, .policy = policy.value, .summary = summarise(runScenario(settings, policy.value))});
        }
    }
    return rows;
}

std::string toMarkdown(const std::vector<TableRow> &rows)
{
    std::string text = "| scenario | policy | lookup p50 / p99 / p99.9, ms | lookup wait p99, ms | in time, % | not run, % | unknown, % | other misses, % | "
                       "worth, % | doubled | false \"not run\" | probes/s |\n"
                       "|---|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (const TableRow &row : rows) {
        const RunSummary &summary = row.summary;
        text += fmt::format("| {} | {} | {:.1f} / {:.1f} / {:.1f} | {:.1f} | {} | {} | {} | {} | {:.1f} | {} | {} | {} |\n",
                            nameOf(row.settings.scenario),
                            nameOf(row.policy),
                            lookups(row).p50Milliseconds,
                            lookups(row).p99Milliseconds,
                            lookups(row).p999Milliseconds,
                            lookups(row).waitP99Milliseconds,
                            byRank(row,
                                   "{:.2f}",
                                   [](const RankSummary &rank) {
                                       return percentage(rank.answeredInTime, rank.offered);
                                   }),
                            byRank(row,
                                   "{:.2f}",
                                   [](const RankSummary &rank) {
                                       return percentage(rank.notRunTotal(), rank.offered);
                                   }),
                            byRank(row,
                                   "{:.2f}",
                                   [](const RankSummary &rank) {
                                       return percentage(rank.unknownTotal(), rank.offered);
                                   }),
                            byRank(row,
                                   "{:.2f}",
                                   [](const RankSummary &rank) {
                                       return percentage(rank.answeredLate + rank.serverErrors + rank.unanswered, rank.offered);
                                   }),
                            100.0 * summary.worth / summary.worthOffered,
                            summary.duplicateExecutions,
                            summary.falseNotRun,
                            summary.maximumProbesPerSecond);
    }
    return text;
}

std::string toCsv(const std::vector<TableRow> &rows)
{
    std::string text = "deployment,scenario,policy,rank,offered,answered_in_time,answered_late,server_errors,unanswered,not_run,unknown,p50_ms,p99_ms,p999_ms,"
                       "wait_p99_ms\n";
    for (const TableRow &row : rows) {
        for (const auto &rank : enumNames(Rank{})) {
            const RankSummary &summary = row.summary.ranks[static_cast<std::size_t>(rank.value)];
            text += fmt::format("{},{},{},{},{},{},{},{},{},{},{},{:.2f},{:.2f},{:.2f},{:.2f}\n",
                                nameOf(row.settings.deployment),
                                nameOf(row.settings.scenario),
                                nameOf(row.policy),
                                rank.name,
                                summary.offered,
                                summary.answeredInTime,
                                summary.answeredLate,
                                summary.serverErrors,
                                summary.unanswered,
                                countsByName<RefusalReason>(summary.notRun),
                                countsByName<UnknownReason>(summary.unknown),
                                summary.p50Milliseconds,
                                summary.p99Milliseconds,
                                summary.p999Milliseconds,
                                summary.waitP99Milliseconds);
        }
    }
    return text;
}

std::string toSvg(const std::vector<TableRow> &rows)
{
    const Panel latency{
        .title = "Lookup p99 as the caller sees it, ms; a call without an answer counts with its target of 250 ms",
        .maximum = 250.0,
        .top = 60.0,
        .value =
            [](const TableRow &row) {
                return lookups(row).p99OfOfferedMilliseconds;
            },
    };
    const Panel worth{
        .title = "Worth delivered, % of the worth offered",
        .maximum = 100.0,
        .top = latency.top + PanelHeight + 50.0,
        .value =
            [](const TableRow &row) {
                return 100.0 * row.summary.worth / row.summary.worthOffered;
            },
    };
    const double bottom = worth.top + PanelHeight;
    const double width = LeftMargin + GroupWidth * static_cast<double>(enumCount<Scenario>()) + 20.0;
    std::string svg = fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {0} {1}\" width=\"{0}\" height=\"{1}\" "
                                  "font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" fill=\"#ffffff\"/>\n",
                                  width,
                                  bottom + 120.0);
    svg += toLegend(24.0) + toBars(latency, rows) + toBars(worth, rows) + toScenarioNames(bottom + 16.0);
    return svg + "</svg>\n";
}

}
