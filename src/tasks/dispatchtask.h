#pragma once

#include "tasks/callmessages.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

class Metrics;

/**
 * Task that decides about calls: runs the filter chain, the key book and each service's dispatch step.
 *
 * Owns all state of calls. Every call that comes in by admit() gets exactly one replyReady(). It opens no socket; the
 * ports carry out what its signals say.
 */
class DispatchTask : public QObject
{
    Q_OBJECT

public:
    /** @param seed of the random generator; @param metrics outlives the task. */
    DispatchTask(Metrics &metrics, std::uint64_t seed, QObject *parent = nullptr);
    ~DispatchTask() override;

    /** Adopts a new routing state; queued calls of services that others own now move there. */
    void setRouting(const SharedRouting &routing);
    /** Takes a call in. */
    void admit(const IncomingCall &call);
    /** Tells that nobody waits for the reply of a call. */
    void abandon(const CallToken &token);
    void finishAttempt(const AttemptResult &result);
    void finishForward(const ForwardResult &result);
    /** Takes in how a co-owner stands. */
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
    /** Upstreams whose slots this entry VM has begun to own. */
    void upstreamsOwned(const std::vector<Upstream> &upstreams);
    /** An upstream said in an answer that it drains. */
    void upstreamDraining(const UpstreamName &upstream);
    /** The last open call has got its reply. */
    void idle();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
