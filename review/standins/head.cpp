// A route is removed while a client uses it with HEAD on a kept connection. Checks MIXED.

#include "standin.h"

using namespace standin;

namespace {

constexpr int Gateways = 2;
constexpr int Clients = 10;
constexpr double ConfigMs = 2000;

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
    for (int index = 0; index < 3; ++index) {
        auto *backend = new Backend;
        backend->id = "i-" + std::to_string(index + 1);
        backend->service = "rinkdesk";
        backend->slots = 3;
        backend->queue = 6;
        backend->runs = runs;
        backend->open("127.0.0.1");
        store->put("servers", backend->id, backend->spec());
    }
    const std::string lookup = route("r-lookup", "/lookup/", "safe", "rinkdesk", 3000, 400);
    const std::string sheet = route("r-sheet", "/sheet/", "safe", "rinkdesk", 3000, 400);
    store->put("config", "main", configuration(7, {lookup, sheet, service("rinkdesk")}));

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

    std::atomic<int> mixed = 0;
    std::atomic<int> answered = 0;
    std::vector<std::thread> clients;
    const double start = nowMs();
    for (int client = 0; client < Clients; ++client) {
        clients.emplace_back([&, client] {
            const Gateway &gateway = gateways[static_cast<size_t>(client) % gateways.size()];
            int fd = -1;
            std::unique_ptr<Reader> reader;
            for (int number = 0; nowMs() < start + 12000; ++number) {
                if (fd < 0) {
                    fd = connectTo(gateway.front());
                    reader = std::make_unique<Reader>(fd);
                    record->line("client %d connects to %s", client, gateway.name.c_str());
                }
                const bool isHead = number % 2 == 0;
                const std::string id = "c" + std::to_string(client) + "-" + std::to_string(number);
                const std::string path = (isHead ? "/sheet/" : "/lookup/") + id;
                sendAll(fd, makeRequest(isHead ? "HEAD" : "GET", path, id, 3000));
                Message answer;
                const ReadResult result = reader->read(answer, 4000, true, isHead);
                if (result == ReadResult::Malformed) {
                    ++mixed;
                    record->line("MIXED: client %d waits for the answer to %s %s and gets bytes that are no answer: \"%.40s\"", client, isHead ? "HEAD" : "GET", path.c_str(),
                                 reader->buffer.substr(0, reader->buffer.find_first_of("\r\n")).c_str());
                } else if (result == ReadResult::Message) {
                    ++answered;
                    record->line("%s %s: %d", isHead ? "HEAD" : "GET", path.c_str(), answer.status());
                } else {
                    record->line("%s %s: no answer", isHead ? "HEAD" : "GET", path.c_str());
                }
                if (result != ReadResult::Message || answer.field("Connection") == "close") {
                    close(fd);
                    fd = -1;
                }
                sleepMs(100);
            }
            close(fd);
        });
    }
    sleepMs(4000);
    if (isTroubled) {
        store->put("config", "main", configuration(9, {lookup, service("rinkdesk")}));
        record->line("version 9 (without /sheet/) is acknowledged; it must be in force %.0f ms later", ConfigMs);
    }
    for (std::thread &client : clients) {
        client.join();
    }
    record->line("result: %d times, bytes that are no answer", mixed.load());
    printf("%d times, bytes that are no answer; %d answers\n", mixed.load(), answered.load());
    fflush(stdout);
    for (auto &[name, pid] : processes.pids) {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    _exit(answered < 100 ? 2 : mixed > 0 ? 1 : 0);
}
