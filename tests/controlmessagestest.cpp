#include "rpc/controlmessages.h"

#include <gtest/gtest.h>

namespace Plantainweir {
namespace {

using namespace std::chrono_literals;

Service sampleService()
{
    return {.name = "rinkdesk",
            .version = 7,
            .isRemoved = false,
            .upstreams = {{.name = "r1", .endpoint = {"10.0.0.1", 80}, .availabilityZone = "regina", .slots = 3, .connectionLimit = 200, .isDraining = true}}};
}

TEST(ControlMessages, RoundTripKeepsAllFields)
{
    const Rules rules{.version = 3, .workKinds = {{.name = "sale", .rank = Rank::Top, .target = 250ms, .worth = 5.0}}, .probesPerSecond = 12.5};
    const EntryMember member{
        .name = "e1", .incarnation = "i1", .callerEndpoint = {"127.0.0.1", 1}, .peerEndpoint = {"::1", 2}, .availabilityZone = "regina", .isLeaving = true};
    EXPECT_EQ(fromMessage(toMessage(sampleService())), sampleService());
    EXPECT_EQ(fromMessage(toMessage(rules)), rules);
    EXPECT_EQ(fromMessage(toMessage(member)), member);
}

TEST(ControlMessages, RejectInvalidValues)
{
    ControlProtocol::Endpoint endpoint = toMessage(Endpoint{"127.0.0.1", 80});
    endpoint.set_port(65536);
    EXPECT_EQ(fromMessage(endpoint), std::nullopt);
    ControlProtocol::Service service = toMessage(sampleService());
    service.mutable_upstreams(0)->mutable_endpoint()->set_address("upstream.example");
    EXPECT_EQ(fromMessage(service), std::nullopt);
    ControlProtocol::WorkKind workKind = toMessage(WorkKind{.name = "sale"});
    workKind.set_rank("highest");
    EXPECT_EQ(fromMessage(workKind), std::nullopt);
}

}
}
