#pragma once

#include "core/endpoint.h"
#include "http/httpmessage.h"

#include <QObject>

#include <functional>
#include <memory>
#include <string>

namespace Plantainweir {

class Metrics;

/**
 * Task that serves `/metrics`, `/healthz`, `/readyz` and `/status` to operators.
 *
 * Meant to listen on loopback. `/healthz` answers 200 while the process runs; `/readyz` answers 503 until the program is
 * ready; `/status` returns JSON that the program makes.
 */
class OperatorsPort : public QObject
{
    Q_OBJECT

public:
    /** @param status returns the JSON text of `/status`, called from this task's event loop. */
    OperatorsPort(const Metrics &metrics, std::function<std::string()> status, QObject *parent = nullptr);
    ~OperatorsPort() override;

    /** Changes the limits for new requests and connections. */
    void setLimits(const HttpLimits &limits);
    /** Starts to listen; returns whether the port is open. */
    bool listen(const Endpoint &endpoint);
    quint16 port() const;
    /** Sets whether `/readyz` reports the program as ready. */
    void setReady(bool isReady);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
