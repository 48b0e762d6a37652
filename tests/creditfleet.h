#pragma once

#include "controllers/fleetcredit.h"

#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace Plantainweir {

/** One limit in a CreditFleet and the calls for it. */
struct CreditDemand {
    CreditLine line;
    double callsPerSecond = 0.0; ///< From all VMs together, at random times; zero for none.
    double givenBackShare = 0.0; ///< Part of the credits that are given back instead of used.
    bool isHeld = false; ///< Whether credit is kept for a random time, possibly beyond its end, before it is used.
};

/** What became of the calls of one limit. */
struct CreditUse {
    std::vector<TimePoint> used; ///< When credit was used, in real time.
    std::size_t asked = 0;
    std::size_t refused = 0;
};

/** Probabilities of what the network does to a message. */
struct CreditNetwork {
    double loss = 0.0;
    double duplication = 0.0;
    double longDelay = 0.0; ///< Probability of a delay of up to @ref longestDelay.
    Duration longestDelay = std::chrono::seconds(3);
};

/** Fleet of members that share limits, in virtual time, with the messages between them and faults. */
class CreditFleet
{
public:
    CreditFleet(std::uint64_t seed, std::size_t size, const CreditLimits &limits)
        : m_random(seed)
        , m_limits(limits)
        , m_vms(size)
    {
        for (std::size_t index = 0; index < size; ++index) {
            m_vms[index].pace = 1.0 + number(-200.0, 200.0) * 1e-6;
            m_vms[index].offset = fromMilliseconds(number(1.0, 1e9));
        }
    }

    void addDemand(const CreditDemand &demand)
    {
        m_demands.push_back({.demand = demand});
        scheduleDemand(m_demands.size() - 1);
    }

    void start(std::size_t index)
    {
        Vm &vm = m_vms[index];
        ++vm.run;
        vm.isRunning = true;
        vm.pausedUntil = {};
        vm.credit = makeFleetCredit(nameOfVm(index), zoneOf(index), m_random() | 1U, localNow(vm));
        vm.view = {index};
        vm.largestView = 1;
        vm.knowledge = FleetKnowledge::Unknown;
        vm.open.clear();
        publishView(index);
        feed(index, CreditLimitsChanged{m_limits});
        schedule(m_now + fromMilliseconds(number(50, 1500)), [this, index, run = vm.run] {
            if (m_vms[index].run == run) {
                learnAll(index);
            }
        });
        announce(index, 0.0, 1500.0);
    }

    /** Kills the process; the others notice after some seconds. */
    void kill(std::size_t index)
    {
        m_vms[index].isRunning = false;
        ++m_vms[index].run;
        announce(index, 4000.0, 9000.0);
    }

    /** Stops the process as planned. */
    void leave(std::size_t index)
    {
        feed(index, CreditLeaveRequested{});
        m_vms[index].isLeaving = true;
        announce(index, 0.0, 400.0);
        schedule(m_now + std::chrono::seconds(2), [this, index, run = m_vms[index].run] {
            if (m_vms[index].run == run) {
                kill(index);
                m_vms[index].isLeaving = false;
            }
        });
    }

    void pause(std::size_t index, Duration duration)
    {
        m_vms[index].pausedUntil = std::max(m_vms[index].pausedUntil, m_now + duration);
    }

    /** Moves the VM to another side of a partition. */
    void cut(std::size_t index, int side)
    {
        m_vms[index].side = side;
        announce(index, 1000.0, 8000.0);
        for (std::size_t other = 0; other < m_vms.size(); ++other) {
            scheduleView(index, other, number(1000.0, 8000.0));
        }
    }

    /** Puts @p limits into force on each VM within @p spread; returns when the last one has them. */
    TimePoint changeLimits(const CreditLimits &limits, Duration spread)
    {
        m_limits = limits;
        for (std::size_t index = 0; index < m_vms.size(); ++index) {
            schedule(m_now + fromMilliseconds(number(0.0, toMilliseconds(spread))), [this, index, limits, run = m_vms[index].run] {
                if (m_vms[index].isRunning && m_vms[index].run == run) {
                    feed(index, CreditLimitsChanged{limits});
                }
            });
        }
        return m_now + spread;
    }

