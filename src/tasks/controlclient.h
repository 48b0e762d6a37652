#pragma once

#include "decision/routingstate.h"
#include "rpc/controlmessages.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/**
 * Task that owns the gRPC stream to this VM's controld.
 *
 * Repeats the report once a second as a heartbeat, so that controld notices an entryd that is stuck with its stream open.
 * Reconnects for ever with a capped exponential delay; while the stream is away nothing is emitted and entryd goes on
 * with its last state.
 */
class ControlClient : public QObject
{
    Q_OBJECT

public:
    explicit ControlClient(const Endpoint &control, QObject *parent = nullptr);
    ~ControlClient() override;

    /** Opens the stream; call report() first. */
    void start();
    /** Sets what controld is told, now if it is news, and after each reconnect. */
    void report(const EntryState &state);

Q_SIGNALS:
    void updated(const RoutingUpdate &update);
    /** The stream was opened or lost. */
    void connectedChanged(bool isConnected);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
