#pragma once

#include "core/enumnames.h"
#include "core/time.h"
#include "soak/soakhistory.h"

#include <memory>
#include <string>

namespace Plantainweir {

/** Faults and planned changes that a soak injects. */
enum class SoakFault {
    StoreLink, ///< A LinkFault between one entry VM and the store.
    UpstreamLink, ///< A LinkFault between all entry VMs and one upstream.
    StoreUnresponsive, ///< The store accepts requests and answers none.
    StoreBusy, ///< The store answers each request with status 503.
    StoreAnswersLost, ///< Answers of the store are lost, and their connections stay silent; connections without a loss go on.
    WatchesDropped, ///< The store closes all watches and discards its history.
    EntryKilled,
    EntryPaused,
    UpstreamLost, ///< An upstream disappears without draining, and a new one is registered.
    EntryRestarted, ///< Planned: an entry VM stops gracefully and starts again.
    UpstreamReplaced, ///< Planned: an upstream drains, and a new one is registered.
    RouteChanged, ///< Planned: idempotent calls are routed to another service.
    ZoneEvacuated, ///< Planned: an availability zone of upstreams is emptied and taken back.
};

constexpr std::array<EnumName<SoakFault>, 13> enumNames(SoakFault)
{
    return {{
        {SoakFault::StoreLink, "store_link"},
        {SoakFault::UpstreamLink, "upstream_link"},
        {SoakFault::StoreUnresponsive, "store_silent"},
        {SoakFault::StoreBusy, "store_busy"},
        {SoakFault::StoreAnswersLost, "answers_lost"},
        {SoakFault::WatchesDropped, "watches_cut"},
        {SoakFault::EntryKilled, "kill"},
        {SoakFault::EntryPaused, "pause"},
        {SoakFault::UpstreamLost, "upstream_lost"},
        {SoakFault::EntryRestarted, "terminate"},
        {SoakFault::UpstreamReplaced, "release"},
        {SoakFault::RouteChanged, "move"},
        {SoakFault::ZoneEvacuated, "evacuate"},
    }};
}
static_assert(isEnumTableOrdered<SoakFault>());

struct SoakSettings {
    std::uint64_t seed = 1;
    std::chrono::seconds duration{20}; ///< Time in which faults are injected, without the start and the recovery.
    std::size_t entries = 3;
    std::size_t upstreams = 4; ///< Number of upstreams of each of the two services.
    double callsPerSecond = 30.0; ///< To each entry VM.
    bool isTimingChecked = true; ///< Whether time limits are checked, see SoakHistory.
    std::string directory; ///< Directory of the logs of the programs.
};

/**
 * Runs gatewayd processes with a fake store and fake upstreams, injects faults that a seed selects, one after the other
 * and overlapping, and checks what callers and upstreams saw. Ends all processes that it started.
 */
class Soak
{
public:
    explicit Soak(const SoakSettings &settings);
    ~Soak();

    /** Runs the event loop until the soak has ended; returns its history. */
    const SoakHistory &run();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
