#pragma once

#include "http/httpmessage.h"
#include "tasks/callmessages.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/**
 * Task that owns the connections to upstreams and sends each attempt at most once.
 */
class UpstreamPort : public QObject
{
    Q_OBJECT

public:
    explicit UpstreamPort(const HttpLimits &limits, QObject *parent = nullptr);
    ~UpstreamPort() override;

    /**
     * Sets how many connections may be open to each of @p upstreams: a share of its connection limit, but at least one
     * per slot.
     */
    void setConnectionLimits(const std::vector<Upstream> &upstreams);
    /** Sends an attempt; finished() is emitted unless the attempt is cancelled. */
    void send(const OutgoingAttempt &attempt);
    /** Cancels an attempt by closing its connection. */
    void cancel(const AttemptToken &token);

Q_SIGNALS:
    void finished(const AttemptResult &result);

private:
    class Private;
    std::unique_ptr<Private> d;
};

/** Parses the load report in the headers of a response; returns an empty value if there is none. */
std::optional<LoadReport> parseLoadReport(const HttpFields &fields);

}
