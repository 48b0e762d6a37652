#pragma once

#include "controllers/creditterms.h"
#include "core/endpoint.h"
#include "core/time.h"
#include "decision/fullness.h"
#include "tasks/gatewaycodec.h"

#include <QObject>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Plantainweir {

/** The settings of one gatewayd. */
struct GatewaySettings {
    std::string name;
    std::string availabilityZone;
    Endpoint callerPort;
    Endpoint readinessPort;
    Endpoint directoryPort;
    Endpoint membershipPort; ///< UDP, towards other entry VMs.
    Endpoint exchangePort; ///< gRPC, towards other entry VMs.
    Endpoint operatorsPort;
    Endpoint store;
    std::vector<Endpoint> seeds; ///< Membership endpoints to contact when joining the fleet.
    double retryShare = 0.0; ///< Retries allowed per call, summed over the fleet.
    double retrySlack = 0.0; ///< Retries allowed in each window beyond that share, summed over the fleet.
    Duration retryWindow{};
    double hedgeShare = 0.0; ///< Share of the calls that may be repeated of which slow ones get a second attempt.
    std::size_t subsetSize = 0; ///< Least number of preferred upstreams of a service in an availability zone; zero: all are preferred alike.
    FullRefusalSettings fullRefusal; ///< When calls that may not probe are refused.
    Duration zoneMemory{}; ///< Time for which another availability zone that was full gets fewer probes; zero: all zones are judged together.
    double probesPerSecondPerUpstream = 0.0; ///< Probes per second that the fleet may send to one upstream.
    CreditToleranceSettings creditTolerance; ///< By how much the fleet may exceed its limits on accounts and cold upstreams.
    Duration changeBound = std::chrono::seconds(2); ///< Time in which an acknowledged change must be in force.
    std::optional<Duration> evacuationBound; ///< The same for the evacuation of an availability zone; without it, evacuations are not read.
    double processorShare = 0.0; ///< Of this VM, in cores; zero if not known.
    std::size_t memoryBytes = 512 * 1024 * 1024; ///< Memory that this process may use.
    std::size_t descriptors = 4096; ///< File descriptors that this process may use.
    bool isFleetStarting = false; ///< Whether the whole fleet starts for the first time, before there are calls.
    Duration stopTime{}; ///< Time from the request to stop until the forced end.
    std::uint64_t seed = 0; ///< Seed of the random generators.
};

/** Creates the tasks of one gatewayd and connects their signals. */
class Gateway : public QObject
{
    Q_OBJECT

public:
    Gateway(const GatewaySettings &settings, const GatewayCodec &codec, QObject *parent = nullptr);
    ~Gateway() override;

    /**
     * Opens all ports and starts to watch the store. Returns false, after logging the port, if one cannot be opened.
     */
    bool start();
    /**
     * Drains gatewayd: reports not ready on the readiness port, drops out of the directory and closes each caller
     * connection after its next response. After half of the stop time it closes the caller port and refuses calls that
     * arrive on open connections. Then it emits stopped() once no caller connection is open, at the latest shortly
     * before the stop time is over. Further calls of leave() do nothing.
     */
    void leave();

Q_SIGNALS:
    void stopped();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
