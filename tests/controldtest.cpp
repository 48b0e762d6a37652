#include "tasks/controld.h"
#include "configuration/configurationjson.h"
#include "control.grpc.pb.h"
#include "fakes/eventloop.h"
#include "fakes/fakeplatform.h"
#include "fakes/freeendpoint.h"
#include "observability/metrics.h"
#include "rpc/membershipmessages.h"
#include "tasks/controlclient.h"
#include "tasks/platformapi.h"

#include <QCoreApplication>
#include <QJsonDocument>
#include <QJsonObject>
#include <QProcess>
#include <QTcpSocket>
#include <QUdpSocket>

#include <grpcpp/grpcpp.h>
#include <gtest/gtest.h>

#include <csignal>
#include <limits>

namespace Plantainweir {
namespace {

/** One controld, with its status as operators see it. */
struct Member {
    explicit Member(ControldSettings memberSettings)
        : settings(std::move(memberSettings))
        , controld(settings, metrics)
    {
    }

    QJsonObject status() const
    {
        return QJsonDocument::fromJson(QByteArray::fromStdString(controld.status())).object();
    }

    int countMembers(const QString &state) const
    {
        int count = 0;
        for (const auto &member : status()["members"].toObject()) {
            count += member.toObject()["state"].toString() == state ? 1 : 0;
        }
        return count;
    }

    Metrics metrics;
    ControldSettings settings;
    Controld controld;
};

/** Several controlds and a fake platform in one process, connected over loopback. */
class ControldTest : public testing::Test
{
protected:
    ControldTest()
    {
        EXPECT_TRUE(m_platform.listen({"127.0.0.1", 0}));
    }

    /** @param platform replaces the fake platform if given. */
    Member &addMember(const std::optional<Endpoint> &platform = std::nullopt)
    {
        ControldSettings settings;
        settings.watcherHandOverDelay = std::chrono::milliseconds(500);
        settings.self.name = "m" + std::to_string(m_members.size());
        settings.self.incarnation = 1000;
        settings.self.membershipEndpoint = freeEndpoint();
        settings.self.exchangeEndpoint = freeEndpoint();
        settings.self.availabilityZone = "regina";
        settings.controlEndpoint = freeEndpoint();
        settings.platform = platform.value_or(Endpoint{"127.0.0.1", m_platform.port()});
        if (!m_members.empty()) {
            settings.seeds = {m_members.front()->settings.self.membershipEndpoint};
        }
        m_members.push_back(std::make_unique<Member>(settings));
        EXPECT_EQ(m_members.back()->controld.start().has_value(), false);
        return *m_members.back();
    }

    void addMembers(int count)
    {
        for (int index = 0; index < count; ++index) {
            addMember();
        }
        EXPECT_TRUE(waitForAll([count](const Member &member) {
            return member.countMembers("alive") == count;
        }));
    }

    bool waitForAll(const std::function<bool(const Member &)> &condition)
    {
        return waitUntil([&] {
            return std::all_of(m_members.begin(), m_members.end(), [&condition](const auto &member) {
                return condition(*member);
            });
        });
    }

    void putRules(double probesPerSecond)
    {
        m_platform.put(
            std::string(RulesObjectName),
            encodeRules(Rules{.version = 0, .workKinds = {{.name = "sale", .target = std::chrono::milliseconds(100)}}, .probesPerSecond = probesPerSecond}));
    }

    bool waitForRules(std::uint64_t version)
    {
        return waitForAll([version](const Member &member) {
            return static_cast<std::uint64_t>(member.status()["rules_version"].toInteger()) == version;
        });
    }

    static EntryState makeEntry()
    {
        EntryState state;
        state.self = {.name = "m0",
                      .incarnation = "run",
                      .callerEndpoint = {"127.0.0.1", 1},
                      .peerEndpoint = {"127.0.0.1", 2},
                      .availabilityZone = "regina",
                      .isLeaving = false};
        state.isReady = true;
        return state;
    }

