#pragma once

#include "controllers/creditdecision.h"
#include "controllers/creditline.h"
#include "tasks/gatewaymessages.h"

#include <QObject>

#include <memory>
#include <set>
#include <string>

namespace Plantainweir {

class Metrics;

/**
 * Task that decides about the calls of gatewayd: runs the route chain and the proxy step, and logs each decision.
 *
 * Owns the state of all calls. Each call passed to admit() gets exactly one replyReady(), unless it is abandoned. The
 * task opens no socket: its signals ask the ports to send probes, attempts and replies.
 */
class ProxyTask : public QObject
{
    Q_OBJECT

public:
    /** @param metrics must outlive the task; @param seed seeds the random generator. */
    ProxyTask(const ProxySettings &settings, Metrics &metrics, std::uint64_t seed, QObject *parent = nullptr);
    ~ProxyTask() override;

    /** Puts @p table into force if its version is higher than that of the current one; returns whether it did. */
    bool setRouteTable(const RouteTable &table);
    const RouteTable &table() const;
    /**
     * Sets whether the table is known to be current. If it is not, a call that matches no route is refused as not
     * ready, since the route may have been added meanwhile.
     */
    void setRouteTableFresh(bool isFresh);
    void setUpstreams(const std::vector<RegisteredUpstream> &upstreams);
    /** Sends no calls to the upstreams of @p availabilityZones from now on; calls that run there may end. */
    void setEvacuatedZones(const std::set<std::string> &availabilityZones);
    void setFleetShare(const FleetShareChanged &share);
    /** Refuses all calls that are admitted from now on. */
    void refuseNewCalls();
    /**
     * Sets how many bytes the request bodies of all calls in flight may take together; there is no limit at first. The body of a call
     * that runs on without its caller counts until its attempt has ended.
     */
    void setBodyLimit(std::size_t bytes);
    /** Sets when calls in flight will be interrupted; from then on, calls with a later deadline are refused. */
    void setInterruption(TimePoint at);

    void admit(const IncomingProxyCall &call);
    /** Drops a call whose caller has disconnected. */
    void abandon(HttpExchangeId exchange);
    void finishProbe(const ProbeEnded &ended);
    void finishAttempt(const ProxyAttemptResult &result);
    /** Continues or refuses the call for which creditRequested() was emitted. */
    void finishCredit(CreditRequestId id, const CreditDecision &decision);

    /** Returns the number of calls that have no reply yet. */
    std::size_t openCallCount() const;

Q_SIGNALS:
    void replyReady(HttpExchangeId exchange, const std::string &requestId, const CallReply &reply);
    void probeStarted(const OutgoingProbe &probe);
    void attemptStarted(const OutgoingProxyAttempt &attempt);
    void attemptCancelled(ProxyAttemptId id);
    /** A call needs credit of its client account, or of a cold upstream, until @p deadline (of suspendAwareNow()); finishCredit() must follow. */
    void creditRequested(CreditRequestId id, const CreditLine &line, TimePoint deadline);
    /** The call for which creditRequested() was emitted is gone, or needs no credit any more. */
    void creditCancelled(CreditRequestId id);
    /** The call for which this credit was granted did not run, or did not use it. */
    void creditReturned(const CreditDecision &decision);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
