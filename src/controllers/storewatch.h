#pragma once

#include "core/enumnames.h"
#include "core/time.h"

#include <cstdint>
#include <random>
#include <string>
#include <variant>
#include <vector>

/**
 * Follows all objects of one kind in the platform's store: lists them, then watches for changes; lists again when the
 * store has dropped the history; backs off with jitter while it does not answer.
 *
 * A pure step; StoreWatchTask runs it and owns the connection.
 */
namespace Plantainweir {

enum class StoreWatchPhase {
    Listing,
    Watching,
    Pausing, ///< Nothing is under way until StoreWatch::resumeAt.
};

constexpr std::array<EnumName<StoreWatchPhase>, 3> enumNames(StoreWatchPhase)
{
    return {{
        {StoreWatchPhase::Listing, "listing"},
        {StoreWatchPhase::Watching, "watching"},
        {StoreWatchPhase::Pausing, "pausing"},
    }};
}
static_assert(isEnumTableOrdered<StoreWatchPhase>());

struct StoreWatch {
    StoreWatchPhase phase = StoreWatchPhase::Pausing;
    std::uint64_t revision = 0; ///< A watch since this one misses nothing; zero before the first list.
    std::string afterName; ///< Name after which the list goes on.
    TimePoint resumeAt; ///< When to go on, while pausing.
    std::uint32_t failures = 0; ///< In a row.
    TimePoint failingSince; ///< Of the first failure in a row.
    bool isListed = false; ///< A whole list has come at least once.
};

struct StoreTimerFired {
};
struct StorePageReceived {
    std::uint64_t revision = 0;
    std::string lastName;
    bool hasMore = false;
};
struct StoreChangesReceived {
    std::uint64_t revision = 0;
    bool isEmpty = true;
};
struct StoreHistoryCompacted {
};
struct StoreCallFailed {
};
using StoreWatchEvent = std::variant<StoreTimerFired, StorePageReceived, StoreChangesReceived, StoreHistoryCompacted, StoreCallFailed>;

struct SendStoreList {
    std::string afterName; ///< Empty for the first page.
};
struct SendStoreWatch {
    std::uint64_t revision = 0;
};
/** The pages since the last first one are all objects. */
struct CompleteStoreList {
};
/** The store answers again after so long. */
struct ReportStoreRecovered {
    Duration outage{};
};
using StoreWatchAction = std::variant<SendStoreList, SendStoreWatch, CompleteStoreList, ReportStoreRecovered>;

/** Takes @p event into @p watch and returns what is to be done, in this order. */
std::vector<StoreWatchAction> step(StoreWatch &watch, const StoreWatchEvent &event, TimePoint now, std::mt19937_64 &random);

}
