#pragma once

#include "caller/callertask.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/** Open-loop load: each call is sent at its scheduled time, whether or not earlier ones have finished. */
struct LoadGeneratorSettings {
    std::vector<WorkMixEntry> mix;
    double callsPerSecond = 100.0;
    std::uint64_t count = 1;
    OutgoingCall prototype; ///< Method, target and body of each call; a target `/` is replaced by `/KIND`.
};

/** Task that generates calls with exponentially distributed intervals and sends them through a CallerTask. */
class LoadGeneratorTask : public QObject
{
    Q_OBJECT

public:
    /** @param caller must outlive this object; @param seed seeds the choice of kinds and times. */
    LoadGeneratorTask(const LoadGeneratorSettings &settings, CallerTask *caller, std::uint64_t seed, QObject *parent = nullptr);
    ~LoadGeneratorTask() override;

    void start();
    /** Sends no further call; the calls in flight still finish. */
    void stop();

Q_SIGNALS:
    void callFinished(const FinishedCall &call);
    /** No further call will be sent, and each call has its outcome. */
    void finished();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
