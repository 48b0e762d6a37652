#pragma once

#include "core/endpoint.h"
#include "core/time.h"
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
    std::vector<Endpoint> seeds; ///< Membership endpoints where others may be found.
    double retryShare = 0.0; ///< Repeated attempts for each call, over the fleet.
    double retrySlack = 0.0; ///< Repeated attempts beside that in a window, over the fleet.
    Duration retryWindow{};
    double probesPerSecondPerUpstream = 0.0; ///< Questions a second that the fleet may put to one upstream.
    Duration stopTime{}; ///< From the request to stop to the forced end.
    std::uint64_t seed = 0; ///< Of the random generators.
};

/** The tasks of one gatewayd, connected to each other. */
class Gateway : public QObject
{
    Q_OBJECT

public:
    Gateway(const GatewaySettings &settings, const GatewayCodec &codec, QObject *parent = nullptr);
    ~Gateway() override;

    /** Opens all ports and starts to follow the store; returns whether all ports are open, after logging the first that is not. */
    bool start();
    /**
     * Leaves the fleet: is not ready any more, closes connections after their responses, then closes the port, finishes
     * what is in flight and emits stopped(). Further calls do nothing.
     */
    void leave();

Q_SIGNALS:
    void stopped();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
