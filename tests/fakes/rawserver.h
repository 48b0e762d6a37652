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
    /** Closes in an orderly way. */
    virtual void finish() = 0;
    /** Closes with a reset once what was written has been sent. */
    virtual void reset() = 0;
};

/** A server that knows no protocol: the test writes every byte. */
class RawServer
{
public:
    RawServer();
    ~RawServer();
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    Endpoint endpoint() const;
    int acceptedCount() const;
    /** Stops to listen. */
    void close();

    /** Called for each time that bytes come to an empty line. */
    std::function<void(RawConnection &)> onRequest;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
