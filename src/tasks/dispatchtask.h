#pragma once

#include "tasks/callmessages.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

class Metrics;

/**
 * Task that decides about the calls of entryd: runs the filter chain, the idempotency table and the dispatch step of
 * each service.
 *
 * Owns the state of all calls. Each call passed to admit() gets exactly one replyReady(), unless it is abandoned. The
 * task opens no socket: its signals ask the ports to send attempts, forwards and replies.
 */
class DispatchTask : public QObject
{
    Q_OBJECT

public:
    /** @param metrics must outlive the task; @param seed seeds the random generator. */
    DispatchTask(Metrics &metrics, std::uint64_t seed, QObject *parent = nullptr);
    ~DispatchTask() override;

    /**
     * Applies a new routing state. Queued calls of services that this entry VM no longer owns are delegated to an
     * owner.
     */
    void setRouting(const SharedRouting &routing);
    /** Handles a new call: runs, refuses or forwards it. */
    void admit(const IncomingCall &call);
    /** Handles that the caller of a call has disconnected. */
    void abandon(const CallToken &token);
    void finishAttempt(const AttemptResult &result);
    void finishForward(const ForwardResult &result);
    /** Passes a co-owner's load report to the dispatch step of its service. */
    void handleLoadReport(const OwnerLoadReport &load);

    /** Returns the number of calls that have no reply yet. */
    std::size_t openCallCount() const;

Q_SIGNALS:
    void replyReady(const CallToken &token, const CallReply &reply);
    void attemptStarted(const OutgoingAttempt &attempt);
    void attemptCancelled(const AttemptToken &token);
    void forwardStarted(const OutgoingForward &forward);
    void forwardCancelled(std::uint64_t id);
    void loadReportReady(const OutgoingLoadReport &load);
    /** The upstreams of one service of which this entry VM owns slots; emitted per service on each new routing state. */
    void upstreamsOwned(const std::vector<Upstream> &upstreams);
    /** An upstream reported in a response that it is draining. */
    void upstreamDraining(const UpstreamName &upstream);
    /** The last open call has been replied to. */
    void idle();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
