#include "tasks/storesourcetask.h"

#include "core/suspendawareclock.h"
#include "observability/logevents.h"
#include "observability/metrics.h"
#include "tasks/storechecktask.h"
#include "tasks/storefeedclient.h"
#include "tasks/storefeedserver.h"
#include "tasks/storelisttask.h"
#include "tasks/storewatchtask.h"

#include <QTimer>

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

namespace Plantainweir {
namespace {

/** Evacuations have a wider bound than the other kinds, and need not be asked for as often while the store does not answer. */
constexpr std::chrono::milliseconds EvacuationBackoff{2000};
/** How long an encoded update is reused. The ages in it are understated by at most this time. */
constexpr std::chrono::milliseconds UpdateReuseTime{20};

/** The last update that was encoded. Most followers have the same revisions and need the same update. */
struct CachedUpdate {
    EncodedFeedUpdate update;
    FedPositions known; ///< What the update starts from.
    TimePoint reusableUntil;
};

/** What is known about one kind of object. */
struct KindState {
    StoreMirror mirror;
    TimePoint reachedAt; ///< When the mirror reached its revision.
    std::optional<TimePoint> confirmedAt; ///< Time at which the mirror was known to be complete.
    std::optional<TimePoint> storeConfirmedAt; ///< The same, from the answers of the store to this entry VM only.
    std::optional<TimePoint> verifiedAt; ///< The same, from its consistent answers only.
    bool isFirstRead = false; ///< Whether the first read has answered for this kind.
    Duration extraAge{}; ///< How much older than StoreSourceSettings::maximumAge the knowledge may become.
};

std::vector<KindState> makeKinds(const StoreSourceTaskSettings &settings)
{
    std::vector<KindState> kinds(settings.evacuationBound ? 3 : 2);
    for (std::size_t index = 0; index < kinds.size(); ++index) {
        kinds[index].mirror.kind = static_cast<StoreObjectKind>(index);
    }
    if (settings.evacuationBound) {
        kinds.back().extraAge = std::max(Duration(0), maximumKnowledgeAge(*settings.evacuationBound) - settings.source.maximumAge);
    }
    return kinds;
}

/** Returns as of when the knowledge counts as complete, compared with the other kinds. */
std::optional<TimePoint> withExtraAge(const std::optional<TimePoint> &time, const KindState &state)
{
    return time ? std::optional(*time + state.extraAge) : std::nullopt;
}

/** Longer ages of an era are the same for all that depends on them. */
constexpr std::chrono::minutes MaximumEraAge{1};

/** Replaces malformed objects, which feeds do not carry: a follower must not use an earlier version of them either. */
void dropMalformed(StoreDelta &delta)
{
    std::erase_if(delta.stored, [](const StoreObject &object) {
        return object.value.index() == 0;
    });
    if (delta.isComplete) {
        std::erase_if(delta.objects, [](const StoreObject &object) {
            return object.value.index() == 0 && !object.isDeleted;
        });
        return;
    }
    for (StoreObject &object : delta.objects) {
        object.isDeleted = object.isDeleted || object.value.index() == 0;
    }
}

}

class StoreSourceTask::Private : public QObject
{
public:
    Private(StoreSourceTask *task, const StoreSourceTaskSettings &settings, const GatewayCodec &codec, Metrics &metrics)
        : q(task)
        , m_metrics(metrics)
        , m_random(settings.seed)
        , m_source(makeStoreSource(settings.name, settings.source, suspendAwareNow(), m_random))
        , m_kinds(makeKinds(settings))
        , m_configurationWatch(StoreObjectKind::Configuration, settings.store, codec, settings.seed + 1)
        , m_upstreamWatch(StoreObjectKind::Upstreams, settings.store, codec, settings.seed + 2)
        , m_evacuationWatch(StoreObjectKind::Evacuations, settings.store, codec, settings.seed + 3)
        , m_firstConfiguration(StoreObjectKind::Configuration, settings.store, codec)
        , m_firstUpstreams(StoreObjectKind::Upstreams, settings.store, codec)
        , m_firstEvacuations(StoreObjectKind::Evacuations, settings.store, codec)
        , m_check(settings.store, codec)
        , m_feedServer(metrics)
        , m_feedClient(metrics, feedRequestPeriod(settings.source))
    {
        m_evacuationWatch.setMinimumBackoff(EvacuationBackoff);
        m_timer.setSingleShot(true);
        connect(&m_timer, &QTimer::timeout, this, [this] {
            handleEvent(SourceTimerFired{});
        });
        m_releaseTimer.setSingleShot(true);
        connect(&m_releaseTimer, &QTimer::timeout, this, &Private::releaseObjects);
        connectReading();
        connectFirstRead();
        connectFeeds();
    }

