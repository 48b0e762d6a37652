#include "decision/directoryorder.h"

#include <gtest/gtest.h>

namespace Plantainweir {
namespace {

constexpr int Answers = 10'000;

/** Three owners with 6, 2 and no slots. */
struct Owners {
    ServiceOwners assignment;
    std::vector<Upstream> upstreams;
    std::mt19937_64 random{1};

    Owners()
    {
        assignment.owners.resize(3);
        assignment.ownerByUpstream = {0, 1};
        upstreams.resize(2);
        upstreams[0].slots = 6;
        upstreams[1].slots = 2;
    }

    std::vector<std::size_t> draw()
    {
        return drawDirectoryOrder(assignment, upstreams, random);
    }
};

TEST(DirectoryOrder, OwnersAreFirstInProportionToTheirSlots)
{
    Owners owners;
    int first = 0;
    for (int answer = 0; answer < Answers; ++answer) {
        first += owners.draw().front() == 0 ? 1 : 0;
    }
    EXPECT_NEAR(static_cast<double>(first) / Answers, 0.75, 0.02);
}

TEST(DirectoryOrder, ContainsEachOwnerOnceWithOwnersWithoutSlotsLast)
{
    Owners owners;
    for (int answer = 0; answer < 100; ++answer) {
        auto order = owners.draw();
        EXPECT_EQ(order.back(), 2U);
        std::sort(order.begin(), order.end());
        EXPECT_EQ(order, (std::vector<std::size_t>{0, 1, 2}));
    }
}

TEST(DirectoryOrder, IsEmptyWithoutOwners)
{
    Owners owners;
    owners.assignment = {};
    EXPECT_TRUE(owners.draw().empty());
}

}
}
