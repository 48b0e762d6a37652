// Another writer leaves an entry with bytes that cannot be read among those of the backends; then all processes are
// killed and start again. Checks RECOVER.

#include "standin.h"

using namespace standin;

namespace {

constexpr int Gateways = 3;
constexpr int Backends = 4;
constexpr double DownMs = 1000;
constexpr double RecoverMs = 15000;
constexpr double CallsPerSecond = 40;

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
    for (int index = 0; index < Backends; ++index) {
        auto *backend = new Backend;
        backend->id = "i-" + std::to_string(index + 1);
        backend->service = "lookup";
        backend->slots = 3;
        backend->queue = 6;
        backend->runs = runs;
        backend->open("127.0.0.1");
        store->put("servers", backend->id, backend->spec());
    }
    store->put("config", "main", configuration(7, {route("r-lookup", "/lookup/", "safe", "lookup", 3000, 400), service("lookup")}));

    Processes processes;
    const std::vector<Gateway> gateways = makeGateways(Gateways);
    const auto startAll = [&](bool isFirst) {
        for (const Gateway &gateway : gateways) {
            processes.start(gateway.name, commandLine(gateway, store->address, seedsOf(gateways), {{"bootstrap", isFirst ? "true" : "false"}}),
                            folder + "/" + gateway.name + ".log");
        }
    };
    startAll(true);
    if (!waitUntilReady(gateways, 15000)) {
        record->line("the gateways did not become ready; logs in %s", folder.c_str());
        return 2;
    }
    record->line("ready; logs in %s", folder.c_str());

    std::mutex mutex;
    std::map<std::string, std::pair<double, int>> sent; // time and status
    std::atomic<bool> isLoadOn = true;
    std::atomic<int> open = 0;
    std::thread load([&] {
        double at = nowMs();
        for (int number = 1; isLoadOn; ++number) {
            at += 1000.0 / CallsPerSecond;
            sleepMs(at - nowMs());
            const std::string id = "c" + std::to_string(number);
            const Address front = gateways[static_cast<size_t>(number) % gateways.size()].front();
            {
                std::lock_guard lock(mutex);
                sent[id] = {nowMs(), -2};
            }
            ++open;
            std::thread([&, id, front] {
                Message answer;
                const int status = call(front, makeRequest("GET", "/lookup/" + id, id, 3000), 4000, answer);
                record->line("%s: %d", id.c_str(), status);
                std::lock_guard lock(mutex);
                sent[id].second = status;
                --open;
            }).detach();
        }
    });
    const double loadStart = nowMs();
    sleepMs(5000);
    if (isTroubled) {
        // The name and the frame are the store's; the entry itself holds bytes that no writer of this kind sends.
        store->put("servers", "other-1", std::string("{\"service\":\"lookup\",\"note\":\"\x01\x02\x03\",\"state\":\"ready\"}"));
        record->line("another writer's entry with bytes that cannot be read is in the store");
    }
    sleepMs(3000);
    const double killedAt = nowMs();
    for (auto &[name, pid] : processes.pids) {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    record->line("all processes are killed");
    sleepMs(DownMs);
    startAll(false);
    const double backAt = nowMs();
    record->line("all processes are back");
    sleepMs(RecoverMs + 10000);
    isLoadOn = false;
    load.join();
    const double until = nowMs() + 4000;
    while (open > 0 && nowMs() < until) {
        sleepMs(20);
    }

    int before = 0;
    int servedBefore = 0;
    int after = 0;
    int servedAfter = 0;
    std::lock_guard lock(mutex);
    for (const auto &[id, call] : sent) {
        if (call.first < killedAt) {
            ++before;
            servedBefore += call.second == 200;
        } else if (call.first > backAt + RecoverMs) {
            ++after;
            servedAfter += call.second == 200;
        }
    }
    for (const Gateway &gateway : gateways) {
        record->line("%s is %s", gateway.name.c_str(), isReady(gateway) ? "ready" : "not ready");
    }
    const bool isMeasured = before > 100 && after > 100 && servedBefore * 4 >= before;
    const bool isBroken = servedAfter * 4 < after;
    record->line("result: served before the kill (since %.0f): %d of %d; later than %.0f ms after the return: %d of %d", loadStart, servedBefore, before, RecoverMs, servedAfter,
                 after);
    printf("served before the kill: %d of %d; later than recover after the return: %d of %d\n", servedBefore, before, servedAfter, after);
    fflush(stdout);
    for (auto &[name, pid] : processes.pids) {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    _exit(!isMeasured ? 2 : isBroken ? 1 : 0);
}