    void connectReading()
    {
        for (const KindState &state : m_kinds) {
            const StoreObjectKind watched = state.mirror.kind;
            StoreWatchTask *watch = &watchOf(watched);
            connect(watch, &StoreWatchTask::eraSeen, this, [this](std::uint64_t era) {
                noteEra(era, suspendAwareNow());
            });
            connect(watch, &StoreWatchTask::deltaReceived, this, [this](const StoreDelta &delta, TimePoint confirmedAt, TimePoint sentAt) {
                const KnowledgeSource source = delta.isComplete ? KnowledgeSource::StoreList : KnowledgeSource::StoreWatch;
                reportIfOutdated(delta, source, sentAt);
                if (delta.isComplete && isContradictory(delta, sentAt)) {
                    replaceObjects(delta, source);
                } else {
                    adoptDelta(delta, source);
                }
                confirmByStore(delta.kind, confirmedAt, ReadConsistency::Consistent);
                publishConfirmation();
            });
            // Without this check, the objects would not count as confirmed until the next regular one.
            connect(
                watch,
                &StoreWatchTask::watchStarted,
                this,
                [this, watched] {
                    if (!m_source.isSmallZone && watched != StoreObjectKind::Evacuations) {
                        checkStore(ReadConsistency::Stale);
                    }
                },
                Qt::QueuedConnection);
            connect(watch, &StoreWatchTask::storeUnreachable, this, [this, watched] {
                logEvent(LogEvent::StoreLost, {{"kind", nameOf(watched)}});
                handleEvent(SourceTimerFired{});
            });
            connect(watch, &StoreWatchTask::storeRecovered, this, [this, watched](Duration outage) {
                logEvent(LogEvent::StoreReturned,
                         {{"kind", nameOf(watched)}, {"away_ms", std::chrono::duration_cast<std::chrono::milliseconds>(outage).count()}});
                // Registrations are listed again when the watches of the other kinds recover.
                if (watched != StoreObjectKind::Evacuations) {
                    recover(outage);
                }
            });
            // A watch may wait on a connection that died without a reset, and does not notice.
            connect(&m_check, &StoreCheckTask::failed, watch, &StoreWatchTask::restart);
        }
        connect(&m_check, &StoreCheckTask::finished, this, &Private::handleCheck);
        connect(&m_check, &StoreCheckTask::failed, this, [this] {
            endCheck(false);
        });
        connect(&m_checkTimer, &QTimer::timeout, this, [this] {
            checkStore(consistencyOfNextCheck(m_pace.checks, verifiedAt(), suspendAwareNow()));
        });
    }

    void connectFirstRead()
    {
        for (StoreListTask *list : {&m_firstConfiguration, &m_firstUpstreams, &m_firstEvacuations}) {
            connect(list, &StoreListTask::listed, this, &Private::handleFirstList);
            connect(list, &StoreListTask::failed, this, [] {
                logEvent(LogEvent::FirstReadFailed);
            });
        }
    }

