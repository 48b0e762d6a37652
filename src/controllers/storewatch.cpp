#include "controllers/storewatch.h"

#include <algorithm>

namespace Plantainweir {
namespace {

/** Backoff limit before the first complete list. */
constexpr std::chrono::milliseconds MaximumInitialBackoff{600};
/** Backoff limit afterwards. It is longer, because the last state remains usable and each call to the store costs money. */
constexpr std::chrono::milliseconds MaximumBackoff{1000};
constexpr std::uint32_t MaximumDoublings = 5;

void pause(StoreWatch &watch, Duration time, TimePoint now)
{
    watch.phase = StoreWatchPhase::Pausing;
    watch.resumeAt = now + time;
}

void handleFailure(StoreWatch &watch, TimePoint now, std::mt19937_64 &random)
{
    if (watch.failures == 0) {
        watch.failingSince = now;
    }
    const auto maximum = std::max<Duration>(watch.minimumBackoff, watch.isListed ? MaximumBackoff : MaximumInitialBackoff);
    const auto backoff = std::min<Duration>(watch.minimumBackoff * (1U << std::min(watch.failures, MaximumDoublings)), maximum);
    ++watch.failures;
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    watch.afterName.clear();
    // The changes between the interrupted watch and the next one may be lost, so list the objects again.
    watch.revision = 0;
    pause(watch, fromMilliseconds(toMilliseconds(backoff) * jitter(random)), now);
}

void recordAnswer(StoreWatch &watch, std::vector<StoreWatchAction> &actions, TimePoint now)
{
    if (watch.failures > 0) {
        actions.emplace_back(ReportStoreRecovered{now - watch.failingSince});
    }
    watch.failures = 0;
}

void sendNextRequest(StoreWatch &watch, std::vector<StoreWatchAction> &actions)
{
    if (watch.revision == 0 || !watch.afterName.empty()) {
        watch.phase = StoreWatchPhase::Listing;
        actions.emplace_back(SendStoreList{watch.afterName});
        return;
    }
    watch.phase = StoreWatchPhase::Watching;
    actions.emplace_back(SendStoreWatch{watch.revision});
}

/** Lists at once, but not more often than changes are read. */
void listAgain(StoreWatch &watch, std::vector<StoreWatchAction> &actions, TimePoint now)
{
    watch.revision = 0;
    const TimePoint listAt = watch.listedAt + watch.changeBatchInterval;
    if (listAt > now) {
        pause(watch, listAt - now, now);
    } else {
        sendNextRequest(watch, actions);
    }
}

/** Lists at once, unless such a list came a short while ago. Changes are known as soon as with batches of them. */
void listEarly(StoreWatch &watch, std::vector<StoreWatchAction> &actions, TimePoint now, std::mt19937_64 &random)
{
    // The members of a fleet must not list at the same times.
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    const TimePoint listAt = std::max(now, watch.nextEarlyListAt);
    watch.nextEarlyListAt = listAt + fromMilliseconds(toMilliseconds(watch.changeBatchInterval) * jitter(random));
    watch.revision = 0;
    if (listAt > now) {
        pause(watch, listAt - now, now);
    } else {
        sendNextRequest(watch, actions);
    }
}

void handlePage(StoreWatch &watch, const StorePageReceived &page, std::vector<StoreWatchAction> &actions, TimePoint now)
{
    if (watch.afterName.empty()) {
        watch.listRevision = page.revision;
    }
    if (page.hasMore) {
        watch.afterName = page.lastName;
    } else {
        watch.afterName.clear();
        // Objects of the first page may have changed since it was read, and later pages do not show that.
        watch.revision = watch.listRevision;
        watch.isListed = true;
        watch.listedAt = now;
        actions.emplace_back(CompleteStoreList{watch.revision});
    }
    sendNextRequest(watch, actions);
}

}

std::vector<StoreWatchAction> step(StoreWatch &watch, const StoreWatchEvent &event, TimePoint now, std::mt19937_64 &random)
{
    std::vector<StoreWatchAction> actions;
    if (std::holds_alternative<StoreTimerFired>(event)) {
        if (watch.phase == StoreWatchPhase::Pausing && now >= watch.resumeAt) {
            sendNextRequest(watch, actions);
        }
    } else if (const auto *page = std::get_if<StorePageReceived>(&event)) {
        const bool isStuck = page->hasMore && page->lastName <= watch.afterName;
        const std::uint64_t listRevision = watch.afterName.empty() ? page->revision : watch.listRevision;
        if (isStuck || listRevision == 0) {
            // The same pages would come again, and changes cannot be watched without a revision.
            handleFailure(watch, now, random);
            return actions;
        }
        if (!page->hasMore) {
            // A list that always fails at a later page must not start again without a growing pause.
            recordAnswer(watch, actions, now);
        }
        handlePage(watch, *page, actions, now);
    } else if (const auto *changes = std::get_if<StoreChangesReceived>(&event)) {
        recordAnswer(watch, actions, now);
        watch.revision = std::max(watch.revision, changes->revision);
        if (changes->isIncomplete) {
            listAgain(watch, actions, now);
        } else if (changes->isEmpty) {
            sendNextRequest(watch, actions);
        } else {
            pause(watch, watch.changeBatchInterval, now);
        }
    } else if (std::holds_alternative<StoreHistoryCompacted>(event)) {
        recordAnswer(watch, actions, now);
        listEarly(watch, actions, now, random);
    } else if (std::holds_alternative<StoreChangesMissed>(event)) {
        // The store answers, so there is nothing to wait for.
        listEarly(watch, actions, now, random);
    } else {
        handleFailure(watch, now, random);
    }
    return actions;
}

}
