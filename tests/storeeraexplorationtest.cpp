#include "controllers/storecheck.h"
#include "controllers/storemirror.h"
#include "controllers/storewatch.h"
#include "exploration.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <queue>

/**
 * Explores a store that returns from copies of itself, the readers and followers of one availability zone, VMs that are killed or cut off, and
 * late answers and updates, in virtual time.
 */
namespace Plantainweir {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{std::chrono::seconds(1000)};
constexpr std::uint64_t DefaultSeeds = 200;
constexpr std::size_t Readers = 2;
constexpr std::size_t Vms = 5;
constexpr std::size_t UpstreamCount = 6;
constexpr Duration FaultTime = 40s;
constexpr Duration QuietTime = 14s;
constexpr Duration Tick = 20ms;
constexpr Duration CallTimeout = 1s;
constexpr Duration CheckPeriod = 500ms;
/** For this time after a return, what a VM holds of an upstream may not go back (docs/design/store-eras.md). */
constexpr Duration HoldTime = 8s;
constexpr std::array Kinds{StoreObjectKind::Configuration, StoreObjectKind::Upstreams};

struct Change {
    StoreObject object; ///< With its revision at the time.
};

struct StoreContent {
    std::uint64_t revision = 1;
    std::uint64_t forgotten = 0; ///< The history begins after this revision.
    std::array<std::map<std::string, StoreObject>, Kinds.size()> objects;
    std::array<std::deque<Change>, Kinds.size()> history;
};

struct Answer {
    StoreReadOutcome outcome = StoreReadOutcome::Failed;
    StoreRevision revision;
    std::vector<StoreObject> objects;
};

/** An upstream that reports to the store while it lives. */
struct SimulatedUpstream {
    std::string id;
    WriterOrder order;
    bool isAlive = false;
    bool isDraining = false;
    TimePoint nextReportAt;
    TimePoint reportedAt; ///< When the store heard of it last.
};

struct PendingCall {
    std::uint64_t id = 0;
    TimePoint sentAt;
    std::optional<StoreRevision> watched; ///< Of a watch.
};

struct WatchState {
    StoreWatch watch;
    std::optional<PendingCall> call;
    TimePoint watchingSince;
};

struct Vm {
    std::uint64_t incarnation = 0;
    bool isReader = false;
    bool isDown = false;
    TimePoint cutUntil; ///< Cut off from the store and the other VMs before this time.
    std::uint64_t era = 0;
    TimePoint eraSince;
    std::array<StoreMirror, Kinds.size()> mirrors;
    std::array<WatchState, Kinds.size()> watches;
    TimePoint nextCheckAt;
    std::uint64_t version = 0; ///< Highest version of the configuration that was in force.
    std::map<std::string, WriterOrder> orders; ///< Of the upstreams in force, and of those that have left.
    std::map<std::size_t, std::array<MirrorPosition, Kinds.size()>> sent; ///< What each follower has by its feed from this VM.
    std::map<std::size_t, TimePoint> lastArrival; ///< Of the updates to each follower, which arrive in order.
};

class Exploring
{
public:
    explicit Exploring(std::uint64_t seed)
        : m_random(seed)
    {
        m_areReportsChanges = chance(0.5);
        for (std::size_t index = 0; index < UpstreamCount; ++index) {
            m_upstreams.push_back({.id = "u" + std::to_string(index)});
        }
        writeConfiguration();
        for (std::size_t index = 0; index < Vms; ++index) {
            m_vms[index].isReader = index < Readers;
            startVm(index);
        }
        m_copies.push_back(m_content);
    }

    std::optional<std::string> run()
    {
        const TimePoint faultsEnd = Start + FaultTime;
        const TimePoint end = faultsEnd + QuietTime;
        for (; m_now < end && !m_failure; m_now += Tick) {
            deliver();
            runWriters(m_now < faultsEnd);
            if (m_now < faultsEnd) {
                injectFaults();
            }
            returnIfDue();
            for (std::size_t index = 0; index < Vms; ++index) {
                runVm(index);
            }
        }
        if (!m_failure) {
            checkConvergence();
        }
        return m_failure;
    }

private:
    using Event = std::pair<TimePoint, std::uint64_t>;

    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(m_random);
    }

