#include "creditfleet.h"
#include "exploration.h"

#include <gtest/gtest.h>

namespace Plantainweir {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t Interleavings = 24;
constexpr std::uint64_t AvailabilityRuns = 8;
constexpr std::size_t CalmFleetSize = 141;
constexpr CreditToleranceSettings Tolerance;
/** Clocks differ in pace, and sums are rounded. */
constexpr double CountingError = 1.001;

RouteTable makeTable(double accountFactor)
{
    RouteTable table;
    table.version = 1;
    table.accounts["large"] = {.name = "large", .callsPerSecond = 40.0 * accountFactor, .burst = 30.0 * accountFactor};
    table.accounts["small"] = {.name = "small", .callsPerSecond = 3.0 * accountFactor, .burst = 2.0 * accountFactor};
    table.accounts["calm"] = {.name = "calm", .callsPerSecond = 8.0 * accountFactor, .burst = 4.0 * accountFactor};
    table.services["desk"] = {.name = "desk", .coldCallsPerSecond = 5.0};
    return table;
}

CreditLine accountLine(const std::string &name)
{
    return {.kind = CreditKind::Account, .scope = name, .upstream = {}};
}

const CreditLine s_coldLine{.kind = CreditKind::ColdUpstream, .scope = "desk", .upstream = "i-1"};

/** What all VMs together may use in @p window. */
double allowedIn(const CreditTerms &terms, Duration window)
{
    return (terms.perSecond * std::chrono::duration<double>(window + CreditValidity).count() + terms.burst) * CountingError;
}

/** What the pages of the deployment allow in a window. */
double tolerated(const RouteTable &table, const CreditLine &line)
{
    if (line.kind == CreditKind::ColdUpstream) {
        return table.services.at(line.scope).coldCallsPerSecond * Tolerance.coldOver + Tolerance.coldSlack;
    }
    const ClientAccount &account = table.accounts.at(line.scope);
    const double seconds = std::chrono::duration<double>(Tolerance.quotaWindow).count();
    return (account.callsPerSecond * seconds + account.burst) * (1.0 + Tolerance.quotaOver) + Tolerance.quotaSlack;
}

/** A fleet under random faults, and the checks of the invariants. */
class Exploration
{
public:
    explicit Exploration(std::uint64_t seed)
        : m_fleet(seed, 100 + seed % 41, creditLimits(m_table, Tolerance))
    {
        m_fleet.addDemand({.line = accountLine("large"), .callsPerSecond = 120.0, .givenBackShare = 0.2});
        m_fleet.addDemand({.line = accountLine("small"), .callsPerSecond = 30.0, .givenBackShare = 0.2, .isHeld = true});
        m_fleet.addDemand({.line = accountLine("calm"), .callsPerSecond = 4.0});
        m_fleet.addDemand({.line = s_coldLine, .callsPerSecond = 40.0, .givenBackShare = 0.1, .isHeld = true});
    }

    std::optional<std::string> run()
    {
        // The last ten VMs are added later.
        m_initialSize = m_fleet.size() - 10;
        for (std::size_t index = 0; index < m_initialSize; ++index) {
            m_fleet.start(index);
        }
        watch(8s);
        drawNetwork();
        for (int fault = 0; fault < 30 && !m_failure; ++fault) {
            injectFault();
            watch(fromMilliseconds(m_fleet.number(20, 1500)));
        }
        endFaults();
        watch(20s);
        checkWindows();
        checkRecovery();
        return m_failure;
    }

private:
    void drawNetwork()
    {
        m_fleet.network = {.loss = m_fleet.number(0.0, 0.15), .duplication = m_fleet.number(0.0, 0.15), .longDelay = m_fleet.number(0.0, 0.1)};
    }

    /** A VM that joins while others are cut off may be unknown to them, and they to it. */
    double allowedShares() const
    {
        return 1.0 + static_cast<double>(m_joinedDuringCut) / static_cast<double>(m_initialSize) + 1e-9;
    }

    /** Lets time pass and checks the sum of the held shares meanwhile. */
    void watch(Duration duration)
    {
        const TimePoint end = m_fleet.now() + duration;
        while (m_fleet.now() < end && !m_failure) {
            m_fleet.advanceTo(std::min(end, m_fleet.now() + 50ms));
            const double held = m_fleet.heldShares();
            if (held > allowedShares()) {
                m_failure = "the held shares add up to " + std::to_string(held);
            }
        }
    }

    /** Faults hit keepers as often as all other VMs together. */
    std::size_t drawVm()
    {
        const std::vector<std::size_t> keepers = m_fleet.keepers();
        return !keepers.empty() && m_fleet.below(2) == 0 ? keepers[m_fleet.below(std::min<std::size_t>(3, keepers.size()))] : m_fleet.below(m_initialSize);
    }

