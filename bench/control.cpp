#include "configuration/configurationjson.h"
#include "controlfleet.h"
#include "controlsteps.h"
#include "core/commandline.h"
#include "core/parsenumber.h"
#include "subcommands.h"

#include <QCoreApplication>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

#include <cmath>

namespace Plantainweir {
namespace {

/** Returns the least-squares line through the points (@p xName, @p yName) of @p rows. */
QJsonObject fitLine(const QJsonArray &rows, const QString &xName, const QString &yName)
{
    double sumX = 0.0;
    double sumY = 0.0;
    double sumXX = 0.0;
    double sumXY = 0.0;
    for (const auto &row : rows) {
        const double x = row.toObject()[xName].toDouble();
        const double y = row.toObject()[yName].toDouble();
        sumX += x;
        sumY += y;
        sumXX += x * x;
        sumXY += x * y;
    }
    const auto count = static_cast<double>(rows.size());
    const double divisor = count * sumXX - sumX * sumX;
    const double slope = divisor == 0.0 ? 0.0 : (count * sumXY - sumX * sumY) / divisor;
    return {{"intercept", (sumY - slope * sumX) / count}, {"per_member", slope}};
}

QJsonObject fitLines(const QJsonArray &rows)
{
    QJsonObject slopes;
    for (const QString name :
         {"idle_bytes_per_second", "bytes_per_second", "core_percent", "resident_mib", "platform_calls_per_second", "in_force_milliseconds_max"}) {
        slopes[name] = fitLine(rows, "members", name);
    }
    return slopes;
}

std::vector<std::size_t> parseSizes(const std::string &text)
{
    std::vector<std::size_t> sizes;
    for (const QString &part : QString::fromStdString(text).split(',')) {
        sizes.push_back(parseNumber<std::size_t>(part.toStdString()).value_or(0));
    }
    return sizes;
}

}

int runControl(int argc, char **argv)
{
    CommandLine commandLine("plantainweir-bench control", "Measures controlds on loopback by the size of the fleet, and each controller's step alone.");
    commandLine.addText("sizes", "sizes of the fleet, separated by commas", "3,6,12,24,48");
    commandLine.addInteger("seconds", "duration of one measurement in seconds", 5, 600, 20);
    commandLine.addInteger("first-port", "first port of the range to use", 1024, 60000, 23000);
    commandLine.addText("output", "file for the JSON; standard output if it is -", "-");
    if (const auto status = commandLine.parse(argc, argv)) {
        return static_cast<int>(*status);
    }
    QCoreApplication application(argc, argv);
    QJsonArray fleets;
    for (const std::size_t size : parseSizes(commandLine.text("sizes"))) {
        ControlFleet fleet(size, static_cast<quint16>(commandLine.integer("first-port")));
        const auto measured = fleet.measure(std::chrono::seconds(commandLine.integer("seconds")));
        if (!measured) {
            fmt::print(stderr, "plantainweir-bench: a fleet of {} members did not converge within a minute\n", size);
            return static_cast<int>(ExitStatus::Failure);
        }
        fleets.append(*measured);
        fmt::print(stderr, "{}", QJsonDocument(*measured).toJson(QJsonDocument::Compact).toStdString() + "\n");
    }
    const QJsonObject report{{"fleets", fleets}, {"slopes", fitLines(fleets)}, {"steps", measureControlSteps()}};
    const QByteArray json = QJsonDocument(report).toJson();
    if (commandLine.text("output") == "-") {
        fmt::print("{}", json.toStdString());
        return static_cast<int>(ExitStatus::Success);
    }
    QFile file(QString::fromStdString(commandLine.text("output")));
    const bool isWritten = file.open(QIODevice::WriteOnly) && file.write(json) == json.size();
    return static_cast<int>(isWritten ? ExitStatus::Success : ExitStatus::Failure);
}

}
