#pragma once

#include "core/time.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QTimer>

#include <functional>

namespace Plantainweir {

/** Runs the event loop until @p condition holds; returns false if it does not hold within 30 seconds. */
inline bool waitUntil(const std::function<bool()> &condition)
{
    const TimePoint deadline = Clock::now() + std::chrono::seconds(30);
    // The timer wakes the loop regularly, so that a missing event leads to the timeout instead of an endless wait.
    QTimer pollTimer;
    pollTimer.start(std::chrono::milliseconds(5));
    while (!condition()) {
        if (Clock::now() > deadline) {
            return false;
        }
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents);
    }
    return true;
}

}
