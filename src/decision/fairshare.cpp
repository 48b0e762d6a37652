#include "decision/fairshare.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace Plantainweir {
namespace {

/** Weight of the newest call in the scarcity. */
constexpr double ScarcityWeight = 0.1;
/** Time after which what the last call found counts less, and the time constant from then on. */
constexpr std::chrono::seconds ScarcityValidity{3};
constexpr std::chrono::seconds ScarcityTimeConstant{2};
/** Below this scarcity, waiting is enough; from the second value on, no account gets more than its share. */
constexpr double MinimumScarcity = 0.02;
constexpr double FullScarcity = 0.1;
/** Calls beyond its share that an account may send: small accounts have few calls at one entry VM, at irregular times. */
constexpr double ToleratedExcess = 2.0;
/** An account with less than this count is forgotten. */
constexpr double ForgottenCount = 0.01;
constexpr std::size_t MaximumAccounts = 1024;

double scarcityAt(const RankUse &rank, TimePoint now)
{
    const Duration outdated = std::max(Duration(0), Duration(now - rank.scarcityAt - ScarcityValidity));
    return rank.scarcity * std::exp(-toMilliseconds(outdated) / toMilliseconds(ScarcityTimeConstant));
}

void forgetIdleAccounts(RankUse &rank, TimePoint now)
{
    std::erase_if(rank.accounts, [now](const auto &row) {
        return countAt(row.second.sent, now) < ForgottenCount;
    });
}

struct Demand {
    double calls = 0.0;
    double weight = 1.0;
};

/** Returns the number of calls per weight at which max-min fair shares of @p demands add up to @p room. */
double fairLevel(std::vector<Demand> demands, double room)
{
    std::sort(demands.begin(), demands.end(), [](const Demand &left, const Demand &right) {
        return left.calls / left.weight < right.calls / right.weight;
    });
    double weight = 0.0;
    for (const Demand &demand : demands) {
        weight += demand.weight;
    }
    for (const Demand &demand : demands) {
        if (demand.calls / demand.weight * weight >= room) {
            break;
        }
        room -= demand.calls;
        weight -= demand.weight;
    }
    return weight > 0.0 ? std::max(0.0, room) / weight : std::max(0.0, room);
}

}

void recordSent(FairShares &shares, const AccountCall &call, TimePoint now)
{
    if (call.account.empty()) {
        return;
    }
    RankUse &rank = shares.ranks[call.priority];
    if (rank.accounts.size() >= MaximumAccounts && !rank.accounts.contains(call.account)) {
        forgetIdleAccounts(rank, now);
    }
    AccountUse &use = rank.accounts[call.account];
    use.weight = call.weight > 0.0 ? call.weight : 1.0;
    add(use.sent, now);
}

void recordRoom(FairShares &shares, std::uint32_t priority, Room room, TimePoint now)
{
    RankUse &rank = shares.ranks[priority];
    const double before = scarcityAt(rank, now);
    rank.scarcity = before + ScarcityWeight * ((room == Room::Available ? 0.0 : 1.0) - before);
    rank.scarcityAt = now;
}

void recordServed(FairShares &shares, std::uint32_t priority, TimePoint now)
{
    add(shares.ranks[priority].served, now);
}

double refusedShare(const FairShares &shares, const AccountCall &call, TimePoint now)
{
    const auto rank = shares.ranks.find(call.priority);
    const double scarcity = rank == shares.ranks.end() ? 0.0 : scarcityAt(rank->second, now);
    if (scarcity <= MinimumScarcity) {
        return 0.0;
    }
    const auto use = rank->second.accounts.find(call.account);
    if (use == rank->second.accounts.end()) {
        return 0.0;
    }
    std::vector<Demand> demands;
    demands.reserve(rank->second.accounts.size());
    for (const auto &[name, account] : rank->second.accounts) {
        demands.push_back({.calls = countAt(account.sent, now), .weight = account.weight});
    }
    const double fairCalls = fairLevel(std::move(demands), countAt(rank->second.served, now)) * use->second.weight;
    const double sent = countAt(use->second.sent, now);
    if (sent <= fairCalls + ToleratedExcess) {
        return 0.0;
    }
    const double urgency = std::min(1.0, (scarcity - MinimumScarcity) / (FullScarcity - MinimumScarcity));
    return urgency * (1.0 - fairCalls / sent);
}

double relativeUse(const FairShares &shares, const AccountCall &call, TimePoint now)
{
    const auto rank = shares.ranks.find(call.priority);
    if (rank == shares.ranks.end()) {
        return 0.0;
    }
    const auto use = rank->second.accounts.find(call.account);
    return use == rank->second.accounts.end() ? 0.0 : countAt(use->second.sent, now) / use->second.weight;
}

}
