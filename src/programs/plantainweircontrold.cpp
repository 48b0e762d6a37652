#include "core/commandline.h"
#include "http/operatorsport.h"
#include "observability/logevents.h"
#include "observability/metrics.h"
#include "tasks/controld.h"
#include "tasks/signalwatcher.h"

#include <QCoreApplication>

#include <chrono>
#include <random>

using namespace Plantainweir;

namespace {

constexpr std::string_view Program = "plantainweir-controld";

/** Returns an incarnation above those of earlier runs, unless the wall clock was set back. */
std::uint64_t firstIncarnation()
{
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const std::uint64_t low = std::random_device()() & 0xffffU;
    return (static_cast<std::uint64_t>(now.time_since_epoch().count()) << 16U) | low;
}

ControldSettings readSettings(const CommandLine &commandLine)
{
    ControldSettings settings;
    settings.self.name = commandLine.text("name");
    settings.self.incarnation = firstIncarnation();
    settings.self.membershipEndpoint = commandLine.endpoint("membership-port");
    settings.self.exchangeEndpoint = commandLine.endpoint("exchange-port");
    settings.self.availabilityZone = commandLine.text("availability-zone");
    settings.controlEndpoint = commandLine.endpoint("control-port");
    settings.seeds = commandLine.endpointList("seeds");
    const std::vector<Endpoint> platform = commandLine.endpointList("platform");
    settings.platform = platform.empty() ? std::nullopt : std::optional(platform.front());
    return settings;
}

int reportListenFailure(const ListenFailure &failure)
{
    logEvent(LogEvent::ListenFailed, {{"flag", failure.flag}, {"endpoint", toString(failure.endpoint)}});
    return static_cast<int>(ExitStatus::Failure);
}

}

int main(int argc, char **argv)
{
    CommandLine commandLine("plantainweir-controld", "Maintains the configuration and the fleet membership on one entry VM and sends both to its entryd.");
    commandLine.addText("name", "name of this VM, at most 64 bytes, the same across restarts");
    commandLine.addText("availability-zone", "availability zone of this VM, at most 64 bytes");
    commandLine.addEndpoint("control-port", "gRPC endpoint for the entryd of this VM", "127.0.0.1:7400");
    commandLine.addEndpoint("membership-port", "UDP endpoint for the controlds of other VMs, which must reach this IP number", "127.0.0.1:7401");
    commandLine.addEndpoint("exchange-port", "gRPC endpoint for the controlds of other VMs, which must reach this IP number", "127.0.0.1:7402");
    commandLine.addEndpointList("seeds", "membership endpoints of some VMs of the fleet");
    commandLine.addEndpointList("platform", "endpoint of the platform; the first is used if there are several");
    commandLine.addEndpoint("operators-port", "HTTP endpoint for metrics, health and status", "127.0.0.1:7403");
    if (const auto status = commandLine.parse(argc, argv)) {
        return static_cast<int>(*status);
    }
    for (const char *flag : {"name", "availability-zone"}) {
        if (commandLine.text(flag).size() > MaximumMemberTextBytes) {
            fmt::print(stderr, "{}: --{} is longer than {} bytes\n", Program, flag, MaximumMemberTextBytes);
            return static_cast<int>(ExitStatus::Usage);
        }
    }
    QCoreApplication application(argc, argv);
    logEvent(LogEvent::ProgramStarted, {{"program", Program}, {"name", commandLine.text("name")}});

    Metrics metrics;
    Controld controld(readSettings(commandLine), metrics);
    OperatorsPort operatorsPort(metrics, [&controld] {
        return controld.status();
    });
    SignalWatcher signalWatcher;
    QObject::connect(&controld, &Controld::ready, &operatorsPort, [&operatorsPort] {
        operatorsPort.setReady(true);
    });
    QObject::connect(&signalWatcher, &SignalWatcher::stopRequested, &controld, [&controld] {
        logEvent(LogEvent::ProgramStopping);
        controld.stop();
    });
    QObject::connect(&controld, &Controld::stopped, &application, &QCoreApplication::quit, Qt::QueuedConnection);

    const Endpoint operatorsEndpoint = commandLine.endpoint("operators-port");
    if (!operatorsPort.listen(operatorsEndpoint)) {
        return reportListenFailure({"operators-port", operatorsEndpoint});
    }
    if (const auto failure = controld.start()) {
        return reportListenFailure(*failure);
    }
    const int status = QCoreApplication::exec();
    logEvent(LogEvent::ProgramStopped);
    return status;
}
