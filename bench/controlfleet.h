#pragma once

#include "core/time.h"

#include <QJsonObject>

#include <memory>
#include <optional>

namespace Plantainweir {

/**
 * Runs controlds and a fake platform as child processes on loopback, and subscribes to each controld as its entryd does.
 *
 * The destructor ends the child processes.
 */
class ControlFleet
{
public:
    /** @param members number of controlds; @param firstPort first of the ports to use, five for each process. */
    ControlFleet(std::size_t members, quint16 firstPort);
    ~ControlFleet();

    /**
     * Waits until all members know each other and the rules. Measures ten seconds without changes, and then @p duration with a change of the rules
     * every five seconds (17,280 changes a day).
     * @return nothing if the fleet does not converge within a minute.
     */
    std::optional<QJsonObject> measure(std::chrono::seconds duration);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
