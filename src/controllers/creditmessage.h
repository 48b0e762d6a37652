#pragma once

#include "controllers/creditline.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

/** Messages that entry VMs exchange about limits of the whole fleet. */
namespace Plantainweir {

/** Most credits that one question asks for. */
inline constexpr std::uint32_t MaximumAskedCredits = 32;

/** Identifies one run of a process. */
using ProcessInstance = std::uint64_t;

/**
 * Delegates a part of the sender's share to a keeper, in place of what it delegated with lower sequences. A share of zero
 * delegates nothing and asks for a receipt only.
 */
struct ShareDelegation {
    ProcessInstance keeper = 0; ///< Zero if the sender has no receipt of the keeper yet.
    std::uint64_t sequence = 0;
    TimePoint echoedAt; ///< Time of the keeper that its newest receipt carried. The delegation is counted from then.
    double share = 0.0;
};

/** A keeper's answer to a delegation. */
struct ShareReceipt {
    ProcessInstance delegator = 0;
    TimePoint sentAt; ///< Time of the keeper, to be echoed.
    std::uint64_t releasedUpTo = 0; ///< The keeper holds no share that was delegated with a sequence up to this one, and will not hold one.
};

/** Asks a keeper for credit. */
struct CreditQuestion {
    std::uint64_t sequence = 0;
    CreditLine line;
    std::uint32_t count = 1;
};

/** A keeper's answer to a question. */
struct CreditAnswer {
    ProcessInstance borrower = 0;
    std::uint64_t sequence = 0; ///< That of the question.
    std::uint32_t granted = 0; ///< Number of credits, at most as many as were asked for.
    Duration retryAfter{}; ///< Time until credit returns. Valid if fewer were granted.
    bool isShort = false; ///< Whether the keeper holds too few shares to know that the limit is used up.
};

/** Gives credit back that was not used. */
struct CreditReturn {
    std::uint64_t sequence = 0; ///< That of the question.
    std::uint32_t total = 0; ///< All credits of that question that were given back so far.
};

using CreditMessageBody = std::variant<ShareDelegation, ShareReceipt, CreditQuestion, CreditAnswer, CreditReturn>;

struct CreditMessage {
    std::string sender; ///< Name of the entry VM.
    ProcessInstance instance = 0; ///< Of the sender.
    std::size_t fleetSize = 0; ///< Largest number of members that the sender knows to have been live at once.
    std::chrono::seconds fleetSizeValidity{0}; ///< How long that number is still to be reckoned with.
    CreditMessageBody body;
};

}
