#include "tasks/credittask.h"

#include "core/suspendawareclock.h"

#include <QTimer>

namespace Plantainweir {

class CreditTask::Private
{
};

CreditTask::CreditTask(const CreditTaskSettings &, Metrics &, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>())
{
}

CreditTask::~CreditTask() = default;

bool CreditTask::listen()
{
    return true;
}

void CreditTask::setTable(const RouteTable &) {}

void CreditTask::setMembers(const std::vector<CreditMember> &, bool) {}

bool CreditTask::isLimited(const CreditLine &) const
{
    return false;
}

void CreditTask::request(CreditRequestId id, const CreditLine &, TimePoint)
{
    QTimer::singleShot(0, this, [this, id] {
        Q_EMIT decided(id, {.outcome = CreditOutcome::Unavailable, .retryAt = suspendAwareNow()});
    });
}

void CreditTask::cancel(CreditRequestId) {}

void CreditTask::giveBack(const CreditLine &, const CreditDecision &) {}

void CreditTask::leave() {}

}
