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

/** A small fleet of real processes on loopback, for process tests. */
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
    std::string address; ///< IP number of its own.
    std::unique_ptr<QProcess> controld;
    std::unique_ptr<QProcess> entryd;

    Endpoint callerPort() const;
    Endpoint entrydOperatorsPort() const;
    Endpoint controldOperatorsPort() const;
    Endpoint membershipPort() const;
};

/** What a run of plantainweir-call is asked to send. */
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
 * Each test process has a part of 127.0.0.0/8 of its own, and each VM an IP number, so that fixed ports never clash.
 * Waits end on conditions; they fail the test when a condition does not come.
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
    /** Waits until the entry VM is ready and knows @p members members that do not leave. */
    void waitUntilReady(const EntryVm &vm, int members);

    /** Sends a signal to one process. */
    static void signalProcess(const QProcess &process, int signal);
    /** Ends an entry VM gracefully: entryd by SIGTERM, after it has ended controld too. */
    void stopEntry(EntryVm &vm);
    static void waitUntilEnded(QProcess &process);

    /** Starts plantainweir-call towards all entry VMs of this moment. */
    QProcess &startCalls(const LoadOptions &options);
    /** Waits until all runs of plantainweir-call have ended. */
    void waitForCalls();
    /** Waits until the upstreams have started @p count executions, counted from the start of the fleet. */
    void waitForExecutions(std::uint64_t count);

    /** Sets a fault at upstreams: NAME or `*`, and the JSON object that the admin port takes. */
    void configureUpstreams(const std::string &name, const std::string &json);
    /** Sets the faults of the platform. */
    void setPlatformFaults(const std::string &json);

    /** Stops all entry VMs, reads the upstreams' counts and judges all calls. */
    CheckResult stopAndCheckCalls();

    /** Sends a request and waits for its answer; returns the body of a 200 answer, or nothing. */
    static std::optional<std::string> request(const Endpoint &endpoint, const std::string &method, const std::string &target, const std::string &body = {});
    /** Waits until @p condition holds, polling; fails the test with @p what if it does not within the bound. */
    static void waitUntil(const std::string &description, const std::function<bool()> &condition);

private:
    std::unique_ptr<QProcess> startProgram(const std::string &program, const QStringList &arguments);
    void startUpstreams();
    void applyConfiguration();
    std::string vmAddress(std::size_t index) const;
    std::string fileName(const std::string &name) const;

    FleetSettings m_settings;
    QTemporaryDir m_directory;
    std::string m_network; ///< First three numbers of all addresses, with the last dot.
    std::unique_ptr<QProcess> m_platform;
    std::unique_ptr<QProcess> m_upstreams;
    std::vector<std::unique_ptr<EntryVm>> m_entries;
    std::vector<std::unique_ptr<QProcess>> m_calls;
    std::vector<std::string> m_records;
    std::size_t m_lastProcess = 0;
};

}
