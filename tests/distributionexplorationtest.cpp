#include "controllers/distribution.h"
#include "exploration.h"

#include <gtest/gtest.h>

#include <variant>

namespace Plantainweir {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t Interleavings = 20'000;
constexpr int FaultyStepCount = 250;
constexpr int ConvergenceStepLimit = 20'000;
constexpr int MessagesPerStep = 8;
constexpr std::uint64_t ServiceCount = 4;

using Versions = std::map<std::string, std::uint64_t>;

struct Process {
    Distribution distribution;
    std::uint64_t run = 0;
    Versions highestVersions; ///< Highest version of each of its objects in this run.
    std::vector<ObjectVersion> announcedVersions; ///< Versions to announce.
    std::optional<Versions> versionsOfCompletePeer; ///< Versions of the last complete peer that responded.
};

struct CompareCall {
    BucketDigests digests;
};
struct CompareReply {
    VersionList list;
    Versions current;
};
struct PullCall {
    std::vector<std::string> keys;
};
struct PullReply {
    std::vector<std::string> keys;
    ObjectSet objects;
};
struct Heartbeat {
    std::uint64_t digest = 0;
    std::vector<ObjectVersion> announcedVersions;
};
/** An exchange whose response was lost. */
struct ResponseLost {
    std::vector<std::string> keys; ///< Empty for a comparison.
};
struct Message {
    std::size_t from = 0;
    std::size_t to = 0;
    std::uint64_t run = 0; ///< Run of the process that waits for the reply.
    std::variant<Heartbeat, CompareCall, CompareReply, PullCall, PullReply, ResponseLost> content;
};

Service serviceAt(std::uint64_t index, std::uint64_t version)
{
    const auto slots = static_cast<std::uint32_t>(version % 97);
    const Upstream upstream{.name = "u", .endpoint = {"127.0.0.1", 1}, .availabilityZone = "z", .slots = slots, .connectionLimit = 1, .isDraining = false};
    return {.name = "s" + std::to_string(index), .version = version, .isRemoved = version % 5 == 0, .upstreams = {upstream}};
}

Endpoint endpointOf(std::size_t index)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(7000 + index)};
}

Versions currentVersions(const Distribution &distribution)
{
    Versions versions;
    for (const ObjectVersion &object : versionsInDifferingBuckets(distribution,
                                                                  [&distribution] {
                                                                      BucketDigests other = distribution.digests;
                                                                      for (std::uint64_t &digest : other) {
                                                                          digest = ~digest;
                                                                      }
                                                                      return other;
                                                                  }())
                                           .versions) {
        versions[object.key] = object.version;
    }
    return versions;
}

/** Several controld processes, the platform, and the messages between them, which are delivered in random order. */
class Fleet
{
public:
    explicit Fleet(std::uint64_t seed)
        : m_random(seed)
    {
        m_processes.resize(number(2, 4));
        for (std::size_t index = 0; index < m_processes.size(); ++index) {
            restart(index);
        }
    }

    std::optional<std::string> run()
    {
        for (int count = 0; count < FaultyStepCount && !m_failure; ++count) {
            m_now += std::chrono::milliseconds(number(0, 300));
            makeRandomStep();
        }
        m_isFaulty = false;
        m_isPlatformUp = true;
        writeNewVersion(); // So that the platform has at least one object.
        for (int count = 0; count < ConvergenceStepLimit && !m_failure; ++count) {
            m_now += 20ms;
            makeStepWithoutFaults();
            if (count % 20 == 0 && hasConverged()) {
                return m_failure;
            }
        }
        return m_failure.value_or("the fleet did not converge");
    }

private:
    std::uint64_t number(std::uint64_t minimum, std::uint64_t maximum)
    {
        return std::uniform_int_distribution<std::uint64_t>(minimum, maximum)(m_random);
    }

    std::size_t randomProcess()
    {
        return number(0, m_processes.size() - 1);
    }

    void restart(std::size_t index)
    {
        Process process;
        process.distribution.self = "m" + std::to_string(index);
        process.run = ++m_lastRun;
        m_processes[index] = std::move(process);
    }

    void makeRandomStep()
    {
        switch (number(0, 11)) {
        case 0:
            restart(randomProcess());
            break;
        case 1:
            m_isPlatformUp = !m_isPlatformUp;
            break;
        case 2:
            writeNewVersion();
            break;
        case 3:
            changeCandidates(randomProcess(), false);
            break;
        case 4:
        case 5:
            watch(randomProcess());
            break;
        case 6:
        case 7:
            sendHeartbeat(randomProcess());
            break;
        case 8:
            observeStatus(randomProcess());
            break;
        default:
            deliverRandomMessage();
        }
    }