    void connectFeeds()
    {
        connect(&m_feedClient, &StoreFeedClient::received, this, &Private::handleFeedUpdate);
        connect(&m_feedClient, &StoreFeedClient::ended, this, [this](const std::string &member) {
            logEvent(LogEvent::FeedEnded, {{"member", member}});
            handleEvent(FeedEnded{member});
        });
        connect(&m_feedServer, &StoreFeedServer::updateRequested, this, &Private::sendUpdate);
    }

    StoreWatchTask &watchOf(StoreObjectKind kind)
    {
        switch (kind) {
        case StoreObjectKind::Upstreams:
            return m_upstreamWatch;
        case StoreObjectKind::Evacuations:
            return m_evacuationWatch;
        case StoreObjectKind::Configuration:
        case StoreObjectKind::EntryVms:
            break;
        }
        return m_configurationWatch;
    }

    /** Returns the watches of the kinds that are read. */
    std::vector<StoreWatchTask *> watches()
    {
        std::vector<StoreWatchTask *> watches;
        for (const KindState &state : m_kinds) {
            watches.push_back(&watchOf(state.mirror.kind));
        }
        return watches;
    }

    bool isRead(StoreObjectKind kind) const
    {
        return static_cast<std::size_t>(kind) < m_kinds.size();
    }

    KindState &kind(StoreObjectKind kind)
    {
        return m_kinds.at(static_cast<std::size_t>(kind));
    }

    bool hasAllKinds() const
    {
        return std::all_of(m_kinds.begin(), m_kinds.end(), [](const KindState &state) {
            return isSet(state.mirror.revision);
        });
    }

    /** Returns the oldest of the times that @p member holds for the kinds, later for those that may be older; nothing if one has none. */
    std::optional<TimePoint> oldestConfirmation(std::optional<TimePoint> KindState::*member) const
    {
        const auto oldest = std::min_element(m_kinds.begin(), m_kinds.end(), [member](const KindState &left, const KindState &right) {
            return withExtraAge(left.*member, left) < withExtraAge(right.*member, right);
        });
        return withExtraAge(*oldest.*member, *oldest);
    }

    /** Returns the time as of which all kinds are known to be complete. */
    std::optional<TimePoint> confirmedAt() const
    {
        return hasAllKinds() ? oldestConfirmation(&KindState::confirmedAt) : std::nullopt;
    }

    /** Returns the time as of which consistent answers have confirmed all kinds. */
    std::optional<TimePoint> verifiedAt() const
    {
        return oldestConfirmation(&KindState::verifiedAt);
    }

    void handleEvent(const StoreSourceEvent &event)
    {
        const TimePoint now = suspendAwareNow();
        const auto actions = step(m_source, event, now, m_random);
        for (const StoreSourceAction &action : actions) {
            std::visit(
                [this](const auto &alternative) {
                    execute(alternative);
                },
                action);
        }
        if (hasAllKinds() && mayServe(m_source, now)) {
            reportListed();
        }
        updatePace();
        reportCurrency(now);
        TimePoint deadline = nextDeadline(m_source, now);
        const auto confirmed = kind(StoreObjectKind::Configuration).confirmedAt;
        const TimePoint staleAt = confirmed ? *confirmed + m_source.settings.maximumAge : TimePoint{};
        // While this VM reads the store, its configuration stays current beyond that time.
        if (staleAt > now) {
            deadline = std::min(deadline, staleAt);
        }
        const Duration wait = std::max(Duration(0), Duration(deadline - suspendAwareNow()));
        m_timer.start(std::chrono::ceil<std::chrono::milliseconds>(wait));
    }

    void updatePace()
    {
        const StoreReadingPace pace = readingPace(m_source);
        if (pace == m_pace) {
            return;
        }
        m_pace = pace;
        for (StoreWatchTask *watch : watches()) {
            watch->setChangeBatchInterval(pace.changeBatchInterval);
        }
        if (m_source.isReading) {
            startCheckTimer();
        }
    }