    FakePlatform m_platform;
    std::vector<std::unique_ptr<Member>> m_members;
};

TEST_F(ControldTest, DistributesChangesToAllMembersThroughAFewWatchers)
{
    putRules(1.0);
    addMembers(8);
    EXPECT_TRUE(waitForRules(m_platform.version(std::string(RulesObjectName))));
    EXPECT_TRUE(waitUntil([this] {
        const auto watchers = std::count_if(m_members.begin(), m_members.end(), [](const auto &member) {
            return member->status()["watcher"].toBool();
        });
        return watchers == 3;
    }));
    putRules(2.0);
    EXPECT_TRUE(waitForRules(m_platform.version(std::string(RulesObjectName))));
}

TEST_F(ControldTest, HandsWatchingOverToMembersThatReachThePlatform)
{
    const std::vector<std::string> names{"m0", "m1", "m2", "m3", "m4"};
    const auto expectedWatchers = chooseWatchers(names, DistributionSettings{}.watcherCount);
    const Endpoint closedPort = freeEndpoint();
    const auto isWithoutPlatform = [&expectedWatchers](const std::string &name) {
        return std::find(expectedWatchers.begin(), expectedWatchers.end(), name) != expectedWatchers.end();
    };
    for (const std::string &name : names) {
        addMember(isWithoutPlatform(name) ? std::optional(closedPort) : std::nullopt);
    }
    EXPECT_TRUE(waitForAll([&isWithoutPlatform](const Member &member) {
        const bool isWatcher = member.status()["watcher"].toBool();
        return member.countMembers("alive") == 5 && isWatcher != isWithoutPlatform(member.settings.self.name);
    }));
    putRules(1.0);
    EXPECT_TRUE(waitForRules(m_platform.version(std::string(RulesObjectName))));
}

TEST_F(ControldTest, LearnsFromPeersWhileThePlatformIsDown)
{
    putRules(1.0);
    addMembers(2);
    EXPECT_TRUE(waitForRules(m_platform.version(std::string(RulesObjectName))));
    m_platform.setFaults({.mode = FakePlatformMode::Down});
    const Member &fresh = addMember();
    EXPECT_TRUE(waitUntil([&fresh] {
        return fresh.status()["complete"].toBool();
    }));
    EXPECT_TRUE(waitForRules(m_platform.version(std::string(RulesObjectName))));
}

TEST_F(ControldTest, ReportsNothingToEntrydBeforeItKnowsTheConfiguration)
{
    m_platform.setFaults({.mode = FakePlatformMode::Down});
    Member &member = addMember();
    ControlClient client(member.settings.controlEndpoint);
    bool isConnected = false;
    bool isUpdated = false;
    QObject::connect(&client, &ControlClient::connectedChanged, &client, [&isConnected](bool isOpen) {
        isConnected = isOpen;
    });
    QObject::connect(&client, &ControlClient::updated, &client, [&isUpdated](const RoutingUpdate &) {
        isUpdated = true;
    });
    client.report(makeEntry());
    client.start();
    EXPECT_TRUE(waitUntil([&member] {
        return member.status()["members"].toObject()["m0"].toObject()["serving"].toBool();
    }));
    EXPECT_FALSE(isUpdated);
    m_platform.setFaults({});
    EXPECT_TRUE(waitUntil([&isUpdated] {
        return isUpdated;
    }));
}

TEST_F(ControldTest, AnnouncesThatItsEntryServesAndLeavesAndThatItLeft)
{
    addMembers(3);
    Member &member = *m_members.front();
    auto client = std::make_unique<ControlClient>(member.settings.controlEndpoint);
    client->report(makeEntry());
    client->start();
    const auto entryFlag = [this](const QString &flag) {
        return m_members.back()->status()["members"].toObject()["m0"].toObject()[flag].toBool();
    };
    EXPECT_TRUE(waitUntil([&entryFlag] {
        return entryFlag("serving") && !entryFlag("leaving");
    }));
    bool isStopped = false;
    QObject::connect(&member.controld, &Controld::stopped, &member.controld, [&isStopped] {
        isStopped = true;
    });
    member.controld.stop();
    EXPECT_TRUE(waitUntil([&entryFlag] {
        return entryFlag("leaving");
    }));
    EXPECT_FALSE(isStopped) << "controld must wait until entryd has ended its stream";
    client.reset();
    EXPECT_TRUE(waitUntil([&isStopped] {
        return isStopped;
    }));
    EXPECT_TRUE(waitUntil([this] {
        return m_members.back()->countMembers("left") == 1;
    }));
}

TEST_F(ControldTest, StopsListingAnEntrydWithoutHeartbeats)
{
    addMembers(2);
    const Endpoint control = m_members.front()->settings.controlEndpoint;
    const auto channel = grpc::CreateChannel(toString(control), grpc::InsecureChannelCredentials());
    const auto stub = ControlProtocol::Control::NewStub(channel);
    grpc::ClientContext context;
    const auto silentStream = stub->Subscribe(&context);
    const EntryMember entry{
        .name = "silent",
        .incarnation = "silent-1",
        .callerEndpoint = freeEndpoint(),
        .peerEndpoint = freeEndpoint(),
        .availabilityZone = "regina",
    };
    ASSERT_TRUE(silentStream->Write(toMessage(EntryState{.self = entry, .isReady = true, .upstreamStatuses = {}})));

    ControlClient observer(m_members.back()->settings.controlEndpoint);
    std::vector<EntryMember> listed;
    QObject::connect(&observer, &ControlClient::updated, &observer, [&listed](const RoutingUpdate &update) {
        listed = update.members.value_or(listed);
    });
    EntryMember observing = entry;
    observing.name = "observing";
    observing.incarnation = "observing-1";
    observer.report({.self = observing, .isReady = false, .upstreamStatuses = {}});
    observer.start();
    const auto isListed = [&listed] {
        return std::any_of(listed.begin(), listed.end(), [](const EntryMember &member) {
            return member.incarnation == "silent-1";
        });
    };
    EXPECT_TRUE(waitUntil(isListed));
    EXPECT_TRUE(waitUntil([&isListed] {
        return !isListed();
    }));
    context.TryCancel();
}

TEST_F(ControldTest, CountsAndDropsMalformedDatagrams)
{
    Member &member = addMember();
    QUdpSocket socket;
    const auto sendTo = [&](const QByteArray &bytes) {
        socket.writeDatagram(bytes, QHostAddress::LocalHost, member.settings.self.membershipEndpoint.port);
    };
    sendTo("not a datagram");
    sendTo(QByteArray(static_cast<qsizetype>(MaximumDatagramBytes) + 100, 'x'));
    EXPECT_TRUE(waitUntil([&member] {
        return member.metrics.toText().find("plantainweir_membership_dropped_total 2") != std::string::npos;
    }));
    EXPECT_EQ(member.countMembers("alive"), 1);
}

TEST(MembershipMessages, KeepAllFieldsAndFitIntoOneDatagram)
{
    const std::string longText(MaximumMemberTextBytes, 'n');
    const Endpoint longEndpoint{"2001:db8:1111:2222:3333:4444:5555:6666", 65535};
    MembershipDatagram datagram;
    datagram.kind = DatagramKind::PingRequest;
    datagram.sender = longText;
    datagram.sequence = ~0ULL;
    datagram.target = longText;
    datagram.targetEndpoint = longEndpoint;
    datagram.membersDigest = 1;
    datagram.objectsDigest = 2;
    const EntryMember entry{.name = longText,
                            .incarnation = longText,
                            .callerEndpoint = longEndpoint,
                            .peerEndpoint = longEndpoint,
                            .availabilityZone = longText,
                            .isLeaving = true};
    const MemberRecord record{.name = longText,
                              .incarnation = ~0ULL,
                              .state = MemberState::Suspect,
                              .membershipEndpoint = longEndpoint,
                              .exchangeEndpoint = longEndpoint,
                              .availabilityZone = longText,
                              .entry = entry,
                              .comparedFleetSize = std::numeric_limits<std::uint32_t>::max(),
                              .isPlatformUnreachable = true};
    datagram.records = {record};
    DisseminationQueue queue;
    for (int index = 0; index < 100; ++index) {
        queue.records["r" + std::to_string(index)] = 1;
        queue.announcedVersions["service/" + std::to_string(index)] = {.version = ~0ULL, .transmissionsLeft = 1};
    }
    const auto recordOf = [&record](const std::string &) {
        return &record;
    };
    addPendingUpdates(queue, recordOf, MembershipSettings{}.payloadBytes, datagram);
    const std::string bytes = encodeDatagram(datagram);
    EXPECT_LE(bytes.size(), MaximumDatagramBytes);
    const auto decoded = decodeDatagram(bytes);
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->records, datagram.records);
    EXPECT_EQ(decoded->announcedVersions, datagram.announcedVersions);
    EXPECT_EQ(decoded->targetEndpoint, longEndpoint);
    EXPECT_EQ(decodeDatagram(bytes.substr(0, bytes.size() / 2)), std::nullopt);
}

/** Runs three controlds as processes. */
class ControldProcessTest : public testing::Test
{
protected:
    ControldProcessTest()
    {
        for (int index = 0; index < 3; ++index) {
            m_operators.push_back(freeEndpoint());
            m_membership.push_back(freeEndpoint());
        }
        for (int index = 0; index < 3; ++index) {
            start(index);
        }
    }

