#pragma once

#include "configuration/routetable.h"
#include "controllers/creditdecision.h"
#include "controllers/creditline.h"
#include "controllers/creditmember.h"
#include "controllers/creditterms.h"
#include "core/endpoint.h"

#include <QObject>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Plantainweir {

class Metrics;

struct CreditTaskSettings {
    std::string name; ///< Of this entry VM.
    std::string availabilityZone; ///< Of this entry VM.
    Endpoint endpoint; ///< Where the task listens; the address and port number of the exchange endpoint.
    CreditToleranceSettings tolerance;
    std::uint64_t seed = 0; ///< Seed of the random generator.
};

/**
 * Task that runs the controller of limits that hold over the whole fleet (see fleetcredit.h) and owns its UDP socket.
 *
 * While the table in force has no such limit, the task sends nothing and has no timer. Datagrams that are too large or
 * malformed are counted and dropped.
 */
class CreditTask : public QObject
{
    Q_OBJECT

public:
    /** @param metrics must outlive the task. */
    CreditTask(const CreditTaskSettings &settings, Metrics &metrics, QObject *parent = nullptr);
    ~CreditTask() override;

    /** Opens the socket; returns whether the port is open. */
    bool listen();
    /** Sets the limits in force. */
    void setTable(const RouteTable &table);
    /**
     * Sets the live members, including this one, and whether they have found each other (see FleetSizeEstimate).
     * @param comparedFleetSize is the number of members to reckon with according to the store.
     */
    void setMembers(const std::vector<CreditMember> &members, FleetKnowledge knowledge, std::size_t comparedFleetSize = 0);

    /** Returns whether calls need credit of @p line. If not, it must not be requested. */
    bool isLimited(const CreditLine &line) const;
    /**
     * Requests one credit of @p line. Exactly one decided() with @p id follows from the event loop, at the latest at
     * @p deadline (of suspendAwareNow()) and after a quarter of a second, unless the request is cancelled.
     */
    void request(CreditRequestId id, const CreditLine &line, TimePoint deadline);
    /** Drops a request without a decision. Does nothing if it has been decided. */
    void cancel(CreditRequestId id);
    /** Gives back a credit that was granted and whose call did not run. Without effect once the credit has expired. */
    void giveBack(const CreditDecision &decision);
    /** Ends what this VM keeps for others, so that they need not wait for its end. It can still request credit. */
    void leave();

Q_SIGNALS:
    void decided(CreditRequestId id, const CreditDecision &decision);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