    void injectFault()
    {
        const std::size_t index = drawVm();
        switch (m_fleet.below(9)) {
        case 0:
            m_fleet.kill(index);
            break;
        case 1: // Killed and started again.
            m_fleet.kill(index);
            m_fleet.start(index);
            break;
        case 2:
            m_fleet.pause(index, fromMilliseconds(m_fleet.number(50, 6000)));
            break;
        case 3:
            if (m_fleet.isRunning(index)) {
                m_fleet.leave(index);
            }
            break;
        case 4: // One VM is cut off.
            m_fleet.cut(index, ++m_lastSide);
            m_cut.push_back(index);
            break;
        case 5:
            partition();
            break;
        case 6:
            heal();
            break;
        case 7:
            restartStopped();
            break;
        default:
            grow();
            break;
        }
    }

    /** Cuts off a part of the fleet that contains the VMs that were cut off before. */
    void partition()
    {
        const int side = ++m_lastSide;
        const std::size_t size = 1 + m_fleet.below(m_initialSize / 2);
        const std::size_t first = m_fleet.below(m_initialSize);
        for (std::size_t offset = 0; offset < size; ++offset) {
            const std::size_t index = (first + offset) % m_initialSize;
            m_fleet.cut(index, side);
            m_cut.push_back(index);
        }
    }

    void heal()
    {
        for (const std::size_t index : m_cut) {
            m_fleet.cut(index, 0);
        }
        m_cut.clear();
    }

    void restartStopped()
    {
        for (std::size_t index = 0; index < m_initialSize; ++index) {
            if (!m_fleet.isRunning(index)) {
                m_fleet.start(index);
            }
        }
    }

    void grow()
    {
        if (m_initialSize < m_fleet.size()) {
            m_fleet.start(m_initialSize);
            ++m_initialSize;
            m_joinedDuringCut += m_cut.empty() ? 0 : 1;
        }
    }

    void endFaults()
    {
        heal();
        restartStopped();
        m_fleet.network = {};
        m_calmFrom = m_fleet.now() + 14s;
    }

    void checkWindows()
    {
        const std::vector<std::pair<CreditLine, std::size_t>> lines{
            {accountLine("large"), 0}, {accountLine("small"), 1}, {accountLine("calm"), 2}, {s_coldLine, 3}};
        for (const auto &[line, demand] : lines) {
            const CreditTerms terms = *termsOf(creditLimits(m_table, Tolerance), line);
            const Duration counted = line.kind == CreditKind::Account ? Tolerance.quotaWindow : Duration(1s);
            for (const Duration window : {Duration(200ms), Duration(1s), Duration(5s), Duration(15s)}) {
                const auto used = static_cast<double>(largestInWindow(m_fleet.useOf(demand).used, window));
                const bool isAbove = used > allowedIn(terms, window) || (window == counted && used > tolerated(m_table, line));
                if (isAbove && !m_failure) {
                    m_failure = line.scope + ": " + std::to_string(used) + " in " + std::to_string(toMilliseconds(window)) + " ms, allowed are "
                                + std::to_string(allowedIn(terms, window));
                }
            }
        }
    }

    /** After the faults, the whole credit is back. */
    void checkRecovery()
    {
        const double expected = static_cast<double>(m_fleet.runningCount()) / static_cast<double>(m_fleet.size());
        if (!m_failure && m_fleet.heldShares() < 0.97 * expected) {
            m_failure = "only " + std::to_string(m_fleet.heldShares()) + " of the shares are held after the faults, expected are " + std::to_string(expected);
        }
        const std::vector<TimePoint> &used = m_fleet.useOf(0).used;
        const auto recent = static_cast<double>(used.end() - std::lower_bound(used.begin(), used.end(), m_calmFrom));
        const double seconds = std::chrono::duration<double>(m_fleet.now() - m_calmFrom).count();
        const double granted = termsOf(creditLimits(m_table, Tolerance), accountLine("large"))->perSecond * seconds * expected;
        if (!m_failure && recent < 0.85 * granted) {
            m_failure = "only " + std::to_string(recent) + " credits were used after the faults, expected are " + std::to_string(granted);
        }
    }

