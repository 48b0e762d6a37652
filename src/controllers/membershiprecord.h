#pragma once

#include "configuration/objectversion.h"
#include "core/enumnames.h"
#include "decision/ownership.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/** Messages that members exchange about the fleet. */
namespace Plantainweir {

/** State of a member; within one incarnation a later value overrides an earlier one. */
enum class MemberState {
    Alive,
    Suspect, ///< It did not answer a probe; it is declared dead unless it refutes the suspicion in time.
    Dead,
    Left, ///< It announced that it leaves the fleet.
};

constexpr std::array<EnumName<MemberState>, 4> enumNames(MemberState)
{
    return {{
        {MemberState::Alive, "alive"},
        {MemberState::Suspect, "suspect"},
        {MemberState::Dead, "dead"},
        {MemberState::Left, "left"},
    }};
}
static_assert(isEnumTableOrdered<MemberState>());

/** Returns whether a member in @p state counts as part of the fleet. */
constexpr bool isLive(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Suspect;
}

/** Maximum length of a member's name, availability zone or entryd incarnation, in bytes. */
inline constexpr std::size_t MaximumMemberTextBytes = 64;

/** One member. Of two records with the same name, the one with the higher (incarnation, state) is valid. */
struct MemberRecord {
    std::string name;
    std::uint64_t incarnation = 0; ///< Only the member itself increases it.
    MemberState state = MemberState::Alive;
    Endpoint membershipEndpoint; ///< UDP.
    Endpoint exchangeEndpoint; ///< gRPC.
    std::string availabilityZone;
    std::uint32_t capacity = 0; ///< Processor share of its VM, in thousandths of a core; zero if not known.
    std::optional<EntryMember> entry; ///< Set while its entryd is connected and ready.
    std::size_t comparedFleetSize = 0; ///< Members that were to be reckoned with when it compared the fleet with the store; zero before.
    bool isPlatformUnreachable = false; ///< It failed to reach the platform as a watcher; other members should watch instead.
    bool operator==(const MemberRecord &) const = default;
};

enum class DatagramKind {
    Ping,
    PingRequest, ///< Asks the receiver to ping another member.
    Ack,
    Gossip, ///< Carries updates only and expects no response.
};

constexpr std::array<EnumName<DatagramKind>, 4> enumNames(DatagramKind)
{
    return {{
        {DatagramKind::Ping, "ping"},
        {DatagramKind::PingRequest, "ping_request"},
        {DatagramKind::Ack, "ack"},
        {DatagramKind::Gossip, "gossip"},
    }};
}
static_assert(isEnumTableOrdered<DatagramKind>());

/** One message between two members. */
struct MembershipDatagram {
    DatagramKind kind = DatagramKind::Gossip;
    std::string sender;
    std::uint64_t sequence = 0; ///< An ack has the sequence of its ping.
    std::string target; ///< Receiver of the message, or member to ping for the sender; empty if only its endpoint is known.
    Endpoint targetEndpoint; ///< Member to ping for the sender; set in a ping request.
    std::uint64_t membersDigest = 0; ///< Digest of the live members that the sender knows.
    std::uint64_t objectsDigest = 0; ///< Digest of the sender's configuration objects.
    std::vector<MemberRecord> records;
    std::vector<ObjectVersion> announcedVersions; ///< New object versions that the sender announces.
};

}
