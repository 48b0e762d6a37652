#pragma once

#include "tasks/callmessages.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/**
 * Task that owns the gRPC port for other entry VMs and the channels to them.
 *
 * Sends each forwarded call at most once: gRPC's own retries are off, and a channel that is known to be broken is not
 * used at all.
 */
class PeerPort : public QObject
{
    Q_OBJECT

public:
    /** @param name of this entry VM, told to the others. */
    explicit PeerPort(const std::string &name, QObject *parent = nullptr);
    /** Ends the calls that are open; their other sides see a lost connection. */
    ~PeerPort() override;

    /** Starts to listen; returns whether the port is open. */
    bool listen(const Endpoint &endpoint);
    quint16 port() const;

    /** Writes the reply of a call that came by this port; ignores others. */
    void reply(const CallToken &token, const CallReply &reply);
    /** Forwards a call; forwardFinished() follows exactly once, never from within this call. */
    void forward(const OutgoingForward &forward);
    /** Gives a forwarded call up; forwardFinished() does not follow. */
    void cancel(std::uint64_t id);
    /** Sends a load report; nobody hears whether it arrives. */
    void sendLoadReport(const OutgoingLoadReport &load);

Q_SIGNALS:
    void callReceived(const IncomingCall &call);
    void forwardFinished(const ForwardResult &result);
    /** A co-owner told how it stands. */
    void loadReportReceived(const OwnerLoadReport &load);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
