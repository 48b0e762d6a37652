#pragma once

#include "caller/callreport.h"
#include "core/endpoint.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

struct CallerSettings {
    std::vector<Endpoint> entries; ///< Entry VMs whose directories are asked.
    std::string caller = "plantainweir-call"; ///< Name for fairness.
    Duration timeout = std::chrono::seconds(2); ///< Time of a call; zero leaves it to the work kind's target.
    Duration tryTimeout{}; ///< Time of one try before the caller tries elsewhere; zero for the whole call.
    std::uint32_t maximumTries = 4;
};

/** A call to be sent. */
struct OutgoingCall {
    WorkMixEntry kind;
    std::string method = "POST";
    std::string target = "/"; ///< What the upstream gets.
    std::string body;
    TimePoint dueAt; ///< Start of the call's latency.
};

/**
 * Task that sends calls as docs/CALLERS.md asks of callers.
 *
 * Owns the connections to the entry VMs and the directory answers, which it keeps for their time to live. Each call
 * ends with exactly one finished().
 */
class CallerTask : public QObject
{
    Q_OBJECT

public:
    /** @param seed of the keys' random bits. */
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
