// A backend sends a second, late copy of the answer with which it rejected a health check. Checks TWICE and REFUSED.

#include "standin.h"

using namespace standin;

namespace {

constexpr int Backends = 5;
constexpr int Gateways = 3;
constexpr double WorkMs = 100;
constexpr double LoadMs = 44000;
constexpr double CallsPerSecond = 88; // the backends have room for 100
constexpr double BurstFactor = 1.7;
constexpr double GarbleShare = 0.6; // of the backends
constexpr double GarbleX = 0.02; // of the answers of such a backend
// The backends garble for five seconds at a time, four times.
constexpr double GarbleFromS[] = {7, 17, 27, 37};
constexpr double GarbleForS = 5;
std::atomic<double> loadStart = 0;

bool isGarbling()
{
    const double second = (nowMs() - loadStart) / 1000.0;
    return loadStart > 0 && std::any_of(std::begin(GarbleFromS), std::end(GarbleFromS), [second](double from) {
        return second >= from && second < from + GarbleForS;
    });
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
    std::vector<Backend *> backends;
    for (int index = 0; index < Backends; ++index) {
        auto *backend = new Backend;
        backend->id = "i-" + std::to_string(index + 1);
        backend->service = "tickets";
        backend->slots = 2;
        backend->queue = 2;
        backend->tellsLoad = false;
        backend->runs = runs;
        backend->workMs = [](const Message &) {
            return WorkMs;
        };
        if (isTroubled && index < static_cast<int>(GarbleShare * Backends)) {
            backend->sendsCopyLate = [backend, answersInTime = std::make_shared<std::atomic<int>>(0)](const Message &request, const std::string &, int status) {
                if (!isGarbling()) {
                    return false;
                }
                ++*answersInTime;
                const bool isRejectedCheck = request.word(1) == "/health" && status == 503;
                return isRejectedCheck && static_cast<double>(backend->copies + 1) <= GarbleX * *answersInTime;
            };
        }
        backend->open("127.0.0.1");
        store->put("servers", backend->id, backend->spec());
        backends.push_back(backend);
    }
    store->put("config", "main", configuration(7, {route("r-buy", "/buy/", "unsafe", "tickets"), service("tickets")}));

    Processes processes;
    const std::vector<Gateway> gateways = makeGateways(Gateways);
    for (const Gateway &gateway : gateways) {
        processes.start(gateway.name, commandLine(gateway, store->address, seedsOf(gateways), {}), folder + "/" + gateway.name + ".log");
    }
    if (!waitUntilReady(gateways, 15000)) {
        record->line("the gateways did not become ready; logs in %s", folder.c_str());
        return 2;
    }
    record->line("ready; logs in %s", folder.c_str());
    sleepMs(4000);

    struct Sent {
        std::string id;
        int status = -1;
    };
    std::mutex mutex;
    std::map<std::string, int> statuses;
    std::atomic<int> open = 0;
    std::mt19937_64 random(1);
    std::exponential_distribution<double> gap(1.0);
    const double start = nowMs();
    loadStart = start;
    int number = 0;
    for (double at = start; at < start + LoadMs;) {
        const double second = (at - start) / 1000.0;
        // Twice in the time, many users come at once for three seconds.
        const bool isBurst = (second > 8 && second < 11) || (second > 28 && second < 31);
        at += gap(random) * 1000.0 / (CallsPerSecond * (isBurst ? BurstFactor : 1.0));
        sleepMs(at - nowMs());
        const std::string id = "c" + std::to_string(++number);
        const Gateway &gateway = gateways[random() % gateways.size()];
        ++open;
        std::thread([&, id, front = gateway.front(), name = gateway.name] {
            Message answer;
            record->line("sent %s to %s", id.c_str(), name.c_str());
            const int status = call(front, makeRequest("POST", "/buy/" + id, id, 4000, "one ticket"), 5000, answer);
            record->line("answered %s: %d", id.c_str(), status);
            std::lock_guard lock(mutex);
            statuses[id] = status;
            --open;
        }).detach();
    }
    while (open > 0 && nowMs() < start + LoadMs + 6000) {
        sleepMs(20);
    }
    sleepMs(500);

    std::map<int, int> byStatus;
    int twice = 0;
    int refused = 0;
    std::lock_guard lock(mutex);
    const auto byId = runs->byId();
    for (const auto &[id, status] : statuses) {
        ++byStatus[status];
        const auto found = byId.find(id);
        if (found == byId.end()) {
            continue;
        }
        if (found->second.size() > 1) {
            ++twice;
            record->line("TWICE: %s ran %zu times: at %s and at %s; the client got %d", id.c_str(), found->second.size(), found->second[0].backend.c_str(),
                         found->second[1].backend.c_str(), status);
        }
        if (status == 429 || status == 503 || status == 408 || status == 421) {
            ++refused;
            record->line("REFUSED: %s was answered %d and ran", id.c_str(), status);
        }
    }
    for (const auto &[status, count] : byStatus) {
        record->line("status %d: %d calls", status, count);
    }
    for (const Backend *backend : backends) {
        record->line("%s: %llu answers, %llu late copies", backend->id.c_str(), static_cast<unsigned long long>(backend->answers),
                     static_cast<unsigned long long>(backend->copies));
    }
    const bool isBroken = twice + refused > 0;
    const bool isMeasured = byStatus[200] > 500;
    record->line("result: %d calls ran twice, %d were refused and ran", twice, refused);
    printf("%d calls ran twice, %d were refused and ran, %d answered with 200\n", twice, refused, byStatus[200]);
    fflush(stdout);
    // The threads of the stand-ins end with the process.
    for (auto &[name, pid] : processes.pids) {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    _exit(!isMeasured ? 2 : isBroken ? 1 : 0);
}
