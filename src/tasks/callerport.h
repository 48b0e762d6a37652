#pragma once

#include "http/httpmessage.h"
#include "tasks/callmessages.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/** Task that owns the HTTP port for callers: decodes calls, answers directory queries and writes replies. */
class CallerPort : public QObject
{
    Q_OBJECT

public:
    /** @param seed seeds the random order of directory answers. */
    CallerPort(const HttpLimits &limits, std::uint64_t seed, QObject *parent = nullptr);
    ~CallerPort() override;

    /** Starts to listen; returns whether the port is open. */
    bool listen(const Endpoint &endpoint);
    quint16 port() const;

    /** Sets the routing state from which directory queries are answered. */
    void setRouting(const SharedRouting &routing);
    /** Writes the reply of a call. Ignores calls of other ports and calls whose caller has disconnected. */
    void reply(const CallToken &token, const CallReply &reply);
    /** Closes each connection after its next response. */
    void closeAfterResponses();
    /** Returns whether drain() was called and no connection is open. */
    bool isDrained() const;
    /** Closes the port, and emits drained() once no connection is open. */
    void drain();

Q_SIGNALS:
    void callReceived(const IncomingCall &call);
    /** The caller closed its connection before it received the reply. */
    void callerDisconnected(const CallToken &token);
    void drained();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
