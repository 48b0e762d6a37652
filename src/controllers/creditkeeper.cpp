#include "controllers/creditkeeper.h"

#include <algorithm>
#include <limits>

namespace Plantainweir {
namespace {

/** Limits on the memory that other members can make a keeper use. */
constexpr std::size_t MaximumShares = 8192;
constexpr std::size_t MaximumLines = 4096;
constexpr std::size_t MaximumGiven = 65536;
/** Bounds on the time after which a borrower may ask again. */
constexpr std::chrono::milliseconds MinimumRetryAfter{20};
constexpr std::chrono::milliseconds MaximumRetryAfter{1000};
/** With a smaller share of the fleet's limits, a keeper does not know whether a limit is used up. */
constexpr double MinimumKnowingShare = 0.2;

/** Sums of shares may exceed one by rounding errors. */
double sumOfShares(const CreditKeeper &keeper)
{
    double sum = 0.0;
    for (const auto &[instance, share] : keeper.shares) {
        sum += share.share;
    }
    return std::min(1.0, sum);
}

void fillBucket(const CreditKeeper &keeper, CreditBucket &bucket, const CreditTerms &terms)
{
    const double gained = terms.perSecond * (keeper.fill - bucket.filledAt);
    bucket.tokens = std::min(terms.burst * keeper.held, bucket.tokens + gained);
    bucket.filledAt = keeper.fill;
}

void fillBuckets(CreditKeeper &keeper, const CreditLimits &limits)
{
    for (auto &[line, bucket] : keeper.buckets) {
        if (const auto terms = termsOf(limits, line)) {
            fillBucket(keeper, bucket, *terms);
        }
    }
}

void integrate(CreditKeeper &keeper, TimePoint now)
{
    if (now > keeper.advancedAt) {
        keeper.fill += keeper.held * std::chrono::duration<double>(now - keeper.advancedAt).count();
        keeper.advancedAt = now;
    }
}

/** Recomputes the held share after a change of the shares; buckets above their new capacity lose the excess. */
void updateHeld(CreditKeeper &keeper, const CreditLimits &limits)
{
    const double held = sumOfShares(keeper);
    if (held == keeper.held) {
        return;
    }
    fillBuckets(keeper, limits);
    keeper.held = held;
    keeper.heldSince = keeper.fill;
    fillBuckets(keeper, limits);
}

void forgetGiven(CreditKeeper &keeper, TimePoint now)
{
    while (!keeper.givenEnds.empty() && (keeper.givenEnds.front().first <= now || keeper.givenEnds.size() > MaximumGiven)) {
        keeper.given.erase(keeper.givenEnds.front().second);
        keeper.givenEnds.pop_front();
    }
}

/** Removes lines that are full: they would be as full if they were made again. */
void removeFullLines(CreditKeeper &keeper, const CreditLimits &limits)
{
    fillBuckets(keeper, limits);
    std::erase_if(keeper.buckets, [&](const auto &entry) {
        const auto terms = termsOf(limits, entry.first);
        return !terms || entry.second.tokens >= terms->burst * keeper.held;
    });
}

/** Returns the bucket of @p line, or null if there is no room for another one. */
CreditBucket *bucketOf(CreditKeeper &keeper, const CreditLimits &limits, const CreditLine &line, const CreditTerms &terms)
{
    auto found = keeper.buckets.find(line);
    if (found == keeper.buckets.end()) {
        if (keeper.buckets.size() >= MaximumLines) {
            removeFullLines(keeper, limits);
        }
        if (keeper.buckets.size() >= MaximumLines) {
            return nullptr;
        }
        // It has what it would have gained since the held share changed, and nothing from before.
        found = keeper.buckets.emplace(line, CreditBucket{.tokens = 0.0, .filledAt = keeper.heldSince}).first;
    }
    fillBucket(keeper, found->second, terms);
    return &found->second;
}

Duration timeUntilCredit(const CreditKeeper &keeper, const CreditTerms &terms, double tokens)
{
    const double perSecond = terms.perSecond * keeper.held;
    if (perSecond <= 0.0 || terms.burst * keeper.held < 1.0) {
        return MaximumRetryAfter;
    }
    const double seconds = (1.0 - tokens) / perSecond;
    const double maximum = std::chrono::duration<double>(MaximumRetryAfter).count();
    return std::max<Duration>(MinimumRetryAfter, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(seconds, maximum))));
}

}

void advance(CreditKeeper &keeper, const CreditLimits &limits, TimePoint now)
{
    forgetGiven(keeper, now);
    while (keeper.nextExpiryAt <= now) {
        integrate(keeper, keeper.nextExpiryAt);
        std::erase_if(keeper.shares, [&](const auto &entry) {
            return entry.second.deadline <= keeper.nextExpiryAt;
        });
        updateHeld(keeper, limits);
        keeper.nextExpiryAt = TimePoint::max();
        for (const auto &[instance, share] : keeper.shares) {
            keeper.nextExpiryAt = std::min(keeper.nextExpiryAt, share.deadline);
        }
    }
    integrate(keeper, now);
}