    void startCheckTimer()
    {
        m_checkTimer.start(std::chrono::duration_cast<std::chrono::milliseconds>(m_pace.checks.period));
    }

    void reportCurrency(TimePoint now)
    {
        const bool isReadingCurrent = m_source.isReading && m_configurationWatch.isFollowing();
        const std::optional<TimePoint> confirmed = kind(StoreObjectKind::Configuration).confirmedAt;
        const bool isYoung = confirmed && now - *confirmed < m_source.settings.maximumAge;
        const bool isCurrentNow = m_isListed && (isReadingCurrent || isYoung);
        if (isCurrentNow != m_isCurrent) {
            m_isCurrent = isCurrentNow;
            Q_EMIT q->currentChanged(isCurrentNow);
        }
    }

    void execute(const StartReading &)
    {
        logReading();
        startCheckTimer();
        for (StoreWatchTask *watch : watches()) {
            watch->start();
        }
    }

    void execute(const StopReading &)
    {
        logReading();
        m_checkTimer.stop();
        for (StoreWatchTask *watch : watches()) {
            watch->stop();
        }
    }

    void logReading()
    {
        m_metrics.setGauge("plantainweir_store_reading", "Whether this entry VM reads the store itself.", m_source.isReading ? 1.0 : 0.0);
        const auto confirmed = confirmedAt();
        const auto age = confirmed ? std::chrono::duration_cast<std::chrono::milliseconds>(suspendAwareNow() - *confirmed).count() : -1;
        logEvent(LogEvent::StoreReadingChanged,
                 {{"reading", m_source.isReading}, {"reader", m_source.isReader}, {"age_ms", age}, {"members", m_source.members.size()}});
    }

    void execute(const ReadFirstObjects &)
    {
        // The configuration must not be older than one that was in force before a restart.
        m_firstConfiguration.start(ReadConsistency::Consistent);
        m_firstUpstreams.start(ReadConsistency::Stale);
        if (isRead(StoreObjectKind::Evacuations)) {
            m_firstEvacuations.start(ReadConsistency::Stale);
        }
    }

    /**
     * The objects can be used once the store has answered for all kinds, for the configuration consistently. What feeds delivered
     * meanwhile may be older than an earlier process of this VM, and is no substitute.
     */
    void handleFirstList(const StoreDelta &delta, TimePoint sentAt)
    {
        noteEra(delta.revision.era, sentAt);
        if (delta.kind == StoreObjectKind::Configuration) {
            reportIfOutdated(delta, KnowledgeSource::FirstRead, sentAt);
        }
        adoptDelta(delta, KnowledgeSource::FirstRead);
        if (delta.kind == StoreObjectKind::Configuration) {
            confirm(delta.kind, sentAt);
        }
        kind(delta.kind).isFirstRead = true;
        const bool isAnswered = std::all_of(m_kinds.begin(), m_kinds.end(), [](const KindState &state) {
            return state.isFirstRead;
        });
        if (isAnswered && hasAllKinds()) {
            reportListed();
        }
        handleEvent(SourceTimerFired{});
    }

    void execute(const OpenFeed &action)
    {
        m_feedClient.open(action.member, action.endpoint, {.sender = m_source.self, .revisions = revisions(), .sentAt = {}});
    }

    void execute(const CloseFeed &action)
    {
        m_feedClient.close(action.member);
    }

    void execute(const CheckStore &)
    {
        checkStore(ReadConsistency::Stale);
    }

    void checkStore(ReadConsistency consistency)
    {
        std::vector<WaitingWatch> waiting;
        for (const KindState &state : m_kinds) {
            if (auto waitingWatch = watchOf(state.mirror.kind).waitingWatch()) {
                waitingWatch->isDue = isDue(state, consistency, suspendAwareNow());
                waiting.push_back(*waitingWatch);
            }
        }
        m_check.check(waiting, consistency, kind(StoreObjectKind::Configuration).mirror.revision);
    }

