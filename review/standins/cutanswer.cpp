// A backend answers a long request early and without a length, and its connection is reset halfway. Checks MIXED.

#include "standin.h"

using namespace standin;

namespace {

constexpr int Gateways = 2;
constexpr int Backends = 4;
constexpr double GarbleShare = 0.5; // of the backends
constexpr double GarbleX = 0.05; // of their answers
constexpr size_t RequestBytes = 8'000'000; // maxBodyBytes is 67,108,864
constexpr size_t AnswerBytes = 6000;
constexpr int Clients = 3;
constexpr double LoadMs = 42000;
// The backends garble for five seconds at a time, four times.
constexpr double GarbleFromS[] = {5, 15, 25, 35};
constexpr double GarbleForS = 5;
std::atomic<double> loadStart = 0;

bool isGarbling()
{
    const double second = (nowMs() - loadStart) / 1000.0;
    return loadStart > 0 && std::any_of(std::begin(GarbleFromS), std::end(GarbleFromS), [second](double from) {
        return second >= from && second < from + GarbleForS;
    });
}

// Answers a long request before it has read its body, without a length, and ends the answer with its connection.
class EarlyBackend : public Backend
{
public:
    bool isFaulty = false;
    std::atomic<int> early = 0;
    std::atomic<int> earlyInTime = 0; // while it garbles
    std::atomic<int> resets = 0;

    static std::string answerBody(const std::string &requestId)
    {
        std::string body = "answer to " + requestId + "\n";
        while (body.size() < AnswerBytes) {
            body += "line " + std::to_string(body.size()) + "\n";
        }
        return body + "end\n";
    }

protected:
    void serve(int fd) override
    {
        std::string bytes;
        char chunk[16384];
        for (;;) {
            const auto end = bytes.find("\r\n\r\n");
            if (end == std::string::npos) {
                const ssize_t count = recv(fd, chunk, sizeof(chunk), 0);
                if (count <= 0) {
                    return;
                }
                bytes.append(chunk, static_cast<size_t>(count));
                continue;
            }
            Message request = parse(bytes.substr(0, end));
            bytes.erase(0, end + 4);
            if (request.word(0) == "GET") {
                if (!sendAll(fd, answerHealth(request).second)) {
                    return;
                }
                continue;
            }
            answerEarly(fd, request);
            return;
        }
    }

private:
    static Message parse(const std::string &head)
    {
        Message request;
        std::istringstream lines(head);
        std::string line;
        std::getline(lines, request.firstLine);
        while (std::getline(lines, line)) {
            const auto colon = line.find(':');
            if (colon != std::string::npos) {
                const auto end = line.find_last_not_of("\r ");
                request.fields[lower(line.substr(0, colon))] = line.substr(colon + 2, end - colon - 1);
            }
        }
        return request;
    }

    void answerEarly(int fd, const Message &request)
    {
        const std::string id2 = request.field("X-Plantainweir-Request-Id");
        runs->add({id2, id, nowMs()});
        record->line("run %s at %s", id2.c_str(), id.c_str());
        sleepMs(20);
        std::string head = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
        auto fields = commonFields(request);
        fields.emplace_back("X-Plantainweir-Response-Stamp", "stamp." + id2);
        for (const auto &[name, value] : fields) {
            head += name + ": " + value + "\r\n";
        }
        const std::string body = answerBody(id2);
        ++early;
        const bool isFaultyNow = isFaulty && isGarbling();
        earlyInTime += isFaultyNow ? 1 : 0;
        if (isFaultyNow && static_cast<double>(resets + 1) <= GarbleX * earlyInTime) {
            ++resets;
            record->line("the connection of %s is reset after half of the answer to %s", id.c_str(), id2.c_str());
            sendAll(fd, head + "\r\n" + body.substr(0, body.size() / 2));
            return; // closed with bytes of the request unread: a reset
        }
        sendAll(fd, head + "\r\n" + body);
        shutdown(fd, SHUT_WR);
        char chunk[65536];
        while (recv(fd, chunk, sizeof(chunk), 0) > 0) {
        }
    }
};

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
    std::vector<EarlyBackend *> backends;
    for (int index = 0; index < Backends; ++index) {
        auto *backend = new EarlyBackend;
        backend->id = "i-" + std::to_string(index + 1);
        backend->service = "prints";
        backend->slots = 3;
        backend->queue = 6;
        backend->runs = runs;
        backend->isFaulty = isTroubled && index < static_cast<int>(GarbleShare * Backends);
        backend->open("127.0.0.1");
        store->put("servers", backend->id, backend->spec());
        backends.push_back(backend);
    }
    store->put("config", "main", configuration(7, {route("r-book", "/book/", "unsafe", "prints", 4000, 1000), service("prints")}));

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
    sleepMs(3500);

    std::atomic<int> mixed = 0;
    std::atomic<int> whole = 0;
    std::map<int, int> byStatus;
    std::mutex mutex;
    std::vector<std::thread> clients;
    const double start = nowMs();
    loadStart = start;
    const std::string upload(RequestBytes, 'x');
    for (int client = 0; client < Clients; ++client) {
        clients.emplace_back([&, client] {
            for (int number = 0; nowMs() < start + LoadMs; ++number) {
                const std::string id = "c" + std::to_string(client) + "-" + std::to_string(number);
                Message answer;
                const int status = call(gateways[static_cast<size_t>(number) % gateways.size()].front(), makeRequest("POST", "/book/" + id, id, 4000, upload), 5000, answer);
                record->line("answered %s: %d, %zu bytes", id.c_str(), status, answer.body.size());
                if (status == 200 && answer.body != EarlyBackend::answerBody(id)) {
                    ++mixed;
                    record->line("MIXED: the client gets 200 with a complete body of %zu bytes for %s, and the backend's whole body has %zu", answer.body.size(), id.c_str(),
                                 EarlyBackend::answerBody(id).size());
                } else if (status == 200) {
                    ++whole;
                }
                std::lock_guard lock(mutex);
                ++byStatus[status];
            }
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    int resets = 0;
    for (const EarlyBackend *backend : backends) {
        resets += backend->resets;
        record->line("%s: %d answers, %d of them reset", backend->id.c_str(), backend->early.load(), backend->resets.load());
    }
    for (const auto &[status, count] : byStatus) {
        record->line("status %d: %d calls", status, count);
    }
    record->line("result: %d of %d answers that were reset reached the client as complete, %d were whole", mixed.load(), resets, whole.load());
    printf("%d of %d answers that were reset reached the client as complete, %d were whole\n", mixed.load(), resets, whole.load());
    fflush(stdout);
    for (auto &[name, pid] : processes.pids) {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    _exit(whole < 100 ? 2 : mixed > 0 ? 1 : 0);
}
