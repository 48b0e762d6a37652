#include "controllers/storesource.h"

#include "decision/ownership.h"

#include <algorithm>
#include <set>

namespace Plantainweir {
namespace {

/** Time after the start in which members learn of each other, before one of them chooses itself as a reader. */
constexpr std::chrono::milliseconds SettlingTime{300};
/** Bounds on the time for the readers to recover after an outage of the store, before other members read it themselves. */
constexpr std::chrono::milliseconds MinimumRecoveryTime{800};
constexpr std::chrono::milliseconds MaximumRecoveryTime{1500};
/** Minimum and maximum interval between the starts of checks while the knowledge is too old. */
constexpr std::chrono::milliseconds MinimumCheckInterval{800};
constexpr std::chrono::milliseconds MaximumCheckInterval{1200};
/** Time for which feeds must keep the knowledge current before a member that is not a reader stops reading. */
constexpr std::chrono::milliseconds FollowableTime{1500};
constexpr std::chrono::milliseconds MinimumReadingTime{2000};
constexpr std::chrono::milliseconds FeedRetryDelay{150};
constexpr std::uint32_t MaximumRetryDoublings = 4;
/** A feed without a message for this time counts as broken. */
constexpr std::chrono::milliseconds FeedSilence{3000};
/** A reader that the store has not answered for this time leaves the reading to others, and follows them. */
constexpr std::chrono::milliseconds ReaderSilence{3000};
constexpr std::chrono::seconds UnreachableReportTime{20};
/** Part of a bound that is left for reading the store and for applying what was read. */
constexpr std::chrono::milliseconds RefreshTime{750};
constexpr std::chrono::milliseconds MinimumMaximumAge{1000};
/** Pace of a reader that no other member follows. With followers, the age of their knowledge bounds both intervals. */
constexpr std::chrono::milliseconds UnfollowedBatchInterval{1300};
/** A consistent check comes up to half of this too late, which RefreshTime allows for. */
constexpr std::chrono::milliseconds UnfollowedCheckPeriod{750};
/** Number of checks in a verification period; all but one of them are stale and cheap. */
constexpr int ChecksPerVerification = 2;

struct StepContext {
    StoreSource &source;
    TimePoint now;
    std::mt19937_64 &random;
    std::vector<StoreSourceAction> actions;
};

Duration randomBetween(Duration minimum, Duration maximum, std::mt19937_64 &random)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(minimum.count(), maximum.count())(random));
}

bool isTooOld(const StoreSource &source, TimePoint now)
{
    return source.hasObjects && !isCurrent(source, now);
}

void startReading(StepContext &context)
{
    if (!context.source.isReading) {
        context.source.isReading = true;
        context.source.readingSince = context.now;
        context.actions.emplace_back(StartReading{});
    }
}

void stopReading(StepContext &context)
{
    context.source.isReading = false;
    context.actions.emplace_back(StopReading{});
}

/** Returns when the store last answered, or the reading started if it has not answered since. */
TimePoint lastAnswerAt(const StoreSource &source)
{
    return std::max(source.storeConfirmedAt, source.readingSince);
}

void delayCheckAfterFailure(StepContext &context)
{
    // A check without an answer has used up most of the interval already.
    context.source.nextCheckAt = context.source.checkStartedAt + randomBetween(MinimumCheckInterval, MaximumCheckInterval, context.random);
}

void openFeed(StepContext &context, const std::string &member, Feed &feed)
{
    feed.isOpen = true;
    feed.silentAt = context.now + FeedSilence;
    context.actions.emplace_back(OpenFeed{.member = member, .endpoint = feed.endpoint});
}

void scheduleRetry(StepContext &context, Feed &feed)
{
    feed.isOpen = false;
    const auto delay = FeedRetryDelay * (1U << std::min(feed.failures, MaximumRetryDoublings));
    ++feed.failures;
    feed.retryAt = context.now + randomBetween(delay / 2, delay, context.random);
}

