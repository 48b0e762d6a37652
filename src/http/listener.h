#pragma once

#include "core/endpoint.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/**
 * A listening TCP port.
 *
 * Accepts connections itself instead of by QTcpServer, which tries again at once, without end, while the process has no
 * descriptor for a connection that waits.
 */
class Listener : public QObject
{
    Q_OBJECT

public:
    explicit Listener(QObject *parent = nullptr);
    ~Listener() override;

    /** Starts to listen on @p endpoint; port 0 selects a free port. Returns whether the port is open. */
    bool listen(const Endpoint &endpoint);
    quint16 port() const;
    /** Accepts no further connections until resume(); the system keeps them. */
    void pause();
    void resume();
    /** Accepts the connections that wait, without waiting for the event loop; emits the same signals. */
    void acceptWaiting();
    /** Closes the port. */
    void close();

Q_SIGNALS:
    /** A connection was accepted; exactly one receiver owns @p descriptor. */
    void accepted(qintptr descriptor);
    /** A connection cannot be accepted, for example for lack of descriptors. Accepting is paused. */
    void acceptFailed();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
