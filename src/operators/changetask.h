#pragma once

#include "controllers/applycontroller.h"
#include "core/time.h"
#include "operators/changeplan.h"

#include <QObject>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Plantainweir {

class PlatformTask;

/** What became of the change of one object. */
struct ReportedChange {
    ObjectChange change;
    std::vector<Difference> differences; ///< What the change would do to the object as it was.
    std::vector<Difference> conflictDifferences; ///< How the platform's object differs from the rejected change now.
};

/** How an operator's change ended. */
enum class ChangeResult {
    Accepted, ///< Each object is as wanted.
    Failed, ///< The platform could not be reached; nothing was written.
    Invalid, ///< The wanted change does not fit what the platform holds; nothing was written.
    Rejected, ///< At least one object was not changed.
    NotKnown, ///< At least one object may or may not have been changed.
};

constexpr std::array<EnumName<ChangeResult>, 5> enumNames(ChangeResult)
{
    return {{
        {ChangeResult::Accepted, "accepted"},
        {ChangeResult::Failed, "failed"},
        {ChangeResult::Invalid, "invalid"},
        {ChangeResult::Rejected, "rejected"},
        {ChangeResult::NotKnown, "not_known"},
    }};
}
static_assert(isEnumTableOrdered<ChangeResult>());

struct ChangeReport {
    ChangeResult result = ChangeResult::Accepted;
    std::string error; ///< Why nothing was written, if failed or invalid.
    std::vector<ReportedChange> changes;
    std::vector<std::string> unchanged;
    std::vector<std::string> keptServices;
};

/** Works out the plan for what the platform holds. */
using ChangePlanner = std::function<Result<ChangePlan>(const StoredConfiguration &)>;

/**
 * Task that carries one operator's change through: reads what the platform holds, plans, writes, and settles lost
 * answers. Runs the steps of applycontroller.h.
 */
class ChangeTask : public QObject
{
    Q_OBJECT

public:
    /** @param deadline time by which finished() comes at the latest, but for a last read that explains a rejection. */
    ChangeTask(PlatformTask &platform, ChangePlanner planner, TimePoint deadline, QObject *parent = nullptr);
    ~ChangeTask() override;

    void start();

Q_SIGNALS:
    void finished(const ChangeReport &report);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
