#include "operators/reports.h"

#include "configuration/configurationjson.h"
#include "operators/texttable.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace Plantainweir {
namespace {

QString toQString(std::string_view text)
{
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

std::string toText(const QJsonObject &object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Indented).toStdString();
}

QJsonArray toJson(const std::vector<std::string> &texts)
{
    QJsonArray array;
    for (const std::string &text : texts) {
        array.append(toQString(text));
    }
    return array;
}

QJsonArray toJson(const std::vector<Difference> &differences)
{
    QJsonArray array;
    for (const Difference &difference : differences) {
        array.append(QJsonObject{{"kind", toQString(nameOf(difference.kind))},
                                 {"item", toQString(difference.item)},
                                 {"before", toQString(difference.before)},
                                 {"after", toQString(difference.after)}});
    }
    return array;
}

QJsonArray toJson(const std::vector<Finding> &findings)
{
    QJsonArray array;
    for (const Finding &finding : findings) {
        array.append(QJsonObject{{"severity", toQString(nameOf(finding.severity))},
                                 {"entry", toQString(nameOf(finding.entry))},
                                 {"name", toQString(finding.name)},
                                 {"field", toQString(finding.field)},
                                 {"message", toQString(finding.message)}});
    }
    return array;
}

QJsonArray toJson(const std::vector<RouteTableDifference> &differences)
{
    QJsonArray array;
    for (const RouteTableDifference &row : differences) {
        array.append(QJsonObject{{"kind", toQString(nameOf(row.difference.kind))},
                                 {"item", toQString(row.difference.item)},
                                 {"before", toQString(row.difference.before)},
                                 {"after", toQString(row.difference.after)},
                                 {"effect", toQString(row.effect)}});
    }
    return array;
}

std::size_t countOf(const RouteTableReport &report, FindingSeverity severity)
{
    return static_cast<std::size_t>(std::count_if(report.findings.begin(), report.findings.end(), [severity](const Finding &finding) {
        return finding.severity == severity;
    }));
}

std::string renderTable(const RouteTableReport &report)
{
    std::string text;
    for (const Finding &finding : report.findings) {
        text += toString(finding) + '\n';
    }
    for (const RouteTableDifference &row : report.differences) {
        text += toString(row.difference) + '\n';
        text += row.effect.empty() ? std::string() : fmt::format("    {}\n", row.effect);
    }
    if (report.isCompared && report.differences.empty()) {
        text += "no difference from the version in force\n";
    }
    return text
           + fmt::format("{} errors, {} warnings: {} routes, {} services, {} accounts\n",
                         countOf(report, FindingSeverity::Error),
                         countOf(report, FindingSeverity::Warning),
                         report.routes,
                         report.services,
                         report.accounts);
}

/** Returns the command that shows the result of a write, or an empty text if the result is known. */
std::string statusCommand(const ObjectChange &change)
{
    if (change.state != ChangeState::NotKnown) {
        return {};
    }
    return fmt::format("plantainweirctl status --write '{}'", toString(WriteReference{.object = change.object, .write = change.write}));
}

std::string versionText(std::uint64_t version)
{
    return version == 0 ? std::string("-") : fmt::format("{}", version);
}

std::string indented(const std::vector<Difference> &differences)
{
    std::string text;
    for (const Difference &difference : differences) {
        text += fmt::format("    {}\n", toString(difference));
    }
    return text;
}

std::string details(const ReportedChange &reported)
{
    const ObjectChange &change = reported.change;
    std::string text = fmt::format("{}, the change from version {}:\n{}", change.object, versionText(change.write.base), indented(reported.differences));
    if (change.rejection == RejectionReason::Conflict) {
        text += fmt::format("  Another change was made first. Your change compared with what the platform has now:\n{}",
                            reported.conflictDifferences.empty() ? "    (no difference, or not known)\n" : indented(reported.conflictDifferences));
    }
    const std::string command = statusCommand(change);
    if (!command.empty()) {
        text += fmt::format("  Not known yet. This command shows the result:\n    {}\n", command);
    }
    return text;
}

std::string renderTable(const ChangeReport &report)
{
    std::string text;
    TextTable table{.header = {"OBJECT", "RESULT", "REASON", "VERSION"}, .rows = {}};
    for (const ReportedChange &reported : report.changes) {
        const ObjectChange &change = reported.change;
        const bool hasReason = change.rejection != RejectionReason::None;
        table.rows.push_back(
            {change.object, std::string(nameOf(change.state)), hasReason ? std::string(nameOf(change.rejection)) : "-", versionText(change.version)});
    }
    for (const std::string &object : report.unchanged) {
        table.rows.push_back({object, "unchanged", "-", "-"});
    }
    for (const std::string &service : report.keptServices) {
        table.rows.push_back({serviceObjectName(service), "kept", "not in the inventory; --prune removes it", "-"});
    }
    if (!table.rows.empty()) {
        text += renderTable(table);
    }
    for (const ReportedChange &reported : report.changes) {
        text += '\n' + details(reported);
    }
    const std::string error = report.error.empty() ? std::string() : ": " + report.error;
    return text + fmt::format("{}{}{}\n", text.empty() ? "" : "\n", nameOf(report.result), error);
}

QJsonObject toJson(const ReportedChange &reported)
{
    const ObjectChange &change = reported.change;
    return {
        {"object", toQString(change.object)},
        {"state", toQString(nameOf(change.state))},
        {"reason", toQString(nameOf(change.rejection))},
        {"base", static_cast<double>(change.write.base)},
        {"version", static_cast<double>(change.version)},
        {"differences", toJson(reported.differences)},
        {"lostTo", toJson(reported.conflictDifferences)},
        {"tellingCommand", toQString(statusCommand(change))},
    };
}

std::size_t drainingCount(const Service &service)
{
    return static_cast<std::size_t>(std::count_if(service.upstreams.begin(), service.upstreams.end(), [](const Upstream &upstream) {
        return upstream.isDraining;
    }));
}

std::string describeContent(const StoredConfiguration &stored, const std::string &name)
{
    if (name == RulesObjectName) {
        return fmt::format("{} work kinds", stored.configuration.rules.workKinds.size());
    }
    const auto found = stored.configuration.services.find(std::string_view(name).substr(ServiceObjectPrefix.size()));
    if (found == stored.configuration.services.end()) {
        return "-";
    }
    if (found->second.isRemoved) {
        return "removed";
    }
    return fmt::format("{} upstreams, {} draining", found->second.upstreams.size(), drainingCount(found->second));
}

/** Returns the names of all objects that the platform or a daemon has. */
std::set<std::string> objectNames(const StatusReport &report)
{
    std::set<std::string> names;
    if (report.stored) {
        for (const auto &[name, object] : report.stored->objects) {
            names.insert(name);
        }
    }
    for (const DaemonStatus &daemon : report.daemons) {
        for (const auto &[name, version] : daemon.versions) {
            names.insert(name);
        }
    }
    return names;
}

std::uint64_t versionIn(const DaemonStatus &daemon, const std::string &name)
{
    const auto found = daemon.versions.find(name);
    return found == daemon.versions.end() ? 0 : found->second;
}

std::vector<std::string> statusRow(const StatusReport &report, const std::string &name)
{
    const bool isStored = report.stored && report.stored->objects.contains(name);
    const StoredObject object = isStored ? report.stored->objects.at(name) : StoredObject{};
    const std::string content = isStored ? describeContent(*report.stored, name) : "-";
    std::vector<std::string> row{name, versionText(object.version), object.error.empty() ? content : "invalid: " + object.error};
    for (const DaemonStatus &daemon : report.daemons) {
        row.push_back(daemon.error.empty() ? versionText(versionIn(daemon, name)) : "?");
    }
    return row;
}

std::string_view describe(WriteResolution writeResolution)
{
    switch (writeResolution) {
    case WriteResolution::Accepted:
        return "accepted";
    case WriteResolution::Superseded:
        return "rejected: another change was made first";
    case WriteResolution::Pending:
        return "not known yet: it has not taken effect, but still may";
    case WriteResolution::Indeterminate:
        return "not known: the object has changed too often since";
    }
    return {};
}

std::string renderTable(const StatusReport &report)
{
    TextTable table{.header = {"OBJECT", "PLATFORM", "CONTENT"}, .rows = {}};
    for (const DaemonStatus &daemon : report.daemons) {
        table.header.push_back(toString(daemon.endpoint));
    }
    for (const std::string &name : objectNames(report)) {
        table.rows.push_back(statusRow(report, name));
    }
    std::string text = renderTable(table);
    if (!report.stored) {
        text += "The platform did not answer.\n";
    }
    for (const DaemonStatus &daemon : report.daemons) {
        if (!daemon.error.empty()) {
            text += fmt::format("{}: {}\n", toString(daemon.endpoint), daemon.error);
        }
    }
    if (report.writeResolution) {
        text += fmt::format("The write is {}.\n", describe(*report.writeResolution));
    }
    return text;
}

QJsonObject toJson(const StatusReport &report)
{
    QJsonArray objects;
    if (report.stored) {
        for (const auto &[name, object] : report.stored->objects) {
            objects.append(QJsonObject{{"object", toQString(name)},
                                       {"version", static_cast<double>(object.version)},
                                       {"content", toQString(describeContent(*report.stored, name))},
                                       {"fault", toQString(object.error)}});
        }
    }
    QJsonArray daemons;
    for (const DaemonStatus &daemon : report.daemons) {
        QJsonObject versions;
        for (const auto &[name, version] : daemon.versions) {
            versions.insert(toQString(name), static_cast<double>(version));
        }
        daemons.append(QJsonObject{{"endpoint", toQString(toString(daemon.endpoint))}, {"fault", toQString(daemon.error)}, {"versions", versions}});
    }
    QJsonObject object{{"isPlatformReached", report.stored.has_value()}, {"objects", objects}, {"daemons", daemons}};
    if (report.writeResolution) {
        object.insert("write", toQString(nameOf(*report.writeResolution)));
    }
    return object;
}

}

