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

/** Availability of the platform as seen by this process. */
enum class PlatformState {
    Unknown, ///< No call has been answered yet, and the circuit breaker has not opened.
    Up,
    Down, ///< Consecutive calls failed and the circuit breaker is open.
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
    std::uint64_t seed = 1; ///< Seed of the backoff jitter.
    std::chrono::milliseconds callTimeout{2000}; ///< A call without a complete answer after this time has failed.
    std::chrono::milliseconds longPollTimeout{20'000}; ///< The platform answers a watch without changes after this time.
    std::chrono::milliseconds virtualMachineListPeriod{5000};
};

/** A configuration object that is not put into force because it is invalid. */
struct RejectedObject {
    std::uint64_t version = 0;
    std::string fault;
};

/** The part of `/status` about the platform. */
struct PlatformStatus {
    PlatformState state = PlatformState::Unknown;
    std::uint64_t revision = 0; ///< Revision of the last list or watch; 0 before the first.
    std::map<std::string, RejectedObject> rejected; ///< By object name; removed when a valid version arrives.
    std::map<PlatformCallKind, std::uint64_t> calls; ///< Calls sent since the start.
};

/** Encodes @p status as a JSON object. */
std::string encodePlatformStatus(const PlatformStatus &status);

/**
 * Task that sends all calls of this process to the platform.
 *
 * Calls queue until the call scheduler (platformcallscheduler.h) permits them. Objects are validated when they arrive:
 * an invalid one is logged, counted and shown in status() but not emitted, so that the last valid version stays in
 * force. The task stores no configuration. It may emit an object more than once and in an older version; the receiver
 * compares versions.
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
    /** Fetches the list of VMs at once and then once per period, until stopListingVirtualMachines(). */
    void startListingVirtualMachines();
    void stopListingVirtualMachines();
    /** Lists all objects of the configuration once, without a watch; does nothing if such a list is in progress. */
    void refresh();

    /** Lists the objects below @p prefix once; listed() is emitted exactly once. */
    PlatformCallId list(const std::string &prefix, TimePoint deadline);
    /**
     * Writes @p name if its version is @p base, 0 meaning that it must not exist; written() is emitted exactly once.
     */
    PlatformCallId write(const std::string &name, const std::string &value, std::uint64_t base, TimePoint deadline);

    PlatformStatus status() const;

Q_SIGNALS:
    /** A valid service object was read. */
    void serviceObserved(const Service &service);
    /** A valid rules object was read. */
    void rulesObserved(const Rules &rules);
    /** All objects of one complete list have been emitted. */
    void snapshotObserved();
    /** The platform's list of VMs was read. */
    void virtualMachinesObserved(const std::vector<VirtualMachine> &virtualMachines);
    void platformStateChanged(PlatformState state);

    /** Result of list(); empty if the platform sent no valid answer. */
    void listed(PlatformCallId call, const std::optional<PlatformObjects> &objects);
    /** Result of write(). */
    void written(PlatformCallId call, const WriteResult &result);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
