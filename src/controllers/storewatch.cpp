#include "controllers/storewatch.h"

#include <algorithm>
#include <optional>

namespace Plantainweir {
namespace {

/** Backoff limit before the first complete list. */
constexpr std::chrono::milliseconds MaximumInitialBackoff{600};
/** Backoff limit afterwards. It is longer, because the last state remains usable and each call to the store costs money. */
constexpr std::chrono::milliseconds MaximumBackoff{1000};
constexpr std::uint32_t MaximumDoublings = 5;

struct StoreWatchContext {
    StoreWatch &watch;
    TimePoint now;
    std::mt19937_64 &random;
    std::vector<StoreWatchAction> actions;
};

void pause(StoreWatch &watch, Duration time, TimePoint now)
{
    watch.phase = StoreWatchPhase::Pausing;
    watch.resumeAt = now + time;
}

void handleFailure(StoreWatchContext &context)
{
    StoreWatch &watch = context.watch;
    if (watch.failures == 0) {
        watch.failingSince = context.now;
    }
    const auto maximum = std::max<Duration>(watch.minimumBackoff, watch.isListed ? MaximumBackoff : MaximumInitialBackoff);
    const auto backoff = std::min<Duration>(watch.minimumBackoff * (1U << std::min(watch.failures, MaximumDoublings)), maximum);
    ++watch.failures;
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    watch.afterName.clear();
    // The changes between the interrupted watch and the next one may be lost, so list the objects again.
    watch.revision = {};
    pause(watch, fromMilliseconds(toMilliseconds(backoff) * jitter(context.random)), context.now);
}

void recordAnswer(StoreWatchContext &context)
{
    StoreWatch &watch = context.watch;
    if (watch.failures > 0) {
        context.actions.emplace_back(ReportStoreRecovered{context.now - watch.failingSince});
    }
    watch.failures = 0;
}

void sendNextRequest(StoreWatchContext &context)
{
    StoreWatch &watch = context.watch;
    if (!isSet(watch.revision) || !watch.afterName.empty()) {
        watch.phase = StoreWatchPhase::Listing;
        context.actions.emplace_back(SendStoreList{watch.afterName});
        return;
    }
    watch.phase = StoreWatchPhase::Watching;
    context.actions.emplace_back(SendStoreWatch{watch.revision});
}

/** Lists at once, but not more often than changes are read. */
void listAgain(StoreWatchContext &context)
{
    StoreWatch &watch = context.watch;
    watch.revision = {};
    const TimePoint listAt = watch.listedAt + watch.changeBatchInterval;
    if (listAt > context.now) {
        pause(watch, listAt - context.now, context.now);
    } else {
        sendNextRequest(context);
    }
}

/** Lists at once, unless such a list came a short while ago. Changes are known as soon as with batches of them. */
void listEarly(StoreWatchContext &context)
{
    StoreWatch &watch = context.watch;
    // The members of a fleet must not list at the same times.
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    const TimePoint listAt = std::max(context.now, watch.nextEarlyListAt);
    watch.nextEarlyListAt = listAt + fromMilliseconds(toMilliseconds(watch.changeBatchInterval) * jitter(context.random));
    watch.revision = {};
    if (listAt > context.now) {
        pause(watch, listAt - context.now, context.now);
    } else {
        sendNextRequest(context);
    }
}

void handlePage(StoreWatchContext &context, const StorePageReceived &page)
{
    StoreWatch &watch = context.watch;
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
        watch.listedAt = context.now;
        context.actions.emplace_back(CompleteStoreList{watch.revision});
    }
    sendNextRequest(context);
}

/** Returns the era of the answer that @p event tells of, or nothing if it tells of none. */
std::optional<std::uint64_t> answeredEra(const StoreWatchEvent &event)
{
    if (const auto *page = std::get_if<StorePageReceived>(&event)) {
        return page->revision.era;
    }
    if (const auto *changes = std::get_if<StoreChangesReceived>(&event)) {
        return changes->revision.era;
    }
    if (const auto *compacted = std::get_if<StoreHistoryCompacted>(&event)) {
        return compacted->era;
    }
    return std::nullopt;
}

void handle(StoreWatchContext &context, const StoreTimerFired &)
{
    if (context.watch.phase == StoreWatchPhase::Pausing && context.now >= context.watch.resumeAt) {
        sendNextRequest(context);
    }
}

void handle(StoreWatchContext &context, const StorePageReceived &page)
{
    StoreWatch &watch = context.watch;
    const bool isStuck = page.hasMore && page.lastName <= watch.afterName;
    const bool isFirst = watch.afterName.empty();
    if (isStuck || !isSet(isFirst ? page.revision : watch.listRevision)) {
        // The same pages would come again, and changes cannot be watched without a revision.
        handleFailure(context);
        return;
    }
    if (!isFirst && page.revision.era != watch.listRevision.era) {
        // The earlier pages are of an era that the store has lost.
        watch.afterName.clear();
        sendNextRequest(context);
        return;
    }
    if (!page.hasMore) {
        // A list that always fails at a later page must not start again without a growing pause.
        recordAnswer(context);
    }
    handlePage(context, page);
}

void handle(StoreWatchContext &context, const StoreChangesReceived &changes)
{
    StoreWatch &watch = context.watch;
    recordAnswer(context);
    if (!continues(watch, changes.revision)) {
        listEarly(context);
        return;
    }
    watch.revision = std::max(watch.revision, changes.revision);
    if (changes.isIncomplete) {
        listAgain(context);
    } else if (changes.isEmpty) {
        sendNextRequest(context);
    } else {
        pause(watch, watch.changeBatchInterval, context.now);
    }
}

void handle(StoreWatchContext &context, const StoreHistoryCompacted &)
{
    recordAnswer(context);
    listEarly(context);
}

void handle(StoreWatchContext &context, const StoreEraSeen &event)
{
    StoreWatch &watch = context.watch;
    if (event.era <= watch.era) {
        return;
    }
    watch.era = event.era;
    switch (watch.phase) {
    case StoreWatchPhase::Watching:
        listEarly(context);
        return;
    case StoreWatchPhase::Pausing:
        watch.revision = {};
        return;
    case StoreWatchPhase::Listing:
        // The list in flight is discarded if it turns out to be of an earlier era.
        return;
    }
}

void handle(StoreWatchContext &context, const StoreCallFailed &)
{
    handleFailure(context);
}

void handle(StoreWatchContext &context, const StoreChangesMissed &)
{
    // The store answers, so there is nothing to wait for.
    listEarly(context);
}

}

bool continues(const StoreWatch &watch, const StoreRevision &revision)
{
    return revision.era == watch.revision.era;
}

std::vector<StoreWatchAction> step(StoreWatch &watch, const StoreWatchEvent &event, TimePoint now, std::mt19937_64 &random)
{
    StoreWatchContext context{watch, now, random, {}};
    const std::uint64_t era = answeredEra(event).value_or(watch.era);
    if (era < watch.era) {
        handleFailure(context);
        return std::move(context.actions);
    }
    watch.era = era;
    std::visit(
        [&context](const auto &alternative) {
            handle(context, alternative);
        },
        event);
    return std::move(context.actions);
}

}