    /** Kinds whose knowledge may become older are asked for less often. */
    static bool isDue(const KindState &state, ReadConsistency consistency, TimePoint now)
    {
        const auto known = withExtraAge(consistency == ReadConsistency::Consistent ? state.verifiedAt : state.storeConfirmedAt, state);
        return !known || *known <= now;
    }

    void execute(const ReportStoreReachability &action)
    {
        Q_EMIT q->reachabilityChanged(action.isUnreachable);
    }

    FedRevisions revisions() const
    {
        FedRevisions revisions;
        for (const KindState &state : m_kinds) {
            revisions.at(static_cast<std::size_t>(state.mirror.kind)) = state.mirror.revision;
        }
        return revisions;
    }

    FedPositions positions() const
    {
        FedPositions positions;
        for (const KindState &state : m_kinds) {
            positions.at(static_cast<std::size_t>(state.mirror.kind)) = positionOf(state.mirror);
        }
        return positions;
    }

    /**
     * Lets all watches discard answers of eras before @p era, and list their objects again if it is new.
     * @param since is a time at which the store was in this era.
     */
    void noteEra(std::uint64_t era, TimePoint since)
    {
        if (era <= m_era) {
            m_eraSince = era == m_era ? std::min(m_eraSince, since) : m_eraSince;
            return;
        }
        const std::uint64_t previous = std::exchange(m_era, era);
        m_eraSince = since;
        m_metrics.setGauge("plantainweir_store_era", "Newest era of the store that is known.", static_cast<double>(era));
        if (previous != 0) {
            const StoreRevision known = kind(StoreObjectKind::Configuration).mirror.revision;
            logEvent(LogEvent::StoreEraChanged, {{"era", era}, {"previous", previous}, {"configuration_revision", known.number}});
            m_metrics.addToCounter("plantainweir_store_eras_total", "New eras of the store since the start: it has returned from a copy of itself.");
        }
        for (StoreWatchTask *watch : watches()) {
            watch->setKnownEra(era);
        }
        Q_EMIT q->eraChanged(era);
    }

    /**
     * Returns whether the store lacks in @p delta what was known when it was asked for it, at @p sentAt, although its era is the same. Other
     * entry VMs may tell of later changes while it answers.
     */
    bool isContradictory(const StoreDelta &delta, TimePoint sentAt) const
    {
        const KindState &state = m_kinds.at(static_cast<std::size_t>(delta.kind));
        const StoreRevision &known = state.mirror.revision;
        return delta.revision.era == known.era && delta.revision < known && state.reachedAt < sentAt;
    }

    /** Replaces objects of a revision that the store has never reached, or has lost without telling a new era. */
    void replaceObjects(const StoreDelta &list, KnowledgeSource source)
    {
        KindState &state = kind(list.kind);
        const std::size_t held = state.mirror.held.size();
        const std::vector<StoreObject> changed = replaceByEarlier(state.mirror, list);
        state.reachedAt = suspendAwareNow();
        reportChanges(state.mirror, changed, held, {.source = source, .member = {}, .revision = list.revision});
    }

    /** @param member is the entry VM that sent @p delta, if it came from a feed. */
    void adoptDelta(const StoreDelta &delta, KnowledgeSource source, const std::string &member = {})
    {
        KindState &state = kind(delta.kind);
        StoreMirror &mirror = state.mirror;
        const std::size_t held = mirror.held.size();
        if (delta.revision > mirror.revision) {
            state.reachedAt = suspendAwareNow();
        }
        const std::vector<StoreObject> changed = adopt(mirror, delta, m_eraSince);
        if (delta.kind == StoreObjectKind::Configuration) {
            m_metrics.setGauge("plantainweir_configuration_revision",
                               "Revision of the store up to which all changes of the configuration are known.",
                               static_cast<double>(mirror.revision.number));
        }
        reportChanges(mirror, changed, held, {.source = source, .member = member, .revision = delta.revision});
        // Objects that come from another VM may have been held for long enough.
        releaseObjects();
    }

