#pragma once

#include "core/enumnames.h"
#include "core/time.h"
#include "soak/soakhistory.h"

#include <memory>
#include <string>

namespace Plantainweir {

/** What a soak does to the fleet, the links, the upstreams and the store. */
enum class SoakFault {
    StoreLink, ///< A LinkFault between one entry VM and the store.
    UpstreamLink, ///< A LinkFault between all entry VMs and one upstream.
    StoreUnresponsive, ///< The store answers nobody.
    StoreBusy, ///< The store refuses everybody.
    WatchesDropped, ///< The store drops its history and all watches.
    EntryKilled,
    EntryPaused,
    UpstreamLost, ///< An upstream goes without a word, and another one comes.
    EntryRestarted, ///< Planned: an entry VM stops and starts again.
    UpstreamReplaced, ///< Planned: an upstream leaves, and another one comes.
    RouteChanged, ///< Planned: idempotent calls move to another service.
};

constexpr std::array<EnumName<SoakFault>, 11> enumNames(SoakFault)
{
    return {{
        {SoakFault::StoreLink, "store_link"},
        {SoakFault::UpstreamLink, "upstream_link"},
        {SoakFault::StoreUnresponsive, "store_silent"},
        {SoakFault::StoreBusy, "store_busy"},
        {SoakFault::WatchesDropped, "watches_cut"},
        {SoakFault::EntryKilled, "kill"},
        {SoakFault::EntryPaused, "pause"},
        {SoakFault::UpstreamLost, "upstream_lost"},
        {SoakFault::EntryRestarted, "terminate"},
        {SoakFault::UpstreamReplaced, "release"},
        {SoakFault::RouteChanged, "move"},
    }};
}
static_assert(isEnumTableOrdered<SoakFault>());

struct SoakSettings {
    std::uint64_t seed = 1;
    std::chrono::seconds duration{20}; ///< Of the faults; the start and the recovery come besides.
    std::size_t entries = 3;
    std::size_t upstreams = 4; ///< Of each of two services.
    double callsPerSecond = 30.0; ///< To each entry VM.
    bool isTimingChecked = true; ///< SoakHistory::isTimingChecked.
    std::string directory; ///< For the logs of the programs.
};

/**
 * Runs gatewayd as separate processes among a stand-in store and upstreams, injects faults from outside by a seed, in
 * series and overlapping, and judges what callers and upstreams saw. Ends all processes that it started.
 */
class Soak
{
public:
    explicit Soak(const SoakSettings &settings);
    ~Soak();

    /** Runs the event loop until all is over; returns what happened. */
    const SoakHistory &run();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