    void makeStepWithoutFaults()
    {
        const std::size_t index = randomProcess();
        changeCandidates(index, true);
        watch(index);
        sendHeartbeat(index);
        for (int delivered = 0; delivered < MessagesPerStep; ++delivered) {
            deliverRandomMessage();
        }
    }

    void writeNewVersion()
    {
        m_platform[number(0, ServiceCount - 1)] += number(1, 3);
    }

    void changeCandidates(std::size_t index, bool isComplete)
    {
        std::vector<std::string> names;
        for (std::size_t other = 0; other < m_processes.size(); ++other) {
            if (isComplete || other == index || number(0, 1) == 1) {
                names.push_back("m" + std::to_string(other));
            }
        }
        feed(index, WatcherCandidatesChanged{names});
    }

    /** Lets a watcher read the platform; while faults are injected, the response may be stale or incomplete. */
    void watch(std::size_t index)
    {
        if (!m_isPlatformUp || !m_processes[index].distribution.isWatcher) {
            return;
        }
        for (const auto &[service, version] : m_platform) {
            const bool isOld = m_isFaulty && number(0, 2) == 0;
            feed(index, ServiceReceived{serviceAt(service, isOld ? number(0, version) : version)});
            if (m_isFaulty && number(0, 3) == 0) {
                return;
            }
        }
        feed(index, PlatformSnapshotReceived{});
    }

    void observeStatus(std::size_t index)
    {
        const UpstreamStatus status{.service = "s" + std::to_string(number(0, ServiceCount - 1)), .upstream = "u", .isLeaving = number(0, 1) == 1};
        feed(index, StatusObserved{status, static_cast<std::uint64_t>(m_now.time_since_epoch() / 1ms) * 8 + index});
    }

    void sendHeartbeat(std::size_t index)
    {
        Process &process = m_processes[index];
        const std::size_t to = randomProcess();
        if (to == index) {
            return;
        }
        Heartbeat heartbeat{.digest = combine(process.distribution.digests), .announcedVersions = process.announcedVersions};
        if (number(0, 3) == 0) {
            process.announcedVersions.clear();
        }
        m_messages.push_back({.from = index, .to = to, .run = 0, .content = heartbeat});
        if (m_isFaulty && number(0, 3) == 0) {
            m_messages.push_back(m_messages.back());
        }
    }

    void deliverRandomMessage()
    {
        if (m_messages.empty()) {
            return;
        }
        std::swap(m_messages[number(0, m_messages.size() - 1)], m_messages.back());
        const Message message = m_messages.back();
        m_messages.pop_back();
        const bool isLost = m_isFaulty && number(0, 3) == 0;
        std::visit(
            [&](const auto &content) {
                deliver(message, content, isLost);
            },
            message.content);
    }

    void reply(const Message &call, decltype(Message::content) content)
    {
        m_messages.push_back({.from = call.to, .to = call.from, .run = call.run, .content = std::move(content)});
    }

    bool isWaiting(const Message &message) const
    {
        return m_processes[message.to].run == message.run;
    }

    void deliver(const Message &message, const Heartbeat &heartbeat, bool isLost)
    {
        if (!isLost) {
            feed(message.to, PeerDigestReceived{endpointOf(message.from), heartbeat.digest, heartbeat.announcedVersions});
        }
    }

    void deliver(const Message &message, const CompareCall &call, bool isLost)
    {
        const Distribution &current = m_processes[message.to].distribution;
        if (isLost) {
            reply(message, ResponseLost{});
        } else {
            reply(message, CompareReply{versionsInDifferingBuckets(current, call.digests), currentVersions(current)});
        }
    }

    void deliver(const Message &message, const CompareReply &content, bool isLost)
    {
        if (!isWaiting(message)) {
            return;
        }
        if (!isLost && content.list.isComplete) {
            m_processes[message.to].versionsOfCompletePeer = content.current;
        }
        feed(message.to, VersionsCompared{endpointOf(message.from), isLost ? std::nullopt : std::optional(content.list)});
    }

    void deliver(const Message &message, const PullCall &call, bool isLost)
    {
        if (isLost) {
            reply(message, ResponseLost{call.keys});
        } else {
            reply(message, PullReply{call.keys, objectsOf(m_processes[message.to].distribution, call.keys)});
        }
    }

