#include "configuration/configurationjson.h"
#include "fakes/fakeplatform.h"
#include "fakes/fakestore.h"
#include "http/operatorsport.h"
#include "observability/metrics.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QProcess>
#include <QTemporaryDir>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

/** Runs plantainweirctl as a process against the fake platform; no test waits for a fixed time, only for processes to end. */
namespace Plantainweir {
namespace {

struct Outcome {
    int exitStatus = -1;
    std::string output;
    std::string errors;

    QJsonObject json() const
    {
        return QJsonDocument::fromJson(QByteArray::fromStdString(output)).object();
    }
};

class CtlTest : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(m_platform.listen({"127.0.0.1", 0}));
        ASSERT_TRUE(m_folder.isValid());
        writeFile("rules.yaml",
                  "probes_per_second: 10\nwork_kinds:\n"
                  "  - {name: sale, rank: middle, target_ms: 250, worth: 20, repeatability: at_most_once}\n");
        writeInventory(3);
    }

    void writeFile(const QString &name, const std::string &text)
    {
        QFile file(m_folder.filePath(name));
        ASSERT_TRUE(file.open(QIODevice::WriteOnly));
        file.write(text.data(), static_cast<qint64>(text.size()));
    }

    void writeInventory(int slots, const QString &name = "inventory.csv")
    {
        writeFile(name,
                  "service,upstream,address,availability_zone,slots,connection_limit\n"
                  "rinkdesk,rinkdesk-1,127.0.0.1:7601,regina,"
                      + std::to_string(slots) + ",200\nrinkdesk,rinkdesk-2,127.0.0.1:7602,brandon,3,200\n");
    }

    std::unique_ptr<QProcess> start(QStringList arguments)
    {
        auto process = std::make_unique<QProcess>();
        arguments << "--platform" << QString("127.0.0.1:%1").arg(m_platform.port()) << "--output"
                  << "json";
        process->start(PLANTAINWEIR_BIN_DIR "/plantainweirctl", arguments);
        return process;
    }

    static Outcome finish(QProcess &process)
    {
        if (process.state() != QProcess::NotRunning) {
            QEventLoop loop;
            QObject::connect(&process, &QProcess::finished, &loop, &QEventLoop::quit);
            loop.exec();
        }
        return {.exitStatus = process.exitStatus() == QProcess::NormalExit ? process.exitCode() : -1,
                .output = process.readAllStandardOutput().toStdString(),
                .errors = process.readAllStandardError().toStdString()};
    }

    Outcome run(const QStringList &arguments)
    {
        const auto process = start(arguments);
        return finish(*process);
    }

    QStringList applyArguments(const QString &inventory = "inventory.csv") const
    {
        return {"apply", "--inventory", m_folder.filePath(inventory), "--rules", m_folder.filePath("rules.yaml")};
    }

    Service stored() const
    {
        return decodeService(m_platform.value(serviceObjectName("rinkdesk"))).value();
    }

    FakePlatform m_platform;
    QTemporaryDir m_folder;
};

TEST_F(CtlTest, CheckReportsEveryErrorAndChangesNothing)
{
    writeInventory(0);
    writeFile("rules.yaml", "probes_per_second: -1\nwork_kinds: []\n");
    const QStringList files{"--inventory", m_folder.filePath("inventory.csv"), "--rules", m_folder.filePath("rules.yaml")};
    const Outcome checked = run(QStringList{"check"} + files);
    EXPECT_EQ(checked.exitStatus, 2);
    EXPECT_EQ(checked.json().value("faults").toArray().size(), 3);
    EXPECT_EQ(run(QStringList{"apply"} + files).exitStatus, 2);
    const FakePlatformCounts counts = m_platform.counts();
    EXPECT_EQ(counts.lists + counts.reads + counts.writes + counts.watches, 0U);
}

/** A configuration in the platform's format with one service and @p resources. */
std::string platformConfiguration(int version, const std::string &resources)
{
    return R"({"version":)" + std::to_string(version)
           + R"(,"resources":[{"resourceKind":"services","metadata":{"name":"till"},"spec":{"healthPath":"/health","maxConnections":9}},)" + resources + "]}";
}