    void advanceTo(TimePoint end)
    {
        while (!m_queue.empty() && m_queue.top().at <= end) {
            const Scheduled next = m_queue.top();
            m_queue.pop();
            m_now = next.at;
            next.run();
        }
        m_now = end;
    }

    void advanceBy(Duration duration)
    {
        advanceTo(m_now + duration);
    }

    /** Returns the sum of the shares that all running processes hold. */
    double heldShares() const
    {
        double sum = 0.0;
        for (const Vm &vm : m_vms) {
            sum += vm.isRunning ? heldShare(vm.credit.keeper, localNow(vm)) : 0.0;
        }
        return sum;
    }

    /** Returns the running VMs that hold shares, those that hold most first. */
    std::vector<std::size_t> keepers() const
    {
        std::vector<std::size_t> indices;
        for (std::size_t index = 0; index < m_vms.size(); ++index) {
            if (m_vms[index].isRunning && shareOf(index) > 0.0) {
                indices.push_back(index);
            }
        }
        std::sort(indices.begin(), indices.end(), [this](std::size_t left, std::size_t right) {
            return shareOf(left) > shareOf(right);
        });
        return indices;
    }

    double number(double minimum, double maximum)
    {
        return std::uniform_real_distribution<double>(minimum, maximum)(m_random);
    }

    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
    }

    bool isRunning(std::size_t index) const
    {
        return m_vms[index].isRunning;
    }

    std::size_t runningCount() const
    {
        return static_cast<std::size_t>(std::count_if(m_vms.begin(), m_vms.end(), [](const Vm &vm) {
            return vm.isRunning;
        }));
    }

    std::size_t size() const
    {
        return m_vms.size();
    }

    std::size_t sentMessages() const
    {
        return m_sentMessages;
    }

    TimePoint now() const
    {
        return m_now;
    }

    const CreditUse &useOf(std::size_t demand) const
    {
        return m_demands[demand].use;
    }

    /** Forgets the numbers of asked and refused calls. */
    void resetCounts()
    {
        for (Demand &demand : m_demands) {
            demand.use.asked = 0;
            demand.use.refused = 0;
        }
    }

    CreditNetwork network;

