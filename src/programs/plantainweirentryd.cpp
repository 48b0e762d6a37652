#include "core/commandline.h"
#include "observability/logevents.h"
#include "tasks/entryd.h"
#include "tasks/signalwatcher.h"

#include <QCoreApplication>

#include <random>

using namespace Plantainweir;

namespace {

void addSettings(CommandLine &commandLine)
{
    commandLine.addText("name", "name of this entry VM, unique in the fleet");
    commandLine.addText("availability-zone", "availability zone of this entry VM");
    commandLine.addEndpoint("caller-port", "where callers connect", "127.0.0.1:8080");
    commandLine.addEndpoint("peer-port", "where other entry VMs connect", "127.0.0.1:7404");
    commandLine.addEndpoint("control", "the control port of this VM's controld", "127.0.0.1:7400");
    commandLine.addEndpoint("operators-port", "metrics, health and status; keep it on loopback", "127.0.0.1:7405");
}

EntrydSettings readSettings(const CommandLine &commandLine)
{
    return {
        .name = commandLine.text("name"),
        .availabilityZone = commandLine.text("availability-zone"),
        .callerPort = commandLine.endpoint("caller-port"),
        .peerPort = commandLine.endpoint("peer-port"),
        .operatorsPort = commandLine.endpoint("operators-port"),
        .control = commandLine.endpoint("control"),
        .seed = (static_cast<std::uint64_t>(std::random_device{}()) << 32) | std::random_device{}(),
    };
}

}

int main(int argc, char **argv)
{
    CommandLine commandLine("plantainweir-entryd", "Serves callers on an entry VM: decides for each call which upstream runs it, and when.");
    addSettings(commandLine);
    if (const auto status = commandLine.parse(argc, argv)) {
        return static_cast<int>(*status);
    }
    QCoreApplication application(argc, argv);
    SignalWatcher signalWatcher;
    const EntrydSettings settings = readSettings(commandLine);
    Entryd entry(settings);
    QObject::connect(&signalWatcher, &SignalWatcher::stopRequested, &entry, [&entry] {
        logEvent(LogEvent::ProgramStopping);
        entry.leave();
    });
    QObject::connect(&entry, &Entryd::stopped, &application, &QCoreApplication::quit);
    if (!entry.start()) {
        return static_cast<int>(ExitStatus::Failure);
    }
    logEvent(LogEvent::ProgramStarted, {{"name", settings.name}, {"caller_port", toString(entry.self().callerEndpoint)}});
    const int status = QCoreApplication::exec();
    logEvent(LogEvent::ProgramStopped);
    return status;
}