std::string platformRoute(const std::string &name, const std::string &more)
{
    return R"({"resourceKind":"routes","metadata":{"name":")" + name + R"("},"spec":{"host":"h.example","pathPrefix":"/)" + name
           + R"(/","timeout":"2s","targetLatency":"250ms","kind":"safe")" + more + "}}";
}

TEST_F(CtlTest, CheckPlatformReportsEveryErrorInOneRun)
{
    writeFile("c.json", platformConfiguration(2, platformRoute("a", R"(,"service":"absent","colour":"red")") + "," + platformRoute("b", R"(,"service":7)")));
    const Outcome outcome = run({"check-platform", "--configuration", m_folder.filePath("c.json")});
    EXPECT_EQ(outcome.exitStatus, 2);
    EXPECT_FALSE(outcome.json().value("isSound").toBool());
    std::set<QString> messages;
    for (const QJsonValue finding : outcome.json().value("findings").toArray()) {
        messages.insert(finding["name"].toString() + " " + finding["field"].toString() + ": " + finding["message"].toString());
    }
    EXPECT_TRUE(messages.contains("a colour: is not known and is ignored"));
    EXPECT_TRUE(messages.contains("a service: the service \"absent\" does not exist"));
    EXPECT_TRUE(messages.contains("b service: is not a text"));
}

TEST_F(CtlTest, CheckPlatformFailsOnWarningsOnlyIfItIsStrict)
{
    writeFile("c.json", platformConfiguration(2, platformRoute("a", R"(,"service":"till","colour":"red")")));
    const QStringList arguments{"check-platform", "--configuration", m_folder.filePath("c.json")};
    EXPECT_EQ(run(arguments).exitStatus, 0);
    EXPECT_EQ(run(arguments + QStringList{"--strict"}).exitStatus, 1);
}

TEST_F(CtlTest, CheckPlatformComparesWithTheVersionInForce)
{
    writeFile("old.json", platformConfiguration(2, platformRoute("a", R"(,"service":"till")")));
    writeFile("new.json", platformConfiguration(3, platformRoute("b", R"(,"service":"till")")));
    const Outcome outcome = run({"check-platform", "--configuration", m_folder.filePath("new.json"), "--in-force", m_folder.filePath("old.json")});
    EXPECT_EQ(outcome.exitStatus, 0);
    const QJsonArray differences = outcome.json().value("differences").toArray();
    ASSERT_EQ(differences.size(), 2);
    EXPECT_EQ(differences.at(0)["item"].toString(), "route a");
    EXPECT_EQ(differences.at(0)["effect"].toString(), "calls are refused as not found");
    EXPECT_EQ(run({"check-platform", "--configuration", m_folder.filePath("old.json"), "--in-force", m_folder.filePath("new.json")}).exitStatus, 2);
}

TEST_F(CtlTest, CheckPlatformComparesWithTheStore)
{
    FakeStore store;
    const QString address = QString::fromStdString(toString(store.endpoint()));
    writeFile("new.json", platformConfiguration(3, platformRoute("b", R"(,"service":"till")")));
    const QStringList arguments{"check-platform", "--configuration", m_folder.filePath("new.json"), "--store", address};
    const Outcome unset = run(arguments);
    EXPECT_EQ(unset.exitStatus, 0) << unset.errors;
    EXPECT_FALSE(unset.json().contains("differences"));
    EXPECT_NE(unset.output.find("holds no configuration that gatewayd accepts"), std::string::npos) << unset.output;
    const auto put = [&store](int version, const std::string &route) {
        const std::string text = platformConfiguration(version, platformRoute(route, R"(,"service":"till")"));
        store.put("config", "main", QJsonDocument::fromJson(QByteArray::fromStdString(text)).object());
    };
    put(2, "a");
    const Outcome compared = run(arguments);
    EXPECT_EQ(compared.exitStatus, 0);
    EXPECT_EQ(compared.json().value("differences").toArray().size(), 2);
    put(3, "b");
    const Outcome sent = run(arguments);
    EXPECT_EQ(sent.exitStatus, 2) << "the version is in force already";
    EXPECT_TRUE(sent.json().value("differences").toArray().isEmpty());
    EXPECT_EQ(store.callCount(), 0) << "stale reads only";
    store.setFaults({.isBusy = true});
    const Outcome refused = run(arguments);
    EXPECT_EQ(refused.exitStatus, 2);
    EXPECT_NE(refused.output.find("did not answer, so nothing was compared"), std::string::npos) << refused.output;
}

