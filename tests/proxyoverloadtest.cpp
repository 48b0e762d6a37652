#include "fakes/proxyload.h"

#include <gtest/gtest.h>

namespace Plantainweir {
namespace {

/** More calls than the upstreams can run, so that entry VMs use up their probes. Upstreams never answer what they cannot queue. */
PlayedLoad moreCallsThanRoom()
{
    PlayedLoad load;
    load.duration = std::chrono::seconds(12);
    load.calls = {{.perSecond = 1600.0}};
    return load;
}

TEST(ProxyOverload, CallsAreRefusedAtOnceInsteadOfSentToUpstreamsThatAreProbablyFull)
{
    const PlayedResult result = ProxyLoadPlayer(moreCallsThanRoom()).play();
    EXPECT_LT(result.neverAnswered, result.attempts / 100);
    EXPECT_GT(result.outcomes[0].inTimeShare(), 0.45);
    EXPECT_LT(result.outcomes[0].unknown, result.outcomes[0].calls / 100);
}

TEST(ProxyOverload, TheSettingDecides)
{
    PlayedLoad load = moreCallsThanRoom();
    const PlayedResult on = ProxyLoadPlayer(load).play();
    load.fullRefusal = {};
    const PlayedResult off = ProxyLoadPlayer(load).play();
    EXPECT_GT(off.neverAnswered, off.attempts / 10);
    EXPECT_LT(off.outcomes[0].inTimeShare(), on.outcomes[0].inTimeShare());
}

TEST(ProxyOverload, UpstreamsWithManySlotsThatRefuseWhatTheyCannotQueueGetUnprobedCalls)
{
    PlayedLoad load = moreCallsThanRoom();
    load.isSilentWhenFull = false;
    load.slots = 6;
    load.calls[0].perSecond = 4800.0;
    load.duration = std::chrono::seconds(2);
    const PlayedResult on = ProxyLoadPlayer(load).play();
    load.fullRefusal = {};
    const PlayedResult off = ProxyLoadPlayer(load).play();
    EXPECT_EQ(on.attempts, off.attempts);
    EXPECT_EQ(on.outcomes[0].refused, off.outcomes[0].refused);
}

TEST(ProxyOverload, CallsInTheReachOfTheUpstreamsAreServed)
{
    PlayedLoad load = moreCallsThanRoom();
    load.calls[0].perSecond = 1000.0;
    const PlayedResult result = ProxyLoadPlayer(load).play();
    EXPECT_GT(result.outcomes[0].servedShare(), 0.98);
    EXPECT_GT(result.outcomes[0].inTimeShare(), 0.8);
}

}
}
