#include "tasks/exchangeclient.h"
#include "fakes/eventloop.h"
#include "http/listener.h"
#include "observability/metrics.h"

#include <gtest/gtest.h>

#include <QCoreApplication>

#include <unistd.h>

namespace Plantainweir {
namespace {

class ExchangeClientTest : public testing::Test
{
private:
    int m_argumentCount = 1;
    char m_program[5] = "test";
    char *m_arguments[2] = {m_program, nullptr};
    QCoreApplication m_application{m_argumentCount, m_arguments};

protected:
    static constexpr std::size_t Calls = 300;

    /** Compares members with @p peer many times, some at a time, and waits for the ends of all calls. */
    void compareMany(const Endpoint &peer)
    {
        constexpr std::size_t CallsAtATime = 10;
        ExchangeClient client(m_metrics);
        std::size_t started = 0;
        std::size_t ended = 0;
        const auto start = [&] {
            ++started;
            client.compareMembers(peer, {}, {});
        };
        QObject::connect(&client, &ExchangeClient::membersCompared, &client, [&](const Endpoint &, const auto &records) {
            ++ended;
            m_failed += records ? 0 : 1;
            if (started < Calls) {
                start();
            }
        });
        for (std::size_t call = 0; call < CallsAtATime; ++call) {
            start();
        }
        EXPECT_TRUE(waitUntil([&] {
            return ended == Calls;
        }));
    }

    Metrics m_metrics;
    std::size_t m_failed = 0;
};

/** gRPC reports the ends of the calls on threads of its own. */
TEST_F(ExchangeClientTest, CallsOfWhichTheConnectionBreaksEndWithoutAReply)
{
    Listener peer;
    ASSERT_TRUE(peer.listen({.address = "127.0.0.1", .port = 0}));
    QObject::connect(&peer, &Listener::accepted, &peer, [](qintptr descriptor) {
        ::close(static_cast<int>(descriptor));
    });
    compareMany({.address = "127.0.0.1", .port = peer.port()});
    EXPECT_EQ(m_failed, Calls);
}

TEST_F(ExchangeClientTest, ACallMayBeOpenWhenTheClientIsDestroyed)
{
    Listener peer;
    ASSERT_TRUE(peer.listen({.address = "127.0.0.1", .port = 0}));
    ExchangeClient client(m_metrics);
    client.compareMembers({.address = "127.0.0.1", .port = peer.port()}, {}, {});
}

}
}