TEST_F(CtlTest, CheckPlatformFindsBodiesAboveTheLimit)
{
    const std::string limits = R"(,{"resourceKind":"limits","metadata":{},"spec":{"maxBodyBytes":1000}})";
    writeFile("c.json", platformConfiguration(2, platformRoute("a", R"(,"service":"till")") + limits));
    const QStringList arguments{"check-platform", "--configuration", m_folder.filePath("c.json"), "--body-bytes"};
    EXPECT_EQ(run(arguments + QStringList{"1000"}).exitStatus, 0);
    EXPECT_EQ(run(arguments + QStringList{"1001"}).exitStatus, 2);
}

TEST_F(CtlTest, CheckPlatformNamesTwoAccountsWithOneKey)
{
    const auto account = [](const std::string &name) {
        return R"({"resourceKind":"tenants","metadata":{"name":")" + name + R"("},"spec":{"apiKeys":["secret-1"]}})";
    };
    writeFile("c.json", platformConfiguration(2, platformRoute("a", R"(,"service":"till")") + "," + account("t") + "," + account("u")));
    const Outcome outcome = run({"check-platform", "--configuration", m_folder.filePath("c.json")});
    EXPECT_EQ(outcome.exitStatus, 2);
    EXPECT_NE(outcome.output.find("shares a key with the account \\\"t\\\""), std::string::npos) << outcome.output;
    EXPECT_EQ(outcome.output.find("secret"), std::string::npos);
}

TEST_F(CtlTest, CheckPlatformFindsWhatGatewaydIgnores)
{
    const auto account = [](const QString &name, const QString &fields) {
        return QString(R"(,{"resourceKind":"tenants","metadata":{"name":"%1"},"spec":{%2}})").arg(name, fields).toStdString();
    };
    const std::string route = platformRoute("a", R"(,"service":"till")");
    const auto messagesFor = [&](const std::string &resources) {
        writeFile("c.json", platformConfiguration(2, resources));
        Outcome outcome = run({"check-platform", "--configuration", m_folder.filePath("c.json")});
        EXPECT_EQ((outcome.output + outcome.errors).find("secret"), std::string::npos);
        return outcome;
    };
    EXPECT_EQ(messagesFor(route + account("t", R"("apiKeys":["secret-1"],"priority":null)")).exitStatus, 0);
    const std::map<std::string, std::string> cases{
        {platformRoute("b", ""), "there is no split, so gatewayd ignores the route"},
        {platformRoute("b", R"(,"service":"till","maxAttempts":5000000000)"), "is not a whole number from 0 to 4294967295"},
        {route + account("t", R"("apiKeys":["secret-1"],"priority":5000000000)"), "is not a whole number from 0 to 4294967295"},
        {route + account("t", R"("apiKeys":["secret-1","secret 2"])"), "contains a key that is not 1 to 256 visible characters"},
        {route + account("t t", R"("apiKeys":["secret-1"])"), "no call belongs to the account"},
        {route + account("t", R"("apiKeys":["secret-1"])") + account("u", R"("apiKeys":["secret-1"])"), "shares a key with the account"},
        {route + account("t", R"("apiKeys":["secret-1"])") + account("t", R"("apiKeys":["secret-2"])"), "another account has the same name"},
        {route + R"(,{"resourceKind":"limits","spec":{}},{"resourceKind":"limits","spec":{}})", "only the last counts"},
    };
    for (const auto &[resources, message] : cases) {
        const Outcome outcome = messagesFor(resources);
        EXPECT_EQ(outcome.exitStatus, 2) << message;
        EXPECT_NE(outcome.output.find(message), std::string::npos) << message << outcome.output;
    }
}

