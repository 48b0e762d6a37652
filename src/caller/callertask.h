#pragma once

#include "caller/callreport.h"
#include "core/endpoint.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

struct CallerSettings {
    std::vector<Endpoint> entries; ///< Entry VMs to query for the first directory answer; later, those that the newest answer names are queried first.
    std::string caller = "plantainweir-call"; ///< Name by which entry VMs share their capacity fairly among callers.
    Duration timeout = std::chrono::seconds(2); ///< Timeout of a call; zero leaves the deadline to the work kind's target.
    Duration tryTimeout{}; ///< Timeout of one try, after which the caller tries another entry VM; zero for the timeout of the call.
    std::uint32_t maximumTries = 4;
};

/** A call to be sent. */
struct OutgoingCall {
    WorkMixEntry kind;
    std::string method = "POST";
    std::string target = "/"; ///< Request target that the upstream receives.
    std::string body;
    TimePoint dueAt; ///< Scheduled time of the call; its latency is measured from here.
};

/**
 * Task that sends calls by the rules of docs/CALLERS.md.
 *
 * Owns the connections to the entry VMs and caches the directory answers for their time to live. Each call ends with
 * exactly one finished().
 */
class CallerTask : public QObject
{
    Q_OBJECT

public:
    /** @param seed seeds the random bits of idempotency keys. */
    CallerTask(const CallerSettings &settings, std::uint64_t seed, QObject *parent = nullptr);
    ~CallerTask() override;

    void call(const OutgoingCall &call);

Q_SIGNALS:
    void finished(const FinishedCall &call);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
