#pragma once

#include "core/endpoint.h"
#include "fakes/invariantchecker.h"

#include <QJsonDocument>
#include <QProcess>
#include <QStringList>
#include <QTemporaryDir>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/** Runs a small fleet of the real programs on loopback, for the process tests. */
namespace Plantainweir {

struct FleetSettings {
    int rinkdeskUpstreams = 4;
    int tillsideUpstreams = 2;
    int slots = 3; ///< Of each upstream.
    double serviceTimeMs = 5.0;
};

/** The processes of one entry VM. */
struct EntryVm {
    std::string name;
    std::string address; ///< IP address that no other VM uses.
    std::unique_ptr<QProcess> controld;
    std::unique_ptr<QProcess> entryd;

    Endpoint callerPort() const;
    Endpoint entrydOperatorsPort() const;
    Endpoint controldOperatorsPort() const;
    Endpoint membershipPort() const;
};

/** The calls that a run of plantainweir-call sends. */
struct LoadOptions {
    int count = 1000;
    int callsPerSecond = 300;
    int timeoutMs = 10'000;
    int tryTimeoutMs = 0;
    std::string mix = "session-lookup=50,ticket-sale=30,pass-redemption=20";
};

/**
 * Starts a fake platform, fake upstreams and entry VMs, and ends all of them in its destructor.
 *
 * The process id selects a /24 network in 127.0.0.0/8 and each VM has an address in it, so that test processes can run at
 * the same time with the same fixed ports.
 * Functions that wait poll a condition, and fail the test if it does not hold in time.
 */
class Fleet
{
public:
    explicit Fleet(const FleetSettings &settings = {});
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /** Starts platform, upstreams and @p entryCount entry VMs, applies the configuration and waits until all are ready. */
    void start(int entryCount);

    /** Starts one more entry VM without waiting for it. */
    EntryVm &addEntry();
    EntryVm &entry(std::size_t index);
    std::size_t entryCount() const;
    /** Returns the entry VM that the directory names first for @p service. */
    EntryVm &ownerOf(const std::string &service);
    /** Returns the entry VM that has answered the most calls so far. */
    EntryVm &busiestEntry();
    /** Returns an entry VM that is not @p vm. */
    EntryVm &otherEntryThan(const EntryVm &vm);
    /** Waits until the entry VM is ready and knows @p members members that are not leaving. */
    void waitUntilReady(const EntryVm &vm, int members);

    /** Sends a signal to one process. */
    static void signalProcess(const QProcess &process, int signal);
    /** Stops an entry VM gracefully: sends SIGTERM to entryd and, once it has ended, to controld. */
    void stopEntry(EntryVm &vm);
    static void waitUntilEnded(QProcess &process);

    /** Starts plantainweir-call with the addresses of all entry VMs that run now. */
    QProcess &startCalls(const LoadOptions &options);
    /** Waits until all runs of plantainweir-call have ended. */
    void waitForCalls();
    /** Waits until the upstreams have started @p count executions, counted from the start of the fleet. */
    void waitForExecutions(std::uint64_t count);

    /** Changes the upstream @p name, or all if it is `*`; FakeUpstreamAdmin lists the fields of @p json. */
    void configureUpstreams(const std::string &name, const std::string &json);
    /** Sends @p json to `/admin/faults` of the fake platform. */
    void setPlatformFaults(const std::string &json);

    /** Stops all entry VMs, reads the upstreams' counts and checks all calls against them. */
    CheckResult stopAndCheckCalls();

    /** Sends a request and waits for its answer; returns the body of an answer with a 2xx status, or nothing. */
    static std::optional<std::string> request(const Endpoint &endpoint, const std::string &method, const std::string &target, const std::string &body = {});
    /** Polls until @p condition holds; fails the test with @p description if it does not hold within a minute. */
    static void waitUntil(const std::string &description, const std::function<bool()> &condition);

private:
    std::unique_ptr<QProcess> startProgram(const std::string &program, const QStringList &arguments);
    void startUpstreams();
    void applyConfiguration();
    std::string vmAddress(std::size_t index) const;
    std::string fileName(const std::string &name) const;

    FleetSettings m_settings;
    QTemporaryDir m_directory;
    std::string m_network; ///< The first three octets of all addresses, with the dot after them.
    std::unique_ptr<QProcess> m_platform;
    std::unique_ptr<QProcess> m_upstreams;
    std::vector<std::unique_ptr<EntryVm>> m_entries;
    std::vector<std::unique_ptr<QProcess>> m_calls;
    std::vector<std::string> m_records;
    std::size_t m_lastProcess = 0;
};

}