TEST_F(CtlTest, CheckPlatformNeverShowsAKey)
{
    const std::string account = R"({"resourceKind":"tenants","metadata":{"name":"t"},"spec":{"apiKeys":["secret-1"],"ratePerS":"secret-2","burst":1}})";
    writeFile("c.json", platformConfiguration(2, platformRoute("a", R"(,"service":"till")") + "," + account));
    const Outcome outcome = run({"check-platform", "--configuration", m_folder.filePath("c.json")});
    EXPECT_EQ(outcome.exitStatus, 2);
    EXPECT_EQ((outcome.output + outcome.errors).find("secret"), std::string::npos);
}

TEST_F(CtlTest, UsageErrorNamesTheAllowedValues)
{
    const QStringList checkPlatform{"check-platform", "--configuration", "c.json", "--store"};
    for (const QStringList &arguments : {QStringList{},
                                         {"aply"},
                                         {"apply"},
                                         {"drain", "rinkdesk"},
                                         {"status", "--write", "x"},
                                         checkPlatform + QStringList{"nowhere"},
                                         checkPlatform + QStringList{"127.0.0.1:1", "--in-force", "d.json"}}) {
        const Outcome outcome = run(arguments);
        EXPECT_EQ(outcome.exitStatus, 2);
        EXPECT_NE(outcome.errors.find("allowed: "), std::string::npos) << outcome.errors;
    }
}

TEST_F(CtlTest, ApplyWritesOnlyChangedObjects)
{
    EXPECT_EQ(run(applyArguments()).exitStatus, 0);
    EXPECT_EQ(m_platform.counts().writes, 2U);
    writeInventory(4);
    const Outcome changed = run(applyArguments());
    EXPECT_EQ(changed.exitStatus, 0);
    EXPECT_EQ(changed.json().value("unchanged").toArray().size(), 1);
    EXPECT_EQ(m_platform.counts().writes, 3U);
    EXPECT_EQ(stored().upstreams.front().slots, 4U);
}

TEST_F(CtlTest, DrainSurvivesAnApply)
{
    run(applyArguments());
    EXPECT_EQ(run({"drain", "rinkdesk/rinkdesk-2"}).exitStatus, 0);
    EXPECT_TRUE(stored().upstreams.at(1).isDraining);
    writeInventory(5);
    EXPECT_EQ(run(applyArguments()).exitStatus, 0);
    EXPECT_TRUE(stored().upstreams.at(1).isDraining);
    EXPECT_EQ(run({"drain", "rinkdesk/rinkdesk-2", "--undo"}).exitStatus, 0);
    EXPECT_FALSE(stored().upstreams.at(1).isDraining);
    EXPECT_EQ(run({"drain", "rinkdesk/rinkdesk-9"}).exitStatus, 2);
}

TEST_F(CtlTest, PruneLeavesATombstone)
{
    run(applyArguments());
    writeFile("other.csv", "service,upstream,address,availability_zone,slots,connection_limit\ntillside,tillside-1,127.0.0.1:7621,regina,3,200\n");
    EXPECT_EQ(run(applyArguments("other.csv")).json().value("kept").toArray().size(), 1);
    EXPECT_FALSE(stored().isRemoved);
    EXPECT_EQ(run(applyArguments("other.csv") + QStringList{"--prune"}).exitStatus, 0);
    EXPECT_TRUE(stored().isRemoved);
}

TEST_F(CtlTest, WritesWithLostAnswersAreReportedAsAccepted)
{
    m_platform.setFaults({.loseWriteAnswers = 2});
    EXPECT_EQ(run(applyArguments()).exitStatus, 0);
    EXPECT_EQ(m_platform.counts().writes, 2U);
    EXPECT_EQ(stored().upstreams.size(), 2U);
}

TEST_F(CtlTest, LostWritesAreSentAgain)
{
    m_platform.setFaults({.loseWrites = 2});
    EXPECT_EQ(run(applyArguments()).exitStatus, 0);
    EXPECT_EQ(m_platform.counts().writes, 4U);
    EXPECT_EQ(stored().upstreams.size(), 2U);
}