    void deliver(const Message &message, const PullReply &content, bool isLost)
    {
        if (isWaiting(message)) {
            feed(message.to, ObjectsPulled{endpointOf(message.from), content.keys, isLost ? std::nullopt : std::optional(content.objects)});
        }
    }

    void deliver(const Message &message, const ResponseLost &content, bool)
    {
        if (!isWaiting(message)) {
            return;
        }
        if (content.keys.empty()) {
            feed(message.to, VersionsCompared{endpointOf(message.from), std::nullopt});
        } else {
            feed(message.to, ObjectsPulled{endpointOf(message.from), content.keys, std::nullopt});
        }
    }

    void feed(std::size_t index, const DistributionEvent &event)
    {
        Process &process = m_processes[index];
        const bool isFromPlatform = std::holds_alternative<PlatformSnapshotReceived>(event);
        const DistributionActions actions = step(process.distribution, event, m_now, m_random);
        process.announcedVersions.insert(process.announcedVersions.end(), actions.announcedVersions.begin(), actions.announcedVersions.end());
        if (actions.compareWith) {
            m_messages.push_back(
                {.from = index, .to = actions.compareWith->port - 7000U, .run = process.run, .content = CompareCall{process.distribution.digests}});
        }
        for (const Pull &pull : actions.pulls) {
            m_messages.push_back({.from = index, .to = pull.peer.port - 7000U, .run = process.run, .content = PullCall{pull.keys}});
        }
        check(process, actions.hasBecomeComplete && !isFromPlatform);
    }

    void fail(const std::string &invariant)
    {
        m_failure = m_failure.value_or(invariant);
    }

    void check(Process &process, bool isCompleteByPeer)
    {
        const Distribution &distribution = process.distribution;
        const Versions current = currentVersions(distribution);
        BucketDigests digests{};
        for (const auto &[key, version] : current) {
            toggleItem(digests, key, version);
        }
        if (digests != distribution.digests) {
            fail("the digests do not describe the objects");
        }
        for (const auto &[key, version] : process.highestVersions) {
            if (!current.contains(key) || current.at(key) < version) {
                fail(key + " reverted");
            }
        }
        process.highestVersions = current;
        for (const auto &[name, service] : distribution.configuration.services) {
            const std::uint64_t index = std::stoull(name.substr(1));
            if (service != serviceAt(index, service.version) || service.version > m_platform[index]) {
                fail("a member has a configuration that the platform never accepted");
            }
        }
        if (distribution.pullsInFlight > distribution.settings.maximumPullsInFlight) {
            fail("too many pulls in flight");
        }
        if (isCompleteByPeer) {
            checkComplete(process, current);
        }
    }

    void checkComplete(const Process &process, const Versions &current)
    {
        if (!process.versionsOfCompletePeer) {
            fail("a member is complete without the platform or a complete peer");
            return;
        }
        for (const auto &[key, version] : *process.versionsOfCompletePeer) {
            if (!current.contains(key) || current.at(key) < version) {
                fail("a member is complete without " + key);
            }
        }
    }

    bool hasConverged() const
    {
        for (const Process &process : m_processes) {
            const Distribution &distribution = process.distribution;
            const bool hasFinishedPulls = distribution.isComplete && distribution.pendingObjects.empty() && distribution.pullsInFlight == 0;
            if (!hasFinishedPulls || distribution.statuses != m_processes.front().distribution.statuses) {
                return false;
            }
            for (const auto &[service, version] : m_platform) {
                const auto current = distribution.configuration.services.find("s" + std::to_string(service));
                const std::uint64_t currentVersion = current == distribution.configuration.services.end() ? 0 : current->second.version;
                if (currentVersion != version) {
                    return false;
                }
            }
        }
        return true;
    }

    std::mt19937_64 m_random;
    TimePoint m_now{1h};
    std::vector<Process> m_processes;
    std::vector<Message> m_messages;
    std::map<std::uint64_t, std::uint64_t> m_platform; ///< Version of each service.
    std::uint64_t m_lastRun = 0;
    bool m_isPlatformUp = true;
    bool m_isFaulty = true;
    std::optional<std::string> m_failure;
};

TEST(DistributionExploration, KeepsItsInvariantsAndConverges)
{
    const auto failures = explore("distribution", Interleavings, [](std::uint64_t seed) {
        return Fleet(seed).run();
    });
    for (const std::string &failure : failures) {
        ADD_FAILURE() << failure;
    }
}

}
}
