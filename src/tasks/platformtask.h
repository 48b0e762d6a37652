#pragma once

#include "configuration/configuration.h"
#include "configuration/virtualmachine.h"
#include "controllers/platformcallscheduler.h"
#include "core/endpoint.h"
#include "core/enumnames.h"
#include "tasks/platformapi.h"

#include <QObject>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Plantainweir {

class Metrics;

/** What this process knows of the platform's health. */
enum class PlatformState {
    Unknown, ///< No call has finished yet.
    Up,
    Down, ///< Calls failed in a row; the circuit breaker is open.
};

constexpr std::array<EnumName<PlatformState>, 3> enumNames(PlatformState)
{
    return {{
        {PlatformState::Unknown, "unknown"},
        {PlatformState::Up, "up"},
        {PlatformState::Down, "down"},
    }};
}
static_assert(isEnumTableOrdered<PlatformState>());

struct PlatformSettings {
    Endpoint endpoint;
    PlatformCallSchedulerSettings scheduler;
    std::uint64_t seed = 1; ///< Of the jitter.
    std::chrono::milliseconds callTimeout{2000}; ///< A call without a whole answer after this has failed.
    std::chrono::milliseconds longPollTimeout{20'000}; ///< A watch without a change is answered after this.
    std::chrono::milliseconds virtualMachineListPeriod{5000};
};

/** An object that arrived and is not fit to come into force. */
struct RejectedObject {
    std::uint64_t version = 0;
    std::string fault;
};

/** What `/status` shows of the platform. */
struct PlatformStatus {
    PlatformState state = PlatformState::Unknown;
    std::uint64_t revision = 0; ///< Of the last list or watch; zero before the first.
    std::map<std::string, RejectedObject> rejected; ///< By object name; gone once a good version arrives.
    std::map<PlatformCallKind, std::uint64_t> calls; ///< Sent since the start.
};

/** Encodes @p status as a JSON object. */
std::string encodePlatformStatus(const PlatformStatus &status);

/**
 * Task that owns all calls of this process to the platform.
 *
 * Calls wait for their turn in the budget (platformbudget.h). Objects are checked when they arrive: a faulty one is
 * logged, counted and shown in status() and is not observed, so that the last good version stays in force. The task
 * holds no configuration: it may observe an object more than once and at an older version; the receiver adopts by
 * version.
 */
class PlatformTask : public QObject
{
    Q_OBJECT

public:
    PlatformTask(const PlatformSettings &settings, Metrics &metrics, QObject *parent = nullptr);
    ~PlatformTask() override;

    /** Lists all objects of the configuration, then watches them for changes until stopWatching(). */
    void startWatching();
    void stopWatching();
    /** Fetches the list of VMs now and then once a period until stopListingVirtualMachines(). */
    void startListingVirtualMachines();
    void stopListingVirtualMachines();
    /** Lists all objects of the configuration once, without a watch; does nothing while such a list is under way. */
    void refresh();

    /** Lists the objects below @p prefix once; listed() follows exactly once. */
    PlatformCallId list(const std::string &prefix, TimePoint deadline);
    /** Writes @p name if its version is @p base (zero: if it does not exist); written() follows exactly once. */
    PlatformCallId write(const std::string &name, const std::string &value, std::uint64_t base, TimePoint deadline);

    PlatformStatus status() const;

Q_SIGNALS:
    /** An object of a service has been read and is sound. */
    void serviceObserved(const Service &service);
    /** The object with the rules has been read and is sound. */
    void rulesObserved(const Rules &rules);
    /** A whole list by startWatching() or refresh() has been observed. */
    void snapshotObserved();
    /** The platform's list of VMs has been read. */
    void virtualMachinesObserved(const std::vector<VirtualMachine> &virtualMachines);
    void platformStateChanged(PlatformState state);

    /** Answers list(); without a value if the platform did not answer. */
    void listed(PlatformCallId call, const std::optional<PlatformObjects> &objects);
    /** Answers write(). */
    void written(PlatformCallId call, const WriteResult &result);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
