#include "decision/peermemory.h"

#include <algorithm>
#include <tuple>

namespace Plantainweir {
namespace {

/** Added to the time of each holding, so that size decides between connections that have just come. */
constexpr std::chrono::milliseconds MinimumHoldingTime{100};
/** While others hold at most this part of the limit, one request may take all that is free. */
constexpr std::size_t CalmDivisor = 4;

bool mayGiveWay(const PeerHolding &holding, TimePoint now)
{
    switch (holding.activity) {
    case PeerActivity::Closing:
    case PeerActivity::Idle:
    case PeerActivity::Receiving:
        return true;
    case PeerActivity::Unread:
        return holding.readAt + UnreadTime <= now;
    case PeerActivity::Answering:
        break;
    }
    return false;
}

double weightOf(const PeerHolding &holding, TimePoint now)
{
    const Duration time = std::max(Duration(0), Duration(now - holding.since)) + MinimumHoldingTime;
    return static_cast<double>(holding.bytes) * toMilliseconds(time);
}

}

PeerRequestMeasure measureForRequest(std::size_t bytes, std::size_t held, std::size_t limit)
{
    const std::size_t free = limit - std::min(limit, held);
    const std::size_t most = held <= limit / CalmDivisor ? free : free / 2;
    return bytes > SmallRequestBytes && bytes > most ? PeerRequestMeasure::Refuse : PeerRequestMeasure::Accept;
}

std::vector<std::uint64_t> connectionsToRelease(std::vector<PeerHolding> holdings, std::size_t limit, TimePoint now)
{
    std::size_t held = 0;
    for (const PeerHolding &holding : holdings) {
        held += holding.bytes;
    }
    if (held <= limit) {
        return {};
    }
    // Without this border, a connection with little would go for its age while a crowd has just come.
    const std::size_t border = held / holdings.size() / 2;
    std::sort(holdings.begin(), holdings.end(), [now, border](const PeerHolding &left, const PeerHolding &right) {
        const bool isLeftLarge = left.bytes >= border;
        const bool isRightLarge = right.bytes >= border;
        return isLeftLarge != isRightLarge ? isLeftLarge : weightOf(left, now) > weightOf(right, now);
    });
    std::vector<std::uint64_t> released;
    for (const PeerHolding &holding : holdings) {
        if (held <= limit - limit / 4) {
            break;
        }
        released.push_back(holding.connection);
        held -= holding.bytes;
    }
    return released;
}

std::optional<std::uint64_t> connectionToReplace(const std::vector<PeerHolding> &holdings, TimePoint now)
{
    const PeerHolding *first = nullptr;
    for (const PeerHolding &holding : holdings) {
        const bool isBefore = first == nullptr || std::tie(holding.activity, holding.since) < std::tie(first->activity, first->since);
        if (isBefore && mayGiveWay(holding, now)) {
            first = &holding;
        }
    }
    return first == nullptr ? std::nullopt : std::optional(first->connection);
}

}
