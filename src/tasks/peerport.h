#pragma once

#include "tasks/callmessages.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/**
 * Task that owns the gRPC port for other entry VMs and the channels to them.
 *
 * Sends each forwarded call at most once: gRPC's own retries are off, and a channel in transient failure is not used.
 */
class PeerPort : public QObject
{
    Q_OBJECT

public:
    /** @param name is the name of this entry VM, which is sent with each message. */
    explicit PeerPort(const std::string &name, QObject *parent = nullptr);
    /** Ends all open calls; their peers see a lost connection. */
    ~PeerPort() override;

    /** Starts to listen; returns whether the port is open. */
    bool listen(const Endpoint &endpoint);
    quint16 port() const;

    /** Sends the reply of a call; ignores calls of other ports. */
    void reply(const CallToken &token, const CallReply &reply);
    /** Forwards a call; forwardFinished() is emitted exactly once, after this function has returned. */
    void forward(const OutgoingForward &forward);
    /** Cancels a forwarded call; forwardFinished() is not emitted. */
    void cancel(std::uint64_t id);
    /** Sends a load report; failures are ignored. */
    void sendLoadReport(const OutgoingLoadReport &load);

Q_SIGNALS:
    void callReceived(const IncomingCall &call);
    void forwardFinished(const ForwardResult &result);
    /** A co-owner sent a load report. */
    void loadReportReceived(const OwnerLoadReport &load);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
