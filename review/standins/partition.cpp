// Some machines are partitioned from the store for seconds; meanwhile the configuration changes. Checks CONFIG.

#include "standin.h"

using namespace standin;

namespace {

constexpr int Zones = 3;
constexpr int GatewaysPerZone = 6;
constexpr int Gateways = Zones * GatewaysPerZone;
constexpr int BackendsPerService = 9;
constexpr double StabilityWindowMs = 3000;
constexpr double ConfigMs = 2000;
constexpr double MarginMs = 20; // left to the stand-ins' own delays
constexpr double CutMs = 4000;
constexpr double PlannedWorkBeforeMs = 200;
constexpr double CutShare = 0.35;
constexpr double CallsPerSecond = 400;
constexpr int Rounds = 11; // 8.5 s each

std::string routeTo(int version, const std::string &buyService, int timeoutMs)
{
    return configuration(version, {route("r-buy", "/buy/", "unsafe", buyService, timeoutMs, 250), service("rinkdesk"), service("tillside")});
}

}

int main(int argc, char **argv)
{
    if (argc < 2) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    Record recordFile(std::string(argv[1]) + "/record.txt");
    record = &recordFile;
    const bool isTroubled = hasTrouble();
    const std::string folder = temporaryFolder();

    auto *store = new Store;
    store->open("127.0.0.1");
    auto *runs = new Runs;
    int lastBackend = 0;
    std::map<std::string, std::string> serviceOfBackend;
    const auto addBackend = [&](const std::string &name) {
        auto *backend = new Backend;
        backend->id = "i-" + std::to_string(++lastBackend);
        backend->service = name;
        backend->slots = 6;
        backend->queue = 8;
        backend->zone = "zone-" + std::to_string(lastBackend % Zones);
        backend->runs = runs;
        backend->open("127.0.0.1");
        store->put("servers", backend->id, backend->spec());
        serviceOfBackend[backend->id] = name;
    };
    for (const std::string name : {"rinkdesk", "tillside"}) {
        for (int index = 0; index < BackendsPerService; ++index) {
            addBackend(name);
        }
    }
    int version = 7;
    store->put("config", "main", routeTo(version, "rinkdesk", 2000));

    Processes processes;
    std::vector<Gateway> gateways = makeGateways(Gateways);
    for (size_t index = 0; index < gateways.size(); ++index) {
        gateways[index].zone = "zone-" + std::to_string(index % Zones);
    }
    std::vector<StoreDoor *> doors;
    for (const Gateway &gateway : gateways) {
        doors.push_back(new StoreDoor(*store, gateway.name));
        doors.back()->open("127.0.0.1");
        processes.start(gateway.name, commandLine(gateway, doors.back()->address, seedsOf(gateways), {}), folder + "/" + gateway.name + ".log");
    }
    if (!waitUntilReady(gateways, 15000)) {
        record->line("the gateways did not become ready; logs in %s", folder.c_str());
        return 2;
    }
    record->line("ready; logs in %s", folder.c_str());

    struct Sent {
        double at = 0;
        std::string gateway;
        int status = -2;
    };
    std::mutex mutex;
    std::map<std::string, Sent> sent;
    std::atomic<bool> isLoadOn = true;
    std::atomic<int> open = 0;
    std::thread load([&] {
        std::mt19937_64 random(1);
        int number = 0;
        double at = nowMs();
        while (isLoadOn) {
            at += 1000.0 / CallsPerSecond;
            sleepMs(at - nowMs());
            const std::string id = "c" + std::to_string(++number);
            const Gateway &gateway = gateways[random() % gateways.size()];
            {
                std::lock_guard lock(mutex);
                sent[id] = {nowMs(), gateway.name, -2};
            }
            ++open;
            std::thread([&, id, front = gateway.front()] {
                Message answer;
                const int status = call(front, makeRequest("POST", "/buy/" + id, id, 2000, "one ticket"), 3000, answer);
                std::lock_guard lock(mutex);
                sent[id].status = status;
                --open;
            }).detach();
        }
    });

    struct Move {
        std::string oldService;
        int version = 0;
        double acknowledgedAt = 0;
        double calmAt = 0;
        double endsAt = 0;
    };
    std::vector<Move> moves;
    const std::string names[] = {"rinkdesk", "tillside"};
    const size_t cutCount = static_cast<size_t>(CutShare * Gateways);
    std::mt19937_64 random(std::random_device{}());
    sleepMs(4000);
    for (size_t round = 0; round < Rounds; ++round) {
        std::vector<StoreDoor *> cut = doors;
        std::shuffle(cut.begin(), cut.end(), random);
        cut.resize(cutCount);
        // Planned work: a backend is added, and a time-out changes.
        const int timeoutMs = 2000 - 10 * static_cast<int>(round + 1);
        addBackend(names[round % 2]);
        store->put("config", "main", routeTo(++version, names[round % 2], timeoutMs));
        record->line("a backend of %s is added, and version %d (a time-out) is acknowledged", names[round % 2].c_str(), version);
        sleepMs(PlannedWorkBeforeMs);
        if (isTroubled) {
            for (StoreDoor *door : cut) {
                door->setCut(true);
            }
            record->line("%zu of %d machines are partitioned from the store", cut.size(), Gateways);
        }
        sleepMs(CutMs / 2);
        Move move{.oldService = names[round % 2]};
        move.version = ++version;
        move.acknowledgedAt = store->put("config", "main", routeTo(version, names[(round + 1) % 2], timeoutMs));
        record->line("version %d (/buy/ moves from %s to %s) is acknowledged", version, names[round % 2].c_str(), names[(round + 1) % 2].c_str());
        sleepMs(CutMs / 2);
        for (StoreDoor *door : cut) {
            if (isTroubled) {
                door->setCut(false);
            }
        }
        move.calmAt = nowMs();
        record->line("all machines have a path to the store");
        sleepMs(4300);
        move.endsAt = nowMs();
        moves.push_back(move);
    }
    isLoadOn = false;
    load.join();
    const double until = nowMs() + 5000;
    while (open > 0 && nowMs() < until) {
        sleepMs(20);
    }

    std::map<int, int> byStatus;
    int late = 0;
    std::lock_guard lock(mutex);
    for (const auto &[id, call] : sent) {
        ++byStatus[call.status];
        record->line("call %s sent at %.1f to %s: %d", id.c_str(), call.at, call.gateway.c_str(), call.status);
    }
    for (const Run &run : runs->runs) {
        for (const Move &move : moves) {
            const Sent &call = sent[run.id];
            // All machines are in touch again once the stability window has passed since the end of the partition.
            const bool isInTouch = call.at > move.calmAt + StabilityWindowMs + MarginMs;
            const bool isBound = call.at > move.acknowledgedAt + ConfigMs + MarginMs && call.at < move.endsAt;
            if (serviceOfBackend.at(run.backend) == move.oldService && isBound && isInTouch) {
                ++late;
                record->line("CONFIG: %s, sent to %s %.0f ms after the end of the partition and %.0f ms after version %d was acknowledged, was run by %s", run.id.c_str(),
                             call.gateway.c_str(), call.at - move.calmAt, call.at - move.acknowledgedAt, move.version, move.oldService.c_str());
            }
        }
    }
    for (const auto &[status, count] : byStatus) {
        record->line("status %d: %d calls", status, count);
    }
    record->line("result: %d requests were run by the old service too late", late);
    printf("%d requests were run by the old service too late, %d answered with 200\n", late, byStatus[200]);
    fflush(stdout);
    for (auto &[name, pid] : processes.pids) {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    _exit(byStatus[200] < 1000 ? 2 : late > 0 ? 1 : 0);
}