/** Opens feeds from the readers and closes those from other members. */
void updateFeeds(StepContext &context, const std::vector<FeedMember> &readers)
{
    StoreSource &source = context.source;
    std::set<std::string> chosen;
    for (const FeedMember &reader : readers) {
        if (reader.name == source.self) {
            continue;
        }
        chosen.insert(reader.name);
        Feed &feed = source.feeds[reader.name];
        if (feed.endpoint != reader.feedEndpoint && feed.isOpen) {
            context.actions.emplace_back(CloseFeed{reader.name});
            feed = {};
        }
        feed.endpoint = reader.feedEndpoint;
    }
    std::erase_if(source.feeds, [&context, &chosen](const auto &row) {
        const bool isDropped = !chosen.contains(row.first);
        if (isDropped && row.second.isOpen) {
            context.actions.emplace_back(CloseFeed{row.first});
        }
        return isDropped;
    });
    for (auto &[name, feed] : source.feeds) {
        if (feed.isOpen && context.now >= feed.silentAt) {
            context.actions.emplace_back(CloseFeed{name});
            scheduleRetry(context, feed);
        } else if (!feed.isOpen && context.now >= feed.retryAt) {
            openFeed(context, name, feed);
        }
    }
}

std::vector<FeedMember> membersThatReachTheStore(const StoreSource &source, std::vector<FeedMember> members)
{
    std::erase_if(members, [&source](const FeedMember &member) {
        return member.isStoreUnreachable || member.name == source.self;
    });
    return members;
}

/** Returns the members that a member of a small zone follows: none as long as the store answers it. */
std::vector<FeedMember> substituteReaders(const StoreSource &source, TimePoint now)
{
    if (now < source.storeConfirmedAt + ReaderSilence) {
        return {};
    }
    std::vector<FeedMember> members = membersThatReachTheStore(source, source.members);
    if (members.empty()) {
        members = membersThatReachTheStore(source, source.otherZoneMembers);
    }
    return chooseReaders(std::move(members), source.settings.readersPerZone);
}

/** Chooses the readers. While members still learn of each other, only some of them are known. */
void updateReaders(StepContext &context)
{
    StoreSource &source = context.source;
    const bool isStarting = context.now < source.startDeadline;
    source.isSmallZone = !isStarting && source.members.size() < source.settings.minimumMembers;
    const auto readers = chooseReaders(source.members, source.isSmallZone ? source.members.size() : source.settings.readersPerZone);
    const bool isChosen = std::any_of(readers.begin(), readers.end(), [&source](const FeedMember &reader) {
        return reader.name == source.self;
    });
    const bool isSettled = !isStarting || (source.isFleetKnown && context.now >= source.startedAt + SettlingTime);
    source.isReader = isChosen && isSettled;
    updateFeeds(context, source.isSmallZone ? substituteReaders(source, context.now) : readers);
}

void updateFollowability(StepContext &context)
{
    StoreSource &source = context.source;
    const bool isFollowable = source.feedConfirmedAt && context.now - *source.feedConfirmedAt < source.settings.maximumAge;
    if (!isFollowable) {
        source.followableSince.reset();
    } else if (!source.followableSince) {
        source.followableSince = context.now;
    }
}

/** Returns whether this member, which has reported that it cannot reach the store, asks for the store's return. */
bool mayReturnEarly(const StoreSource &source, TimePoint now)
{
    return source.isUnreachableReported && now >= source.nextEarlyReturnAt;
}

void startCheck(StepContext &context)
{
    StoreSource &source = context.source;
    if (source.isChecking || context.now < source.nextCheckAt) {
        return;
    }
    source.isChecking = true;
    source.checkStartedAt = context.now;
    context.actions.emplace_back(CheckStore{});
}

void updateReading(StepContext &context)
{
    StoreSource &source = context.source;
    const bool lacksFirstObjects = !source.confirmedAt && context.now >= source.startDeadline;
    if (source.isReader || lacksFirstObjects) {
        startReading(context);
        return;
    }
    if (!source.isReading) {
        if (!source.hasObjects && !source.hasReadFirst && context.now >= source.startedAt + source.settings.firstReadDelay) {
            source.hasReadFirst = true;
            context.actions.emplace_back(ReadFirstObjects{});
        }
        // Before the first confirmation, the objects may come from a member that is not a reader, which confirms nothing.
        const bool mayBeConfirmed = !source.confirmedAt && context.now < source.startDeadline;
        const bool needsKnowledge = isTooOld(source, context.now) && !mayBeConfirmed;
        if (needsKnowledge || mayReturnEarly(source, context.now)) {
            startCheck(context);
        }
        return;
    }
    const bool isFollowing = source.followableSince && context.now >= *source.followableSince + FollowableTime;
    if (isFollowing && context.now >= source.readingSince + MinimumReadingTime) {
        stopReading(context);
    } else if (context.now >= lastAnswerAt(source) + ReaderSilence) {
        // Checks are cheaper than reads while the store does not answer.
        stopReading(context);
        ++source.failedChecks;
        startCheck(context);
    }
}

