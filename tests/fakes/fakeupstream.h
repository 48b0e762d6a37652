#pragma once

#include "core/endpoint.h"
#include "fakes/fakeupstreammodel.h"

#include <QObject>

#include <memory>

class QJsonObject;

namespace Plantainweir {

/**
 * Stand-in for an upstream: one HTTP port in front of a FakeUpstreamState.
 *
 * Implements the protocol of docs/UPSTREAMS.md. Executions are counted by the `Idempotency-Key` header, or for calls
 * without one by the query parameter `call`.
 */
class FakeUpstream : public QObject
{
    Q_OBJECT

public:
    FakeUpstream(const FakeUpstreamSettings &settings, std::uint64_t seed, QObject *parent = nullptr);
    ~FakeUpstream() override;

    /** Starts listening; returns whether the port could be opened. */
    bool listen(const Endpoint &endpoint);
    Endpoint endpoint() const;

    void setFault(FakeFault fault);
    void setDraining(bool isDraining);
    void setSlowFactor(double factor);

    const FakeUpstreamState &state() const;
    /** Returns how many executions of the call with @p key were started. */
    std::uint32_t executions(const std::string &key) const;
    /** Returns settings, counts and faults as JSON, without the executions by key. */
    QJsonObject toJson() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
