#include "decision/timerqueue.h"

#include <algorithm>

namespace Plantainweir {
namespace {

bool isLater(const Timer &left, const Timer &right)
{
    return left.due > right.due;
}

}

void schedule(TimerQueue &queue, const Timer &timer)
{
    queue.timers.push_back(timer);
    std::push_heap(queue.timers.begin(), queue.timers.end(), isLater);
}

std::optional<Timer> popDue(TimerQueue &queue, TimePoint now)
{
    if (queue.timers.empty() || queue.timers.front().due > now) {
        return std::nullopt;
    }
    std::pop_heap(queue.timers.begin(), queue.timers.end(), isLater);
    const Timer timer = queue.timers.back();
    queue.timers.pop_back();
    return timer;
}

}
