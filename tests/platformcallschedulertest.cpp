#include "controllers/platformcallscheduler.h"

#include <gtest/gtest.h>

namespace Plantainweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start = TimePoint(std::chrono::hours(1));
constexpr TimePoint Never = TimePoint::max();

/** A scheduler in virtual time. */
class Harness
{
public:
    explicit Harness(const PlatformCallSchedulerSettings &settings, std::uint64_t seed = 1)
        : m_settings(settings)
        , m_random(seed)
    {
    }

    void run(const PlatformCallSchedulerEvent &event)
    {
        timer.reset();
        for (const PlatformCallSchedulerAction &action : step(scheduler, m_settings, event, now, m_random)) {
            if (const auto *send = std::get_if<SendPlatformCall>(&action)) {
                sent.push_back(send->id);
            } else if (const auto *reject = std::get_if<RejectPlatformCall>(&action)) {
                rejected.push_back(reject->reason);
            } else {
                timer = std::get<SchedulePlatformTimer>(action).at;
            }
        }
    }

    void submit(PlatformCallId id, PlatformCallKind kind = PlatformCallKind::Read, TimePoint deadline = Never)
    {
        run(PlatformCallSubmitted{.id = id, .kind = kind, .deadline = deadline});
    }

    /** Advances the time to the scheduled timer and fires it; returns whether there was one. */
    bool fireTimer()
    {
        if (!timer) {
            return false;
        }
        now = *timer;
        run(PlatformTimerFired{});
        return true;
    }

    PlatformCallScheduler scheduler;
    TimePoint now = Start;
    std::vector<PlatformCallId> sent;
    std::vector<PlatformRejection> rejected;
    std::optional<TimePoint> timer;

private:
    PlatformCallSchedulerSettings m_settings;
    std::mt19937_64 m_random;
};

TEST(PlatformCallScheduler, KeepsTheRateAndTheBurst)
{
    Harness harness({.callsPerSecond = 10.0, .burst = 3, .maximumCallsInFlight = 1000, .queueLimit = 1000});
    for (PlatformCallId id = 1; id <= 100; ++id) {
        harness.submit(id);
    }
    EXPECT_EQ(harness.sent.size(), 3U);
    while (harness.sent.size() < 100 && harness.fireTimer()) {
    }
    EXPECT_EQ(harness.sent.size(), 100U);
    EXPECT_EQ(harness.now - Start, milliseconds(100) * 97);
}

TEST(PlatformCallScheduler, SendsByPriorityAndBoundsCallsInFlight)
{
    Harness harness({.callsPerSecond = 1000.0, .burst = 100, .maximumCallsInFlight = 1, .queueLimit = 3});
    harness.submit(1);
    harness.submit(2, PlatformCallKind::VirtualMachineList);
    harness.submit(3, PlatformCallKind::Read);
    harness.submit(4, PlatformCallKind::Write);
    harness.submit(5, PlatformCallKind::Write);
    EXPECT_EQ(harness.rejected, std::vector{PlatformRejection::QueueFull});
    for (const PlatformCallId id : {1, 4, 3, 2}) {
        harness.run(PlatformCallFinished{.id = id, .isAnswered = true});
    }
    EXPECT_EQ(harness.sent, (std::vector<PlatformCallId>{1, 4, 3, 2}));
}

TEST(PlatformCallScheduler, RejectsCallsPastTheirDeadline)
{
    Harness harness({.callsPerSecond = 1.0, .burst = 1});
    harness.submit(1);
    harness.submit(2, PlatformCallKind::Read, Start + milliseconds(100));
    EXPECT_TRUE(harness.fireTimer());
    EXPECT_EQ(harness.now, Start + milliseconds(100));
    EXPECT_EQ(harness.rejected, std::vector{PlatformRejection::DeadlinePassed});
}

TEST(PlatformCallScheduler, BreakerOpensSendsOneTrialCallAndCloses)
{
    Harness harness({.callsPerSecond = 1000.0, .burst = 100, .failuresToOpen = 2});
    for (PlatformCallId id = 1; id <= 2; ++id) {
        harness.submit(id);
        harness.fireTimer();
        harness.run(PlatformCallFinished{.id = id, .isAnswered = false});
    }
    EXPECT_EQ(harness.scheduler.breaker, BreakerState::Open);
    harness.submit(3);
    harness.submit(4);
    EXPECT_EQ(harness.sent.size(), 2U);
    EXPECT_TRUE(harness.fireTimer());
    EXPECT_EQ(harness.scheduler.breaker, BreakerState::HalfOpen);
    EXPECT_EQ(harness.sent.size(), 3U);
    EXPECT_FALSE(harness.timer.has_value() && *harness.timer < Never);
    harness.run(PlatformCallFinished{.id = 3, .isAnswered = true});
    EXPECT_EQ(harness.scheduler.breaker, BreakerState::Closed);
    EXPECT_EQ(harness.sent.size(), 4U);
}

TEST(PlatformCallScheduler, CallFromBeforeTheOutageDoesNotDelayTheTrialCall)
{
    Harness harness({.callsPerSecond = 1000.0, .burst = 100, .maximumCallsInFlight = 2, .failuresToOpen = 1});
    harness.submit(1, PlatformCallKind::Watch);
    harness.submit(2);
    harness.run(PlatformCallFinished{.id = 2, .isAnswered = false});
    harness.submit(3);
    harness.fireTimer();
    EXPECT_EQ(harness.scheduler.trial, PlatformCallId(3));
    harness.run(PlatformCallFinished{.id = 1, .isAnswered = false});
    EXPECT_EQ(harness.scheduler.breaker, BreakerState::HalfOpen);
    harness.run(PlatformCallFinished{.id = 3, .isAnswered = false});
    EXPECT_EQ(harness.scheduler.breaker, BreakerState::Open);
}

TEST(PlatformCallScheduler, OutageCausesFewCallsAndBackoffsDiffer)
{
    const PlatformCallSchedulerSettings settings;
    std::vector<TimePoint> ends;
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        Harness harness(settings, seed);
        PlatformCallId id = 1;
        harness.submit(id);
        while (harness.now < Start + std::chrono::hours(1)) {
            if (harness.sent.size() == id) {
                harness.run(PlatformCallFinished{.id = id, .isAnswered = false});
                harness.submit(++id);
                EXPECT_LE(harness.scheduler.backoffUntil - harness.now, settings.maximumBackoff);
            }
            harness.fireTimer();
        }
        // With jitter the average backoff is half of the maximum.
        EXPECT_LT(harness.sent.size(), static_cast<std::size_t>(seconds(3600) / (settings.maximumBackoff / 4)));
        EXPECT_GT(harness.sent.size(), static_cast<std::size_t>(seconds(3600) / settings.maximumBackoff));
        ends.push_back(harness.now);
    }
    EXPECT_NE(ends[0], ends[1]);
}

}
}
