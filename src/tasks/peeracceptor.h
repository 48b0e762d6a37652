#pragma once

#include "core/endpoint.h"

#include <QObject>

#include <memory>

namespace grpc {
class ServerBuilder;
}

namespace Plantainweir {

/**
 * Task that accepts the connections of other VMs for a gRPC server, which has no limit for their number.
 *
 * At the limit, the connection that has received nothing for longest is closed for a new one. For each connection, this task and
 * gRPC have one descriptor each.
 */
class PeerAcceptor : public QObject
{
    Q_OBJECT

public:
    explicit PeerAcceptor(std::size_t connectionLimit, QObject *parent = nullptr);
    ~PeerAcceptor() override;

    /** Lets the server that @p builder makes serve the accepted connections. */
    void attachTo(grpc::ServerBuilder &builder);
    /** Starts to listen on @p endpoint after the server was built; returns whether the port is open. */
    bool listen(const Endpoint &endpoint);
    /** Accepts no further connections; to be called before the server is shut down. */
    void close();

Q_SIGNALS:
    /** A connection was closed for a new one. */
    void connectionReplaced();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
