#include "tasks/controlclient.h"
#include "tasks/controlserver.h"

#include <gtest/gtest.h>

#include <QCoreApplication>
#include <QEventLoop>

namespace Plantainweir {
namespace {

/** A ControlClient and a ControlServer in one process, connected over loopback. */
class ControlClientTest : public testing::Test
{
protected:
    ControlClientTest()
    {
        EXPECT_TRUE(server.listen({.address = "127.0.0.1", .port = 0}));
        client = std::make_unique<ControlClient>(Endpoint{.address = "127.0.0.1", .port = server.port()});
        QObject::connect(client.get(), &ControlClient::updated, &loop, [this](const RoutingUpdate &update) {
            updates.push_back(update);
            loop.quit();
        });
        QObject::connect(&server, &ControlServer::entryStateReceived, &loop, [this](const EntryState &state) {
            states.push_back(state);
            loop.quit();
        });
    }

    EntryState stateNamed(const std::string &name) const
    {
        EntryState state;
        state.self.name = name;
        state.self.incarnation = "1";
        state.self.availabilityZone = "regina";
        state.self.callerEndpoint = {.address = "127.0.0.1", .port = 1};
        state.self.peerEndpoint = {.address = "127.0.0.1", .port = 2};
        return state;
    }

    template<typename Condition>
    void runUntil(Condition condition)
    {
        while (!condition()) {
            loop.exec();
        }
    }

    int argumentCount = 1;
    char programName[5] = "test";
    char *arguments[2] = {programName, nullptr};
    QCoreApplication application{argumentCount, arguments};
    QEventLoop loop;
    ControlServer server;
    std::unique_ptr<ControlClient> client;
    std::vector<RoutingUpdate> updates;
    std::vector<EntryState> states;
};

TEST_F(ControlClientTest, ServerSendsMembersOnlyIfTheyChanged)
{
    const std::vector<EntryMember> members{stateNamed("a").self};
    client->report(stateNamed("a"));
    server.setMembers(members);
    server.setConfigurationComplete();
    client->start();
    runUntil([this] {
        return !updates.empty();
    });
    server.setMembers(members);
    server.setRules({.version = 1, .workKinds = {}, .probesPerSecond = 0});
    runUntil([this] {
        return updates.size() == 2;
    });
    EXPECT_TRUE(updates[1].rules);
    EXPECT_FALSE(updates[1].members);
}

TEST_F(ControlClientTest, ClientReportsItsStateOnlyIfItChanged)
{
    client->report(stateNamed("a"));
    server.setConfigurationComplete();
    client->start();
    runUntil([this] {
        return states.size() == 1;
    });
    client->report(stateNamed("a"));
    client->report(stateNamed("b"));
    runUntil([this] {
        return states.size() == 2;
    });
    EXPECT_EQ(states[1].self.name, "b");
}

}
}
