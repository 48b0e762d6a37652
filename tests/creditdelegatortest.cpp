#include "controllers/creditdelegator.h"

#include <gtest/gtest.h>

#include <limits>

namespace Plantainweir {
namespace {

using namespace std::chrono_literals;

/** A member among nine others in three zones, of which big-a, big-b and big-c have the largest capacity. */
class CreditDelegatorTest : public testing::Test
{
protected:
    CreditDelegatorTest()
    {
        for (const std::string zone : {"a", "b", "c"}) {
            members["big-" + zone] = {.name = "big-" + zone, .availabilityZone = zone, .capacity = 500};
            members["other-" + zone] = {.name = "other-" + zone, .availabilityZone = zone, .capacity = 100};
            members["small-" + zone] = {.name = "small-" + zone, .availabilityZone = zone, .capacity = 90};
        }
        members["self"] = {.name = "self", .availabilityZone = "a", .capacity = 10};
        delegator.self = "self";
        changeMembers(delegator, members, FleetKnowledge::Converged, now);
    }

    std::vector<OutgoingDelegation> renewNow()
    {
        return renew(delegator, members.size(), sequence, now, random);
    }

    std::vector<OutgoingDelegation> confirm(const std::string &keeper, std::uint64_t releasedUpTo = 0)
    {
        return receive(delegator, keeper, instanceOf(keeper), {.sentAt = now, .releasedUpTo = releasedUpTo}, sequence, now);
    }

    ProcessInstance instanceOf(const std::string &keeper)
    {
        return instances.try_emplace(keeper, instances.size() + 1).first->second;
    }

    /** Renews with answers from all but @p silent until @p duration has passed, and checks the bound parts. */
    void run(Duration duration, const std::string &silent = {})
    {
        const TimePoint end = now + duration;
        while (now < end) {
            for (const OutgoingDelegation &outgoing : renewNow()) {
                if (outgoing.keeper != silent) {
                    confirm(outgoing.keeper);
                }
            }
            now = delegator.nextRenewalAt;
        }
    }

    std::size_t delegatedParts(const std::vector<OutgoingDelegation> &outgoing)
    {
        return static_cast<std::size_t>(std::count_if(outgoing.begin(), outgoing.end(), [](const OutgoingDelegation &delegation) {
            return delegation.delegation.share > 0.0;
        }));
    }