    const RouteTable m_table = makeTable(1.0);
    CreditFleet m_fleet;
    std::size_t m_initialSize = 0;
    std::vector<std::size_t> m_cut;
    int m_lastSide = 0;
    int m_joinedDuringCut = 0;
    TimePoint m_calmFrom;
    std::optional<std::string> m_failure;
};

TEST(FleetCreditExploration, NoWindowExceedsItsBoundAndCreditReturns)
{
    const auto failures = explore("fleet credit", Interleavings, [](std::uint64_t seed) {
        return Exploration(seed).run();
    });
    EXPECT_TRUE(failures.empty()) << failures.size() << " of " << Interleavings << ", first: " << failures.front();
}

/** Lowers all limits to a quarter while the fleet is loaded. */
std::optional<std::string> lowerLimits(std::uint64_t seed)
{
    const RouteTable before = makeTable(1.0);
    const RouteTable after = makeTable(0.25);
    CreditFleet fleet(seed, 100, creditLimits(before, Tolerance));
    fleet.addDemand({.line = accountLine("large"), .callsPerSecond = 120.0});
    fleet.addDemand({.line = accountLine("small"), .callsPerSecond = 30.0});
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        fleet.start(index);
    }
    fleet.advanceBy(12s);
    const TimePoint inForce = fleet.changeLimits(creditLimits(after, Tolerance), 2500ms) + CreditValidity;
    fleet.advanceBy(15s);
    const std::vector<std::string> names{"large", "small"};
    for (std::size_t demand = 0; demand < names.size(); ++demand) {
        const auto used = static_cast<double>(largestInWindow(fleet.useOf(demand).used, Tolerance.quotaWindow, inForce));
        if (used > allowedIn(*termsOf(creditLimits(after, Tolerance), accountLine(names[demand])), Tolerance.quotaWindow)) {
            return names[demand] + ": " + std::to_string(used) + " in a window after the change";
        }
    }
    return std::nullopt;
}

TEST(FleetCreditExploration, ALoweredLimitHoldsOnceAllHaveIt)
{
    const auto failures = explore("lowered limits", AvailabilityRuns, lowerLimits);
    EXPECT_TRUE(failures.empty()) << failures.front();
}

/** Refused calls of accounts that ask for half of their quota. */
struct Refusals {
    double calm = 0.0;
    double keeperKilled = 0.0;
};

Refusals refusalsAtHalfQuota(std::uint64_t seed)
{
    RouteTable table;
    table.accounts["a"] = {.name = "a", .callsPerSecond = 4.0, .burst = 2.0};
    table.accounts["b"] = {.name = "b", .callsPerSecond = 80.0, .burst = 20.0};
    CreditFleet fleet(seed, CalmFleetSize, creditLimits(table, Tolerance));
    fleet.addDemand({.line = accountLine("a"), .callsPerSecond = 2.0});
    fleet.addDemand({.line = accountLine("b"), .callsPerSecond = 40.0});
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        fleet.start(index);
    }
    fleet.advanceBy(10s);
    Refusals refusals;
    const auto refusedShare = [&fleet](Duration duration) {
        fleet.resetCounts();
        fleet.advanceBy(duration);
        double share = 0.0;
        for (const std::size_t demand : {0U, 1U}) {
            const CreditUse &use = fleet.useOf(demand);
            share = std::max(share, static_cast<double>(use.refused) / static_cast<double>(std::max<std::size_t>(1, use.asked)));
        }
        return share;
    };
    refusals.calm = refusedShare(60s);
    fleet.kill(fleet.keepers().front());
    refusals.keeperKilled = refusedShare(10s);
    return refusals;
}

TEST(FleetCreditExploration, AnAccountAtHalfItsQuotaIsHardlyEverRefused)
{
    for (std::uint64_t seed = 1; seed <= AvailabilityRuns; ++seed) {
        const Refusals refusals = refusalsAtHalfQuota(seed);
        EXPECT_LT(refusals.calm, 1.0 / 200.0) << "seed " << seed;
        EXPECT_LT(refusals.keeperKilled, 1.0 / 20.0) << "seed " << seed;
    }
}

TEST(FleetCredit, ReckonsWithTheMembersThatTheStoreTells)
{
    std::mt19937_64 random(1);
    FleetCredit credit = makeFleetCredit("a", "z", 1, TimePoint(1h));
    const std::vector<CreditMember> members{{.name = "a", .availabilityZone = "z"}, {.name = "b", .availabilityZone = "z"}};
    step(credit, CreditMembersChanged{.members = members, .knowledge = FleetKnowledge::Unknown, .comparedFleetSize = 9}, TimePoint(1h), random);
    EXPECT_EQ(largestFleetSize(credit.delegator.fleetSize).size, 2U);
    step(credit, CreditMembersChanged{.members = members, .knowledge = FleetKnowledge::Settled, .comparedFleetSize = 7}, TimePoint(1h), random);
    EXPECT_EQ(largestFleetSize(credit.delegator.fleetSize).size, 7U);
    step(credit, CreditMembersChanged{.members = members, .knowledge = FleetKnowledge::Converged, .comparedFleetSize = 8}, TimePoint(1h + 30min), random);
    EXPECT_EQ(largestFleetSize(credit.delegator.fleetSize).size, 7U) << "a size that members tell each other again and again would count forever";
}

TEST(FleetCreditExploration, NothingIsSentWithoutLimits)
{
    CreditFleet fleet(1, 20, {});
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        fleet.start(index);
    }
    fleet.advanceBy(30s);
    EXPECT_EQ(fleet.sentMessages(), 0U);
}

}
}
