#pragma once

#include "core/endpoint.h"
#include "core/time.h"
#include "http/httpmessage.h"

#include <QObject>

#include <memory>
#include <vector>

namespace Plantainweir {

/** A target of the load: where calls go and what they are. */
struct LoadTarget {
    Endpoint endpoint;
    HttpRequest request;
};

struct LoadSettings {
    std::vector<LoadTarget> targets; ///< Calls go to them in turn, so that all see the same moments.
    double callsPerSecond = 1000; ///< To each target.
    std::size_t callsPerTarget = 1000;
    std::size_t warmUpCalls = 200; ///< To each target, not counted.
    std::uint64_t seed = 1; ///< Of the Poisson arrivals.
};

/** What one target showed. */
struct LoadResult {
    std::vector<double> latenciesMs; ///< From the planned moment of the call to its whole answer.
    std::size_t failed = 0; ///< Calls without an answer of status 200.
};

/** Task that sends calls at planned moments, whether earlier ones were answered or not. */
class OpenLoopLoad : public QObject
{
    Q_OBJECT

public:
    explicit OpenLoopLoad(const LoadSettings &settings, QObject *parent = nullptr);
    ~OpenLoopLoad() override;

    void start();
    /** Returns one result for each target; complete after finished(). */
    const std::vector<LoadResult> &results() const;

Q_SIGNALS:
    void finished();

private:
    class Private;
    std::unique_ptr<Private> d;
};

/** Task that keeps a number of calls in flight for a time and counts the answers. */
class ClosedLoopLoad : public QObject
{
    Q_OBJECT

public:
    ClosedLoopLoad(const LoadTarget &target, std::size_t inFlight, TimePoint deadline, QObject *parent = nullptr);
    ~ClosedLoopLoad() override;

    void start();
    std::size_t answered() const;

Q_SIGNALS:
    void finished();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
