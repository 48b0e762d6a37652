#include "core/commandline.h"
#include "fakes/fakeupstream.h"
#include "fakes/fakeupstreamadmin.h"
#include "observability/logevents.h"

#include <QCoreApplication>
#include <QString>
#include <QStringList>
#include <fmt/core.h>

#include <cstdio>

using namespace Plantainweir;

namespace {

struct NamedEndpoint {
    std::string name;
    Endpoint endpoint;
};

/** Parses a comma-separated list of `NAME=IP:port`; returns an empty list if an item is malformed. */
std::vector<NamedEndpoint> parseUpstreams(const std::string &text)
{
    std::vector<NamedEndpoint> upstreams;
    for (const QString &part : QString::fromStdString(text).split(QLatin1Char(','), Qt::SkipEmptyParts)) {
        const QStringList words = part.split(QLatin1Char('='));
        const auto endpoint = words.size() == 2 ? parseEndpoint(words[1].toStdString()) : std::nullopt;
        if (!endpoint) {
            return {};
        }
        upstreams.push_back({.name = words[0].toStdString(), .endpoint = *endpoint});
    }
    return upstreams;
}

void addSettings(CommandLine &commandLine)
{
    commandLine.addText("upstreams", "the upstreams, as NAME=IP:port separated by commas; port 0 picks a free port");
    commandLine.addEndpoint("admin-port", "endpoint for setting faults and reading counts", "127.0.0.1:0");
    commandLine.addInteger("slots", "calls that each upstream runs at the same time", 1, 1000, 3);
    commandLine.addInteger("queue-length", "length of the queue of each upstream; more calls are shed", 0, 100'000, 16);
    commandLine.addNumber("service-time-ms", "mean service time in milliseconds", 0.0, 60'000.0, 5.0);
    commandLine.addNumber("cold-start-ms", "milliseconds after the start in which calls take five times as long", 0.0, 600'000.0, 0.0);
    commandLine.addInteger("seed", "seed of the service times", 0, 1'000'000'000, 1);
}

bool startUpstreams(const CommandLine &commandLine, const std::vector<NamedEndpoint> &upstreams, FakeUpstreamAdmin &admin)
{
    auto seed = static_cast<std::uint64_t>(commandLine.integer("seed"));
    for (const NamedEndpoint &named : upstreams) {
        const FakeUpstreamSettings settings{
            .name = named.name,
            .slots = static_cast<std::uint32_t>(commandLine.integer("slots")),
            .queueLength = static_cast<std::size_t>(commandLine.integer("queue-length")),
            .serviceTime = fromMilliseconds(commandLine.number("service-time-ms")),
            .coldStart = fromMilliseconds(commandLine.number("cold-start-ms")),
        };
        auto *upstream = new FakeUpstream(settings, seed++, &admin);
        if (!upstream->listen(named.endpoint)) {
            logEvent(LogEvent::ListenFailed, {{"endpoint", toString(named.endpoint)}});
            return false;
        }
        admin.add(upstream);
        fmt::print("upstream {} {}\n", named.name, toString(upstream->endpoint()));
    }
    return true;
}

}

int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    CommandLine commandLine("plantainweir-fake-upstream", "Fake upstreams for tests.");
    addSettings(commandLine);
    if (const auto status = commandLine.parse(argc, argv)) {
        return static_cast<int>(*status);
    }
    const auto upstreams = parseUpstreams(commandLine.text("upstreams"));
    if (upstreams.empty()) {
        fmt::print(stderr, "plantainweir-fake-upstream: --upstreams is \"{}\"; allowed: NAME=IP:port separated by commas\n", commandLine.text("upstreams"));
        return static_cast<int>(ExitStatus::Usage);
    }
    FakeUpstreamAdmin admin;
    const Endpoint adminEndpoint = commandLine.endpoint("admin-port");
    if (!startUpstreams(commandLine, upstreams, admin) || !admin.listen(adminEndpoint)) {
        return static_cast<int>(ExitStatus::Failure);
    }
    fmt::print("admin {}\n", toString({.address = adminEndpoint.address, .port = admin.port()}));
    std::fflush(stdout);
    return QCoreApplication::exec();
}
