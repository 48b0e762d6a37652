#pragma once

#include "core/endpoint.h"

#include <functional>
#include <memory>
#include <string>

namespace Plantainweir {

/** One accepted connection of a RawServer. */
class RawConnection
{
public:
    virtual ~RawConnection() = default;
    virtual void write(const std::string &bytes) = 0;
    /** Closes the connection gracefully, with a FIN. */
    virtual void finish() = 0;
    /** Closes the connection with a TCP reset; bytes written before have been sent. */
    virtual void reset() = 0;
};

/** TCP server without a protocol: the test writes every byte of the answers. */
class RawServer
{
public:
    RawServer();
    ~RawServer();
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    Endpoint endpoint() const;
    int acceptedCount() const;
    /** Stops listening. */
    void close();

    /** Called when the received bytes contain an empty line, the end of a request header; the bytes are discarded. */
    std::function<void(RawConnection &)> onRequest;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
