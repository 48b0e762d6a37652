#pragma once

#include "controllers/fleetregistration.h"
#include "tasks/gatewaycodec.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

class Metrics;

struct RegistrationTaskSettings {
    std::string name; ///< Of this entry VM.
    Endpoint membershipEndpoint; ///< Of this entry VM.
    Endpoint store;
    FleetRegistrationSettings registration;
    std::uint64_t seed = 0;
};

/** Task of gatewayd that keeps the fleet registered in the store, and compares it with the other registrations (see fleetregistration.h). */
class RegistrationTask : public QObject
{
    Q_OBJECT

public:
    /** @param metrics must outlive the task. */
    RegistrationTask(const RegistrationTaskSettings &settings, const GatewayCodec &codec, Metrics &metrics, QObject *parent = nullptr);
    ~RegistrationTask() override;

    /** Sets all members that are known, with this one. The first call starts the task. */
    void setMembers(const std::vector<RegistrationMember> &members);
    /** Notes that the store is in @p era; if it has returned from a copy of itself, this member may have to register again. */
    void noteEra(std::uint64_t era);
    /** Removes this member's registration from the store, and writes none from now on. */
    void leave();

    /** Returns whether this member, or one that it knows, has compared the fleet with the store. */
    bool isFleetCompared() const;

Q_SIGNALS:
    /** Members may be reached at @p endpoints that this one does not know. */
    void membersRegistered(const std::vector<Endpoint> &endpoints);
    /** This member has compared the fleet; @p fleetSize is the number of members to reckon with. */
    void fleetCompared(std::size_t fleetSize);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