/** Lets others read in the place of a reader that cannot reach the store. */
void updateReport(StepContext &context)
{
    StoreSource &source = context.source;
    const bool isSilent = source.isReader && source.isReading && context.now >= lastAnswerAt(source) + ReaderSilence;
    if (isSilent && !source.isUnreachableReported) {
        source.isUnreachableReported = true;
        source.reportUntil = context.now + UnreachableReportTime;
        context.actions.emplace_back(ReportStoreReachability{.isUnreachable = true});
    } else if (source.isUnreachableReported && context.now >= source.reportUntil) {
        source.isUnreachableReported = false;
        context.actions.emplace_back(ReportStoreReachability{.isUnreachable = false});
    }
}

void handle(StepContext &, const SourceTimerFired &) {}

void handle(StepContext &context, const FeedMembersChanged &event)
{
    context.source.members = event.members;
    context.source.otherZoneMembers = event.otherZoneMembers;
    context.source.isFleetKnown = event.isFleetKnown;
}

void handle(StepContext &context, const FeedReceived &event)
{
    StoreSource &source = context.source;
    source.hasObjects = source.hasObjects || event.hasObjects;
    const auto feed = source.feeds.find(event.member);
    if (feed != source.feeds.end()) {
        feed->second.silentAt = context.now + FeedSilence;
        feed->second.failures = 0;
    }
    source.confirmedAt = std::max(source.confirmedAt, event.confirmedAt);
    if (event.senderConfirmedAt > source.feedConfirmedAt) {
        source.feedConfirmedAt = event.senderConfirmedAt;
        source.failedChecks = 0;
    }
}

void handle(StepContext &context, const FeedEnded &event)
{
    const auto feed = context.source.feeds.find(event.member);
    if (feed != context.source.feeds.end() && feed->second.isOpen) {
        scheduleRetry(context, feed->second);
    }
}

void handle(StepContext &context, const ObjectsConfirmed &event)
{
    context.source.hasObjects = context.source.hasObjects || event.confirmedAt;
    context.source.confirmedAt = std::max(context.source.confirmedAt, event.confirmedAt);
}

void handle(StepContext &context, const StoreConfirmed &event)
{
    StoreSource &source = context.source;
    source.hasObjects = true;
    source.failedChecks = 0;
    source.confirmedAt = std::max(source.confirmedAt, std::optional(event.confirmedAt));
    source.storeConfirmedAt = std::max(source.storeConfirmedAt, event.confirmedAt);
    source.nextEarlyReturnAt = std::min(source.nextEarlyReturnAt, context.now);
    source.reportUntil = std::min(source.reportUntil, context.now);
}

void handle(StepContext &context, const StoreChecked &event)
{
    StoreSource &source = context.source;
    source.isChecking = false;
    if (!event.isPassed) {
        delayCheckAfterFailure(context);
        // Knowledge that is younger than the check shows that the store has returned since.
        if (!source.confirmedAt || *source.confirmedAt < source.checkStartedAt) {
            ++source.failedChecks;
        }
        return;
    }
    if (mayReturnEarly(source, context.now)) {
        // A stale answer does not show that reads work. The first confirmation ends the report.
        source.nextEarlyReturnAt = context.now + UnreachableReportTime;
        startReading(context);
        return;
    }
    if (source.failedChecks > 0 && !source.isSmallZone) {
        // The store was away. The readers return first, so that not all members read at once.
        source.failedChecks = 0;
        source.nextCheckAt = context.now + randomBetween(MinimumRecoveryTime, MaximumRecoveryTime, context.random);
        return;
    }
    if (isTooOld(source, context.now)) {
        startReading(context);
    }
}

}

