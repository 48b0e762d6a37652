#pragma once

#include "controllers/creditdecision.h"
#include "controllers/creditmessage.h"
#include "controllers/creditterms.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/**
 * The borrowing side of limits of the whole fleet: asks keepers for the credit of waiting calls.
 *
 * For each line one question is open at a time. If its keeper refuses or is silent, another one is asked. A refusal holds
 * until the time that the keeper named. Credit may be used until CreditValidity after its question; what is left goes back
 * to the keeper. All times are those of suspendAwareNow().
 */
namespace Plantainweir {

/** A request for credit that is not decided yet. */
struct CreditWaiter {
    CreditRequestId id = 0;
    TimePoint deadline;
};

struct CreditRefusal {
    TimePoint until;
    bool isShort = false; ///< See CreditAnswer::isShort.
};

/** One line of which this member requests credit. */
struct BorrowedLine {
    std::deque<CreditWaiter> waiters;
    std::uint64_t openQuestion = 0; ///< Sequence; zero if none is open.
    TimePoint silentAt; ///< When the keeper of the open question counts as silent.
    std::uint32_t silences = 0; ///< Questions without an answer since the last answer.
    std::map<std::string, CreditRefusal> refusals; ///< By keeper.
};

/** A question that was asked within CreditValidity. */
struct AskedQuestion {
    CreditLine line;
    std::string keeper;
    std::uint32_t count = 0;
    std::uint32_t returned = 0; ///< Credits that were given back.
    TimePoint usableUntil;
    bool isAnswered = false;
};

struct CreditBorrower {
    std::map<CreditLine, BorrowedLine> lines;
    std::map<std::uint64_t, AskedQuestion> questions; ///< By sequence, which is also the order of their ends.
    std::map<CreditRequestId, CreditLine> requests; ///< Those that are not decided yet.
    std::set<CreditLine> waitingLines; ///< Lines that have waiters or an open question.
    std::map<std::string, TimePoint> silentUntil; ///< Keepers that did not answer in time and are asked last.
};

/** What a step of the borrower needs to know beside its own state. */
struct BorrowerEnvironment {
    const std::vector<std::string> &keepers; ///< In the order in which they are to be asked.
    TimePoint keepersExpectedAt; ///< When keepers are expected if there are none.
    std::uint64_t &lastSequence;
    TimePoint now;
};

/** A question or returned credit to be sent to the member @c keeper. */
struct OutgoingBorrowing {
    std::string keeper;
    CreditMessageBody body;
};

struct DecidedRequest {
    CreditRequestId id = 0;
    CreditLine line;
    CreditDecision decision;
};

struct BorrowerActions {
    std::vector<OutgoingBorrowing> messages;
    std::vector<DecidedRequest> decisions;
};

/** Requests one credit. Exactly one decision follows unless the request is cancelled. */
BorrowerActions request(CreditBorrower &borrower, CreditRequestId id, const CreditLine &line, TimePoint deadline, const BorrowerEnvironment &environment);

/** Drops a request that is not decided yet. */
void cancel(CreditBorrower &borrower, CreditRequestId id);

/** Takes a keeper's answer into account. */
BorrowerActions receive(CreditBorrower &borrower, const std::string &keeper, const CreditAnswer &answer, const BorrowerEnvironment &environment);

/** Gives back the credit that CreditDecision::credit names, to a waiting call or the keeper. Without effect once it has expired. */
BorrowerActions giveBack(CreditBorrower &borrower, std::uint64_t credit, const BorrowerEnvironment &environment);

/** Ends questions and requests whose time has passed. To be called at nextDeadline(). */
BorrowerActions expire(CreditBorrower &borrower, const BorrowerEnvironment &environment);

/** Returns when expire() is due, or nothing if no request waits. */
std::optional<TimePoint> nextDeadline(const CreditBorrower &borrower);

}
