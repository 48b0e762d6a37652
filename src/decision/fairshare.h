#pragma once

#include "core/time.h"
#include "decision/recentcount.h"

#include <cstdint>
#include <map>
#include <string>

/**
 * Shares scarce room among the client accounts of a service at one entry VM.
 *
 * Answers the load of one account that sends many times its usual while the upstreams are nearly full. Each account of a
 * rank has a weighted max-min fair share of the calls of that rank that are answered. While calls of the rank find none, an account
 * is refused in proportion to what it sends beyond its share, so that its excess costs only itself. Calls that wait are
 * ordered by rank, then by the use of their account relative to its weight. Entry VMs do not exchange their counts: the
 * calls of an account reach all of them alike.
 */
namespace Plantainweir {

/** The room that a call found at the upstreams. */
enum class Room {
    Available, ///< An upstream that is neither full nor slow.
    Scarce, ///< Only a slow upstream, or one that was not probed and told with its answer that it is full.
    None, ///< No upstream; the call was refused.
};

/** The recent calls of one client account. */
struct AccountUse {
    double weight = 1.0;
    RecentCount sent; ///< Calls that its callers sent.
};

/** The accounts of one rank. */
struct RankUse {
    std::map<std::string, AccountUse> accounts;
    RecentCount served; ///< Calls of all accounts that were answered.
    double scarcity = 0.0; ///< Exponentially weighted share of the calls that found no available upstream, at scarcityAt.
    TimePoint scarcityAt;
};

/** The use of one service at one entry VM. */
struct FairShares {
    std::map<std::uint32_t, RankUse> ranks; ///< By priority.
};

/** A call of a client account. */
struct AccountCall {
    std::uint32_t priority = 0;
    std::string account;
    double weight = 1.0; ///< What the account may have relative to the others of its rank.
};

/** Counts a call that was sent by a caller. Calls without an account are not counted. */
void recordSent(FairShares &shares, const AccountCall &call, TimePoint now);

/**
 * Counts the room that a call of @p priority found. What earlier calls found counts less with time: while all calls are refused,
 * none finds out that there is room again.
 */
void recordRoom(FairShares &shares, std::uint32_t priority, Room room, TimePoint now);

/** Counts a call of @p priority that was answered. */
void recordServed(FairShares &shares, std::uint32_t priority, TimePoint now);

/** Returns the share of the calls of @p call's account that are to be refused at once. */
double refusedShare(const FairShares &shares, const AccountCall &call, TimePoint now);

/** Returns the recent calls of the account of @p call relative to its weight. Calls of accounts with low values go first. */
double relativeUse(const FairShares &shares, const AccountCall &call, TimePoint now);

}
