#include "tasks/membershiptask.h"
#include "fakes/eventloop.h"
#include "observability/metrics.h"

#include <gtest/gtest.h>

namespace Plantainweir {
namespace {

MemberRecord memberRecord(const std::string &name)
{
    MemberRecord record{.name = name, .incarnation = 1, .membershipEndpoint = {.address = "127.0.0.1", .port = 9}, .availabilityZone = "a"};
    record.entry = EntryMember{.name = name, .incarnation = "1", .callerEndpoint = {.address = "127.0.0.1", .port = 10}, .availabilityZone = "a"};
    return record;
}

TEST(MembershipTask, TheMembersOfALargeFleetThatAreFoundOneByOneArePublishedTogether)
{
    constexpr std::size_t FleetSize = 472;
    constexpr std::size_t MaximumPublications = FleetSize / 10;
    MemberRecord self = memberRecord("self");
    self.membershipEndpoint.port = 0;
    Metrics metrics;
    MembershipTask task(self, MembershipSettings{}, metrics);
    std::size_t publications = 0;
    std::size_t entryCount = 0;
    QObject::connect(&task, &MembershipTask::entriesChanged, &task, [&](const std::vector<EntryMember> &entries) {
        ++publications;
        entryCount = entries.size();
    });
    ASSERT_TRUE(task.listen());

    task.mergeRecords({memberRecord("first")});
    EXPECT_EQ(publications, 1U) << "a single change is published at once";
    for (std::size_t index = 0; index + 2 < FleetSize; ++index) {
        task.mergeRecords({memberRecord("member-" + std::to_string(index))});
    }
    EXPECT_TRUE(waitUntil([&] {
        return entryCount >= FleetSize - 1;
    }));
    EXPECT_LE(publications, MaximumPublications);
}

}
}

int main(int argc, char **argv)
{
    testing::InitGoogleTest(&argc, argv);
    QCoreApplication application(argc, argv);
    return RUN_ALL_TESTS();
}
