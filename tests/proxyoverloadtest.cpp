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
