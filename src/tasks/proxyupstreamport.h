#pragma once

#include "tasks/gatewaycodec.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/** Task of gatewayd that owns the connections to upstreams: sends probes, and each attempt at most once. */
class ProxyUpstreamPort : public QObject
{
    Q_OBJECT

public:
    ProxyUpstreamPort(const GatewayCodec &codec, const HttpLimits &limits, QObject *parent = nullptr);
    ~ProxyUpstreamPort() override;

    /** Sets how many connections may be open to one upstream. */
    void setConnectionLimit(const Endpoint &endpoint, std::size_t limit);
    /** Probes an upstream; probeEnded() is emitted exactly once. */
    void probe(const OutgoingProbe &probe);
    /** Sends an attempt; attemptEnded() follows unless it is cancelled. */
    void send(const OutgoingProxyAttempt &attempt);
    /** Cancels an attempt by closing its connection. */
    void cancel(ProxyAttemptId id);

Q_SIGNALS:
    /** Emitted for each connection to an upstream that is opened, also one that then fails. */
    void connectionOpened();
    void probeEnded(const ProbeEnded &ended);
    void attemptEnded(const ProxyAttemptResult &result);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