private:
    struct Vm {
        FleetCredit credit;
        std::uint64_t run = 0; ///< Counts the starts and ends of the process.
        bool isRunning = false;
        bool isLeaving = false;
        TimePoint pausedUntil;
        int side = 0; ///< Of a partition.
        double pace = 1.0;
        Duration offset{};
        std::set<std::size_t> view; ///< VMs that it considers live.
        std::size_t largestView = 0;
        TimePoint convergesAt;
        FleetKnowledge knowledge = FleetKnowledge::Unknown;
        std::map<CreditRequestId, std::size_t> open; ///< Demand of each request that is not decided.
    };

    struct Demand {
        CreditDemand demand;
        CreditUse use;
    };

    struct Scheduled {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator<(const Scheduled &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    static std::string nameOfVm(std::size_t index)
    {
        return "vm-" + std::to_string(index);
    }

    static std::string zoneOf(std::size_t index)
    {
        return std::string(1, static_cast<char>('a' + index % 3));
    }

    CreditMember memberOf(std::size_t index) const
    {
        // Six VMs are larger than the others.
        return {.name = nameOfVm(index),
                .availabilityZone = zoneOf(index),
                .creditEndpoint = {.address = "10.0.0.1", .port = static_cast<std::uint16_t>(index)},
                .capacity = index < 6 ? 500U : 100U,
                .isLeaving = m_vms[index].isLeaving};
    }

    TimePoint localNow(const Vm &vm) const
    {
        return TimePoint(vm.offset + fromMilliseconds(toMilliseconds(m_now.time_since_epoch()) * vm.pace));
    }

    /** Returns the sum of the shares that @p keeper holds at @p now, without the sum that it keeps itself. */
    static double heldShare(const CreditKeeper &keeper, TimePoint now)
    {
        double sum = 0.0;
        for (const auto &[instance, share] : keeper.shares) {
            sum += share.deadline > now ? share.share : 0.0;
        }
        return sum;
    }

    double shareOf(std::size_t index) const
    {
        return heldShare(m_vms[index].credit.keeper, localNow(m_vms[index]));
    }

    void schedule(TimePoint at, std::function<void()> run)
    {
        m_queue.push({.at = at, .order = ++m_order, .run = std::move(run)});
    }

    bool isReachable(std::size_t from, std::size_t to) const
    {
        return m_vms[from].side == m_vms[to].side;
    }

    /** Lets each other VM find out after a random time whether the VM is live. */
    void announce(std::size_t index, double minimum, double maximum)
    {
        for (std::size_t other = 0; other < m_vms.size(); ++other) {
            if (other != index) {
                scheduleView(other, index, number(minimum, maximum));
            }
        }
    }

    void scheduleView(std::size_t observer, std::size_t index, double milliseconds)
    {
        schedule(m_now + fromMilliseconds(milliseconds), [this, observer, index] {
            Vm &vm = m_vms[observer];
            if (!vm.isRunning || observer == index) {
                return;
            }
            const bool isLive = m_vms[index].isRunning && isReachable(observer, index);
            const bool isChanged = isLive ? vm.view.insert(index).second : vm.view.erase(index) > 0;
            if (isChanged || m_vms[index].isLeaving) {
                publishView(observer);
            }
        });
    }

    void learnAll(std::size_t index)
    {
        for (std::size_t other = 0; other < m_vms.size(); ++other) {
            if (m_vms[other].isRunning && isReachable(index, other)) {
                m_vms[index].view.insert(other);
            }
        }
        publishView(index);
    }

    /** Raises the knowledge of the VM after @p time, unless it finds more members before. */
    void scheduleKnowledge(std::size_t index, FleetKnowledge knowledge, Duration time)
    {
        const Vm &vm = m_vms[index];
        schedule(m_now + time, [this, index, knowledge, expected = vm.convergesAt, run = vm.run] {
            if (m_vms[index].run == run && m_vms[index].convergesAt == expected && m_vms[index].knowledge < knowledge) {
                m_vms[index].knowledge = knowledge;
                publishView(index);
            }
        });
    }

    /** The members have found each other once no more have been found for three seconds, and probably have after one. */
    void publishView(std::size_t index)
    {
        Vm &vm = m_vms[index];
        if (vm.view.size() > vm.largestView) {
            vm.largestView = vm.view.size();
            vm.convergesAt = m_now + std::chrono::seconds(3);
            scheduleKnowledge(index, FleetKnowledge::Settled, std::chrono::seconds(1));
            scheduleKnowledge(index, FleetKnowledge::Converged, std::chrono::seconds(3));
        }
        std::vector<CreditMember> members;
        for (const std::size_t member : vm.view) {
            members.push_back(memberOf(member));
        }
        feed(index, CreditMembersChanged{members, vm.knowledge});
    }

    void feed(std::size_t index, const CreditEvent &event)
    {
        Vm &vm = m_vms[index];
        if (!vm.isRunning) {
            return;
        }
        if (vm.pausedUntil > m_now) {
            schedule(vm.pausedUntil, [this, index, event, run = vm.run] {
                if (m_vms[index].run == run) {
                    feed(index, event);
                }
            });
            return;
        }
        const CreditActions actions = step(vm.credit, event, localNow(vm), m_random);
        for (const OutgoingCreditMessage &outgoing : actions.messages) {
            send(index, outgoing);
        }
        for (const DecidedRequest &decided : actions.decisions) {
            handleDecision(index, decided);
        }
        scheduleTimer(index);
    }

    void scheduleTimer(std::size_t index)
    {
        Vm &vm = m_vms[index];
        const auto next = nextDeadline(vm.credit);
        if (!next) {
            return;
        }
        const Duration wait = std::max(Duration(0), Duration(*next - localNow(vm))) + std::chrono::microseconds(500);
        const TimePoint at = m_now + wait;
        auto &due = m_timers[index];
        if (due.first == vm.run && due.second <= at && due.second > m_now) {
            return;
        }
        due = {vm.run, at};
        schedule(at, [this, index, at, run = vm.run] {
            if (m_vms[index].run == run && m_timers[index] == std::make_pair(run, at)) {
                feed(index, CreditTimerFired{});
            }
        });
    }

    void send(std::size_t from, const OutgoingCreditMessage &outgoing)
    {
        ++m_sentMessages;
        const std::size_t to = outgoing.to.port;
        const std::size_t copies = number(0.0, 1.0) < network.duplication ? 2 : 1;
        for (std::size_t copy = 0; copy < copies; ++copy) {
            if (number(0.0, 1.0) < network.loss) {
                continue;
            }
            const bool isDelayed = number(0.0, 1.0) < network.longDelay;
            const Duration delay
                = fromMilliseconds(number(0.3, 2.5)) + (isDelayed ? fromMilliseconds(number(0.0, toMilliseconds(network.longestDelay))) : Duration(0));
            schedule(m_now + delay, [this, from, to, message = outgoing.message] {
                if (isReachable(from, to)) {
                    feed(to, CreditMessageReceived{.from = {.address = "10.0.0.1", .port = static_cast<std::uint16_t>(from)}, .message = message});
                }
            });
        }
    }

    void scheduleDemand(std::size_t demand)
    {
        const double rate = m_demands[demand].demand.callsPerSecond;
        if (rate <= 0.0) {
            return;
        }
        const double seconds = std::exponential_distribution<double>(rate)(m_random);
        schedule(m_now + fromMilliseconds(seconds * 1000.0), [this, demand] {
            requestCredit(demand);
            scheduleDemand(demand);
        });
    }

    void requestCredit(std::size_t demand)
    {
        const std::size_t index = below(m_vms.size());
        Vm &vm = m_vms[index];
        if (!vm.isRunning) {
            return;
        }
        ++m_demands[demand].use.asked;
        const CreditRequestId id = ++m_lastRequest;
        vm.open.emplace(id, demand);
        feed(index, CreditRequested{.id = id, .line = m_demands[demand].demand.line, .deadline = localNow(vm) + std::chrono::seconds(2)});
    }

    void handleDecision(std::size_t index, const DecidedRequest &decided)
    {
        Vm &vm = m_vms[index];
        const std::size_t demand = vm.open.at(decided.id);
        vm.open.erase(decided.id);
        if (decided.decision.outcome != CreditOutcome::Granted) {
            ++m_demands[demand].use.refused;
            return;
        }
        const CreditDemand &terms = m_demands[demand].demand;
        const bool isGivenBack = number(0.0, 1.0) < terms.givenBackShare;
        const Duration wait = terms.isHeld || isGivenBack ? fromMilliseconds(number(0.0, 350.0)) : Duration(0);
        if (isGivenBack) {
            schedule(m_now + wait, [this, index, run = vm.run, credit = decided.decision.credit] {
                if (m_vms[index].run == run) {
                    feed(index, CreditGivenBack{credit});
                }
            });
            return;
        }
        if (wait == Duration(0)) {
            m_demands[demand].use.used.push_back(m_now);
            return;
        }
        schedule(m_now + wait, [this, index, demand, run = vm.run, usableUntil = decided.decision.usableUntil] {
            const Vm &user = m_vms[index];
            if (user.run == run && user.pausedUntil <= m_now && localNow(user) < usableUntil) {
                m_demands[demand].use.used.push_back(m_now);
            }
        });
    }

    std::mt19937_64 m_random;
    CreditLimits m_limits;
    std::vector<Vm> m_vms;
    std::vector<Demand> m_demands;
    std::map<std::size_t, std::pair<std::uint64_t, TimePoint>> m_timers; ///< Run and time of the newest timer of each VM.
    std::priority_queue<Scheduled> m_queue;
    std::uint64_t m_order = 0;
    std::uint64_t m_lastRequest = 0;
    std::size_t m_sentMessages = 0;
    TimePoint m_now{std::chrono::seconds(1)};
};

/** Returns the largest number of @p times in any window of length @p window. */
inline std::size_t largestInWindow(const std::vector<TimePoint> &times, Duration window, TimePoint from = {})
{
    std::size_t largest = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[first] < from || times[last] - times[first] > window) {
            ++first;
            if (first > last) {
                break;
            }
        }
        largest = first <= last ? std::max(largest, last - first + 1) : largest;
    }
    return largest;
}

}