    /** Puts into force what the store has in place of objects that are held no longer. */
    void releaseObjects()
    {
        std::optional<TimePoint> next;
        for (KindState &state : m_kinds) {
            const std::size_t held = state.mirror.held.size();
            const std::vector<StoreObject> released = releaseHeld(state.mirror, suspendAwareNow());
            reportChanges(state.mirror, released, held, {.source = KnowledgeSource::HoldEnded, .member = {}, .revision = state.mirror.revision});
            const auto release = nextRelease(state.mirror);
            next = release ? std::min(next.value_or(*release), *release) : next;
            if (!released.empty()) {
                m_feedServer.publish();
            }
        }
        if (next) {
            const Duration wait = std::max(Duration(0), Duration(*next - suspendAwareNow()));
            m_releaseTimer.start(std::chrono::ceil<std::chrono::milliseconds>(wait));
        }
    }

    /** Reports the changes of @p mirror, which held @p held objects before. */
    void reportChanges(const StoreMirror &mirror, const std::vector<StoreObject> &changed, std::size_t held, const KnowledgeOrigin &origin)
    {
        m_cached = {};
        if (mirror.held.size() != held) {
            logEvent(LogEvent::StoreObjectsHeld, {{"kind", nameOf(mirror.kind)}, {"held", mirror.held.size()}, {"era", m_era}});
            const auto sum = std::accumulate(m_kinds.begin(), m_kinds.end(), std::size_t{0}, [](std::size_t count, const KindState &state) {
                return count + state.mirror.held.size();
            });
            m_metrics.setGauge(
                "plantainweir_store_objects_held", "Objects of earlier eras that are held in place of what the store has.", static_cast<double>(sum));
        }
        if (!changed.empty()) {
            Q_EMIT q->objectsChanged(mirror.kind, changed, origin);
        }
    }

    /** Reports the consistent answer @p delta to a call that was sent at @p sentAt if it is older than what is known. */
    void reportIfOutdated(const StoreDelta &delta, KnowledgeSource source, TimePoint sentAt)
    {
        const StoreRevision known = kind(delta.kind).mirror.revision;
        if (delta.revision < known) {
            logEvent(isContradictory(delta, sentAt) ? LogEvent::StoreAnswerContradictory : LogEvent::StoreAnswerOutdated,
                     {{"kind", nameOf(delta.kind)},
                      {"source", nameOf(source)},
                      {"era", delta.revision.era},
                      {"revision", delta.revision.number},
                      {"known_era", known.era},
                      {"known", known.number}});
            m_metrics.addToCounter("plantainweir_store_answers_outdated_total",
                                   "Answers of the store that were ignored because they are older than what is known, by kind.",
                                   std::string(nameOf(delta.kind)));
        }
    }

    void confirm(StoreObjectKind confirmed, TimePoint at)
    {
        std::optional<TimePoint> &known = kind(confirmed).confirmedAt;
        known = std::max(known, std::optional(at));
    }

    void reportListed()
    {
        if (!m_isListed) {
            m_isListed = true;
            Q_EMIT q->listed();
        }
    }

    void confirmByStore(StoreObjectKind confirmed, TimePoint at, ReadConsistency consistency)
    {
        m_cached = {};
        KindState &state = kind(confirmed);
        state.storeConfirmedAt = std::max(state.storeConfirmedAt, std::optional(at));
        if (consistency == ReadConsistency::Consistent) {
            state.verifiedAt = std::max(state.verifiedAt, std::optional(at));
        }
        confirm(confirmed, at);
    }

