#pragma once

#include "configuration/routetable.h"
#include "controllers/creditdecision.h"
#include "controllers/creditline.h"
#include "core/endpoint.h"

#include <QObject>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Plantainweir {

class Metrics;

/** A live member of the fleet, as far as credit depends on it. */
struct CreditMember {
    std::string name;
    std::string availabilityZone;
    Endpoint creditEndpoint; ///< UDP; the address and port number of the exchange endpoint.
    std::uint32_t capacity = 0; ///< Processor share of its VM, in thousandths of a core.
    bool operator==(const CreditMember &) const = default;
};

/** The settings of the limits of the whole fleet. */
struct CreditToleranceSettings {
    Duration quotaWindow = std::chrono::seconds(5); ///< Window in which the calls of a client account are counted.
    double quotaOver = 0.1; ///< Tolerated excess, as a part of what the quota allows in the window.
    double quotaSlack = 20.0; ///< Tolerated excess beyond that, in calls.
    double coldOver = 1.5; ///< Tolerated factor on the calls that a cold upstream bears in a second.
    double coldSlack = 8.0; ///< Tolerated excess beyond that, in calls.
};

struct CreditTaskSettings {
    std::string name; ///< Of this entry VM.
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
    /** Sets the live members, including this one, and whether they have found each other (see FleetSizeEstimate). */
    void setMembers(const std::vector<CreditMember> &members, bool isConverged);

    /** Returns whether calls need credit of @p line. If not, it must not be requested. */
    bool isLimited(const CreditLine &line) const;
    /**
     * Requests one credit of @p line. Exactly one decided() with @p id follows from the event loop, at the latest at
     * @p deadline (of suspendAwareNow()) or a quarter of a second later, unless the request is cancelled.
     */
    void request(CreditRequestId id, const CreditLine &line, TimePoint deadline = TimePoint::max());
    /** Drops a request without a decision. Does nothing if it has been decided. */
    void cancel(CreditRequestId id);
    /** Gives back a credit that was granted and whose call did not run. Without effect once the credit has expired. */
    void giveBack(const CreditLine &line, const CreditDecision &decision);
    /** Ends what this VM keeps for others, so that they need not wait for its end. It can still request credit. */
    void leave();

Q_SIGNALS:
    void decided(CreditRequestId id, const CreditDecision &decision);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
