#include "core/commandline.h"
#include "observability/logevents.h"
#include "platform/platformcodec.h"
#include "tasks/gateway.h"
#include "tasks/signalwatcher.h"

#include <QCoreApplication>

#include <algorithm>
#include <limits>
#include <random>

#include <malloc.h>
#include <sys/resource.h>

using namespace Plantainweir;

namespace {

void addSettings(CommandLine &commandLine)
{
    commandLine.addText("name", "name of this entry VM, unique in the fleet");
    commandLine.addText("availability-zone", "availability zone of this entry VM");
    commandLine.addEndpoint("caller-port", "where callers connect");
    commandLine.addEndpoint("readiness-port", "where the platform checks whether this entry VM is ready");
    commandLine.addEndpoint("directory-port", "where callers query the addresses of entry VMs");
    commandLine.addEndpoint("membership-port", "UDP endpoint for other entry VMs");
    commandLine.addEndpoint("exchange-port", "gRPC endpoint for other entry VMs");
    commandLine.addEndpoint("operators-port", "metrics, health and status");
    commandLine.addEndpoint("store", "the platform's store");
    commandLine.addEndpointList("seeds", "entry VMs that may be running, with the same membership port as this one");
    commandLine.addNumber("retry-share", "number of retries that the whole fleet may send for each call", 0.0, 10.0);
    commandLine.addNumber("retry-slack", "number of retries that the whole fleet may send in each window in addition to --retry-share", 0.0, 1e6);
    commandLine.addDuration("retry-window", "length of the window of --retry-slack");
    commandLine.addNumber(
        "hedge-share", "share of the calls that may be repeated which may get a second attempt while the first one is slow; 0 for none", 0.0, 1.0, 0.0);
    commandLine.addInteger("subset-size",
                           "least number of upstreams of a service that this entry VM prefers in an availability zone while its calls are few; 0: all alike",
                           0,
                           1 << 20,
                           0);
    commandLine.addNumber("full-refusal-share",
                          "share of full upstreams from which calls that may not probe are refused, if an upstream was seen not to answer; 0: none are",
                          0.0,
                          1.0,
                          0.0);
    commandLine.addNumber(
        "full-refusal-slots", "with --full-refusal-share, calls are also refused if upstreams registered at most so many slots on average", 0.0, 1000.0, 0.0);
    commandLine.addDuration("zone-memory", "time for which another availability zone that was full gets fewer probes; 0s: all zones are judged together", "0s");
    commandLine.addNumber("probe-limit", "probes per second that the whole fleet may send to one upstream", 0.0, 1e6);
    commandLine.addOptionalDuration("quota-window", "window in which the calls of a client account are counted; 5s if empty");
    commandLine.addOptionalNumber("quota-over", "part by which a client account may exceed its quota in --quota-window; 0.1 if empty", 0.0, 10.0);
    commandLine.addOptionalNumber("quota-slack", "calls by which a client account may exceed its quota beyond that; 20 if empty", 0.0, 1e6);
    commandLine.addOptionalNumber("cold-over", "factor by which the limit of a cold upstream may be exceeded in a second; 1.5 if empty", 0.0, 100.0);
    commandLine.addOptionalNumber("cold-slack", "calls by which the limit of a cold upstream may be exceeded beyond that; 8 if empty", 0.0, 1e6);
    commandLine.addDuration("change-bound", "time in which an acknowledged change of the configuration must be in force", "2s");
    commandLine.addDuration("drain-bound", "time in which an upstream that reports to be draining must get no more calls", "2s");
    commandLine.addOptionalDuration("evacuation-bound",
                                    "time in which an evacuated availability zone must get no more calls; if empty, evacuations are not read");
    commandLine.addNumber("processor-share", "share of a processor core that this VM has; VMs with a larger share read the store for others", 0.0, 1e6, 0.0);
    commandLine.addInteger("memory-mb", "memory that this process may use, in MiB; what callers make it hold takes at most a part of it", 32, 1 << 20, 512);
    commandLine.addInteger("descriptors", "file descriptors that this process may use; at most, and with 0, as many as the system permits", 0, 1 << 20, 0);
    commandLine.addChoice("fleet-starting", "whether the whole fleet starts for the first time", {"true", "false"}, "false");
    commandLine.addDuration("stop-time", "time from the stop signal to the forced exit");
}

std::vector<Endpoint> membershipSeeds(const CommandLine &commandLine)
{
    std::vector<Endpoint> seeds = commandLine.endpointList("seeds");
    for (Endpoint &seed : seeds) {
        seed.port = commandLine.endpoint("membership-port").port;
    }
    return seeds;
}

CreditToleranceSettings creditTolerance(const CommandLine &commandLine)
{
    const CreditToleranceSettings defaults;
    return {
        .quotaWindow = commandLine.optionalDuration("quota-window").value_or(defaults.quotaWindow),
        .quotaOver = commandLine.optionalNumber("quota-over").value_or(defaults.quotaOver),
        .quotaSlack = commandLine.optionalNumber("quota-slack").value_or(defaults.quotaSlack),
        .coldOver = commandLine.optionalNumber("cold-over").value_or(defaults.coldOver),
        .coldSlack = commandLine.optionalNumber("cold-slack").value_or(defaults.coldSlack),
    };
}

/** Returns the number of descriptors that this process may use: @p setting, unless it is zero or the system permits fewer. */
std::size_t descriptorLimit(std::size_t setting)
{
    rlimit limit{};
    const bool isKnown = ::getrlimit(RLIMIT_NOFILE, &limit) == 0;
    const std::size_t permitted = isKnown ? static_cast<std::size_t>(limit.rlim_cur) : std::numeric_limits<std::size_t>::max();
    if (setting > permitted) {
        logEvent(LogEvent::DescriptorsLimited, {{"setting", setting}, {"permitted", permitted}});
    }
    return setting == 0 ? permitted : std::min(setting, permitted);
}

/** Lets large buffers be returned to the system as soon as they are freed, whatever lies beside them. */
void configureAllocator()
{
    constexpr int LargeBufferBytes = 64 * 1024;
    constexpr int TrimBytes = 1024 * 1024;
    ::mallopt(M_MMAP_THRESHOLD, LargeBufferBytes);
    ::mallopt(M_TRIM_THRESHOLD, TrimBytes);
}

GatewaySettings readSettings(const CommandLine &commandLine)
{
    return {
        .name = commandLine.text("name"),
        .availabilityZone = commandLine.text("availability-zone"),
        .callerPort = commandLine.endpoint("caller-port"),
        .readinessPort = commandLine.endpoint("readiness-port"),
        .directoryPort = commandLine.endpoint("directory-port"),
        .membershipPort = commandLine.endpoint("membership-port"),
        .exchangePort = commandLine.endpoint("exchange-port"),
        .operatorsPort = commandLine.endpoint("operators-port"),
        .store = commandLine.endpoint("store"),
        .seeds = membershipSeeds(commandLine),
        .retryShare = commandLine.number("retry-share"),
        .retrySlack = commandLine.number("retry-slack"),
        .retryWindow = commandLine.duration("retry-window"),
        .hedgeShare = commandLine.number("hedge-share"),
        .subsetSize = static_cast<std::size_t>(commandLine.integer("subset-size")),
        .fullRefusal = {.share = commandLine.number("full-refusal-share"), .slots = commandLine.number("full-refusal-slots")},
        .zoneMemory = commandLine.duration("zone-memory"),
        .probesPerSecondPerUpstream = commandLine.number("probe-limit"),
        .creditTolerance = creditTolerance(commandLine),
        .changeBound = std::min(commandLine.duration("change-bound"), commandLine.duration("drain-bound")),
        .evacuationBound = commandLine.optionalDuration("evacuation-bound"),
        .processorShare = commandLine.number("processor-share"),
        .memoryBytes = static_cast<std::size_t>(commandLine.integer("memory-mb")) * 1024 * 1024,
        .descriptors = descriptorLimit(static_cast<std::size_t>(commandLine.integer("descriptors"))),
        .isFleetStarting = commandLine.text("fleet-starting") == "true",
        .stopTime = commandLine.duration("stop-time"),
        .seed = (static_cast<std::uint64_t>(std::random_device{}()) << 32) | std::random_device{}(),
    };
}

int run(const CommandLine &commandLine, int argc, char **argv)
{
    QCoreApplication application(argc, argv);
    SignalWatcher signalWatcher;
    const GatewaySettings settings = readSettings(commandLine);
    Gateway gateway(settings, Platform::platformCodec());
    QObject::connect(&signalWatcher, &SignalWatcher::stopRequested, &gateway, [&gateway] {
        logEvent(LogEvent::ProgramStopping);
        gateway.leave();
    });
    QObject::connect(&signalWatcher, &SignalWatcher::reloadRequested, &gateway, [] {
        logEvent(LogEvent::ReloadRequested);
    });
    QObject::connect(&gateway, &Gateway::stopped, &application, &QCoreApplication::quit);
    if (!gateway.start()) {
        return static_cast<int>(ExitStatus::Failure);
    }
    logEvent(LogEvent::ProgramStarted, {{"name", settings.name}, {"caller_port", toString(settings.callerPort)}});
    const int status = QCoreApplication::exec();
    logEvent(LogEvent::ProgramStopped);
    return status;
}

}

int main(int argc, char **argv)
{
    CommandLine commandLine("plantainweir-gatewayd", "Serves callers by host and path on an entry VM of the users' platform.");
    addSettings(commandLine);
    if (const auto status = commandLine.parse(argc, argv)) {
        return static_cast<int>(*status);
    }
    configureAllocator();
    useStandardOutputForLogs();
    return run(commandLine, argc, argv);
}
