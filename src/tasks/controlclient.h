#pragma once

#include "decision/routingstate.h"
#include "rpc/controlmessages.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/**
 * Task that owns the gRPC stream to this VM's controld.
 *
 * Repeats the report once a second as a heartbeat, so that controld notices an entryd that hangs with its stream open.
 * Reconnects indefinitely, with exponential backoff up to a maximum. While there is no stream, it emits no updates and
 * entryd keeps its last state.
 */
class ControlClient : public QObject
{
    Q_OBJECT

public:
    explicit ControlClient(const Endpoint &control, QObject *parent = nullptr);
    ~ControlClient() override;

    /** Opens the stream; call report() first. */
    void start();
    /** Sets the state to report. It is sent now if it has changed, and again on each new stream. */
    void report(const EntryState &state);

Q_SIGNALS:
    void updated(const RoutingUpdate &update);
    /** The first update of a stream was received, or the stream was lost. */
    void connectedChanged(bool isConnected);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
