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
    std::optional<Endpoint> control; ///< controld's port; without it, only applyUpdate() changes the routing state.
    std::uint64_t seed = 0; ///< Seed of the random generators.
};

/** Creates the tasks of one entryd and connects their signals. */
class Entryd : public QObject
{
    Q_OBJECT

public:
    explicit Entryd(const EntrydSettings &settings, QObject *parent = nullptr);
    ~Entryd() override;

    /** Opens all ports and the stream to controld. Returns false, after logging the port, if one cannot be opened. */
    bool start();
    /** Returns the description of this entry VM, with the actual port numbers. */
    const EntryMember &self() const;
    /** Applies changes of the configuration and the members. */
    void applyUpdate(const RoutingUpdate &update);
    /**
     * Drains entryd: drops out of the directory, serves until the last directory answer that names it has expired,
     * waits for the calls in flight and emits stopped(). Further calls do nothing.
     */
    void leave();

Q_SIGNALS:
    void stopped();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
