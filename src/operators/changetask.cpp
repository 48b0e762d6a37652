#include "operators/changetask.h"

#include "configuration/configurationjson.h"
#include "tasks/platformtask.h"

#include <algorithm>
#include <map>

namespace Plantainweir {
namespace {

/** Timeout of the last read, which shows what a rejected change conflicts with. */
constexpr std::chrono::seconds ConflictReadTimeout{2};

ChangeResult resultOf(const std::vector<ObjectChange> &changes)
{
    const auto hasAny = [&changes](auto isMatch) {
        return std::any_of(changes.begin(), changes.end(), isMatch);
    };
    if (hasAny([](const ObjectChange &change) {
            return change.state == ChangeState::NotKnown;
        })) {
        return ChangeResult::NotKnown;
    }
    if (hasAny([](const ObjectChange &change) {
            return change.state == ChangeState::Rejected && change.rejection != RejectionReason::NotSent;
        })) {
        return ChangeResult::Rejected;
    }
    const bool hasUnsent = hasAny([](const ObjectChange &change) {
        return change.state == ChangeState::Rejected;
    });
    return hasUnsent ? ChangeResult::Failed : ChangeResult::Accepted;
}

ObservedObject observedObject(const PlatformObjects &objects, const std::string &name)
{
    const auto found = std::find_if(objects.objects.begin(), objects.objects.end(), [&name](const PlatformObject &object) {
        return object.name == name;
    });
    return found == objects.objects.end() ? ObservedObject{} : ObservedObject{.version = found->version, .writes = decodeWriteRecords(found->value)};
}

}

class ChangeTask::Private : public QObject
{
public:
    Private(ChangeTask *task, PlatformTask &platform, ChangePlanner planner, TimePoint deadline)
        : q(task)
        , m_platform(platform)
        , m_planner(std::move(planner))
        , m_deadline(deadline)
    {
        connect(&m_platform, &PlatformTask::listed, this, &Private::handleListed);
        connect(&m_platform, &PlatformTask::written, this, &Private::handleWritten);
    }

    void listAll(TimePoint deadline)
    {
        m_listCall = m_platform.list(std::string(ObjectPrefix), deadline);
    }

    void handleListed(PlatformCallId call, const std::optional<PlatformObjects> &objects)
    {
        if (call == m_listCall) {
            m_listCall = 0;
            handleFullList(objects);
            return;
        }
        const auto read = m_calls.find(call);
        if (read == m_calls.end()) {
            return;
        }
        const std::size_t index = read->second;
        m_calls.erase(read);
        const auto observed = objects ? std::optional(observedObject(*objects, m_plan.changes.at(index).object)) : std::nullopt;
        run(ReadFinished{.change = index, .observed = observed});
    }

    void handleFullList(const std::optional<PlatformObjects> &objects)
    {
        if (m_isReadingConflicts) {
            addConflictDifferences(objects);
            return;
        }
        if (objects) {
            plan(decodeStoredConfiguration(*objects));
            return;
        }
        if (Clock::now() < m_deadline) {
            listAll(m_deadline);
            return;
        }
        m_report.result = ChangeResult::Failed;
        m_report.error = "the platform did not answer; nothing was written";
        Q_EMIT q->finished(m_report);
    }

    void plan(const StoredConfiguration &stored)
    {
        const bool isPlanned = valueOr(
            [this, &stored]() -> Result<bool> {
                BOOST_LEAF_ASSIGN(m_plan, m_planner(stored));
                return true;
            },
            [this](const Error &error) {
                m_report.error = error.message;
                return false;
            });
        if (!isPlanned) {
            m_report.result = ChangeResult::Invalid;
            Q_EMIT q->finished(m_report);
            return;
        }
        m_report.unchanged = m_plan.unchanged;
        m_report.keptServices = m_plan.keptServices;
        m_apply.deadline = m_deadline;
        for (const PlannedChange &change : m_plan.changes) {
            m_apply.changes.push_back({.object = change.object, .write = change.write});
        }
        run(ApplyStarted{});
    }

    void handleWritten(PlatformCallId call, const WriteResult &result)
    {
        const auto write = m_calls.find(call);
        if (write == m_calls.end()) {
            return;
        }
        const std::size_t index = write->second;
        m_calls.erase(write);
        run(WriteFinished{.change = index, .result = result});
    }

    void run(const ApplyEvent &event)
    {
        for (const ApplyAction &action : step(m_apply, event, Clock::now())) {
            std::visit(
                [this](const auto &each) {
                    perform(each);
                },
                action);
        }
        if (isFinished(m_apply)) {
            complete();
        }
    }

    void perform(const SendWrite &action)
    {
        const PlannedChange &change = m_plan.changes.at(action.change);
        m_calls.emplace(m_platform.write(change.object, change.value, change.write.base, m_deadline), action.change);
    }

    void perform(const SendRead &action)
    {
        m_calls.emplace(m_platform.list(m_plan.changes.at(action.change).object, m_deadline), action.change);
    }

    void complete()
    {
        for (std::size_t index = 0; index < m_apply.changes.size(); ++index) {
            m_report.changes.push_back({.change = m_apply.changes[index], .differences = m_plan.changes[index].differences, .conflictDifferences = {}});
        }
        m_report.result = resultOf(m_apply.changes);
        if (m_report.result != ChangeResult::Rejected && m_report.result != ChangeResult::NotKnown) {
            Q_EMIT q->finished(m_report);
            return;
        }
        m_isReadingConflicts = true;
        listAll(Clock::now() + ConflictReadTimeout);
    }

    void addConflictDifferences(const std::optional<PlatformObjects> &objects)
    {
        if (objects) {
            const StoredConfiguration stored = decodeStoredConfiguration(*objects);
            for (std::size_t index = 0; index < m_report.changes.size(); ++index) {
                if (m_report.changes[index].change.rejection == RejectionReason::Conflict) {
                    m_report.changes[index].conflictDifferences = differencesFromStored(stored, m_plan.changes[index].content);
                }
            }
        }
        Q_EMIT q->finished(m_report);
    }

    ChangeTask *q;
    PlatformTask &m_platform;
    ChangePlanner m_planner;
    TimePoint m_deadline;
    ChangePlan m_plan;
    Apply m_apply;
    ChangeReport m_report;
    PlatformCallId m_listCall = 0; ///< Zero if no list is in progress.
    std::map<PlatformCallId, std::size_t> m_calls; ///< Index of the change that a write or read is for.
    bool m_isReadingConflicts = false;
};

ChangeTask::ChangeTask(PlatformTask &platform, ChangePlanner planner, TimePoint deadline, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, platform, std::move(planner), deadline))
{
}

ChangeTask::~ChangeTask() = default;

void ChangeTask::start()
{
    d->listAll(d->m_deadline);
}

}