    /** Reports a confirmation by the store to the decision and to the followers. */
    void publishConfirmation()
    {
        handleEvent(ObjectsConfirmed{confirmedAt()});
        // What feeds confirm does not show that this entry VM can read the store.
        const auto confirmedByStore = oldestConfirmation(&KindState::storeConfirmedAt);
        // Confirmations from before an outage must not end the report of it.
        if (confirmedByStore > m_source.storeConfirmedAt && confirmedByStore >= m_source.readingSince) {
            handleEvent(StoreConfirmed{*confirmedByStore});
        }
        m_feedServer.publish();
    }

    void recover(Duration outage)
    {
        Q_EMIT q->storeRecovered(outage);
        m_feedServer.publish(outage);
    }

    /** The objects are as current as the check if their watch was waiting for changes when it started, and has missed none. */
    void handleCheck(const StoreCheck &check)
    {
        noteEra(check.era, suspendAwareNow());
        bool hasConfirmed = false;
        for (const CheckedWatch &checked : check.watches) {
            StoreWatchTask &watch = watchOf(checked.watch.kind);
            const auto waiting = watch.waitingWatch();
            if (!waiting || waiting->since != checked.watch.since) {
                continue;
            }
            if (checked.finding == WatchFinding::Complete) {
                watch.setCompleteUntil(checked.completeUntil);
                confirmByStore(checked.watch.kind, check.startedAt, check.consistency);
                hasConfirmed = true;
            }
            if (checked.finding == WatchFinding::Missed) {
                logMissedChanges(check, checked.watch);
                watch.listMissedChanges();
            }
        }
        endCheck(true);
        if (hasConfirmed) {
            publishConfirmation();
        }
        if (m_source.isReading && needsConsistentAnswer(check)) {
            checkStore(ReadConsistency::Consistent);
        }
    }

    static void logMissedChanges(const StoreCheck &check, const WaitingWatch &watch)
    {
        logEvent(LogEvent::WatchMissedChanges,
                 {{"kind", nameOf(watch.kind)},
                  {"revision", watch.revision.number},
                  {"waited_ms", std::chrono::duration_cast<std::chrono::milliseconds>(check.startedAt - watch.since).count()},
                  {"check", nameOf(check.consistency)}});
    }

    void endCheck(bool isPassed)
    {
        if (m_source.isChecking) {
            handleEvent(StoreChecked{isPassed});
        }
    }

    void handleFeedUpdate(const std::string &member, const FeedUpdate &update)
    {
        if (update.outage > Duration::zero()) {
            // It is not passed on: readers follow each other, and each tells its followers of its own outages.
            Q_EMIT q->storeRecovered(update.outage);
        }
        const FedPositions before = positions();
        for (const StoreDelta &delta : update.deltas) {
            noteEra(delta.revision.era, suspendAwareNow() - update.eraAge);
            if (isRead(delta.kind)) {
                adoptDelta(delta, KnowledgeSource::Feed, member);
            }
        }
        for (const StoreConfirmation &confirmation : update.confirmations) {
            if (isOfKnownEra(confirmation)) {
                confirm(confirmation.kind, update.echoedAt - confirmation.age);
            }
        }
        handleEvent(FeedReceived{.member = member, .hasObjects = hasAllKinds(), .confirmedAt = confirmedAt(), .senderConfirmedAt = senderConfirmation(update)});
        // Only changes are passed on. Confirmations would seem to become younger with each entry VM that passes them on.
        if (before != positions()) {
            m_feedServer.publish();
        }
    }

    /** Returns whether @p confirmation is about objects of a kind that is read, and not about those of an earlier era. */
    bool isOfKnownEra(const StoreConfirmation &confirmation) const
    {
        const auto index = static_cast<std::size_t>(confirmation.kind);
        return isRead(confirmation.kind) && confirmation.era >= m_kinds.at(index).mirror.revision.era;
    }

