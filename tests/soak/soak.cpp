#include "soak/soak.h"

#include "fakes/crowd.h"
#include "fakes/fakestore.h"
#include "http/httpclient.h"
#include "soak/datagramfaults.h"
#include "soak/loopbackproxy.h"
#include "soak/soakupstream.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QFile>
#include <QJsonArray>
#include <QProcess>
#include <QTimer>

#include <fmt/core.h>

#include <csignal>
#include <deque>
#include <functional>
#include <random>

namespace Plantainweir {
namespace {

using std::chrono::milliseconds;

constexpr auto CallerHost = "soak.example";
constexpr std::array Services{"desk", "till"};
/** Availability zones of the upstreams; the entry VMs are in the first one. */
constexpr std::array Zones{"a", "b"};
constexpr std::uint16_t CallerPort = 8080;
constexpr std::uint16_t FirstVmNumber = 10;

constexpr milliseconds CallTimeout{4000};
constexpr milliseconds RestartDelay{300};
constexpr milliseconds SettingsChangeInterval{1500};
/** Shorter than most calls run. */
constexpr milliseconds VanishTime{30};
constexpr milliseconds StartTimeout{60'000};
/** Each entry VM must serve again within this time after all faults have ended ("recover" in the users' requirements). */
constexpr milliseconds RecoveryTimeout{15'000};
/** Time limit from SIGTERM to the end of the process ("grace" in the users' requirements), and a margin for a busy machine. */
constexpr milliseconds StopTimeLimit{6000};
constexpr milliseconds StopMargin{10'000};
/** Length of a phase. Phases that inject only planned changes alternate with phases that inject all kinds of SoakFault. */
constexpr milliseconds PhaseDuration{7000};
constexpr std::size_t MaximumActiveFaults = 3;
constexpr std::size_t CrowdConnections = 60;
constexpr std::array CrowdPorts{CallerPort, std::uint16_t{8081}, std::uint16_t{8082}};

struct SoakAccount {
    const char *name = nullptr;
    const char *key = nullptr;
    double callsPerSecond = 0.0; ///< More than the soak sends, so that the entry VMs need credit of each other; 0 for no limit.
};

constexpr std::array Accounts{SoakAccount{.name = "shop", .key = "key-1", .callsPerSecond = 400.0}, SoakAccount{.name = "till", .key = "key-2"}};

/** Odd behaviour of an upstream, or of all datagrams, that comes beside the other faults. */
enum class SoakOddity {
    Silent, ///< See UpstreamOddity.
    Quiet,
    Leaving,
    SecondCopy, ///< See LinkFault.
    EndlessBody,
    EndlessHead,
    Datagrams, ///< Datagrams between the entry VMs are lost, repeated and delayed.
    CallersVanish, ///< Callers close their connections before they are answered.
};

constexpr std::array<EnumName<SoakOddity>, 8> enumNames(SoakOddity)
{
    return {{
        {SoakOddity::Silent, "silent"},
        {SoakOddity::Quiet, "quiet"},
        {SoakOddity::Leaving, "leaving"},
        {SoakOddity::SecondCopy, "second_copy"},
        {SoakOddity::EndlessBody, "endless_body"},
        {SoakOddity::EndlessHead, "endless_head"},
        {SoakOddity::Datagrams, "datagrams"},
        {SoakOddity::CallersVanish, "callers_vanish"},
    }};
}
static_assert(isEnumTableOrdered<SoakOddity>());

/** Faults of links that SoakFault draws; the others belong to SoakOddity. */
constexpr std::array DrawnLinkFaults{LinkFault::Delay, LinkFault::Blackhole, LinkFault::OneWay, LinkFault::Reset};
constexpr DatagramFaults OddDatagrams{.lostPercent = 15, .repeatedPercent = 20, .delayedPercent = 20, .delayMs = 150};

/** One entry VM of the soak. */
struct SoakEntry {
    std::string name;
    std::string address;
    std::unique_ptr<LoopbackProxy> storeProxy;
    std::unique_ptr<QProcess> process;
    bool isEndExpected = false;
    bool isPaused = false;
    bool hasAnswered = false; ///< Since its start; from then on it watches signals.

    Endpoint callerEndpoint() const
    {
        return {.address = address, .port = CallerPort};
    }
};

struct OpenCall {
    std::string id;
    std::size_t entry = 0;
};

}

class Soak::Private : public QObject
{
public:
    explicit Private(const SoakSettings &settings)
        : m_settings(settings)
        , m_random(settings.seed)
        , m_callRandom(settings.seed + 1)
        , m_crowdRandom(settings.seed + 2)
        , m_oddRandom(settings.seed + 3)
        , m_returnRandom(settings.seed + 4)
        , m_client(HttpLimits{})
    {
        m_history.isTimingChecked = settings.isTimingChecked;
        setDatagramFaults({});
        connect(&m_client, &HttpClient::finished, this, &Private::finishCall);
        for (std::size_t index = 0; index < settings.upstreams; ++index) {
            for (const char *service : Services) {
                addUpstream(service, Zones[index % Zones.size()]);
            }
        }
        changeConfiguration(Services.front());
        const auto pid = static_cast<std::uint64_t>(QCoreApplication::applicationPid());
        for (std::size_t index = 0; index < settings.entries; ++index) {
            auto entry = std::make_unique<SoakEntry>();
            entry->name = fmt::format("e{}", index);
            entry->address = fmt::format("127.{}.{}.{}", 1 + (pid >> 8) % 250, pid % 256, FirstVmNumber + index);
            entry->storeProxy = std::make_unique<LoopbackProxy>(m_store.endpoint());
            m_entries.push_back(std::move(entry));
        }
    }

    ~Private() override
    {
        for (const auto &entry : m_entries) {
            if (entry->process != nullptr) {
                entry->process->disconnect(this);
                entry->process->kill();
                entry->process->waitForFinished();
            }
        }
    }

    const SoakHistory &run()
    {
        for (const auto &entry : m_entries) {
            startEntry(*entry);
        }
        if (!waitUntilServing(StartTimeout)) {
            m_history.violations.emplace_back("not all entry VMs serve after the start");
            return m_history;
        }
        recordFault(m_history, true, Clock::now());
        injectFaults();
        if (!waitUntilServing(RecoveryTimeout)) {
            m_history.violations.emplace_back("not all entry VMs serve after all faults have ended");
        }
        stopAll();
        checkExecutionCounts(m_history);
        return m_history;
    }

    std::size_t randomIndex(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    milliseconds randomTime(int shortest, int longest)
    {
        return milliseconds(std::uniform_int_distribution<int>(shortest, longest)(m_random));
    }

    void runEventLoopFor(milliseconds time)
    {
        QEventLoop loop;
        QTimer::singleShot(time, &loop, &QEventLoop::quit);
        loop.exec();
    }

    /** Runs @p action after @p time. */
    void runAfter(milliseconds time, const std::function<void()> &action)
    {
        QTimer::singleShot(time, this, action);
    }

    void startEntry(SoakEntry &entry)
    {
        entry.isEndExpected = false;
        entry.hasAnswered = false;
        entry.process = std::make_unique<QProcess>();
        const QString log = QString::fromStdString(fmt::format("{}/{}-{}.log", m_settings.directory, entry.name, ++m_lastProcess));
        entry.process->setStandardOutputFile(log);
        entry.process->setStandardErrorFile(log + ".err");
        const auto port = [&entry](int number) {
            return QString::fromStdString(fmt::format("{}:{}", entry.address, number));
        };
        QStringList seeds;
        for (const auto &other : m_entries) {
            seeds << QString::fromStdString(other->address) + ":7401";
        }
        recordStart(m_history, entry.name);
        QProcessEnvironment environment = QProcessEnvironment::systemEnvironment();
        environment.insert("LD_PRELOAD", PLANTAINWEIR_BIN_DIR "/libplantainweir_datagramfaults.so");
        environment.insert(DatagramFaultsVariable, datagramFaultsFile());
        entry.process->setProcessEnvironment(environment);
        connect(entry.process.get(), &QProcess::finished, this, [this, &entry](int code, QProcess::ExitStatus status) {
            handleProcessEnd(entry, code, status);
        });
        entry.process->start(PLANTAINWEIR_BIN_DIR "/plantainweir-gatewayd",
                             {"--name",
                              QString::fromStdString(entry.name),
                              "--availability-zone",
                              "a",
                              "--caller-port",
                              port(CallerPort),
                              "--readiness-port",
                              port(8081),
                              "--directory-port",
                              port(8082),
                              "--membership-port",
                              port(7401),
                              "--exchange-port",
                              port(7402),
                              "--operators-port",
                              port(7403),
                              "--store",
                              QString::fromStdString(toString(entry.storeProxy->endpoint())),
                              "--seeds",
                              seeds.join(','),
                              "--retry-share",
                              "0.2",
                              "--retry-slack",
                              "50",
                              "--retry-window",
                              "10s",
                              "--probe-limit",
                              "100",
                              "--evacuation-bound",
                              "5s",
                              "--hedge-share",
                              "0.1",
                              "--stop-time",
                              "6s"});
    }

    QString datagramFaultsFile() const
    {
        return QString::fromStdString(m_settings.directory) + "/datagramfaults";
    }

    /** Overwrites the file in place, because the entry VMs have mapped it. */
    void setDatagramFaults(const DatagramFaults &faults) const
    {
        QFile file(datagramFaultsFile());
        if (file.open(QIODevice::ReadWrite)) {
            file.write(reinterpret_cast<const char *>(&faults), sizeof(faults));
        }
    }

    void handleProcessEnd(SoakEntry &entry, int code, QProcess::ExitStatus status)
    {
        const bool isUnexpectedEnd = !entry.isEndExpected;
        const bool isFailure = status == QProcess::NormalExit && code != 0;
        if (isUnexpectedEnd || isFailure) {
            m_history.violations.push_back(fmt::format("{} ended unexpectedly or with a failure, exit code {}", entry.name, code));
        }
        m_history.stoppingEntries.erase(entry.name);
        entry.isPaused = false;
        runAfter(RestartDelay, [this, &entry] {
            if (!m_isStopping) {
                startEntry(entry);
            }
        });
    }

    SoakUpstream &addUpstream(const std::string &service, const std::string &availabilityZone)
    {
        auto upstream = std::make_unique<SoakUpstream>(fmt::format("i-{}", ++m_lastUpstream), service, availabilityZone, m_random());
        SoakUpstream &added = *upstream;
        connect(&added, &SoakUpstream::started, this, [this, &added](const std::string &requestId) {
            if (requestId.starts_with("c-")) {
                recordExecution(m_history,
                                requestId,
                                {.upstream = added.id(),
                                 .service = added.service(),
                                 .availabilityZone = added.availabilityZone(),
                                 .isLeaving = added.oddity() == UpstreamOddity::Leaving},
                                Clock::now());
            }
        });
        reportUpstream(added, "ready");
        m_upstreams.push_back(std::move(upstream));
        return added;
    }

    void reportUpstream(SoakUpstream &upstream, const QString &state)
    {
        m_reports[upstream.id()] = upstream.nextReport(state);
        m_store.put("servers", upstream.id(), m_reports[upstream.id()]);
    }

    void removeUpstream(const std::string &id)
    {
        m_reports.erase(id);
        m_store.remove("servers", id);
    }

    void changeConfiguration(const std::string &service)
    {
        const auto route = [](const char *name, const char *prefix, const char *kind, const std::string &target) {
            const QJsonObject spec{{"host", CallerHost},
                                   {"pathPrefix", prefix},
                                   {"kind", kind},
                                   {"timeout", "2s"},
                                   {"targetLatency", "400ms"},
                                   {"service", QString::fromStdString(target)},
                                   {"maxAttempts", 2}};
            return QJsonObject{{"resourceKind", "routes"}, {"metadata", QJsonObject{{"name", name}}}, {"spec", spec}};
        };
        QJsonArray resources{route("look", "/look/", "safe", service), route("book", "/book/", "unsafe", Services.front())};
        for (const char *name : Services) {
            resources.append(QJsonObject{{"resourceKind", "services"},
                                         {"metadata", QJsonObject{{"name", name}}},
                                         {"spec", QJsonObject{{"healthPath", "/health"}, {"maxConnections", 300}}}});
        }
        for (const auto &[name, key, callsPerSecond] : Accounts) {
            resources.append(QJsonObject{{"resourceKind", "tenants"},
                                         {"metadata", QJsonObject{{"name", name}}},
                                         {"spec", QJsonObject{{"apiKeys", QJsonArray{key}}, {"ratePerS", callsPerSecond}, {"burst", callsPerSecond}}}});
        }
        m_configuration = {{"version", ++m_version}, {"resources", resources}};
        m_store.put("config", "main", m_configuration);
        recordRouteChange(m_history, service, Clock::now());
    }

    void sendCall(std::size_t entry)
    {
        const bool isAtMostOnce = (m_callRandom() & 1U) == 0;
        const std::string id = fmt::format("c-{}", ++m_lastCall);
        recordSent(m_history,
                   id,
                   {.repeatability = isAtMostOnce ? Repeatability::AtMostOnce : Repeatability::Idempotent,
                    .entry = m_entries[entry]->name,
                    .sentAt = Clock::now(),
                    .executedBy = {}});
        const std::string credential = std::string("Token ") + Accounts[m_lastCall % Accounts.size()].key;
        const HttpRequest request{
            .method = isAtMostOnce ? "POST" : "GET",
            .target = isAtMostOnce ? "/book/x" : "/look/x",
            .fields = {{"Host", CallerHost}, {"X-Plantainweir-Request-Id", id}, {"X-Plantainweir-Deadline-Ms", "3000"}, {"Authorization", credential}},
            .body = isAtMostOnce ? "work" : ""};
        const HttpRequestId send = m_client.send(m_entries[entry]->callerEndpoint(), request, Clock::now() + CallTimeout);
        m_openCalls.emplace(send, OpenCall{.id = id, .entry = entry});
        if (m_areCallersVanishing && m_oddRandom() % 2 == 0) {
            runAfter(VanishTime, [this, send] {
                if (m_openCalls.erase(send) != 0) {
                    m_client.cancel(send);
                }
            });
        }
    }

    void finishCall(HttpRequestId send, const HttpRequestResult &result)
    {
        const OpenCall call = m_openCalls.extract(send).mapped();
        switch (result.outcome) {
        case HttpRequestOutcome::Answered:
            recordAnswer(m_history, call.id, result.response.status, result.response.body, Clock::now());
            if (result.response.status == 200) {
                m_servingEntries.insert(call.entry);
                m_entries[call.entry]->hasAnswered = true;
            }
            return;
        case HttpRequestOutcome::NotSent:
            m_history.calls.at(call.id).isReportedNotRun = true;
            return;
        case HttpRequestOutcome::ConnectionLost:
        case HttpRequestOutcome::DeadlinePassed:
            recordNoAnswer(m_history, call.id, Clock::now());
            return;
        }
    }

    bool waitUntilServing(milliseconds time)
    {
        m_servingEntries.clear();
        const TimePoint end = Clock::now() + time;
        while (m_servingEntries.size() < m_entries.size() && Clock::now() < end) {
            for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
                sendCall(entry);
            }
            runEventLoopFor(milliseconds(50));
        }
        return m_servingEntries.size() == m_entries.size();
    }

    void injectFaults()
    {
        QTimer calls;
        connect(&calls, &QTimer::timeout, this, [this] {
            sendCall(m_callRandom() % m_entries.size());
        });
        calls.start(milliseconds(static_cast<int>(1000.0 / (m_settings.callsPerSecond * static_cast<double>(m_entries.size())))));
        QTimer settingsChanges;
        connect(&settingsChanges, &QTimer::timeout, this, &Private::signalSettingsChange);
        settingsChanges.start(SettingsChangeInterval);
        const TimePoint start = Clock::now();
        while (Clock::now() < start + m_settings.duration) {
            const auto phase = (Clock::now() - start) / PhaseDuration;
            if (phase % 2 != 0 && m_crowd == nullptr) {
                injectCrowd();
            }
            if (phase % 2 != 0 && m_activeOddities == 0) {
                injectOddity();
            }
            if (phase % 2 != 0 && m_activeReturns == 0) {
                injectReturn();
            }
            injectFault(static_cast<SoakFault>(phase % 2 == 0 ? FirstPlannedFault + randomIndex(enumCount<SoakFault>() - FirstPlannedFault)
                                                              : randomIndex(enumCount<SoakFault>())));
            runEventLoopFor(randomTime(100, 700));
        }
        while (activeFaults() > 0) {
            runEventLoopFor(milliseconds(50));
        }
    }

    /** Tells all running processes that their settings have changed, which must not disturb any call. */
    void signalSettingsChange() const
    {
        for (const auto &entry : m_entries) {
            if (entry->hasAnswered && entry->process->state() == QProcess::Running) {
                ::kill(static_cast<pid_t>(entry->process->processId()), SIGHUP);
            }
        }
    }

    /** Counts a fault as active and calls @p end, which undoes the fault, after a random time. */
    void scheduleFaultEnd(const std::function<void()> &end)
    {
        ++m_activeFaults;
        recordFault(m_history, false, Clock::now());
        runAfter(randomTime(200, 4000), [this, end] {
            end();
            --m_activeFaults;
            recordFault(m_history, activeFaults() == 0, Clock::now());
        });
    }

    std::size_t activeFaults() const
    {
        return m_activeFaults + m_activeCrowds + m_activeOddities + m_activeReturns;
    }

    void injectOddity()
    {
        const auto oddity = static_cast<SoakOddity>(m_oddRandom() % enumCount<SoakOddity>());
        SoakUpstream &upstream = *m_upstreams[m_upstreams.size() - 1 - m_oddRandom() % m_settings.upstreams];
        switch (oddity) {
        case SoakOddity::Silent:
            return setOddity(upstream, UpstreamOddity::Silent);
        case SoakOddity::Quiet:
            return setOddity(upstream, UpstreamOddity::Quiet);
        case SoakOddity::Leaving:
            return setOddity(upstream, UpstreamOddity::Leaving);
        case SoakOddity::SecondCopy:
            return setLinkOddity(upstream, LinkFault::Repeat);
        case SoakOddity::EndlessBody:
            return setLinkOddity(upstream, LinkFault::EndlessBody);
        case SoakOddity::EndlessHead:
            return setLinkOddity(upstream, LinkFault::EndlessHead);
        case SoakOddity::Datagrams:
            setDatagramFaults(OddDatagrams);
            return scheduleOddityEnd([this] {
                setDatagramFaults({});
            });
        case SoakOddity::CallersVanish:
            m_areCallersVanishing = true;
            return scheduleOddityEnd([this] {
                m_areCallersVanishing = false;
            });
        }
    }

    /** An upstream that says it leaves is replaced, and stays ready in the store until it is removed. */
    void setOddity(SoakUpstream &upstream, UpstreamOddity oddity)
    {
        upstream.setOddity(oddity);
        if (oddity != UpstreamOddity::Leaving) {
            return scheduleOddityEnd([&upstream] {
                upstream.setOddity(UpstreamOddity::None);
            });
        }
        addUpstream(upstream.service(), upstream.availabilityZone());
        scheduleOddityEnd([this, &upstream] {
            if (!m_history.leavingSince.contains(upstream.id())) {
                removeUpstream(upstream.id());
                recordLeaving(m_history, upstream.id(), Clock::now());
            }
        });
    }

    void setLinkOddity(SoakUpstream &upstream, LinkFault fault)
    {
        upstream.proxy().setFault(fault);
        scheduleOddityEnd([&upstream] {
            upstream.proxy().setFault(LinkFault::None);
        });
    }

    void scheduleOddityEnd(const std::function<void()> &end)
    {
        ++m_activeOddities;
        recordFault(m_history, false, Clock::now());
        runAfter(milliseconds(1000 + m_oddRandom() % 5000), [this, end] {
            end();
            --m_activeOddities;
            recordFault(m_history, activeFaults() == 0, Clock::now());
        });
    }

    milliseconds randomReturnTime(int shortest, int longest)
    {
        return milliseconds(std::uniform_int_distribution<int>(shortest, longest)(m_returnRandom));
    }

    /** Lets the store go away for a moment and return from a copy that it has made some time before, twice in some cases. */
    void injectReturn()
    {
        ++m_activeReturns;
        recordFault(m_history, false, Clock::now());
        m_store.takeCopy();
        const milliseconds awayAt = randomReturnTime(500, 3000);
        const milliseconds returnAt = awayAt + randomReturnTime(0, 900);
        const bool isSilent = m_returnRandom() % 2 == 0;
        const auto watches = m_returnRandom() % 4 == 0 ? FakeStoreWatches::Silent : FakeStoreWatches::Closed;
        runAfter(awayAt, [this, isSilent] {
            m_store.setFaults({.isUnresponsive = isSilent, .isBusy = !isSilent});
        });
        const bool isRepeated = m_returnRandom() % 4 == 0;
        const milliseconds lastReturnAt = returnAt + (isRepeated ? randomReturnTime(100, 1000) : milliseconds(0));
        runAfter(returnAt, [this, watches] {
            m_store.setFaults({});
            m_store.returnFromCopy(watches);
        });
        if (isRepeated) {
            runAfter(lastReturnAt, [this, watches] {
                m_store.returnFromCopy(watches);
            });
        }
        runAfter(lastReturnAt + randomReturnTime(50, 600), [this] {
            writeAgain();
        });
        runAfter(lastReturnAt + milliseconds(1600), [this] {
            --m_activeReturns;
            recordFault(m_history, activeFaults() == 0, Clock::now());
        });
    }

    /** Operators and upstreams write again what the copy may lack. */
    void writeAgain()
    {
        m_store.put("config", "main", m_configuration);
        for (const char *zone : Zones) {
            if (m_history.evacuatedSince.contains(zone)) {
                m_store.put("evacuations", zone, {});
            } else {
                m_store.remove("evacuations", zone);
            }
        }
        for (const auto &upstream : m_upstreams) {
            runAfter(randomReturnTime(0, 900), [this, &upstream = *upstream] {
                const auto report = m_reports.find(upstream.id());
                if (report != m_reports.end()) {
                    reportUpstream(upstream, report->second["state"].toString());
                } else {
                    m_store.remove("servers", upstream.id());
                }
            });
        }
    }

    /** Lets clients that do not behave connect to one port of an entry VM for some time. */
    void injectCrowd()
    {
        const auto kind = static_cast<CrowdKind>(m_crowdRandom() % enumCount<CrowdKind>());
        const SoakEntry &entry = *m_entries[m_crowdRandom() % m_entries.size()];
        const Endpoint endpoint{.address = entry.address, .port = CrowdPorts[m_crowdRandom() % CrowdPorts.size()]};
        m_crowd = std::make_unique<Crowd>(endpoint, crowdPlan(kind, CallerHost, "/v1/ready"), CrowdConnections);
        ++m_activeCrowds;
        recordFault(m_history, false, Clock::now());
        runAfter(milliseconds(1000 + m_crowdRandom() % 3000), [this] {
            m_crowd.reset();
            --m_activeCrowds;
            recordFault(m_history, activeFaults() == 0, Clock::now());
        });
    }

    LinkFault randomLinkFault()
    {
        return DrawnLinkFaults[randomIndex(DrawnLinkFaults.size())];
    }

    void injectFault(SoakFault fault)
    {
        SoakEntry &entry = *m_entries[randomIndex(m_entries.size())];
        SoakUpstream &upstream = *m_upstreams[m_upstreams.size() - 1 - randomIndex(m_settings.upstreams)];
        const bool isRunning = entry.process->state() == QProcess::Running && !entry.isEndExpected && !entry.isPaused;
        if (m_activeFaults >= MaximumActiveFaults) {
            return;
        }
        switch (fault) {
        case SoakFault::StoreLink:
            entry.storeProxy->setFault(randomLinkFault());
            scheduleFaultEnd([&entry] {
                entry.storeProxy->setFault(LinkFault::None);
            });
            return;
        case SoakFault::UpstreamLink:
            upstream.proxy().setFault(randomLinkFault());
            scheduleFaultEnd([&upstream] {
                upstream.proxy().setFault(LinkFault::None);
            });
            return;
        case SoakFault::StoreUnresponsive:
        case SoakFault::StoreBusy:
            m_store.setFaults({.isUnresponsive = fault == SoakFault::StoreUnresponsive, .isBusy = fault == SoakFault::StoreBusy});
            scheduleFaultEnd([this] {
                m_store.setFaults({});
                m_store.dropWatchesAndHistory();
            });
            return;
        case SoakFault::StoreAnswersLost:
            m_store.setFaults({.isLosingAnswers = true});
            scheduleFaultEnd([this] {
                m_store.setFaults({});
            });
            return;
        case SoakFault::WatchesDropped:
            m_store.dropWatchesAndHistory();
            scheduleFaultEnd([] {});
            return;
        case SoakFault::UpstreamLost:
            removeUpstream(upstream.id());
            recordLeaving(m_history, upstream.id(), Clock::now());
            upstream.proxy().setFault(LinkFault::Reset);
            addUpstream(upstream.service(), upstream.availabilityZone());
            scheduleFaultEnd([] {});
            return;
        case SoakFault::EntryKilled:
            if (isRunning) {
                entry.isEndExpected = true;
                entry.process->kill();
                scheduleFaultEnd([] {});
            }
            return;
        case SoakFault::EntryPaused:
            if (isRunning) {
                pauseEntry(entry);
            }
            return;
        case SoakFault::EntryRestarted:
            if (isRunning) {
                stopEntry(entry);
            }
            return;
        case SoakFault::UpstreamReplaced:
            replaceUpstream(upstream);
            return;
        case SoakFault::RouteChanged:
            changeConfiguration(Services[randomIndex(Services.size())]);
            return;
        case SoakFault::ZoneEvacuated:
            evacuateZone(Zones[randomIndex(Zones.size())]);
            return;
        }
    }

    /** The other availability zones keep their upstreams, so that calls are served meanwhile. */
    void evacuateZone(const std::string &availabilityZone)
    {
        if (!m_history.evacuatedSince.empty()) {
            return;
        }
        m_store.put("evacuations", availabilityZone, {});
        recordEvacuation(m_history, availabilityZone, true, Clock::now());
        runAfter(randomTime(1000, 9000), [this, availabilityZone] {
            m_store.remove("evacuations", availabilityZone);
            recordEvacuation(m_history, availabilityZone, false, Clock::now());
        });
    }

    void pauseEntry(SoakEntry &entry)
    {
        const auto pid = static_cast<pid_t>(entry.process->processId());
        entry.isPaused = true;
        ::kill(pid, SIGSTOP);
        scheduleFaultEnd([&entry, pid] {
            if (entry.isPaused) {
                entry.isPaused = false;
                ::kill(pid, SIGCONT);
            }
        });
    }

    void stopEntry(SoakEntry &entry)
    {
        entry.isEndExpected = true;
        m_history.stoppingEntries.insert(entry.name);
        entry.process->terminate();
    }

    /** Registers the new upstream before the old one drains; the old one keeps serving until it is removed from the store. */
    void replaceUpstream(SoakUpstream &upstream)
    {
        if (m_history.leavingSince.contains(upstream.id())) {
            return;
        }
        addUpstream(upstream.service(), upstream.availabilityZone());
        reportUpstream(upstream, "draining");
        recordLeaving(m_history, upstream.id(), Clock::now());
        runAfter(randomTime(2500, 4000), [this, id = upstream.id()] {
            removeUpstream(id);
        });
    }

    void stopAll()
    {
        m_isStopping = true;
        const TimePoint end = Clock::now() + StopTimeLimit + StopMargin;
        for (const auto &entry : m_entries) {
            stopEntry(*entry);
        }
        const auto isRunning = [this] {
            return std::any_of(m_entries.begin(), m_entries.end(), [](const auto &entry) {
                return entry->process->state() != QProcess::NotRunning;
            });
        };
        while (isRunning() && Clock::now() < end) {
            runEventLoopFor(milliseconds(50));
        }
        if (isRunning()) {
            m_history.violations.emplace_back("not all entry VMs end after SIGTERM");
        }
    }

    static constexpr std::size_t FirstPlannedFault = static_cast<std::size_t>(SoakFault::EntryRestarted);

    SoakSettings m_settings;
    std::mt19937_64 m_random; ///< For the faults. Calls use m_callRandom, because their number differs between runs with the same seed.
    std::mt19937_64 m_callRandom;
    std::mt19937_64 m_crowdRandom; ///< Crowds come beside the faults, so that the faults of a seed stay the same.
    std::mt19937_64 m_oddRandom; ///< The same for odd upstreams, datagrams and callers.
    std::mt19937_64 m_returnRandom; ///< The same for returns of the store from a copy.
    std::unique_ptr<Crowd> m_crowd;
    SoakHistory m_history;
    FakeStore m_store;
    std::deque<std::unique_ptr<SoakUpstream>> m_upstreams;
    std::vector<std::unique_ptr<SoakEntry>> m_entries;
    HttpClient m_client;
    std::map<HttpRequestId, OpenCall> m_openCalls;
    std::set<std::size_t> m_servingEntries;
    std::size_t m_activeFaults = 0;
    std::size_t m_activeCrowds = 0;
    std::size_t m_activeOddities = 0;
    std::size_t m_activeReturns = 0;
    QJsonObject m_configuration; ///< The latest one.
    std::map<std::string, QJsonObject> m_reports; ///< The latest reports of the upstreams that are registered, by id.
    bool m_areCallersVanishing = false;
    int m_version = 0;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_lastUpstream = 0;
    std::uint64_t m_lastProcess = 0;
    bool m_isStopping = false;
};

Soak::Soak(const SoakSettings &settings)
    : d(std::make_unique<Private>(settings))
{
}

Soak::~Soak() = default;

const SoakHistory &Soak::run()
{
    return d->run();
}

}
