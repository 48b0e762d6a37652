#pragma once

#include "core/enumnames.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/**
 * Decides which connections give way when clients make a process hold too much memory, or open too many connections. Pure
 * functions over values.
 */
namespace Plantainweir {

/** What a connection is doing, in the order in which connections give way to new ones. */
enum class PeerActivity {
    Closing, ///< Its last response has been sent.
    Idle, ///< Between two requests.
    Receiving, ///< A request is incomplete.
    Unread, ///< The client has not read all of the last response.
    Answering, ///< A request has no response yet.
};

constexpr std::array<EnumName<PeerActivity>, 5> enumNames(PeerActivity)
{
    return {{
        {PeerActivity::Closing, "closing"},
        {PeerActivity::Idle, "idle"},
        {PeerActivity::Receiving, "receiving"},
        {PeerActivity::Unread, "unread"},
        {PeerActivity::Answering, "answering"},
    }};
}
static_assert(isEnumTableOrdered<PeerActivity>());

/** What one connection makes the process hold. */
struct PeerHolding {
    std::uint64_t connection = 0;
    std::size_t bytes = 0;
    TimePoint since; ///< When the connection began to hold them or, if it holds none, when it became idle.
    PeerActivity activity = PeerActivity::Idle;
    TimePoint readAt; ///< When the client last read a sizeable part of its response, if it is unread.
};

/** Why a request was refused or a connection closed in favour of others. */
enum class PeerRelease {
    RequestRefused, ///< A complete request takes too much of the free memory.
    MemoryHeld, ///< All connections together hold too much memory.
    ConnectionReplaced, ///< There are too many connections.
};

constexpr std::array<EnumName<PeerRelease>, 3> enumNames(PeerRelease)
{
    return {{
        {PeerRelease::RequestRefused, "request_refused"},
        {PeerRelease::MemoryHeld, "memory_held"},
        {PeerRelease::ConnectionReplaced, "connection_replaced"},
    }};
}
static_assert(isEnumTableOrdered<PeerRelease>());

/** What to do about a request that has been received completely. */
enum class PeerRequestMeasure {
    Accept,
    Refuse, ///< It is large, and takes more than half of what is free while others hold more than a quarter.
};

/** Requests of at most this size are accepted whatever others hold, since connectionsToRelease() makes room for them. */
inline constexpr std::size_t SmallRequestBytes = 16 * 1024;

/** Time without reading after which a client is taken for one that does not read its response. */
inline constexpr std::chrono::seconds UnreadTime{2};

/** Returns the measure for a request that takes @p bytes, while all connections hold @p held of at most @p limit bytes. */
PeerRequestMeasure measureForRequest(std::size_t bytes, std::size_t held, std::size_t limit);

/**
 * Returns the connections to be closed, until the others hold at most three quarters of @p limit bytes; nothing if all hold at
 * most @p limit. Those that hold at least half of the mean go first, in the order of bytes multiplied by time.
 */
std::vector<std::uint64_t> connectionsToRelease(std::vector<PeerHolding> holdings, std::size_t limit, TimePoint now);

/**
 * Returns the connection to be closed for a new one: the one that has been idle for longest, or else the one whose request has
 * been incomplete for longest, or else, of those whose clients have not read for UnreadTime, the one that has had an unread
 * response for longest. Returns nothing if all others wait for responses or read them.
 */
std::optional<std::uint64_t> connectionToReplace(const std::vector<PeerHolding> &holdings, TimePoint now);

}
