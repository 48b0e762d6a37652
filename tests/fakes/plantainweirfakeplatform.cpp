#include "core/commandline.h"
#include "fakes/fakeplatform.h"
#include "observability/logevents.h"

#include <QCoreApplication>

#include <fmt/core.h>

#include <cstdio>

using namespace Plantainweir;

int main(int argc, char **argv)
{
    QCoreApplication application(argc, argv);
    CommandLine commandLine("plantainweir-fake-platform", "Fake platform for tests and demos; keeps everything in memory.");
    commandLine.addEndpoint("platform-port", "endpoint to listen on; port 0 picks a free port, which is printed", "127.0.0.1:7900");
    if (const auto status = commandLine.parse(argc, argv)) {
        return static_cast<int>(*status);
    }
    const Endpoint endpoint = commandLine.endpoint("platform-port");
    FakePlatform platform;
    if (!platform.listen(endpoint)) {
        logEvent(LogEvent::ListenFailed, {{"endpoint", toString(endpoint)}});
        return static_cast<int>(ExitStatus::Failure);
    }
    logEvent(LogEvent::ProgramStarted, {{"program", "plantainweir-fake-platform"}, {"port", platform.port()}});
    fmt::print("{}\n", toString({endpoint.address, platform.port()}));
    std::fflush(stdout);
    return QCoreApplication::exec();
}