    ~ControldProcessTest() override
    {
        for (const auto &process : m_processes) {
            process->terminate();
        }
        for (const auto &process : m_processes) {
            EXPECT_TRUE(process->state() == QProcess::NotRunning || process->waitForFinished());
        }
    }

    void start(int index)
    {
        const auto at = static_cast<std::size_t>(index);
        m_processes.push_back(std::make_unique<QProcess>());
        m_processes.back()->setProcessChannelMode(QProcess::ForwardedErrorChannel);
        m_processes.back()->start(QStringLiteral(PLANTAINWEIR_BIN_DIR "/plantainweir-controld"),
                                  {"--name",
                                   QString("p%1").arg(index),
                                   "--availability-zone",
                                   "regina",
                                   "--control-port",
                                   toArgument(freeEndpoint()),
                                   "--membership-port",
                                   toArgument(m_membership[at]),
                                   "--exchange-port",
                                   toArgument(freeEndpoint()),
                                   "--operators-port",
                                   toArgument(m_operators[at]),
                                   "--seeds",
                                   toArgument(m_membership[0])});
    }

    static QString toArgument(const Endpoint &endpoint)
    {
        return QString::fromStdString(toString(endpoint));
    }

    /**
     * Returns the record of member @p name in the status of member @p viewer; an empty object if there is no answer.
     */
    QJsonObject memberStatus(std::size_t viewer, const QString &name) const
    {
        QTcpSocket socket;
        socket.connectToHost(QHostAddress::LocalHost, m_operators[viewer].port);
        socket.write("GET /status HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n");
        QByteArray answer;
        while (socket.waitForReadyRead(2000)) {
            answer += socket.readAll();
        }
        const QByteArray body = answer.mid(answer.indexOf("\r\n\r\n") + 4);
        return QJsonDocument::fromJson(body).object()["members"].toObject()[name].toObject();
    }

