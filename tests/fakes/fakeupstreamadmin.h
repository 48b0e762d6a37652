#pragma once

#include "core/endpoint.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

class FakeUpstream;

/**
 * The HTTP port by which tests set faults of the fake upstreams of a process and read their counts.
 *
 * - `GET /fake/upstreams`: a JSON array with the settings, counts and faults of each upstream.
 * - `GET /fake/executions`: a JSON object with, for each key, the work kind and the numbers of executions that all
 *   upstreams together have started and completed.
 * - `POST /fake/upstreams/NAME`, or `*` for all: changes any of `{"fault": WORD, "draining": BOOL, "slowFactor": NUMBER}`.
 */
class FakeUpstreamAdmin : public QObject
{
    Q_OBJECT

public:
    explicit FakeUpstreamAdmin(QObject *parent = nullptr);
    ~FakeUpstreamAdmin() override;

    /** Adds @p upstream, which must outlive this object. */
    void add(FakeUpstream *upstream);
    /** Starts listening; returns whether the port could be opened. */
    bool listen(const Endpoint &endpoint);
    quint16 port() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
