#include "controllers/membership.h"

#include <gtest/gtest.h>

#include <set>

namespace Plantainweir {
namespace {

using namespace std::chrono_literals;

MemberRecord makeRecord(const std::string &name, std::uint64_t incarnation, MemberState state = MemberState::Alive)
{
    const auto port = static_cast<std::uint16_t>(7000 + name.back());
    return {.name = name,
            .incarnation = incarnation,
            .state = state,
            .membershipEndpoint = {"127.0.0.1", port},
            .exchangeEndpoint = {"127.0.0.2", port},
            .availabilityZone = "regina",
            .entry = std::nullopt};
}

EntryMember makeEntry(bool isLeaving)
{
    return {.name = "e",
            .incarnation = "run",
            .callerEndpoint = {"127.0.0.1", 1},
            .peerEndpoint = {"127.0.0.1", 2},
            .availabilityZone = "z",
            .isLeaving = isLeaving};
}

/** The membership of one member "a", fed with messages from others. */
class MembershipTest : public testing::Test
{
protected:
    MembershipActions fire(Duration wait)
    {
        m_now += wait;
        return step(m_membership, MembershipTimerFired{}, m_now, m_random);
    }

    MembershipActions receive(MembershipDatagram datagram)
    {
        return step(m_membership, DatagramReceived{{"127.0.0.1", 9}, std::move(datagram)}, m_now, m_random);
    }

    MembershipActions receiveRecords(std::vector<MemberRecord> records)
    {
        MembershipDatagram datagram;
        datagram.sender = "b";
        datagram.records = std::move(records);
        return receive(std::move(datagram));
    }

    MemberState stateOf(const std::string &name) const
    {
        return m_membership.members.at(name).record.state;
    }

    /** Fires the timer at each deadline until @p wait has passed. */
    void runFor(Duration wait)
    {
        const TimePoint end = m_now + wait;
        while (nextDeadline(m_membership) <= end) {
            fire(std::max(Duration(0), Duration(nextDeadline(m_membership) - m_now)));
        }
        m_now = end;
    }

