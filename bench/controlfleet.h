#pragma once

#include "core/time.h"

#include <QJsonObject>

#include <memory>
#include <optional>

namespace Plantainweir {

/**
 * Controlds and a fake platform as child processes on loopback, each controld with a stream as of its entryd.
 *
 * The children end with this object.
 */
class ControlFleet
{
public:
    /** @param members number of controlds; @param firstPort five ports for each process are used from here on. */
    ControlFleet(std::size_t members, quint16 firstPort);
    ~ControlFleet();

    /**
     * Waits until all members know each other and the rules, measures ten idle seconds, then measures for @p duration while the rules change every
     * five seconds (17,280 changes a day).
     * @return nothing if the fleet did not come up in a minute.
     */
    std::optional<QJsonObject> measure(std::chrono::seconds duration);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
