#pragma once

#include "core/endpoint.h"
#include "decision/routingstate.h"

#include <QObject>

#include <memory>
#include <optional>
#include <string>

namespace Plantainweir {

/** The settings of one entryd. */
struct EntrydSettings {
    std::string name;
    std::string availabilityZone;
    Endpoint callerPort;
    Endpoint peerPort;
    Endpoint operatorsPort;
    std::optional<Endpoint> control; ///< controld's port; without it the routing state comes by applyUpdate() alone.
    std::uint64_t seed = 0; ///< Of the random generators.
};

/**
 * The tasks of one entryd, connected to each other.
 */
class Entryd : public QObject
{
    Q_OBJECT

public:
    explicit Entryd(const EntrydSettings &settings, QObject *parent = nullptr);
    ~Entryd() override;

    /** Opens all ports and the link to controld; returns whether all ports are open, after logging the first that is not. */
    bool start();
    /** Returns the description of this entry VM, with the ports that are open. */
    const EntryMember &self() const;
    /** Adopts news about configuration and members. */
    void applyUpdate(const RoutingUpdate &update);
    /**
     * Leaves the fleet: drops out of the directory, serves until the last directory answer has expired, finishes what
     * is in flight and emits stopped(). Further calls do nothing.
     */
    void leave();

Q_SIGNALS:
    void stopped();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