    std::mt19937_64 m_random{1};
    TimePoint m_now{1h};
    Membership m_membership = makeMembership(makeRecord("a", 10), {}, m_now, m_random);
};

TEST_F(MembershipTest, SuspectsThenDeclaresDeadMembersThatDoNotAnswer)
{
    receiveRecords({makeRecord("b", 1), makeRecord("c", 1)});
    runFor(2500ms);
    EXPECT_EQ(m_membership.suspects.size(), 2U);
    EXPECT_EQ(liveMembers(m_membership).size(), 3U);
    runFor(10s);
    EXPECT_EQ(stateOf("b"), MemberState::Dead);
    EXPECT_EQ(liveMembers(m_membership), std::vector<std::string>{"a"});
}

TEST_F(MembershipTest, SendsPingRequestsBeforeItSuspects)
{
    receiveRecords({makeRecord("b", 1), makeRecord("c", 1)});
    fire(0s);
    const std::string target = m_membership.probe->target;
    const MembershipActions actions = fire(300ms);
    const auto request = std::find_if(actions.datagrams.begin(), actions.datagrams.end(), [](const OutgoingDatagram &outgoing) {
        return outgoing.datagram.kind == DatagramKind::PingRequest;
    });
    ASSERT_NE(request, actions.datagrams.end());
    EXPECT_EQ(request->datagram.target, target);
    MembershipDatagram ack;
    ack.kind = DatagramKind::Ack;
    ack.sender = target == "b" ? "c" : "b";
    ack.sequence = request->datagram.sequence;
    receive(ack);
    EXPECT_FALSE(m_membership.probe.has_value());
    EXPECT_TRUE(m_membership.suspects.empty());
}

TEST_F(MembershipTest, RefutesWithHigherIncarnation)
{
    EXPECT_TRUE(receiveRecords({makeRecord("a", 10, MemberState::Suspect)}).isRefuted);
    EXPECT_EQ(selfRecord(m_membership).incarnation, 11U);
    EXPECT_TRUE(receiveRecords({makeRecord("a", 40, MemberState::Dead)}).isRefuted);
    EXPECT_GT(selfRecord(m_membership).incarnation, 40U);
    EXPECT_EQ(selfRecord(m_membership).state, MemberState::Alive);
    EXPECT_FALSE(receiveRecords({makeRecord("a", 5, MemberState::Dead)}).isRefuted);
}

TEST_F(MembershipTest, SuspectsNoMemberAfterItsOwnPause)
{
    receiveRecords({makeRecord("b", 1), makeRecord("c", 1, MemberState::Suspect)});
    fire(0s);
    EXPECT_TRUE(fire(1h).isResumed);
    EXPECT_EQ(stateOf("b"), MemberState::Alive);
    EXPECT_EQ(stateOf("c"), MemberState::Suspect);
}

/** Guards against fleets that know of each other from the store and stay apart: all new seeds are pinged, however long ago the start was. */
TEST_F(MembershipTest, PingsNewSeedsAtOnceAndAgainUntilTheyAnswer)
{
    const Endpoint first{"127.0.0.1", 8001};
    const Endpoint second{"127.0.0.1", 8002};
    runFor(60s);
    step(m_membership, SeedsChanged{{first, second}}, m_now, m_random);
    const auto pingedSeeds = [this] {
        std::set<Endpoint> seeds;
        for (const OutgoingDatagram &outgoing : fire(std::max(Duration(0), Duration(nextDeadline(m_membership) - m_now))).datagrams) {
            seeds.insert(outgoing.to);
        }
        return seeds;
    };
    EXPECT_EQ(pingedSeeds(), (std::set<Endpoint>{first, second}));
    EXPECT_EQ(pingedSeeds(), (std::set<Endpoint>{first, second}));
    runFor(20s);
    EXPECT_TRUE(step(m_membership, SeedsChanged{{second, first}}, m_now, m_random).datagrams.empty());
    EXPECT_GE(nextDeadline(m_membership), m_now);
    EXPECT_LE(pingedSeeds().size(), 1U) << "seeds that have not answered for long are pinged seldom";
}

TEST_F(MembershipTest, PublishesOnceThatItHasComparedTheFleet)
{
    receiveRecords({makeRecord("b", 1)});
    const MembershipActions actions = step(m_membership, FleetCompared{7}, m_now, m_random);
    ASSERT_EQ(actions.changes.size(), 1U);
    EXPECT_EQ(actions.changes.front().comparedFleetSize, 7U);
    EXPECT_TRUE(step(m_membership, FleetCompared{7}, m_now, m_random).changes.empty());
}

TEST_F(MembershipTest, SuspectsMembersThatAreDeadInAnotherPartition)
{
    receiveRecords({makeRecord("b", 1)});
    step(m_membership, RecordsReceived{{makeRecord("b", 1, MemberState::Dead)}}, m_now, m_random);
    EXPECT_EQ(stateOf("b"), MemberState::Suspect);
    receiveRecords({makeRecord("b", 2)});
    EXPECT_EQ(stateOf("b"), MemberState::Alive);
}

TEST_F(MembershipTest, SendsSuspectsTheirOwnRecord)
{
    receiveRecords({makeRecord("b", 1, MemberState::Suspect)});
    MembershipDatagram ping;
    ping.kind = DatagramKind::Ping;
    ping.sender = "b";
    const MembershipActions actions = receive(ping);
    ASSERT_EQ(actions.datagrams.size(), 1U);
    EXPECT_EQ(actions.datagrams[0].datagram.records.at(0), makeRecord("b", 1, MemberState::Suspect));
}

TEST_F(MembershipTest, MembersThatLeftAreNotSuspected)
{
    receiveRecords({makeRecord("b", 1)});
    receiveRecords({makeRecord("b", 2, MemberState::Left)});
    EXPECT_EQ(stateOf("b"), MemberState::Left);
    receiveRecords({makeRecord("b", 2, MemberState::Dead), makeRecord("b", 1)});
    EXPECT_EQ(stateOf("b"), MemberState::Left);
}

TEST_F(MembershipTest, PublishesTheEntryWithItsOwnName)
{
    step(m_membership, EntryChanged{makeEntry(false)}, m_now, m_random);
    EXPECT_EQ(servingEntries(m_membership).at(0).name, "a");
    EXPECT_EQ(selfRecord(m_membership).incarnation, 11U);
    step(m_membership, EntryChanged{makeEntry(false)}, m_now, m_random);
    EXPECT_EQ(selfRecord(m_membership).incarnation, 11U);
    step(m_membership, EntryChanged{makeEntry(true)}, m_now, m_random);
    EXPECT_TRUE(servingEntries(m_membership).at(0).isLeaving);
    step(m_membership, EntryChanged{std::nullopt}, m_now, m_random);
    EXPECT_TRUE(servingEntries(m_membership).empty());
}

TEST_F(MembershipTest, TransmitsUpdatesABoundedNumberOfTimesInBoundedDatagrams)
{
    constexpr int MemberCount = 200;
    std::vector<MemberRecord> records;
    records.reserve(MemberCount);
    for (int index = 0; index < MemberCount; ++index) {
        records.push_back(makeRecord("member" + std::to_string(index), 1));
    }
    receiveRecords(records);
    std::map<std::string, int> transmissions;
    for (int tick = 0; tick < 600; ++tick) {
        for (const OutgoingDatagram &outgoing : fire(200ms).datagrams) {
            EXPECT_LE(outgoing.datagram.records.size(), 12U);
            for (const MemberRecord &record : outgoing.datagram.records) {
                transmissions[record.name] += record.state == MemberState::Alive ? 1 : 0;
            }
        }
    }
    transmissions.erase("a"); // Each introductory ping carries its own record.
    for (const auto &[name, count] : transmissions) {
        EXPECT_LE(count, 3 * 3) << name;
    }
    EXPECT_GE(transmissions.size(), 200U);
}

TEST_F(MembershipTest, RemovesDeadMembersAfterTheRetention)
{
    receiveRecords({makeRecord("b", 1, MemberState::Dead)});
    runFor(24h + 2s);
    EXPECT_EQ(m_membership.members.count("b"), 0U);
}

}
}