    /** Returns as of when the objects of a sender that reads the store were complete, or nothing for other senders. */
    std::optional<TimePoint> senderConfirmation(const FeedUpdate &update) const
    {
        if (!update.isSenderReading) {
            return std::nullopt;
        }
        std::size_t confirmedKinds = 0;
        std::optional<TimePoint> oldest;
        for (const StoreConfirmation &confirmation : update.confirmations) {
            if (isOfKnownEra(confirmation)) {
                const TimePoint confirmed = update.echoedAt - confirmation.age + m_kinds.at(static_cast<std::size_t>(confirmation.kind)).extraAge;
                oldest = oldest ? std::min(*oldest, confirmed) : confirmed;
                ++confirmedKinds;
            }
        }
        return confirmedKinds < m_kinds.size() ? std::nullopt : oldest;
    }

    void sendUpdate(FeedId feed, const FedPositions &known, Duration outage)
    {
        const TimePoint now = suspendAwareNow();
        const bool isReusable = outage == Duration::zero() && now <= m_cached.reusableUntil && m_cached.known == known;
        if (!isReusable) {
            m_cached = {.update = encode(makeUpdate(known, outage, now)),
                        .known = known,
                        .reusableUntil = outage == Duration::zero() ? now + UpdateReuseTime : TimePoint{}};
        }
        m_feedServer.send(feed, m_cached.update, positions());
    }

    FeedUpdate makeUpdate(const FedPositions &known, Duration outage, TimePoint now)
    {
        const Duration eraAge = std::clamp<Duration>(now - m_eraSince, Duration(0), MaximumEraAge);
        FeedUpdate update{.outage = outage, .deltas = {}, .confirmations = {}, .eraAge = eraAge, .isSenderReading = m_source.isReading};
        for (const KindState &state : m_kinds) {
            const MirrorPosition &position = known.at(static_cast<std::size_t>(state.mirror.kind));
            if (hasNewsSince(state.mirror, position)) {
                update.deltas.push_back(deltaSince(state.mirror, position));
                dropMalformed(update.deltas.back());
            }
            if (m_source.isReading && state.storeConfirmedAt) {
                update.confirmations.push_back({.kind = state.mirror.kind, .era = state.mirror.revision.era, .age = now - *state.storeConfirmedAt});
            }
        }
        return update;
    }

    StoreSourceTask *q;
    Metrics &m_metrics;
    std::mt19937_64 m_random;
    StoreSource m_source;
    std::vector<KindState> m_kinds; ///< Those that are read, by StoreObjectKind.
    StoreWatchTask m_configurationWatch;
    StoreWatchTask m_upstreamWatch;
    StoreWatchTask m_evacuationWatch;
    StoreListTask m_firstConfiguration;
    StoreListTask m_firstUpstreams;
    StoreListTask m_firstEvacuations;
    StoreCheckTask m_check;
    QTimer m_checkTimer;
    StoreFeedServer m_feedServer;
    StoreFeedClient m_feedClient;
    QTimer m_timer;
    bool m_isListed = false;
    bool m_isCurrent = false;
    StoreReadingPace m_pace;
    CachedUpdate m_cached;
    QTimer m_releaseTimer;
    std::uint64_t m_era = 0; ///< Newest era of the store that is known.
    TimePoint m_eraSince; ///< The earliest time at which the store is known to have been in it.
};

StoreSourceTask::StoreSourceTask(const StoreSourceTaskSettings &settings, const GatewayCodec &codec, Metrics &metrics, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, settings, codec, metrics))
{
}

StoreSourceTask::~StoreSourceTask() = default;

grpc::Service *StoreSourceTask::feedService()
{
    return d->m_feedServer.service();
}

void StoreSourceTask::start()
{
    d->handleEvent(SourceTimerFired{});
}

void StoreSourceTask::closeFeeds()
{
    d->m_feedServer.close();
}

void StoreSourceTask::setMembers(const std::vector<FeedMember> &members, bool isFleetKnown, const std::vector<FeedMember> &otherZoneMembers)
{
    d->handleEvent(FeedMembersChanged{members, isFleetKnown, otherZoneMembers});
}

bool StoreSourceTask::isListed() const
{
    return d->m_isListed;
}

}
