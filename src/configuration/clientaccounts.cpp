#include "configuration/clientaccounts.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace Plantainweir {
namespace {

constexpr std::size_t MaximumHeaderTextBytes = 256;

bool isLimit(double value)
{
    return std::isfinite(value) && value >= 0.0;
}

}

bool isHeaderText(std::string_view text)
{
    const bool isVisible = std::all_of(text.begin(), text.end(), [](char character) {
        return character > ' ' && character <= '~';
    });
    return !text.empty() && text.size() <= MaximumHeaderTextBytes && isVisible;
}

bool hasValidLimits(const ClientAccount &account)
{
    return isLimit(account.callsPerSecond) && isLimit(account.burst);
}

bool hasValidAccounts(const RouteTable &table)
{
    std::set<KeyDigest> keys;
    for (const auto &[name, account] : table.accounts) {
        if (name != account.name || !hasValidLimits(account) || (!account.keys.empty() && !isHeaderText(name))) {
            return false;
        }
        for (const KeyDigest &key : account.keys) {
            if (!keys.insert(key).second) {
                return false;
            }
        }
    }
    return true;
}

AccountIndex makeAccountIndex(const RouteTable &table)
{
    AccountIndex index;
    for (const auto &[name, account] : table.accounts) {
        for (const KeyDigest &key : account.keys) {
            index.emplace(key, &account);
        }
    }
    return index;
}

const ClientAccount *findAccount(const AccountIndex &index, const KeyDigest &digest)
{
    const auto found = index.find(digest);
    return found == index.end() ? nullptr : found->second;
}

}