    bool waitForState(std::size_t viewer, const QString &name, const QString &state) const
    {
        return waitUntil([&] {
            return memberStatus(viewer, name)["state"].toString() == state;
        });
    }

    std::vector<Endpoint> m_operators;
    std::vector<Endpoint> m_membership;
    std::vector<std::unique_ptr<QProcess>> m_processes;
};

TEST_F(ControldProcessTest, PausedMemberIsDeclaredDeadAndRefutesThatLater)
{
    ASSERT_TRUE(waitForState(0, "p2", "alive") && waitForState(1, "p2", "alive"));
    const qint64 incarnation = memberStatus(0, "p2")["incarnation"].toInteger();
    ::kill(static_cast<pid_t>(m_processes[2]->processId()), SIGSTOP);
    EXPECT_TRUE(waitForState(0, "p2", "dead") && waitForState(1, "p2", "dead"));
    ::kill(static_cast<pid_t>(m_processes[2]->processId()), SIGCONT);
    EXPECT_TRUE(waitForState(0, "p2", "alive") && waitForState(1, "p2", "alive"));
    EXPECT_GT(memberStatus(0, "p2")["incarnation"].toInteger(), incarnation);
    // After its pause the member may suspect the others until they answer its probes.
    EXPECT_TRUE(waitForState(2, "p0", "alive") && waitForState(2, "p1", "alive"));
}

TEST_F(ControldProcessTest, TerminatedMemberIsSeenAsLeft)
{
    ASSERT_TRUE(waitForState(0, "p2", "alive") && waitForState(1, "p2", "alive"));
    m_processes[2]->terminate();
    EXPECT_TRUE(m_processes[2]->waitForFinished());
    EXPECT_EQ(m_processes[2]->exitCode(), 0);
    EXPECT_TRUE(waitForState(0, "p2", "left") && waitForState(1, "p2", "left"));
}

}
}

int main(int argc, char **argv)
{
    QCoreApplication application(argc, argv);
    testing::InitGoogleTest(&argc, argv);
    return RUN_ALL_TESTS();
}