StoreSource makeStoreSource(const std::string &self, const StoreSourceSettings &settings, TimePoint now, std::mt19937_64 &random)
{
    StoreSource source;
    source.settings = settings;
    source.self = self;
    source.startedAt = now;
    source.startDeadline = now + randomBetween(settings.startDelay * 2 / 3, settings.startDelay, random);
    return source;
}

std::vector<StoreSourceAction> step(StoreSource &source, const StoreSourceEvent &event, TimePoint now, std::mt19937_64 &random)
{
    StepContext context{source, now, random, {}};
    std::visit(
        [&context](const auto &alternative) {
            handle(context, alternative);
        },
        event);
    updateReaders(context);
    updateFollowability(context);
    updateReading(context);
    updateReport(context);
    return std::move(context.actions);
}

TimePoint nextDeadline(const StoreSource &source, TimePoint now)
{
    TimePoint deadline = now + FeedSilence;
    const auto include = [&deadline, now](TimePoint time) {
        if (time > now) {
            deadline = std::min(deadline, time);
        }
    };
    include(source.startedAt + SettlingTime);
    include(source.startedAt + source.settings.firstReadDelay);
    include(source.startDeadline);
    include(source.startDeadline + ReaderSilence);
    if (source.confirmedAt) {
        include(*source.confirmedAt + source.settings.maximumAge);
    }
    include(source.nextCheckAt);
    include(source.storeConfirmedAt + ReaderSilence);
    if (source.isReading) {
        include(source.followableSince.value_or(now) + FollowableTime);
        include(source.readingSince + MinimumReadingTime);
        include(lastAnswerAt(source) + ReaderSilence);
    }
    if (source.isUnreachableReported) {
        include(source.reportUntil);
        include(source.nextEarlyReturnAt);
    }
    for (const auto &[name, feed] : source.feeds) {
        include(feed.isOpen ? feed.silentAt : feed.retryAt);
    }
    return deadline;
}

bool isCurrent(const StoreSource &source, TimePoint now)
{
    return source.hasObjects && source.confirmedAt && now - *source.confirmedAt < source.settings.maximumAge;
}

bool mayServe(const StoreSource &source, TimePoint now)
{
    const bool isStoreSilent = source.failedChecks > 0 || now >= source.startDeadline + ReaderSilence;
    const bool isNewerThanProcess = source.confirmedAt && *source.confirmedAt >= source.startedAt;
    return source.hasObjects && (isCurrent(source, now) || isNewerThanProcess || isStoreSilent);
}

std::vector<FeedMember> chooseReaders(std::vector<FeedMember> members, std::size_t count)
{
    const bool canAnyRead = std::any_of(members.begin(), members.end(), [](const FeedMember &member) {
        return !member.isStoreUnreachable;
    });
    if (canAnyRead) {
        std::erase_if(members, [](const FeedMember &member) {
            return member.isStoreUnreachable;
        });
    }
    const std::size_t chosen = std::min(count, members.size());
    const auto rankOf = [](const FeedMember &member) {
        return std::pair(member.capacity, rendezvousWeight(member.name, "store-readers"));
    };
    std::partial_sort(members.begin(), members.begin() + static_cast<std::ptrdiff_t>(chosen), members.end(), [&rankOf](const auto &first, const auto &second) {
        return rankOf(first) > rankOf(second);
    });
    members.resize(chosen);
    return members;
}

StoreReadingPace readingPace(const StoreSource &source)
{
    const StoreSourceSettings &settings = source.settings;
    StoreReadingPace pace;
    pace.changeBatchInterval = UnfollowedBatchInterval;
    // What stale answers hide counts as unknown, like all that is older.
    pace.checks.verificationPeriod = settings.maximumAge;
    pace.checks.period = std::min<Duration>(UnfollowedCheckPeriod, pace.checks.verificationPeriod / ChecksPerVerification);
    if (!source.isSmallZone) {
        pace.changeBatchInterval = std::min<Duration>(pace.changeBatchInterval, settings.maximumAge / 2);
        pace.checks.period = std::min<Duration>(pace.checks.period, settings.maximumAge / 4);
    }
    return pace;
}

Duration feedRequestPeriod(const StoreSourceSettings &settings)
{
    return settings.maximumAge / 5;
}

Duration maximumKnowledgeAge(Duration bound)
{
    return std::max<Duration>(MinimumMaximumAge, bound - RefreshTime);
}

}
