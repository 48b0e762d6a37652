#pragma once

#include "core/time.h"

#include <QCoreApplication>
#include <QEventLoop>

#include <functional>

namespace Plantainweir {

/** Runs the event loop until @p condition holds; returns false if it does not hold within half a minute. */
inline bool waitUntil(const std::function<bool()> &condition)
{
    const TimePoint giveUpAt = Clock::now() + std::chrono::seconds(30);
    while (!condition()) {
        if (Clock::now() > giveUpAt) {
            return false;
        }
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents, 20);
    }
    return true;
}

}
