#pragma once

#include "core/outcome.h"
#include "core/work.h"

#include <memory>
#include <string>

namespace prometheus {
class Registry;
}

namespace Plantainweir {

/**
 * The counters of one process, in a prometheus-cpp registry.
 *
 * Each reason has a counter from the start, so that a scrape shows zeros rather than gaps. Owned by the program's main
 * function; tasks have a reference and count from their own event loops.
 */
class Metrics
{
public:
    static constexpr std::size_t MaximumAccountLabels = 100;

    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /** Counts a finished call by rank and outcome. */
    void countOutcome(Rank rank, CallOutcome outcome);
    /** Counts a refusal by its reason. */
    void countRefusal(RefusalReason reason);
    /** Counts a call whose execution is unknown, by its reason. */
    void countUnknown(UnknownReason reason);
    /** Counts a retry by its reason. */
    void countRetry(RetryReason reason);
    /** Counts a finished call of a client account. Accounts after the first MaximumAccountLabels share one counter. */
    void countAccountCall(const std::string &account, CallOutcome outcome);
    /** Sets the gauge @p name, which is registered with its @p help text at its first use. */
    void setGauge(const std::string &name, const std::string &help, double value);
    /** Adds @p amount to the counter @p name, which is registered at its first use; @p reason is its label if not empty. */
    void addToCounter(const std::string &name, const std::string &help, const std::string &reason = {}, double amount = 1.0);

    /** Returns all metrics in the Prometheus text format. */
    std::string toText() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
