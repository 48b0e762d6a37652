#pragma once

#include "caller/callertask.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/** Calls to send in an open loop: each is due at its time, whether or not earlier ones are finished. */
struct LoadGeneratorSettings {
    std::vector<WorkMixEntry> mix;
    double callsPerSecond = 100.0;
    std::uint64_t count = 1;
    OutgoingCall prototype; ///< Method, target and body of each call; a target `/` is replaced by `/KIND`.
};

/** Task that sends calls through a CallerTask at random (Poisson) times. */
class LoadGeneratorTask : public QObject
{
    Q_OBJECT

public:
    /** @param caller must outlive this object; @param seed of the kinds and times. */
    LoadGeneratorTask(const LoadGeneratorSettings &settings, CallerTask *caller, std::uint64_t seed, QObject *parent = nullptr);
    ~LoadGeneratorTask() override;

    void start();
    /** Sends no further call; those on their way still finish. */
    void stop();

Q_SIGNALS:
    void callFinished(const FinishedCall &call);
    /** No further call is sent and each has its outcome. */
    void finished();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