std::string render(const CheckReport &report, OutputFormat format)
{
    if (format == OutputFormat::Json) {
        QJsonArray errors;
        for (const FileError &error : report.errors) {
            errors.append(QJsonObject{{"file", toQString(error.file)}, {"line", static_cast<qint64>(error.line)}, {"message", toQString(error.message)}});
        }
        return toText({{"isSound", report.errors.empty()},
                       {"faults", errors},
                       {"services", static_cast<qint64>(report.services)},
                       {"upstreams", static_cast<qint64>(report.upstreams)},
                       {"workKinds", static_cast<qint64>(report.workKinds)}});
    }
    std::string text;
    for (const FileError &error : report.errors) {
        text += toString(error) + '\n';
    }
    if (!report.errors.empty()) {
        return text + fmt::format("{} errors; nothing was changed\n", report.errors.size());
    }
    return fmt::format("valid: {} services, {} upstreams, {} work kinds\n", report.services, report.upstreams, report.workKinds);
}

std::string render(const RouteTableReport &report, OutputFormat format)
{
    if (format == OutputFormat::Table) {
        return renderTable(report);
    }
    QJsonObject object{{"isSound", countOf(report, FindingSeverity::Error) == 0},
                       {"findings", toJson(report.findings)},
                       {"routes", static_cast<qint64>(report.routes)},
                       {"services", static_cast<qint64>(report.services)},
                       {"accounts", static_cast<qint64>(report.accounts)}};
    if (report.isCompared) {
        object.insert("differences", toJson(report.differences));
    }
    return toText(object);
}

