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

/** Result of the change of one object. */
struct ReportedChange {
    ObjectChange change;
    std::vector<Difference> differences; ///< Changes from the content stored at planning time to the desired content.
    std::vector<Difference> conflictDifferences; ///< After a conflict, changes from the content stored now to the desired content.
};

/** Result of an operator's change. */
enum class ChangeResult {
    Accepted, ///< Each object has the desired content.
    Failed, ///< The platform could not be reached; nothing was written.
    Invalid, ///< The change does not apply to the stored configuration; nothing was written.
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

/** Plans a change of the stored configuration. */
using ChangePlanner = std::function<Result<ChangePlan>(const StoredConfiguration &)>;

/**
 * Task that makes one operator's change: reads the stored configuration, plans, writes, and reads objects back whose
 * write was not answered. Runs the steps of applycontroller.h.
 */
class ChangeTask : public QObject
{
    Q_OBJECT

public:
    /** @param deadline by which finished() is emitted, except for the time of a last read that shows conflicts. */
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