    Duration between(Duration shortest, Duration longest)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(shortest.count(), longest.count())(m_random));
    }

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    void after(Duration delay, const std::function<void()> &action)
    {
        const std::uint64_t id = ++m_lastEvent;
        m_queue.emplace(m_now + delay, id);
        m_actions[id] = action;
    }

    void deliver()
    {
        while (!m_queue.empty() && m_queue.top().first <= m_now) {
            const std::uint64_t id = m_queue.top().second;
            m_queue.pop();
            m_actions.extract(id).mapped()();
        }
    }

    void fail(const std::string &text)
    {
        if (!m_failure) {
            m_failure = text + " at " + std::to_string(toMilliseconds(m_now - Start)) + " ms";
        }
    }

    // The store and its writers.

    void write(StoreObjectKind kind, StoreObject object)
    {
        const auto index = static_cast<std::size_t>(kind);
        object.revision = {.era = m_era, .number = ++m_content.revision};
        if (object.isDeleted) {
            m_content.objects[index].erase(object.name);
        } else {
            m_content.objects[index][object.name] = object;
        }
        m_content.history[index].push_back({object});
    }

    void writeConfiguration()
    {
        write(StoreObjectKind::Configuration,
              {.name = "main", .revision = {}, .isDeleted = false, .order = {.sequence = m_version}, .value = RouteTable{.version = m_version}});
    }

    void report(SimulatedUpstream &upstream)
    {
        ++upstream.order.sequence;
        upstream.reportedAt = m_now;
        upstream.nextReportAt = m_now + between(700ms, 800ms);
        auto &objects = m_content.objects[1];
        const auto known = objects.find(upstream.id);
        UpstreamRecord record{.id = upstream.id, .service = "desk", .isDraining = upstream.isDraining, .startedAtMs = upstream.order.incarnation};
        const bool isSame = known != objects.end() && std::get<UpstreamRecord>(known->second.value) == record;
        // A store may not count a report as a change if only its number differs.
        if (!isSame || m_areReportsChanges) {
            write(StoreObjectKind::Upstreams, {.name = upstream.id, .revision = {}, .isDeleted = false, .order = upstream.order, .value = record});
        }
    }

    void removeEntry(const std::string &id)
    {
        const auto found = m_content.objects[1].find(id);
        if (found != m_content.objects[1].end()) {
            StoreObject deletion = found->second;
            deletion.isDeleted = true;
            write(StoreObjectKind::Upstreams, deletion);
        }
    }

    void runWriters(bool isChanging)
    {
        if (isAway()) {
            return;
        }
        if (m_rewriteAt && m_now >= *m_rewriteAt) {
            m_rewriteAt.reset();
            writeConfiguration();
        }
        if (isChanging && !m_rewriteAt && chance(0.01)) {
            m_version += 1 + pick(3);
            writeConfiguration();
        }
        for (SimulatedUpstream &upstream : m_upstreams) {
            if (isChanging && chance(0.004)) {
                change(upstream);
            }
            if (upstream.isAlive && m_now >= upstream.nextReportAt) {
                report(upstream);
            }
            if (!upstream.isAlive && m_now >= upstream.reportedAt + 4500ms) {
                removeEntry(upstream.id);
            }
        }
    }

    void change(SimulatedUpstream &upstream)
    {
        if (!upstream.isAlive) {
            upstream.order = {.incarnation = upstream.order.incarnation + 1};
            upstream.isDraining = false;
            upstream.isAlive = true;
        } else if (!upstream.isDraining && chance(0.5)) {
            upstream.isDraining = true;
        } else {
            upstream.isAlive = false;
            if (chance(0.7)) {
                removeEntry(upstream.id);
            }
            return;
        }
        report(upstream);
    }

    bool isAway() const
    {
        return m_returnAt.has_value();
    }

    void injectFaults()
    {
        if (chance(0.02)) {
            m_copies.push_back(m_content);
        }
        if (!isAway() && chance(0.004)) {
            m_returnAt = m_now + between(0ms, 900ms);
            dropCalls(chance(0.8));
        }
        if (chance(0.002)) {
            for (auto &history : m_content.history) {
                history.clear();
            }
            m_content.forgotten = m_content.revision;
        }
        for (std::size_t index = 0; index < Vms; ++index) {
            if (chance(0.001)) {
                m_vms[index].isDown = true;
                ++m_vms[index].incarnation;
                after(between(100ms, 2s), [this, index] {
                    startVm(index);
                });
            }
        }
        if (chance(0.01)) {
            m_vms[pick(Vms)].cutUntil = m_now + between(500ms, 6s);
        }
        m_isSlow = chance(0.02) ? !m_isSlow : m_isSlow;
    }

    /** The store comes back from a copy that is some seconds old, or a jump of several returns later. */
    void returnIfDue()
    {
        if (!m_returnAt || m_now < *m_returnAt) {
            return;
        }
        m_returnAt.reset();
        const std::size_t back = std::min<std::size_t>(m_copies.size(), 1 + pick(4));
        m_content = m_copies[m_copies.size() - back];
        m_copies.resize(m_copies.size() - back + 1);
        m_era += chance(0.8) ? 1 : 1 + pick(4);
        for (auto &objects : m_content.objects) {
            for (auto &[name, object] : objects) {
                object.revision.era = m_era;
            }
        }
        for (auto &history : m_content.history) {
            for (Change &change : history) {
                change.object.revision.era = m_era;
            }
        }
        m_rewriteAt = m_now + between(50ms, 600ms);
        for (SimulatedUpstream &upstream : m_upstreams) {
            upstream.reportedAt = m_now;
        }
        m_returnedAt = m_now;
    }

    /** Ends all calls that wait; their connections may also stay silent. */
    void dropCalls(bool isClosing)
    {
        for (std::size_t index = 0; index < Vms; ++index) {
            for (std::size_t kind = 0; kind < Kinds.size(); ++kind) {
                WatchState &state = m_vms[index].watches[kind];
                if (state.call && isClosing) {
                    state.call.reset();
                    feedWatch(index, kind, StoreCallFailed{});
                }
            }
        }
    }

    Answer list(std::size_t kind) const
    {
        Answer answer{.outcome = StoreReadOutcome::Page, .revision = {.era = m_era, .number = m_content.revision}, .objects = {}};
        for (const auto &[name, object] : m_content.objects[kind]) {
            answer.objects.push_back(object);
        }
        return answer;
    }

    Answer changesSince(std::size_t kind, std::uint64_t number) const
    {
        Answer answer{.outcome = StoreReadOutcome::Page, .revision = {.era = m_era, .number = m_content.revision}, .objects = {}};
        if (number > m_content.revision || number < m_content.forgotten) {
            answer.outcome = StoreReadOutcome::RevisionGone;
            return answer;
        }
        for (const Change &change : m_content.history[kind]) {
            if (change.object.revision.number > number) {
                answer.objects.push_back(change.object);
            }
        }
        return answer;
    }

    Duration transit()
    {
        return m_isSlow ? between(5ms, 600ms) : between(2ms, 30ms);
    }

    // The VMs.

    void startVm(std::size_t index)
    {
        Vm &vm = m_vms[index];
        vm = {.incarnation = vm.incarnation + 1, .isReader = vm.isReader};
        for (std::size_t kind = 0; kind < Kinds.size(); ++kind) {
            vm.mirrors[kind].kind = Kinds[kind];
        }
        for (Vm &other : m_vms) {
            other.sent.erase(index);
        }
        if (vm.isReader) {
            for (std::size_t kind = 0; kind < Kinds.size(); ++kind) {
                feedWatch(index, kind, StoreTimerFired{});
            }
        } else if (chance(0.5) && !isAway()) {
            readFirst(index);
        }
    }

    /** A VM that starts without feeds reads the store once. */
    void readFirst(std::size_t index)
    {
        for (std::size_t kind = 0; kind < Kinds.size(); ++kind) {
            const Answer answer = list(kind);
            after(transit(), [this, index, kind, answer, incarnation = m_vms[index].incarnation] {
                if (m_vms[index].incarnation == incarnation && !m_vms[index].isDown) {
                    noteEra(index, answer.revision.era, m_now);
                    adoptDelta(index, {.kind = Kinds[kind], .isComplete = true, .revision = answer.revision, .objects = answer.objects});
                }
            });
        }
    }

    void runVm(std::size_t index)
    {
        Vm &vm = m_vms[index];
        if (vm.isDown) {
            return;
        }
        release(index);
        if (vm.isReader) {
            for (std::size_t kind = 0; kind < Kinds.size(); ++kind) {
                runWatch(index, kind);
            }
            if (m_now >= vm.nextCheckAt) {
                vm.nextCheckAt = m_now + CheckPeriod;
                checkWatches(index);
            }
        }
        if (chance(0.3)) {
            sendUpdates(index);
        }
    }

    void runWatch(std::size_t index, std::size_t kind)
    {
        WatchState &state = m_vms[index].watches[kind];
        if (state.watch.phase == StoreWatchPhase::Pausing && m_now >= state.watch.resumeAt) {
            feedWatch(index, kind, StoreTimerFired{});
        } else if (state.call && !state.call->watched && m_now >= state.call->sentAt + CallTimeout) {
            state.call.reset();
            feedWatch(index, kind, StoreCallFailed{});
        } else if (state.call && state.call->watched && !isAway() && !isCut(index)) {
            const Answer answer = changesSince(kind, state.call->watched->number);
            // A watch that was sent in an earlier era waits on a connection that stays silent.
            const bool isSilent = state.call->sentAt < m_returnedAt;
            if (!isSilent && (answer.outcome == StoreReadOutcome::RevisionGone || !answer.objects.empty())) {
                answerWatch(index, kind, answer);
            }
        }
    }

    void answerWatch(std::size_t index, std::size_t kind, const Answer &answer)
    {
        const std::uint64_t call = m_vms[index].watches[kind].call->id;
        m_vms[index].watches[kind].call->watched.reset();
        m_vms[index].watches[kind].call->sentAt = m_now;
        after(transit(), [this, index, kind, call, answer] {
            receive(index, kind, call, answer);
        });
    }

    void receive(std::size_t index, std::size_t kind, std::uint64_t call, const Answer &answer)
    {
        WatchState &state = m_vms[index].watches[kind];
        if (m_vms[index].isDown || isCut(index) || !state.call || state.call->id != call) {
            return;
        }
        state.call.reset();
        const bool isWatch = state.watch.phase == StoreWatchPhase::Watching;
        if (answer.outcome == StoreReadOutcome::RevisionGone) {
            feedWatch(index, kind, StoreHistoryCompacted{answer.revision.era});
            return;
        }
        if (!isWatch) {
            m_listed = answer.objects;
            feedWatch(index, kind, StorePageReceived{.revision = answer.revision, .lastName = "z", .hasMore = false});
            return;
        }
        if (continues(state.watch, answer.revision)) {
            adoptDelta(index, {.kind = Kinds[kind], .isComplete = false, .revision = answer.revision, .objects = answer.objects});
        }
        feedWatch(index, kind, StoreChangesReceived{.revision = answer.revision, .isEmpty = answer.objects.empty()});
    }

    void feedWatch(std::size_t index, std::size_t kind, const StoreWatchEvent &event)
    {
        StoreWatch &watch = m_vms[index].watches[kind].watch;
        const auto actions = step(watch, event, m_now, m_random);
        if (watch.era > m_vms[index].era) {
            noteEra(index, watch.era, m_now);
        }
        for (const StoreWatchAction &action : actions) {
            if (std::holds_alternative<SendStoreList>(action)) {
                sendList(index, kind);
            } else if (const auto *sent = std::get_if<SendStoreWatch>(&action)) {
                m_vms[index].watches[kind].call = PendingCall{.id = ++m_lastCall, .sentAt = m_now, .watched = sent->revision};
                m_vms[index].watches[kind].watchingSince = m_now;
            } else if (const auto *complete = std::get_if<CompleteStoreList>(&action)) {
                adoptDelta(index, {.kind = Kinds[kind], .isComplete = true, .revision = complete->revision, .objects = m_listed});
            }
        }
    }

    void sendList(std::size_t index, std::size_t kind)
    {
        const std::uint64_t call = ++m_lastCall;
        m_vms[index].watches[kind].call = PendingCall{.id = call, .sentAt = m_now, .watched = std::nullopt};
        after(transit(), [this, index, kind, call] {
            if (isAway()) {
                return;
            }
            const Answer answer = list(kind);
            after(transit(), [this, index, kind, call, answer] {
                receive(index, kind, call, answer);
            });
        });
    }

    void checkWatches(std::size_t index)
    {
        for (std::size_t kind = 0; kind < Kinds.size(); ++kind) {
            const WatchState &state = m_vms[index].watches[kind];
            if (state.watch.phase != StoreWatchPhase::Watching || isAway() || isCut(index)) {
                continue;
            }
            StoreCheck check{.consistency = ReadConsistency::Consistent, .startedAt = m_now, .deadline = {}, .watches = {}, .asked = Kinds[kind]};
            check.watches.push_back({.watch = {.kind = Kinds[kind], .revision = state.watch.revision, .since = state.watchingSince}});
            const Answer answer = changesSince(kind, state.watch.revision.number);
            after(transit(), [this, index, kind, check, answer, incarnation = m_vms[index].incarnation]() mutable {
                if (m_vms[index].incarnation != incarnation || m_vms[index].isDown) {
                    return;
                }
                adoptAnswer(check, {.outcome = answer.outcome, .revision = answer.revision, .hasChanges = !answer.objects.empty()});
                noteEra(index, check.era, m_now);
                WatchState &checked = m_vms[index].watches[kind];
                const bool isSame = checked.watch.phase == StoreWatchPhase::Watching && checked.watchingSince == check.watches[0].watch.since;
                if (isSame && check.watches[0].finding == WatchFinding::Missed) {
                    checked.call.reset();
                    feedWatch(index, kind, StoreChangesMissed{});
                }
            });
        }
    }

    void noteEra(std::size_t index, std::uint64_t era, TimePoint since)
    {
        Vm &vm = m_vms[index];
        if (era <= vm.era) {
            return;
        }
        vm.era = era;
        vm.eraSince = since;
        for (std::size_t kind = 0; vm.isReader && kind < Kinds.size(); ++kind) {
            if (vm.watches[kind].watch.era >= era) {
                continue;
            }
            if (vm.watches[kind].watch.phase == StoreWatchPhase::Watching) {
                vm.watches[kind].call.reset();
            }
            feedWatch(index, kind, StoreEraSeen{era});
        }
    }

    bool isCut(std::size_t index) const
    {
        return m_now < m_vms[index].cutUntil;
    }

    void sendUpdates(std::size_t from)
    {
        if (!m_vms[from].isReader || isCut(from)) {
            return;
        }
        for (std::size_t to = 0; to < Vms; ++to) {
            if (to == from || m_vms[to].isDown || isCut(to)) {
                continue;
            }
            if (!m_vms[from].sent.contains(to)) {
                for (std::size_t kind = 0; kind < Kinds.size(); ++kind) {
                    m_vms[from].sent[to][kind] = {.revision = m_vms[to].mirrors[kind].revision};
                }
            }
            for (std::size_t kind = 0; kind < Kinds.size(); ++kind) {
                sendUpdate(from, to, kind);
            }
        }
    }

    void sendUpdate(std::size_t from, std::size_t to, std::size_t kind)
    {
        MirrorPosition &position = m_vms[from].sent[to][kind];
        const StoreMirror &mirror = m_vms[from].mirrors[kind];
        if (!hasNewsSince(mirror, position)) {
            return;
        }
        const StoreDelta delta = deltaSince(mirror, position);
        position = positionOf(mirror);
        const Duration eraAge = m_now - m_vms[from].eraSince;
        TimePoint &arrival = m_vms[from].lastArrival[to];
        arrival = std::max(arrival, m_now + transit());
        after(arrival - m_now, [this, to, delta, eraAge, incarnation = m_vms[to].incarnation] {
            if (m_vms[to].incarnation == incarnation && !m_vms[to].isDown) {
                noteEra(to, delta.revision.era, m_now - eraAge);
                adoptDelta(to, delta);
            }
        });
    }

    void adoptDelta(std::size_t index, const StoreDelta &delta)
    {
        Vm &vm = m_vms[index];
        StoreMirror &mirror = vm.mirrors[static_cast<std::size_t>(delta.kind)];
        const StoreRevision before = mirror.revision;
        const auto changed = adopt(mirror, delta, vm.eraSince);
        if (mirror.revision < before) {
            fail("the revision of a mirror went back");
        }
        judge(index, changed, false);
        release(index);
    }

    void release(std::size_t index)
    {
        for (StoreMirror &mirror : m_vms[index].mirrors) {
            judge(index, releaseHeld(mirror, m_now), true);
        }
    }

    /** Nothing in force goes back: versions of the configuration ever, states of upstreams within the time to hold them. */
    void judge(std::size_t index, const std::vector<StoreObject> &changed, bool isReleased)
    {
        Vm &vm = m_vms[index];
        std::map<std::string, StoreObject> last; // An answer may contain several changes of one object.
        for (const StoreObject &object : changed) {
            last[object.name] = object;
        }
        for (const auto &[name, object] : last) {
            if (const auto *table = std::get_if<RouteTable>(&object.value)) {
                if (object.isDeleted || table->version < vm.version) {
                    fail("VM " + std::to_string(index) + " went back from version " + std::to_string(vm.version) + " to " + std::to_string(table->version));
                }
                vm.version = table->version;
                continue;
            }
            WriterOrder &order = vm.orders[object.name];
            const bool isHolding = m_now < m_returnedAt + HoldTime && !isReleased;
            if (isHolding && !object.isDeleted && object.order < order) {
                fail("VM " + std::to_string(index) + " went back to an earlier state of " + object.name);
            }
            order = isReleased ? object.order : std::max(order, object.order);
        }
    }

    static std::string namesIn(const std::map<std::string, bool> &upstreams)
    {
        std::string names;
        for (const auto &[id, isDraining] : upstreams) {
            names += " " + id + (isDraining ? " (draining)" : "");
        }
        return names;
    }

    void checkConvergence()
    {
        for (std::size_t index = 0; index < Vms; ++index) {
            Vm &vm = m_vms[index];
            if (vm.isDown) {
                continue;
            }
            if (vm.version != m_version) {
                fail("VM " + std::to_string(index) + " has version " + std::to_string(vm.version) + " of " + std::to_string(m_version));
            }
            std::map<std::string, bool> inForce;
            for (const auto &[id, mirrored] : vm.mirrors[1].objects) {
                if (!mirrored.object.isDeleted) {
                    inForce[id] = std::get<UpstreamRecord>(mirrored.object.value).isDraining;
                }
            }
            std::map<std::string, bool> stored;
            for (const auto &[id, object] : m_content.objects[1]) {
                stored[id] = std::get<UpstreamRecord>(object.value).isDraining;
            }
            if (inForce != stored) {
                fail("VM " + std::to_string(index) + " has other upstreams than the store:" + namesIn(inForce) + "; the store:" + namesIn(stored));
            }
        }
    }

    std::mt19937_64 m_random;
    TimePoint m_now = Start;
    std::optional<std::string> m_failure;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_queue;
    std::map<std::uint64_t, std::function<void()>> m_actions;
    std::uint64_t m_lastEvent = 0;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_era = 1;
    StoreContent m_content;
    std::vector<StoreContent> m_copies;
    std::optional<TimePoint> m_returnAt; ///< While the store is away.
    TimePoint m_returnedAt;
    std::optional<TimePoint> m_rewriteAt; ///< When the operator writes the configuration again.
    std::uint64_t m_version = 1;
    bool m_areReportsChanges = false;
    bool m_isSlow = false;
    std::vector<SimulatedUpstream> m_upstreams;
    std::array<Vm, Vms> m_vms;
    std::vector<StoreObject> m_listed; ///< Of the page that is being handled.
};

// Guards against review/12 and its neighbours: nothing in force goes back with the store, and what comes afterwards is known to all VMs.
TEST(StoreEraExploration, NothingGoesBackAndAllIsKnownAfterwards)
{
    const auto failures = explore("store eras", DefaultSeeds, [](std::uint64_t seed) {
        return Exploring(seed).run();
    });
    for (const std::string &failure : failures) {
        ADD_FAILURE() << failure;
    }
}

}
}