std::string render(const ChangeReport &report, OutputFormat format)
{
    if (format == OutputFormat::Table) {
        return renderTable(report);
    }
    QJsonArray changes;
    for (const ReportedChange &reported : report.changes) {
        changes.append(toJson(reported));
    }
    return toText({{"result", toQString(nameOf(report.result))},
                   {"fault", toQString(report.error)},
                   {"changes", changes},
                   {"unchanged", toJson(report.unchanged)},
                   {"kept", toJson(report.keptServices)}});
}

std::string render(const StatusReport &report, OutputFormat format)
{
    return format == OutputFormat::Table ? renderTable(report) : toText(toJson(report));
}

OperatorExitStatus exitStatusOf(const CheckReport &report)
{
    return report.errors.empty() ? OperatorExitStatus::Success : OperatorExitStatus::Usage;
}

OperatorExitStatus exitStatusOf(const RouteTableReport &report)
{
    if (countOf(report, FindingSeverity::Error) > 0) {
        return OperatorExitStatus::Usage;
    }
    const bool hasWarnings = countOf(report, FindingSeverity::Warning) > 0;
    return report.isStrict && hasWarnings ? OperatorExitStatus::Failure : OperatorExitStatus::Success;
}

OperatorExitStatus exitStatusOf(const ChangeReport &report)
{
    switch (report.result) {
    case ChangeResult::Accepted:
        return OperatorExitStatus::Success;
    case ChangeResult::Failed:
        return OperatorExitStatus::Failure;
    case ChangeResult::Invalid:
        return OperatorExitStatus::Usage;
    case ChangeResult::Rejected:
        return OperatorExitStatus::Rejected;
    case ChangeResult::NotKnown:
        return OperatorExitStatus::NotKnown;
    }
    return OperatorExitStatus::Failure;
}

OperatorExitStatus exitStatusOf(const StatusReport &report)
{
    const bool isDaemonMissing = std::any_of(report.daemons.begin(), report.daemons.end(), [](const DaemonStatus &daemon) {
        return !daemon.error.empty();
    });
    if (!report.stored || isDaemonMissing) {
        return OperatorExitStatus::Failure;
    }
    if (!report.writeResolution || report.writeResolution == WriteResolution::Accepted) {
        return OperatorExitStatus::Success;
    }
    return report.writeResolution == WriteResolution::Superseded ? OperatorExitStatus::Rejected : OperatorExitStatus::NotKnown;
}

}
