#pragma once

#include "core/endpoint.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace Plantainweir {

/** One accepted connection of a RawServer. */
class RawConnection
{
public:
    virtual ~RawConnection() = default;
    /** Returns the number of connections that the server had accepted before this one. */
    virtual int index() const = 0;
    /** Returns the bytes of the request that has been received last. */
    virtual std::string request() const = 0;
    virtual void write(const std::string &bytes) = 0;
    /** Writes @p bytes after @p delay, unless the connection has ended by then. */
    virtual void writeAfter(std::chrono::milliseconds delay, const std::string &bytes) = 0;
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

    /** Called when the received bytes contain an empty line, the end of a request header. */
    std::function<void(RawConnection &)> onRequest;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
