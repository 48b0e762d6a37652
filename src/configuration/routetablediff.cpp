#include "configuration/routetablediff.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace Plantainweir {
namespace {

/** Bytes of a digest that are shown: enough to tell the keys of a configuration apart. */
constexpr std::size_t ShownDigestBytes = 6;

std::string describe(const KeyDigest &digest)
{
    std::string text;
    for (std::size_t index = 0; index < ShownDigestBytes; ++index) {
        text += fmt::format("{:02x}", digest[index]);
    }
    return text;
}

std::string describe(const std::vector<RouteTarget> &targets)
{
    std::string text;
    for (const RouteTarget &target : targets) {
        text += text.empty() ? "" : " + ";
        text += targets.size() == 1 ? target.service : fmt::format("{} x {}", target.service, target.weight);
    }
    return text;
}

std::string describeMatch(const Route &route)
{
    return route.host + route.pathPrefix;
}

std::string describe(const Route &route)
{
    return fmt::format("{} to {}, {}, timeout {} ms, target {} ms, priority {}, {} attempts{}",
                       describeMatch(route),
                       describe(route.targets),
                       nameOf(route.repeatability),
                       toMilliseconds(route.timeout),
                       toMilliseconds(route.target),
                       route.priority,
                       route.maximumAttempts,
                       route.isPublic ? ", public" : "");
}

std::string describe(const RoutedService &service)
{
    return fmt::format("health path {}, {} connections, {} cold calls a second", service.healthPath, service.connectionLimit, service.coldCallsPerSecond);
}

std::string describeQuota(const ClientAccount &account)
{
    return account.callsPerSecond > 0.0 ? fmt::format("{} calls a second, burst {}", account.callsPerSecond, account.burst) : "no quota";
}

std::string describe(const ClientAccount &account)
{
    std::string keys;
    for (const KeyDigest &key : account.keys) {
        keys += (keys.empty() ? "" : " ") + describe(key);
    }
    const std::string priority = account.priority ? fmt::format(", priority {}", *account.priority) : std::string();
    return fmt::format("keys [{}], {}{}", keys, describeQuota(account), priority);
}

std::string describe(const CallerLimits &limits)
{
    return fmt::format("header {} B in {} ms, body {} B, idle {} ms",
                       limits.headerBytes,
                       toMilliseconds(limits.headerTimeout),
                       limits.bodyBytes,
                       toMilliseconds(limits.idleTimeout));
}

/** Joins the texts that are not empty. */
std::string joined(const std::vector<std::string> &texts)
{
    std::string all;
    for (const std::string &text : texts) {
        all += all.empty() || text.empty() ? text : "; " + text;
    }
    return all;
}

std::string effectOf(const Route &before, const Route &after)
{
    const bool isMoved = describeMatch(before) != describeMatch(after);
    const bool isStricter = after.repeatability == Repeatability::AtMostOnce && before.repeatability != after.repeatability;
    return joined({
        isMoved ? fmt::format("calls to {} are no longer found on this route", describeMatch(before)) : "",
        before.targets != after.targets ? fmt::format("calls go to {}", describe(after.targets)) : "",
        after.timeout < before.timeout ? "calls are given up earlier" : "",
        before.isPublic && !after.isPublic ? "calls need a key" : "",
        isStricter ? "calls are not repeated after a failure" : "",
        !isStricter && before.repeatability != after.repeatability ? "calls may run more than once" : "",
    });
}

std::string effectOf(const ClientAccount &before, const ClientAccount &after)
{
    std::vector<std::string> texts;
    for (const KeyDigest &key : before.keys) {
        if (std::find(after.keys.begin(), after.keys.end(), key) == after.keys.end()) {
            texts.push_back(fmt::format("calls with the key {} are refused", describe(key)));
        }
    }
    const bool wasLimited = before.callsPerSecond > 0.0;
    const bool isLimited = after.callsPerSecond > 0.0;
    const bool isLower = isLimited && (!wasLimited || after.callsPerSecond < before.callsPerSecond || after.burst < before.burst);
    texts.emplace_back(isLower ? "fewer calls pass" : "");
    return joined(texts);
}

std::string effectOf(const RoutedService &before, const RoutedService &after)
{
    return after.connectionLimit < before.connectionLimit ? "fewer calls run at the same time" : "";
}

std::string effectOf(const CallerLimits &before, const CallerLimits &after)
{
    return joined({
        after.headerBytes < before.headerBytes ? "calls with larger headers are refused" : "",
        after.bodyBytes < before.bodyBytes ? "calls with larger bodies are refused" : "",
        after.headerTimeout < before.headerTimeout ? "callers that send slowly are refused earlier" : "",
        after.idleTimeout < before.idleTimeout ? "idle connections are closed earlier" : "",
    });
}

/** The words for an entry that is new, or gone. */
struct EntryWords {
    std::string prefix;
    std::string addedEffect;
    std::string removedEffect;
};

template<typename Entry>
void compare(const std::map<std::string, const Entry *> &before,
             const std::map<std::string, const Entry *> &after,
             const EntryWords &words,
             std::vector<RouteTableDifference> &found)
{
    for (const auto &[name, entry] : before) {
        const auto other = after.find(name);
        const std::string item = words.prefix + name;
        if (other == after.end()) {
            found.push_back({{.kind = DifferenceKind::Removed, .item = item, .before = describe(*entry), .after = {}}, words.removedEffect});
        } else if (!(*entry == *other->second)) {
            found.push_back({{.kind = DifferenceKind::Changed, .item = item, .before = describe(*entry), .after = describe(*other->second)},
                             effectOf(*entry, *other->second)});
        }
    }
    for (const auto &[name, entry] : after) {
        if (!before.contains(name)) {
            found.push_back({{.kind = DifferenceKind::Added, .item = words.prefix + name, .before = {}, .after = describe(*entry)}, words.addedEffect});
        }
    }
}

std::map<std::string, const Route *> byName(const std::vector<Route> &routes)
{
    std::map<std::string, const Route *> rows;
    for (const Route &route : routes) {
        rows.emplace(route.name, &route);
    }
    return rows;
}

template<typename Entry>
std::map<std::string, const Entry *> byName(const std::map<std::string, Entry, std::less<>> &entries)
{
    std::map<std::string, const Entry *> rows;
    for (const auto &[name, entry] : entries) {
        rows.emplace(name, &entry);
    }
    return rows;
}

}

std::vector<RouteTableDifference> differences(const RouteTable &before, const RouteTable &after)
{
    std::vector<RouteTableDifference> found;
    compare(byName(before.routes), byName(after.routes), {"route ", "calls are served that were not found before", "calls are refused as not found"}, found);
    compare(byName(before.services), byName(after.services), {"service ", "", ""}, found);
    compare(byName(before.accounts), byName(after.accounts), {"account ", "its calls are served", "its calls are refused"}, found);
    if (!(before.limits == after.limits)) {
        found.push_back({{.kind = DifferenceKind::Changed, .item = "limits", .before = describe(before.limits), .after = describe(after.limits)},
                         effectOf(before.limits, after.limits)});
    }
    return found;
}

}
