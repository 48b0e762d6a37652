#pragma once

#include "controllers/creditmessage.h"
#include "controllers/creditterms.h"
#include "core/endpoint.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

/**
 * The keeper's side of limits of the whole fleet: grants credit in proportion to the shares that it holds.
 *
 * Each line has a token bucket that is filled at `perSecond` times the held share and holds at most `burst` times the held
 * share. As all held shares of the fleet add up to at most one, so do the fill rates and the bursts of all keepers. All times
 * are those of suspendAwareNow() of the keeper.
 */
namespace Plantainweir {

/** Time for which a share is delegated, counted by the keeper from the receipt that the delegation echoes. */
inline constexpr std::chrono::milliseconds DelegationTime{1500};

/** The part of one member's share that a keeper holds. */
struct HeldShare {
    std::string delegator;
    Endpoint delegatorEndpoint;
    std::uint64_t sequence = 0;
    double share = 0.0;
    TimePoint deadline;
};

struct CreditBucket {
    double tokens = 0.0;
    double filledAt = 0.0; ///< Value of CreditKeeper::fill up to which the bucket is filled.
};

/** Credit that was granted to a question. */
struct GivenCredit {
    CreditLine line;
    std::uint32_t granted = 0;
    std::uint32_t returned = 0;
};

struct CreditKeeper {
    std::map<ProcessInstance, HeldShare> shares; ///< By delegator.
    TimePoint nextExpiryAt = TimePoint::max(); ///< No share ends before this time.
    double held = 0.0; ///< Sum of the held shares.
    double fill = 0.0; ///< Integral of @ref held over the time, in seconds.
    double heldSince = 0.0; ///< Value of @ref fill when @ref held or the limits changed last.
    TimePoint advancedAt;
    std::map<CreditLine, CreditBucket> buckets;
    std::map<std::pair<ProcessInstance, std::uint64_t>, GivenCredit> given; ///< By borrower and sequence of the question.
    std::deque<std::pair<TimePoint, std::pair<ProcessInstance, std::uint64_t>>> givenEnds; ///< When entries of @ref given end.
    bool isLeaving = false;
};

/** Ends the shares and the memory of granted credit whose time has passed. To be called before any other function. */
void advance(CreditKeeper &keeper, const CreditLimits &limits, TimePoint now);

/** Takes new limits into account; @p before are those that were in force up to @p now. */
void changeLimits(CreditKeeper &keeper, const CreditLimits &before, const CreditLimits &limits, TimePoint now);

/** Takes over a delegation and returns the receipt, or nothing if a newer delegation of the sender is known. */
std::optional<ShareReceipt> receive(CreditKeeper &keeper,
                                    const CreditLimits &limits,
                                    ProcessInstance self,
                                    const CreditMessage &sender,
                                    const Endpoint &from,
                                    const ShareDelegation &delegation,
                                    TimePoint now);

/** Grants or refuses credit. A repeated question is answered as before. */
CreditAnswer answer(CreditKeeper &keeper, const CreditLimits &limits, ProcessInstance borrower, const CreditQuestion &question, TimePoint now);

/** Takes back credit that was granted within CreditValidity. */
void takeBack(CreditKeeper &keeper, const CreditLimits &limits, ProcessInstance borrower, const CreditReturn &credit);

/** A receipt that a leaving keeper sends. */
struct LeavingReceipt {
    std::string delegator;
    Endpoint to;
    ShareReceipt receipt;
};

/** Releases all shares, and takes none from now on. */
std::vector<LeavingReceipt> leave(CreditKeeper &keeper, const CreditLimits &limits, TimePoint now);

}
