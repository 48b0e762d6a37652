#pragma once

#include "core/endpoint.h"

#include <memory>

namespace Plantainweir {

/** Minimal forwarder on Qt's own HTTP classes, as a baseline: QHttpServer for callers, QNetworkAccessManager for the upstream. */
class QtForwarder
{
public:
    explicit QtForwarder(const Endpoint &upstream);
    ~QtForwarder();
    QtForwarder(const QtForwarder &) = delete;
    QtForwarder &operator=(const QtForwarder &) = delete;

    /** Listens on a free port of loopback; returns the port, or 0 on failure. */
    std::uint16_t listen();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
