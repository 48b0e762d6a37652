#pragma once

#include "http/httpmessage.h"
#include "tasks/callmessages.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/**
 * Task that owns the port for callers: reads calls, answers the directory and writes replies.
 */
class CallerPort : public QObject
{
    Q_OBJECT

public:
    /** @param seed of the order of directory answers. */
    CallerPort(const HttpLimits &limits, std::uint64_t seed, QObject *parent = nullptr);
    ~CallerPort() override;

    /** Starts to listen; returns whether the port is open. */
    bool listen(const Endpoint &endpoint);
    quint16 port() const;

    /** Sets what the directory answers from. */
    void setRouting(const SharedRouting &routing);
    /** Writes the reply of a call; does nothing if its caller has gone; ignores other ports' calls. */
    void reply(const CallToken &token, const CallReply &reply);
    /** From now on each response closes its connection. */
    void closeAfterResponses();
    /** Returns whether the port is closed and no connection is open. */
    bool isDrained() const;
    /** Closes the port, finishes what is in flight and emits drained(). */
    void drain();

Q_SIGNALS:
    void callReceived(const IncomingCall &call);
    /** The caller closed its connection before the reply. */
    void callerGone(const CallToken &token);
    void drained();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
