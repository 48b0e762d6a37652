#include "controllers/creditborrower.h"

#include <algorithm>

namespace Plantainweir {
namespace {

/** A keeper that has not answered a question after this time is silent. */
constexpr std::chrono::milliseconds AnswerTimeout{60};
/** Time for which other keepers are asked before a silent one. */
constexpr std::chrono::milliseconds SilenceTime{500};
/** Questions without an answer after which the requests are refused. Together they take less than CreditValidity. */
constexpr std::uint32_t MaximumSilences = 3;
/** Lines without a waiter are forgotten beyond this number. */
constexpr std::size_t MaximumIdleLines = 1024;

struct BorrowerContext {
    CreditBorrower &borrower;
    const BorrowerEnvironment &environment;
    BorrowerActions actions;
};

void decide(BorrowerContext &context, const CreditLine &line, CreditRequestId id, const CreditDecision &decision)
{
    context.borrower.requests.erase(id);
    context.actions.decisions.push_back({.id = id, .line = line, .decision = decision});
}

void decideAll(BorrowerContext &context, const CreditLine &line, BorrowedLine &borrowed, CreditOutcome outcome, TimePoint retryAt)
{
    for (const CreditWaiter &waiter : borrowed.waiters) {
        decide(context, line, waiter.id, {.outcome = outcome, .retryAt = retryAt});
    }
    borrowed.waiters.clear();
    borrowed.silences = 0;
}

bool isRefusing(const BorrowedLine &borrowed, const std::string &keeper, TimePoint now)
{
    const auto refusal = borrowed.refusals.find(keeper);
    return refusal != borrowed.refusals.end() && refusal->second.until > now;
}

bool isSilent(const CreditBorrower &borrower, const std::string &keeper, TimePoint now)
{
    const auto silent = borrower.silentUntil.find(keeper);
    return silent != borrower.silentUntil.end() && silent->second > now;
}

/** Returns the keeper to ask next, or null if all refuse. Silent ones come last. */
const std::string *chooseKeeper(const BorrowerContext &context, const BorrowedLine &borrowed)
{
    const TimePoint now = context.environment.now;
    const std::string *silent = nullptr;
    for (const std::string &keeper : context.environment.keepers) {
        if (isRefusing(borrowed, keeper, now)) {
            continue;
        }
        if (!isSilent(context.borrower, keeper, now)) {
            return &keeper;
        }
        silent = silent == nullptr ? &keeper : silent;
    }
    return silent;
}

/** Refuses all waiters, because all keepers refuse or there is none. */
void refuseAll(BorrowerContext &context, const CreditLine &line, BorrowedLine &borrowed)
{
    CreditOutcome outcome = CreditOutcome::Unavailable;
    TimePoint retryAt = TimePoint::max();
    for (const std::string &keeper : context.environment.keepers) {
        const CreditRefusal &refusal = borrowed.refusals.at(keeper);
        outcome = refusal.isShort ? outcome : CreditOutcome::Denied;
        retryAt = std::min(retryAt, refusal.until);
    }
    decideAll(context, line, borrowed, outcome, context.environment.keepers.empty() ? context.environment.keepersExpectedAt : retryAt);
}

void ask(BorrowerContext &context, const CreditLine &line, BorrowedLine &borrowed, const std::string &keeper)
{
    const TimePoint now = context.environment.now;
    const std::uint64_t sequence = ++context.environment.lastSequence;
    const auto count = static_cast<std::uint32_t>(std::min<std::size_t>(borrowed.waiters.size(), MaximumAskedCredits));
    context.borrower.questions.emplace(sequence, AskedQuestion{.line = line, .keeper = keeper, .count = count, .usableUntil = now + CreditValidity});
    borrowed.openQuestion = sequence;
    borrowed.silentAt = now + AnswerTimeout;
    context.actions.messages.push_back({.keeper = keeper, .body = CreditQuestion{.sequence = sequence, .line = line, .count = count}});
}

/** Refuses the waiters whose deadline has passed. */
void dropOverdue(BorrowerContext &context, const CreditLine &line, BorrowedLine &borrowed)
{
    std::erase_if(borrowed.waiters, [&](const CreditWaiter &waiter) {
        const bool isOverdue = waiter.deadline <= context.environment.now;
        if (isOverdue) {
            decide(context, line, waiter.id, {.outcome = CreditOutcome::Unavailable, .retryAt = context.environment.now});
        }
        return isOverdue;
    });
}

/** Asks for the credit of the waiters of @p line, or refuses them if no keeper can be asked. */
void advanceLine(BorrowerContext &context, const CreditLine &line)
{
    BorrowedLine &borrowed = context.borrower.lines[line];
    dropOverdue(context, line, borrowed);
    if (!borrowed.waiters.empty() && borrowed.openQuestion == 0) {
        const std::string *keeper = chooseKeeper(context, borrowed);
        if (keeper == nullptr) {
            refuseAll(context, line, borrowed);
        } else if (borrowed.silences >= MaximumSilences) {
            decideAll(
                context, line, borrowed, CreditOutcome::Unavailable, std::max(context.environment.keepersExpectedAt, context.environment.now + SilenceTime));
        } else {
            ask(context, line, borrowed, *keeper);
        }
    }
    if (borrowed.waiters.empty() && borrowed.openQuestion == 0) {
        context.borrower.waitingLines.erase(line);
    } else {
        context.borrower.waitingLines.insert(line);
    }
}

void giveToKeeper(BorrowerContext &context, std::uint64_t sequence, AskedQuestion &question, std::uint32_t count)
{
    if (count == 0) {
        return;
    }
    question.returned += count;
    context.actions.messages.push_back({.keeper = question.keeper, .body = CreditReturn{.sequence = sequence, .total = question.returned}});
}

/** Gives @p count credits to the first waiters; returns how many are left. */
std::uint32_t giveToWaiters(BorrowerContext &context, BorrowedLine &borrowed, std::uint64_t sequence, const AskedQuestion &question, std::uint32_t count)
{
    while (count > 0 && !borrowed.waiters.empty()) {
        const CreditWaiter waiter = borrowed.waiters.front();
        borrowed.waiters.pop_front();
        decide(context, question.line, waiter.id, {.outcome = CreditOutcome::Granted, .usableUntil = question.usableUntil, .credit = sequence});
        --count;
    }
    return count;
}

void forgetQuestions(CreditBorrower &borrower, TimePoint now)
{
    while (!borrower.questions.empty() && borrower.questions.begin()->second.usableUntil <= now) {
        borrower.questions.erase(borrower.questions.begin());
    }
}

void forgetIdleLines(CreditBorrower &borrower)
{
    if (borrower.lines.size() > borrower.waitingLines.size() + MaximumIdleLines) {
        std::erase_if(borrower.lines, [&](const auto &entry) {
            return !borrower.waitingLines.contains(entry.first);
        });
    }
}

}

BorrowerActions request(CreditBorrower &borrower, CreditRequestId id, const CreditLine &line, TimePoint deadline, const BorrowerEnvironment &environment)
{
    BorrowerContext context{borrower, environment, {}};
    forgetQuestions(borrower, environment.now);
    forgetIdleLines(borrower);
    borrower.requests.emplace(id, line);
    borrower.lines[line].waiters.push_back({.id = id, .deadline = deadline});
    advanceLine(context, line);
    return std::move(context.actions);
}

void cancel(CreditBorrower &borrower, CreditRequestId id)
{
    const auto found = borrower.requests.find(id);
    if (found == borrower.requests.end()) {
        return;
    }
    std::erase_if(borrower.lines[found->second].waiters, [id](const CreditWaiter &waiter) {
        return waiter.id == id;
    });
    borrower.requests.erase(found);
}

BorrowerActions receive(CreditBorrower &borrower, const std::string &keeper, const CreditAnswer &answer, const BorrowerEnvironment &environment)
{
    BorrowerContext context{borrower, environment, {}};
    borrower.silentUntil.erase(keeper);
    forgetQuestions(borrower, environment.now);
    const auto found = borrower.questions.find(answer.sequence);
    const bool isExpected = found != borrower.questions.end() && found->second.keeper == keeper && !found->second.isAnswered;
    if (!isExpected) {
        return {};
    }
    AskedQuestion &question = found->second;
    question.isAnswered = true;
    BorrowedLine &borrowed = borrower.lines[question.line];
    borrowed.silences = 0;
    if (borrowed.openQuestion == answer.sequence) {
        borrowed.openQuestion = 0;
    }
    const std::uint32_t granted = std::min(answer.granted, question.count);
    if (granted < question.count) {
        borrowed.refusals[keeper] = {.until = environment.now + answer.retryAfter, .isShort = answer.isShort};
    } else {
        borrowed.refusals.erase(keeper);
    }
    dropOverdue(context, question.line, borrowed);
    giveToKeeper(context, answer.sequence, question, giveToWaiters(context, borrowed, answer.sequence, question, granted));
    advanceLine(context, question.line);
    return std::move(context.actions);
}

BorrowerActions giveBack(CreditBorrower &borrower, std::uint64_t credit, const BorrowerEnvironment &environment)
{
    BorrowerContext context{borrower, environment, {}};
    forgetQuestions(borrower, environment.now);
    const auto found = borrower.questions.find(credit);
    if (found != borrower.questions.end()) {
        BorrowedLine &borrowed = borrower.lines[found->second.line];
        giveToKeeper(context, credit, found->second, giveToWaiters(context, borrowed, credit, found->second, 1));
    }
    return std::move(context.actions);
}

BorrowerActions expire(CreditBorrower &borrower, const BorrowerEnvironment &environment)
{
    BorrowerContext context{borrower, environment, {}};
    forgetQuestions(borrower, environment.now);
    const std::set<CreditLine> waiting = borrower.waitingLines;
    for (const CreditLine &line : waiting) {
        BorrowedLine &borrowed = borrower.lines[line];
        if (borrowed.openQuestion != 0 && borrowed.silentAt <= environment.now) {
            const auto question = borrower.questions.find(borrowed.openQuestion);
            if (question != borrower.questions.end()) {
                borrower.silentUntil[question->second.keeper] = environment.now + SilenceTime;
            }
            borrowed.openQuestion = 0;
            ++borrowed.silences;
        }
        advanceLine(context, line);
    }
    return std::move(context.actions);
}

std::optional<TimePoint> nextDeadline(const CreditBorrower &borrower)
{
    std::optional<TimePoint> next;
    const auto consider = [&next](TimePoint at) {
        next = std::min(next.value_or(at), at);
    };
    for (const CreditLine &line : borrower.waitingLines) {
        const BorrowedLine &borrowed = borrower.lines.at(line);
        if (borrowed.openQuestion != 0) {
            consider(borrowed.silentAt);
        }
        for (const CreditWaiter &waiter : borrowed.waiters) {
            consider(waiter.deadline);
        }
    }
    return next;
}

}
