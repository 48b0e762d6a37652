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

TEST(ProxyOverload, WithoutTheSettingCallsAreSentToFullUpstreams)
{
    PlayedLoad load = moreCallsThanRoom();
    load.fullRefusalShare = 0.0;
    const PlayedResult result = ProxyLoadPlayer(load).play();
    EXPECT_GT(result.neverAnswered, result.attempts / 10);
    EXPECT_LT(result.outcomes[0].inTimeShare(), 0.4);
}

TEST(ProxyOverload, UpstreamsWithManySlotsGetUnprobedCallsUnlessOneWasSilent)
{
    PlayedLoad load = moreCallsThanRoom();
    load.isSilentWhenFull = false;
    load.upstreamsPerZone = 8;
    load.slots = 6;
    load.duration = std::chrono::seconds(5);
    load.calls[0].perSecond = 2400.0;
    const PlayedResult on = ProxyLoadPlayer(load).play();
    load.fullRefusalShare = 0.0;
    const PlayedResult off = ProxyLoadPlayer(load).play();
    EXPECT_GT(off.neverAnswered, 0) << "calls are sent without probes";
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
