#pragma once

#include "core/endpoint.h"
#include "core/time.h"
#include "http/httpmessage.h"

#include <QObject>

#include <memory>
#include <vector>

namespace Plantainweir {

/** Where calls are sent, and their request. */
struct LoadTarget {
    Endpoint endpoint;
    HttpRequest request;
};

struct LoadSettings {
    std::vector<LoadTarget> targets; ///< Calls are sent to them in turn, so that all are measured under the same conditions.
    double callsPerSecond = 1000; ///< Rate to each target.
    std::size_t callsPerTarget = 1000;
    std::size_t warmUpCalls = 200; ///< To each target, not counted.
    std::uint64_t seed = 1; ///< Seed of the Poisson arrivals.
};

/** Results of one target. */
struct LoadResult {
    std::vector<double> latenciesMs; ///< From the planned time of the call to the end of its answer.
    std::size_t failed = 0; ///< Calls without an answer of status 200.
};

/** Open-loop load: a task that sends calls at planned times, whether earlier calls were answered or not. */
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

/** Closed-loop load: a task that keeps a fixed number of calls in flight until a deadline and counts the answers. */
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
