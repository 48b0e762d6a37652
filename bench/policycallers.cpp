#include "policycallers.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace Plantainweir {
namespace {

constexpr double CallerSkew = 0.8;
constexpr double MisdirectedShare = 0.005;
constexpr std::chrono::seconds DirectoryTimeToLive{2};
constexpr std::size_t AddressesInAnswer = 4;

/** Returns a Zipf distribution over the callers, by which a few of them send much of the load. */
std::discrete_distribution<std::size_t> callerPopularity(std::size_t callers)
{
    std::vector<double> weights;
    for (std::size_t caller = 0; caller < callers; ++caller) {
        weights.push_back(1.0 / std::pow(static_cast<double>(caller + 1), CallerSkew));
    }
    return {weights.begin(), weights.end()};
}

Duration sampleServiceTime(std::mt19937_64 &random)
{
    const bool isSlow = std::bernoulli_distribution(SlowServiceShare)(random);
    std::exponential_distribution<double> milliseconds(1.0 / (isSlow ? SlowServiceMilliseconds : FastServiceMilliseconds));
    return fromMilliseconds(milliseconds(random));
}

/** A Poisson stream of calls of one rank to one service. */
struct Stream {
    std::size_t service = 0;
    Rank rank = Rank::Low;
    double callsPerSecond = 0.0;
    Duration start{};
    Duration end{};
    std::size_t firstCaller = 0;
    std::size_t callers = 0;
};

void addStream(std::vector<Arrival> &arrivals, const Stream &stream, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(stream.callsPerSecond / 1000.0);
    auto popularity = callerPopularity(stream.callers);
    std::bernoulli_distribution misdirected(MisdirectedShare);
    Duration at = stream.start + fromMilliseconds(gap(random));
    while (at < stream.end) {
        arrivals.push_back({
            .sentAt = TimePoint{} + at,
            .service = stream.service,
            .rank = stream.rank,
            .caller = stream.firstCaller + popularity(random),
            .serviceTime = sampleServiceTime(random),
            .isMisdirected = misdirected(random),
        });
        at += fromMilliseconds(gap(random));
    }
}

}

std::vector<Arrival> makeArrivals(const DeploymentModel &model, const ScenarioPlan &plan, std::uint64_t seed)
{
    std::vector<Arrival> arrivals;
    std::mt19937_64 seeds(seed);
    for (std::size_t service = 0; service < model.services.size(); ++service) {
        const double capacity = capacityPerSecond(model.services[service]);
        for (std::size_t rank = 0; rank < enumCount<Rank>(); ++rank) {
            const double rate = capacity * plan.load * model.services[service].shares[rank];
            const Stream usual{.service = service, .rank = static_cast<Rank>(rank), .callsPerSecond = rate, .end = plan.duration, .callers = UsualCallers};
            addStream(arrivals, usual, seeds());
        }
        const std::uint64_t floodSeed = seeds();
        if (plan.flood) {
            const Stream flood{.service = service,
                               .rank = plan.flood->rank,
                               .callsPerSecond = capacity * plan.flood->factor,
                               .start = plan.windowStart,
                               .end = plan.windowEnd,
                               .firstCaller = UsualCallers,
                               .callers = FloodCallers};
            addStream(arrivals, flood, floodSeed);
        }
    }
    std::stable_sort(arrivals.begin(), arrivals.end(), [](const Arrival &left, const Arrival &right) {
        return left.sentAt < right.sentAt;
    });
    return arrivals;
}

DirectoryAnswer queryDirectory(std::size_t caller, std::size_t queried, std::vector<std::size_t> owners, const std::vector<bool> &isMember, TimePoint now)
{
    DirectoryAnswer answer{.expiresAt = now + DirectoryTimeToLive, .addresses = std::move(owners)};
    const std::size_t stride = caller % 7 + 1;
    for (std::size_t offset = 0; answer.addresses.size() < AddressesInAnswer; ++offset) {
        const std::size_t candidate = (queried + offset * stride) % isMember.size();
        if (isMember[candidate]) {
            answer.addresses.push_back(candidate);
        }
    }
    return answer;
}

}
