#include "decision/outgoingconnections.h"

#include <gtest/gtest.h>

namespace Plantainweir {
namespace {

TEST(OutgoingConnections, AnEndpointHasAtMostItsLimit)
{
    EXPECT_EQ(measureForConnection({.toEndpoint = 7, .endpointLimit = 8, .total = 7, .totalLimit = 100}), ConnectionMeasure::Open);
    EXPECT_EQ(measureForConnection({.toEndpoint = 8, .endpointLimit = 8, .total = 8, .totalLimit = 100, .hasIdle = true}), ConnectionMeasure::RefuseEndpoint);
}

// The load: calls to a few slow upstreams keep all the connections busy that they can get.
TEST(OutgoingConnections, TheLastQuarterIsForEndpointsWithoutAConnection)
{
    EXPECT_EQ(measureForConnection({.toEndpoint = 5, .endpointLimit = 64, .total = 74, .totalLimit = 100}), ConnectionMeasure::Open);
    EXPECT_EQ(measureForConnection({.toEndpoint = 5, .endpointLimit = 64, .total = 75, .totalLimit = 100}), ConnectionMeasure::RefuseTotal);
    EXPECT_EQ(measureForConnection({.toEndpoint = 0, .endpointLimit = 64, .total = 99, .totalLimit = 100}), ConnectionMeasure::Open);
    EXPECT_EQ(measureForConnection({.toEndpoint = 0, .endpointLimit = 64, .total = 100, .totalLimit = 100}), ConnectionMeasure::RefuseTotal);
}

TEST(OutgoingConnections, AnIdleConnectionGivesWay)
{
    EXPECT_EQ(measureForConnection({.toEndpoint = 5, .endpointLimit = 64, .total = 80, .totalLimit = 100, .hasIdle = true}), ConnectionMeasure::ReplaceIdle);
    EXPECT_EQ(measureForConnection({.toEndpoint = 0, .endpointLimit = 64, .total = 100, .totalLimit = 100, .hasIdle = true}), ConnectionMeasure::ReplaceIdle);
}

TEST(OutgoingConnections, AProcessWithOneConnectionUsesIt)
{
    EXPECT_EQ(measureForConnection({.toEndpoint = 0, .endpointLimit = 8, .total = 0, .totalLimit = 1}), ConnectionMeasure::Open);
}

}
}
