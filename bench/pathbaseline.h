#pragma once

#include "core/endpoint.h"

#include <memory>

namespace Plantainweir {

/** A bare forwarder on Qt's own HTTP classes: QHttpServer towards callers, QNetworkAccessManager towards the upstream. */
class QtForwarder
{
public:
    explicit QtForwarder(const Endpoint &upstream);
    ~QtForwarder();
    QtForwarder(const QtForwarder &) = delete;
    QtForwarder &operator=(const QtForwarder &) = delete;

    /** Listens on a free port of loopback and returns it, or 0. */
    std::uint16_t listen();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
