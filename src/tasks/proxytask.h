#pragma once

#include "tasks/gatewaymessages.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

class Metrics;

/**
 * Task that decides about routed calls: runs the route chain and the proxy step, and logs each decision.
 *
 * Owns all state of calls. Every call that comes in by admit() gets exactly one replyReady(), unless it is abandoned.
 * It opens no socket; the ports carry out what its signals say.
 */
class ProxyTask : public QObject
{
    Q_OBJECT

public:
    /** @param seed of the random generator; @param metrics outlives the task. */
    ProxyTask(const ProxySettings &settings, Metrics &metrics, std::uint64_t seed, QObject *parent = nullptr);
    ~ProxyTask() override;

    /** Adopts a table with a higher version than the one in force; returns whether it did. */
    bool setRouteTable(const RouteTable &table);
    const RouteTable &table() const;
    /** Says whether the platform confirmed the table lately. */
    void setRouteTableFresh(bool isFresh);
    void setUpstreams(const std::vector<RegisteredUpstream> &upstreams);
    void setFleetShare(const FleetShareChanged &share);
    /** From now on new calls are refused. */
    void refuseNewCalls();

    void admit(const IncomingProxyCall &call);
    /** Tells that nobody waits for the reply of a call. */
    void abandon(HttpExchangeId exchange);
    void finishProbe(const ProbeEnded &ended);
    void finishAttempt(const ProxyAttemptResult &result);

    /** Returns the number of calls that have no reply yet. */
    std::size_t openCallCount() const;

Q_SIGNALS:
    void replyReady(HttpExchangeId exchange, const std::string &requestId, const CallReply &reply);
    void probeStarted(const OutgoingProbe &probe);
    void attemptStarted(const OutgoingProxyAttempt &attempt);
    void attemptCancelled(ProxyAttemptId id);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