TEST_F(CtlTest, UnknownResultNamesTheStatusCommand)
{
    m_platform.setFaults({.loseWriteAnswers = 1, .isDownAfterLostAnswer = true});
    const Outcome unknown = run(applyArguments() + QStringList{"--timeout-ms", "1000"});
    EXPECT_EQ(unknown.exitStatus, 4) << unknown.output;
    std::vector<int> exitStatuses;
    m_platform.setFaults({});
    for (const QJsonValue change : unknown.json().value("changes").toArray()) {
        const QString command = change.toObject().value("tellingCommand").toString();
        if (!command.isEmpty()) {
            ASSERT_TRUE(command.startsWith("plantainweirctl status --write '"));
            exitStatuses.push_back(run({"status", "--write", command.section('\'', 1, 1)}).exitStatus);
        }
    }
    EXPECT_NE(std::find(exitStatuses.begin(), exitStatuses.end(), 0), exitStatuses.end()) << "one write took effect: " << unknown.output;
}

TEST_F(CtlTest, PlatformDownForTheWholeRun)
{
    m_platform.setFaults({.mode = FakePlatformMode::Down});
    const Outcome failed = run(applyArguments() + QStringList{"--timeout-ms", "1000"});
    EXPECT_EQ(failed.exitStatus, 1);
    EXPECT_EQ(failed.json().value("result").toString(), "failed");
    EXPECT_EQ(m_platform.counts().writes, 0U);
    EXPECT_EQ(run({"status", "--timeout-ms", "500"}).exitStatus, 1);
}

TEST_F(CtlTest, SlowPlatform)
{
    m_platform.setFaults({.mode = FakePlatformMode::Slow, .delayMs = 200});
    EXPECT_EQ(run(applyArguments()).exitStatus, 0);
    EXPECT_EQ(run({"status"}).json().value("objects").toArray().size(), 2);
}

TEST_F(CtlTest, RejectedConcurrentChangeReportsTheDifferences)
{
    run(applyArguments());
    writeInventory(4, "four.csv");
    writeInventory(5, "five.csv");
    m_platform.setFaults({.listsToGather = 2});
    const auto first = start(applyArguments("four.csv"));
    const auto second = start(applyArguments("five.csv"));
    const Outcome firstOutcome = finish(*first);
    const Outcome secondOutcome = finish(*second);
    EXPECT_EQ((std::multiset<int>{firstOutcome.exitStatus, secondOutcome.exitStatus}), (std::multiset<int>{0, 3}));
    const bool hasFirstWon = firstOutcome.exitStatus == 0;
    EXPECT_EQ(stored().upstreams.front().slots, hasFirstWon ? 4U : 5U);
    const QJsonObject rejected = (hasFirstWon ? secondOutcome : firstOutcome).json().value("changes").toArray().at(0).toObject();
    EXPECT_EQ(rejected.value("reason").toString(), "conflict");
    EXPECT_EQ(rejected.value("lostTo").toArray().size(), 1);
}

TEST_F(CtlTest, StatusShowsTheVersionsInForceAtEachDaemon)
{
    run(applyArguments());
    Configuration configuration;
    configuration.rules.version = 1;
    configuration.services["rinkdesk"].version = 1;
    Metrics metrics;
    OperatorsPort port(metrics, [&configuration] {
        return R"({"versions":)" + encodeVersions(configuration) + "}";
    });
    ASSERT_TRUE(port.listen({"127.0.0.1", 0}));
    const Outcome shown = run({"status", "--entry", QString("127.0.0.1:%1").arg(port.port())});
    EXPECT_EQ(shown.exitStatus, 0) << shown.errors;
    const QJsonObject daemon = shown.json().value("daemons").toArray().at(0).toObject();
    EXPECT_EQ(daemon.value("versions").toObject().value("plantainweir/services/rinkdesk").toInt(), 1);
    EXPECT_EQ(shown.json().value("objects").toArray().at(1).toObject().value("version").toInt(), 2);
}

}
}

int main(int argc, char **argv)
{
    testing::InitGoogleTest(&argc, argv);
    QCoreApplication application(argc, argv);
    return RUN_ALL_TESTS();
}
