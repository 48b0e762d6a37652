#pragma once

#include "core/endpoint.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

class FakeUpstream;

/**
 * The admin port of a process of fake upstreams.
 *
 * - `GET /fake/upstreams`: a JSON array with the settings, counts and faults of each.
 * - `GET /fake/executions`: a JSON object: for each key the work kind and how often it was started and completed, all
 *   upstreams together.
 * - `POST /fake/upstreams/NAME`, or `*` for all, with any of `{"fault": WORD, "draining": BOOL, "slowFactor": NUMBER}`.
 */
class FakeUpstreamAdmin : public QObject
{
    Q_OBJECT

public:
    explicit FakeUpstreamAdmin(QObject *parent = nullptr);
    ~FakeUpstreamAdmin() override;

    /** Adds @p upstream, which must outlive this object. */
    void add(FakeUpstream *upstream);
    /** Starts to listen; returns whether the port is open. */
    bool listen(const Endpoint &endpoint);
    quint16 port() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