    TimePoint now{1h};
    std::map<std::string, CreditMember> members;
    std::map<std::string, ProcessInstance> instances;
    CreditDelegator delegator;
    std::uint64_t sequence = 0;
    std::mt19937_64 random{1};
};

TEST_F(CreditDelegatorTest, TheKeepersAreLargeMembersOfDifferentZones)
{
    run(5s);
    ASSERT_EQ(delegator.keepers.size(), KeeperCount);
    EXPECT_EQ(delegator.keepers[0].substr(0, 4), "big-");
    EXPECT_EQ(delegator.keepers[1].substr(0, 4), "big-");
    const auto outgoing = renewNow();
    EXPECT_EQ(delegatedParts(outgoing), KeeperCount);
    EXPECT_EQ(outgoing[0].delegation.share, 1.0 / (10.0 * KeeperCount));
}

TEST_F(CreditDelegatorTest, DelegatesNothingSoonAfterTheStartOrBeforeTheMembersHaveFoundEachOther)
{
    run(1s);
    EXPECT_EQ(delegatedParts(renewNow()), 0U);
    run(1s);
    EXPECT_EQ(delegatedParts(renewNow()), KeeperCount);
    changeMembers(delegator, members, FleetKnowledge::Unknown, now);
    EXPECT_EQ(delegatedParts(renewNow()), 0U);
}

/** Guards against a part of the fleet that waited to be compared and uses its share before the part that it found knows of it. */
TEST_F(CreditDelegatorTest, DelegatesNothingSoonAfterTheFleetBecameKnownLate)
{
    changeMembers(delegator, members, FleetKnowledge::Unknown, now);
    run(6s);
    EXPECT_EQ(delegatedParts(renewNow()), 0U);
    changeMembers(delegator, members, FleetKnowledge::Converged, now);
    EXPECT_EQ(delegatedParts(renewNow()), 0U);
    run(1400ms);
    EXPECT_EQ(delegatedParts(renewNow()), 0U);
    run(600ms);
    EXPECT_EQ(delegatedParts(renewNow()), 2U);
}

TEST_F(CreditDelegatorTest, ASilentKeeperIsReplacedOnceItsPartIsNotBoundAnyMore)
{
    run(5s);
    const std::string silent = delegator.keepers[0];
    TimePoint boundUntil = delegator.parts[0].keeper == silent ? delegator.parts[0].boundUntil : delegator.parts[1].boundUntil;
    TimePoint replacedAt = TimePoint::max();
    const TimePoint start = now;
    while (now < start + 6s) {
        for (const OutgoingDelegation &outgoing : renewNow()) {
            if (outgoing.keeper == silent) {
                boundUntil = outgoing.delegation.share > 0.0 ? now + DelegationTime : boundUntil;
                continue;
            }
            confirm(outgoing.keeper);
        }
        const bool isReplaced = std::none_of(delegator.parts.begin(), delegator.parts.end(), [&](const DelegatedPart &part) {
            return part.keeper == silent;
        });
        if (isReplaced && replacedAt == TimePoint::max()) {
            replacedAt = now;
            EXPECT_GE(now, boundUntil);
        }
        now += 10ms;
        delegator.nextRenewalAt = now;
    }
    EXPECT_LE(replacedAt, start + 4s);
    EXPECT_EQ(delegatedParts(renewNow()), KeeperCount);
}

TEST_F(CreditDelegatorTest, AReleasedPartIsDelegatedToAnotherKeeperAtOnce)
{
    run(5s);
    renewNow();
    const std::string leaving = delegator.keepers[0];
    confirm(leaving, std::numeric_limits<std::uint64_t>::max());
    run(1s, leaving);
    EXPECT_EQ(std::count(delegator.keepers.begin(), delegator.keepers.end(), leaving), 0);
    EXPECT_EQ(delegatedParts(renewNow()), KeeperCount);
}

TEST_F(CreditDelegatorTest, AReleaseOfAnEarlierDelegationFreesNothing)
{
    run(5s);
    renewNow();
    const DelegatedPart part = delegator.parts[0];
    confirm(part.keeper, part.sequence - 1);
    EXPECT_EQ(delegator.parts[0].boundUntil, part.boundUntil);
    confirm(part.keeper, part.sequence);
    EXPECT_EQ(delegator.parts[0].boundUntil, now);
}

TEST_F(CreditDelegatorTest, APartIsNotTakenFromARestartedKeeperBeforeItsEnd)
{
    run(5s);
    renewNow();
    const DelegatedPart part = delegator.parts[0];
    instances[part.keeper] = 99;
    confirm(part.keeper);
    EXPECT_EQ(delegator.parts[0].boundUntil, part.boundUntil);
    for (const OutgoingDelegation &outgoing : renewNow()) {
        EXPECT_FALSE(outgoing.keeper == part.keeper && outgoing.delegation.share > 0.0);
    }
}

TEST_F(CreditDelegatorTest, TheLargestFleetCountsForAnHour)
{
    run(5s);
    for (const std::string gone : {"small-a", "small-b", "small-c", "other-a", "other-b"}) {
        members.erase(gone);
    }
    changeMembers(delegator, members, FleetKnowledge::Converged, now);
    run(3599s);
    EXPECT_EQ(renewNow()[0].delegation.share, 1.0 / (10.0 * KeeperCount));
    run(2s);
    EXPECT_EQ(renewNow()[0].delegation.share, 1.0 / (5.0 * KeeperCount));
}

TEST_F(CreditDelegatorTest, ASizeWithinTheLastHourCountsAfterALargerOneIsForgotten)
{
    run(5s);
    members.erase("small-a");
    members.erase("small-b");
    run(60s);
    changeMembers(delegator, members, FleetKnowledge::Converged, now);
    run(3480s);
    for (const std::string gone : {"small-c", "other-a", "other-b", "other-c"}) {
        members.erase(gone);
    }
    changeMembers(delegator, members, FleetKnowledge::Converged, now);
    run(100s);
    EXPECT_EQ(renewNow()[0].delegation.share, 1.0 / (8.0 * KeeperCount)) << "ten are forgotten, eight were live two minutes ago";
    run(3600s);
    EXPECT_EQ(renewNow()[0].delegation.share, 1.0 / (4.0 * KeeperCount));
}

TEST_F(CreditDelegatorTest, APartOfAnEarlierRunOfAKeeperIsNotWithdrawnFromTheNewRun)
{
    run(5s);
    renewNow();
    const std::string restarted = delegator.parts[1].keeper;
    confirm(delegator.parts[0].keeper, std::numeric_limits<std::uint64_t>::max());
    instances[restarted] = 99;
    confirm(restarted);
    ASSERT_GT(delegator.parts[1].boundUntil, now);
    ASSERT_EQ(delegator.parts[0].keeper, restarted) << "the free part goes to the new run";
    std::vector<double> shares;
    for (const OutgoingDelegation &outgoing : renewNow()) {
        if (outgoing.keeper == restarted) {
            shares.push_back(outgoing.delegation.share);
        }
    }
    EXPECT_EQ(shares, std::vector<double>{1.0 / (10.0 * KeeperCount)});
}

TEST(FleetSizeMemory, TheLargestSizeCounts)
{
    FleetSizeMemory memory;
    const TimePoint now{1h};
    rememberFleetSize(memory, 10, now + 5s);
    rememberFleetSize(memory, 8, now + 50s);
    EXPECT_EQ(largestFleetSize(memory).size, 10U);
    EXPECT_EQ(largestFleetSize(memory).validUntil, now + 5s);
    rememberFleetSize(memory, 1'000'000, now + 5s);
    EXPECT_EQ(largestFleetSize(memory).size, 10U);
}

}
}