void changeLimits(CreditKeeper &keeper, const CreditLimits &before, const CreditLimits &limits, TimePoint now)
{
    advance(keeper, before, now);
    fillBuckets(keeper, before);
    const std::size_t removed = std::erase_if(keeper.buckets, [&](const auto &entry) {
        return !termsOf(limits, entry.first);
    });
    if (removed > 0) {
        // A line that is limited again later must not gain for the time before.
        keeper.heldSince = keeper.fill;
    }
    for (const auto &[name, terms] : limits.accounts) {
        bucketOf(keeper, limits, {.kind = CreditKind::Account, .scope = name, .upstream = {}}, terms);
    }
    fillBuckets(keeper, limits);
}

std::optional<ShareReceipt> receive(CreditKeeper &keeper,
                                    const CreditLimits &limits,
                                    ProcessInstance self,
                                    const CreditMessage &sender,
                                    const Endpoint &from,
                                    const ShareDelegation &delegation,
                                    TimePoint now)
{
    ShareReceipt receipt{.delegator = sender.instance, .sentAt = now};
    if (keeper.isLeaving) {
        receipt.releasedUpTo = std::numeric_limits<std::uint64_t>::max();
        return receipt;
    }
    const auto known = keeper.shares.find(sender.instance);
    const bool isOutdated = known != keeper.shares.end() && delegation.sequence <= known->second.sequence;
    if (isOutdated || (known == keeper.shares.end() && keeper.shares.size() >= MaximumShares)) {
        return std::nullopt;
    }
    const bool isEchoValid = delegation.keeper == self && delegation.echoedAt <= now && delegation.echoedAt + DelegationTime > now;
    const bool isHeld = isEchoValid && delegation.share > 0.0;
    HeldShare &share = keeper.shares[sender.instance];
    share = {.delegator = sender.sender,
             .delegatorEndpoint = from,
             .sequence = delegation.sequence,
             .share = isHeld ? delegation.share : 0.0,
             // What holds nothing is kept until earlier delegations that are still under way have ended.
             .deadline = isHeld ? delegation.echoedAt + DelegationTime : now + DelegationTime};
    keeper.nextExpiryAt = std::min(keeper.nextExpiryAt, share.deadline);
    updateHeld(keeper, limits);
    receipt.releasedUpTo = isHeld ? 0 : delegation.sequence;
    return receipt;
}

CreditAnswer answer(CreditKeeper &keeper, const CreditLimits &limits, ProcessInstance borrower, const CreditQuestion &question, TimePoint now)
{
    const auto key = std::make_pair(borrower, question.sequence);
    const auto known = keeper.given.find(key);
    if (known != keeper.given.end()) {
        return {.borrower = borrower, .sequence = question.sequence, .granted = known->second.granted, .retryAfter = MinimumRetryAfter};
    }
    CreditAnswer answer{.borrower = borrower, .sequence = question.sequence, .retryAfter = MaximumRetryAfter, .isShort = true};
    const auto terms = termsOf(limits, question.line);
    CreditBucket *bucket = terms ? bucketOf(keeper, limits, question.line, *terms) : nullptr;
    if (bucket == nullptr) {
        return answer;
    }
    answer.granted = std::min(question.count, static_cast<std::uint32_t>(std::max(0.0, bucket->tokens)));
    bucket->tokens -= answer.granted;
    answer.retryAfter = timeUntilCredit(keeper, *terms, bucket->tokens);
    answer.isShort = keeper.held < MinimumKnowingShare;
    if (answer.granted > 0) {
        keeper.given.emplace(key, GivenCredit{.line = question.line, .granted = answer.granted});
        keeper.givenEnds.emplace_back(now + CreditValidity, key);
    }
    return answer;
}

void takeBack(CreditKeeper &keeper, const CreditLimits &limits, ProcessInstance borrower, const CreditReturn &credit)
{
    const auto found = keeper.given.find({borrower, credit.sequence});
    if (found == keeper.given.end()) {
        return;
    }
    GivenCredit &given = found->second;
    const std::uint32_t returned = std::min(credit.total, given.granted);
    const auto terms = termsOf(limits, given.line);
    CreditBucket *bucket = terms ? bucketOf(keeper, limits, given.line, *terms) : nullptr;
    if (bucket == nullptr || returned <= given.returned) {
        return;
    }
    bucket->tokens = std::min(terms->burst * keeper.held, bucket->tokens + (returned - given.returned));
    given.returned = returned;
}

std::vector<LeavingReceipt> leave(CreditKeeper &keeper, const CreditLimits &limits, TimePoint now)
{
    advance(keeper, limits, now);
    keeper.isLeaving = true;
    std::vector<LeavingReceipt> receipts;
    for (const auto &[instance, share] : keeper.shares) {
        const ShareReceipt receipt{.delegator = instance, .sentAt = now, .releasedUpTo = std::numeric_limits<std::uint64_t>::max()};
        receipts.push_back({.delegator = share.delegator, .to = share.delegatorEndpoint, .receipt = receipt});
    }
    keeper.shares.clear();
    keeper.nextExpiryAt = TimePoint::max();
    updateHeld(keeper, limits);
    return receipts;
}

}
