#include "configuration/inventory.h"
#include "configuration/rulesfile.h"
#include "core/commandline.h"
#include "observability/metrics.h"
#include "operators/changetask.h"
#include "operators/reports.h"
#include "operators/statustask.h"
#include "platform/configurationfile.h"
#include "platform/platformcodec.h"
#include "tasks/platformtask.h"
#include "tasks/storelisttask.h"

#include <QCoreApplication>
#include <QUuid>

#include <fmt/core.h>

#include <chrono>
#include <limits>

using namespace Plantainweir;

namespace {

constexpr std::string_view Program = "plantainweirctl";
constexpr std::int64_t MaximumBodyBytes = std::numeric_limits<std::int64_t>::max();

enum class Command {
    Check,
    CheckPlatform,
    Apply,
    Status,
    Drain,
};

constexpr std::array<EnumName<Command>, 5> enumNames(Command)
{
    return {{
        {Command::Check, "check"},
        {Command::CheckPlatform, "check-platform"},
        {Command::Apply, "apply"},
        {Command::Status, "status"},
        {Command::Drain, "drain"},
    }};
}
static_assert(isEnumTableOrdered<Command>());

constexpr auto CommandHelp = "Commands:\n"
                             "  check                    check the inventory and the rules; changes nothing\n"
                             "  check-platform           check a configuration in the platform's format; changes nothing. Exit statuses:\n"
                             "                           0 no error, 1 warnings with --strict, 2 errors\n"
                             "  apply                    check both files, then write them to the platform\n"
                             "  status                   show what the platform stores and which versions daemons have in force\n"
                             "  drain SERVICE/UPSTREAM   give an upstream no new work; --undo ends the drain\n"
                             "\n"
                             "Exit statuses: 0 done, 1 platform or daemon not reached and nothing written, 2 wrong input and nothing\n"
                             "tried, 3 rejected, 4 not known yet (the output names the command that shows the result).";

/** An upstream named on the command line. */
struct UpstreamName {
    std::string service;
    std::string upstream;
};

std::optional<UpstreamName> parseUpstreamName(const std::string &text)
{
    const std::size_t slash = text.find('/');
    if (slash == std::string::npos || slash == 0 || slash + 1 == text.size()) {
        return std::nullopt;
    }
    return UpstreamName{.service = text.substr(0, slash), .upstream = text.substr(slash + 1)};
}

int toExitStatus(OperatorExitStatus status)
{
    return static_cast<int>(status);
}

int failUsage(const std::string &message)
{
    fmt::print(stderr, "{}: {}\n", Program, message);
    return toExitStatus(OperatorExitStatus::Usage);
}

void addSettings(CommandLine &commandLine)
{
    commandLine.addText("inventory", "CSV file of the upstreams, for check and apply", "");
    commandLine.addText("rules", "YAML file of the work kinds and the probe budget, for check and apply", "");
    commandLine.addText("configuration", "JSON file of a configuration in the platform's format, for check-platform", "");
    commandLine.addText("in-force", "JSON file of the configuration in force, with which check-platform compares", "");
    commandLine.addText("store", "address of the platform's store, with whose configuration check-platform compares", "");
    commandLine.addInteger("body-bytes", "size of the largest body that callers send, for check-platform; 0 if not known", 0, MaximumBodyBytes, 0);
    commandLine.addOptionalNumber("retry-share", "--retry-share of the gatewayds, for check-platform; empty if not known", 0.0, 10.0);
    commandLine.addEndpoint("platform", "the platform", "127.0.0.1:7900");
    commandLine.addInteger("timeout-ms", "time in milliseconds after which writes without a known result are reported as not known", 100, 3'600'000, 30'000);
    commandLine.addInteger("platform-calls-per-second", "maximum number of calls to the platform per second", 1, 500, 50);
    commandLine.addChoice("output", "table for a person, json for a script", {"table", "json"}, "table");
    commandLine.addEndpointList("entry", "operators' ports of entryds and controlds, for status");
    commandLine.addText("write", "a write whose answer was lost, as OBJECT@BASE#ID, for status", "");
    commandLine.addSwitch("prune", "apply removes services that the inventory does not name");
    commandLine.addSwitch("strict", "check-platform fails on warnings too");
    commandLine.addSwitch("undo", "drain ends the draining of the upstream instead");
    commandLine.addPositional("COMMAND", CommandHelp, 2);
}

/** Prints a report and ends the event loop with its exit status. */
template<typename Report>
void printAndExit(const Report &report, OutputFormat format)
{
    fmt::print("{}", render(report, format));
    QCoreApplication::exit(toExitStatus(exitStatusOf(report)));
}

PlatformSettings platformSettings(const CommandLine &commandLine)
{
    const auto callsPerSecond = static_cast<std::uint32_t>(commandLine.integer("platform-calls-per-second"));
    PlatformSettings settings;
    settings.endpoint = commandLine.endpoint("platform");
    settings.scheduler.callsPerSecond = callsPerSecond;
    settings.scheduler.burst = callsPerSecond;
    settings.scheduler.queueLimit = 100'000;
    settings.scheduler.maximumBackoff = std::chrono::seconds(1);
    settings.seed = static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
    return settings;
}

/** The content of the inventory and the rules, and the result of their check. */
struct ConfigurationFiles {
    CheckReport report;
    DesiredConfiguration desired;
};

ConfigurationFiles readFiles(const CommandLine &commandLine)
{
    ConfigurationFiles files;
    const auto services = collectErrors(
        [&commandLine] {
            return readInventory(commandLine.text("inventory"));
        },
        files.report.errors);
    const auto rules = collectErrors(
        [&commandLine] {
            return readRules(commandLine.text("rules"));
        },
        files.report.errors);
    files.desired = {.services = services.value_or(ServiceMap()), .rules = rules.value_or(Rules()), .isPruning = commandLine.isOn("prune")};
    files.report.services = files.desired.services.size();
    files.report.workKinds = files.desired.rules.workKinds.size();
    for (const auto &[name, service] : files.desired.services) {
        files.report.upstreams += service.upstreams.size();
    }
    return files;
}

std::string generateWriteId()
{
    return QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
}

/** Runs one command against the platform until its report is printed. */
class CommandRunner
{
public:
    CommandRunner(QCoreApplication &application, const CommandLine &commandLine)
        : m_application(application)
        , m_format(valueNamed<OutputFormat>(commandLine.text("output")).value_or(OutputFormat::Table))
        , m_deadline(Clock::now() + std::chrono::milliseconds(commandLine.integer("timeout-ms")))
        , m_platform(platformSettings(commandLine), m_metrics)
    {
    }

    int runChange(const ChangePlanner &planner)
    {
        ChangeTask task(m_platform, planner, m_deadline);
        QObject::connect(&task, &ChangeTask::finished, &m_application, [this](const ChangeReport &report) {
            printAndExit(report, m_format);
        });
        task.start();
        return QCoreApplication::exec();
    }

    int runStatus(const std::vector<Endpoint> &daemons, const std::optional<WriteReference> &write)
    {
        StatusTask task(m_platform, daemons, write, m_deadline);
        QObject::connect(&task, &StatusTask::finished, &m_application, [this](const StatusReport &report) {
            printAndExit(report, m_format);
        });
        task.start();
        return QCoreApplication::exec();
    }

private:
    QCoreApplication &m_application;
    OutputFormat m_format;
    TimePoint m_deadline;
    Metrics m_metrics;
    PlatformTask m_platform;
};

int check(const CommandLine &commandLine, OutputFormat format)
{
    const ConfigurationFiles files = readFiles(commandLine);
    fmt::print("{}", render(files.report, format));
    return toExitStatus(exitStatusOf(files.report));
}

/** Reads a file and its findings; adds the reason to @p findings if it cannot be read. */
Platform::ConfigurationFile readPlatformFile(const std::string &path)
{
    std::vector<FileError> errors;
    const auto text = collectErrors(
        [&path] {
            return readSourceFile(path);
        },
        errors);
    if (text) {
        return Platform::readConfigurationFile(*text);
    }
    Platform::ConfigurationFile unread;
    for (const FileError &error : errors) {
        unread.findings.push_back(
            {.severity = FindingSeverity::Error, .entry = FindingEntry::Configuration, .name = {}, .field = {}, .message = toString(error)});
    }
    return unread;
}

FleetSettings fleetSettings(const CommandLine &commandLine)
{
    const std::int64_t bodyBytes = commandLine.integer("body-bytes");
    return {.retryShare = commandLine.optionalNumber("retry-share"),
            .largestBodyBytes = bodyBytes == 0 ? std::nullopt : std::optional(static_cast<std::size_t>(bodyBytes))};
}

void addFinding(RouteTableReport &report, FindingSeverity severity, const std::string &field, const std::string &message)
{
    report.findings.push_back({.severity = severity, .entry = FindingEntry::Configuration, .name = {}, .field = field, .message = message});
}

/** Returns the report about @p file alone. */
RouteTableReport reportOn(const Platform::ConfigurationFile &file, const CommandLine &commandLine)
{
    RouteTableReport report{.findings = file.findings, .isStrict = commandLine.isOn("strict")};
    if (!file.table) {
        addFinding(report, FindingSeverity::Error, {}, "gatewayd would not put this configuration into force");
        return report;
    }
    const std::vector<Finding> findings = findingsIn(*file.table, fleetSettings(commandLine));
    report.findings.insert(report.findings.end(), findings.begin(), findings.end());
    report.routes = file.table->routes.size();
    report.services = file.table->services.size();
    report.accounts = file.table->accounts.size();
    return report;
}

void compare(RouteTableReport &report, const RouteTable &inForce, const RouteTable &table)
{
    report.isCompared = true;
    report.differences = differences(inForce, table);
    if (table.version <= inForce.version) {
        addFinding(report, FindingSeverity::Error, "version", fmt::format("{} is not above {}, which is in force", table.version, inForce.version));
    }
}

/** Compares @p table with the configuration among the objects of the store. */
void compareWithStored(RouteTableReport &report, const StoreDelta &stored, const RouteTable &table)
{
    const RouteTable *inForce = nullptr;
    for (const StoreObject &object : stored.objects) {
        const auto *found = std::get_if<RouteTable>(&object.value);
        // gatewayd adopts the highest version.
        if (found != nullptr && (inForce == nullptr || found->version > inForce->version)) {
            inForce = found;
        }
    }
    if (inForce != nullptr) {
        compare(report, *inForce, table);
        return;
    }
    addFinding(report, FindingSeverity::Warning, "store", "holds no configuration that gatewayd accepts, so nothing was compared");
}

/** Reads the configuration of the store once, compares @p table with it, and prints the report. */
int compareWithStore(QCoreApplication &application, const Endpoint &store, RouteTableReport report, const RouteTable &table, OutputFormat format)
{
    StoreListTask list(StoreObjectKind::Configuration, store, Platform::platformCodec());
    QObject::connect(&list, &StoreListTask::listed, &application, [&report, &table, format](const StoreDelta &stored) {
        compareWithStored(report, stored, table);
        printAndExit(report, format);
    });
    QObject::connect(&list, &StoreListTask::failed, &application, [&report, &store, format] {
        addFinding(report, FindingSeverity::Error, "store", fmt::format("{} did not answer, so nothing was compared", toString(store)));
        printAndExit(report, format);
    });
    // An answer that is seconds old is good enough: whoever sends the configuration is told of a conflict by the store.
    list.start(ReadConsistency::Stale);
    return QCoreApplication::exec();
}

int checkPlatform(QCoreApplication &application, const CommandLine &commandLine, OutputFormat format)
{
    const std::string inForcePath = commandLine.text("in-force");
    const std::string storeAddress = commandLine.text("store");
    const auto store = parseEndpoint(storeAddress);
    if (!storeAddress.empty() && !store) {
        return failUsage(fmt::format("--store is \"{}\"; allowed: IP:port", storeAddress));
    }
    if (store && !inForcePath.empty()) {
        return failUsage("--store and --in-force are given; allowed: one of them");
    }
    const Platform::ConfigurationFile file = readPlatformFile(commandLine.text("configuration"));
    RouteTableReport report = reportOn(file, commandLine);
    if (file.table && store) {
        return compareWithStore(application, *store, report, *file.table, format);
    }
    if (file.table && !inForcePath.empty()) {
        const Platform::ConfigurationFile inForce = readPlatformFile(inForcePath);
        if (!inForce.table) {
            return failUsage(fmt::format("--in-force is \"{}\"; allowed: a file with a configuration that gatewayd accepts", inForcePath));
        }
        compare(report, *inForce.table, *file.table);
    }
    fmt::print("{}", render(report, format));
    return toExitStatus(exitStatusOf(report));
}

int apply(QCoreApplication &application, const CommandLine &commandLine, OutputFormat format)
{
    const ConfigurationFiles files = readFiles(commandLine);
    if (!files.report.errors.empty()) {
        fmt::print("{}", render(files.report, format));
        return toExitStatus(OperatorExitStatus::Usage);
    }
    CommandRunner runner(application, commandLine);
    return runner.runChange([desired = files.desired](const StoredConfiguration &stored) -> Result<ChangePlan> {
        return planApply(stored, desired, generateWriteId);
    });
}

int status(QCoreApplication &application, const CommandLine &commandLine)
{
    const std::string text = commandLine.text("write");
    const auto write = parseWriteReference(text);
    if (!text.empty() && !write) {
        return failUsage(fmt::format("--write is \"{}\"; allowed: OBJECT@BASE#ID, as apply or drain printed it", text));
    }
    CommandRunner runner(application, commandLine);
    return runner.runStatus(commandLine.endpointList("entry"), write);
}

int drain(QCoreApplication &application, const CommandLine &commandLine)
{
    const std::string text = commandLine.positional().size() < 2 ? std::string() : commandLine.positional()[1];
    const auto name = parseUpstreamName(text);
    if (!name) {
        return failUsage(fmt::format("the upstream is \"{}\"; allowed: SERVICE/UPSTREAM", text));
    }
    CommandRunner runner(application, commandLine);
    return runner.runChange([name = *name, isDraining = !commandLine.isOn("undo")](const StoredConfiguration &stored) {
        return planDrain(stored, name.service, name.upstream, isDraining, generateWriteId);
    });
}

}

int main(int argc, char **argv)
{
    QCoreApplication application(argc, argv);
    CommandLine commandLine(std::string(Program), "Checks, applies and shows the configuration of plantainweir.");
    addSettings(commandLine);
    if (const auto exitStatus = commandLine.parse(argc, argv)) {
        return static_cast<int>(*exitStatus);
    }
    const std::string commandName = commandLine.positional().empty() ? std::string() : commandLine.positional().front();
    const auto command = valueNamed<Command>(commandName);
    if (!command) {
        return failUsage(fmt::format("the command is \"{}\"; allowed: check, check-platform, apply, status, drain", commandName));
    }
    const OutputFormat format = valueNamed<OutputFormat>(commandLine.text("output")).value_or(OutputFormat::Table);
    const bool needsFiles = command == Command::Check || command == Command::Apply;
    if (needsFiles && (commandLine.text("inventory").empty() || commandLine.text("rules").empty())) {
        return failUsage(fmt::format("--inventory and --rules are needed for {}; allowed: the path of a file each", commandName));
    }
    if (command == Command::CheckPlatform && commandLine.text("configuration").empty()) {
        return failUsage("--configuration is needed for check-platform; allowed: the path of a file");
    }
    switch (*command) {
    case Command::Check:
        return check(commandLine, format);
    case Command::CheckPlatform:
        return checkPlatform(application, commandLine, format);
    case Command::Apply:
        return apply(application, commandLine, format);
    case Command::Status:
        return status(application, commandLine);
    case Command::Drain:
        return drain(application, commandLine);
    }
    return toExitStatus(OperatorExitStatus::Usage);
}
