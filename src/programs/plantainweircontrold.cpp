#include "controllers/configurationcontroller.h"
#include "core/commandline.h"
#include "http/operatorsport.h"
#include "observability/logevents.h"
#include "observability/metrics.h"
#include "tasks/controlserver.h"
#include "tasks/platformtask.h"

#include <QCoreApplication>

using namespace Plantainweir;

namespace {

constexpr std::string_view Program = "plantainweir-controld";

bool reportListening(bool isOpen, const std::string &flag, const Endpoint &endpoint)
{
    if (!isOpen) {
        logEvent(LogEvent::ListenFailed, {{"flag", flag}, {"endpoint", toString(endpoint)}});
    }
    return isOpen;
}

}

int main(int argc, char **argv)
{
    CommandLine commandLine("plantainweir-controld", "Keeps the configuration and the membership of one entry VM and feeds its entryd.");
    commandLine.addText("name", "name of this VM, at most 64 bytes, the same over restarts");
    commandLine.addText("availability-zone", "availability zone of this VM, at most 64 bytes");
    commandLine.addEndpoint("control-port", "gRPC for the entryd of this VM", "127.0.0.1:7400");
    commandLine.addEndpoint("membership-port", "UDP for the controlds of other VMs; its IP number is the one they use", "127.0.0.1:7401");
    commandLine.addEndpoint("exchange-port", "gRPC for the controlds of other VMs; its IP number is the one they use", "127.0.0.1:7402");
    commandLine.addEndpointList("seeds", "membership endpoints of some VMs of the fleet");
    commandLine.addEndpointList("platform", "endpoints of the platform");
    commandLine.addEndpoint("operators-port", "HTTP for metrics, health and status", "127.0.0.1:7403");
    if (const auto status = commandLine.parse(argc, argv)) {
        return static_cast<int>(*status);
    }
    QCoreApplication application(argc, argv);
    logEvent(LogEvent::ProgramStarted, {{"program", Program}, {"name", commandLine.text("name")}});

    Metrics metrics;
    OperatorsPort operatorsPort(metrics, [] {
        return std::string("{}\n");
    });
    ControlServer controlServer;
    QObject::connect(&controlServer, &ControlServer::entryStateReceived, &controlServer, [&controlServer](const EntryState &state) {
        controlServer.setMembers(state.isReady ? std::vector<EntryMember>{state.self} : std::vector<EntryMember>{});
    });
    QObject::connect(&controlServer, &ControlServer::entryGone, &controlServer, [&controlServer] {
        controlServer.setMembers({});
    });
    Configuration configuration;
    const std::vector<Endpoint> platformEndpoints = commandLine.endpointList("platform");
    PlatformTask platform({.endpoint = platformEndpoints.empty() ? Endpoint{} : platformEndpoints.front()}, metrics);
    QObject::connect(&platform, &PlatformTask::serviceObserved, &controlServer, [&](const Service &service) {
        if (adopt(configuration, service)) {
            controlServer.setService(service);
        }
    });
    QObject::connect(&platform, &PlatformTask::rulesObserved, &controlServer, [&](const Rules &rules) {
        if (adopt(configuration, rules)) {
            controlServer.setRules(rules);
        }
    });
    QObject::connect(&platform, &PlatformTask::snapshotObserved, &controlServer, &ControlServer::setComplete);
    if (!platformEndpoints.empty()) {
        platform.startWatching();
    }

    const Endpoint controlEndpoint = commandLine.endpoint("control-port");
    const Endpoint operatorsEndpoint = commandLine.endpoint("operators-port");
    const bool isListening = reportListening(controlServer.listen(controlEndpoint), "control-port", controlEndpoint)
                             && reportListening(operatorsPort.listen(operatorsEndpoint), "operators-port", operatorsEndpoint);
    if (!isListening) {
        return static_cast<int>(ExitStatus::Failure);
    }
    operatorsPort.setReady(true);
    return QCoreApplication::exec();
}
