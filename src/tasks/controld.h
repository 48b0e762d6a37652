#pragma once

#include "controllers/membership.h"
#include "core/endpoint.h"

#include <QObject>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace Plantainweir {

class Metrics;

struct ControldSettings {
    MemberRecord self; ///< Name, availability zone, incarnation and endpoints.
    Endpoint controlEndpoint;
    std::vector<Endpoint> seeds;
    std::optional<Endpoint> platform;
    std::chrono::milliseconds watcherHandOverDelay{std::chrono::seconds(30)}; ///< A watcher without the platform for so long hands over.
    std::chrono::milliseconds watcherReturnDelay{std::chrono::minutes(10)}; ///< Then it is no candidate for so long.
};

/** A port that could not be opened. */
struct ListenFailure {
    std::string flag;
    Endpoint endpoint;
};

/**
 * All tasks of controld and the messages between them.
 *
 * On stop() the VM's entry is announced as leaving; when entryd has ended its stream, or after a bound, this member
 * announces its own end, and stopped() follows.
 */
class Controld : public QObject
{
    Q_OBJECT

public:
    Controld(const ControldSettings &settings, Metrics &metrics, QObject *parent = nullptr);
    ~Controld() override;

    /** Opens the ports and starts; returns the port that could not be opened, if any. */
    std::optional<ListenFailure> start();
    /** Leaves the fleet. */
    void stop();
    /** Returns what `/status` shows, as JSON. */
    std::string status() const;

Q_SIGNALS:
    /** The configuration is known and given to entryd. */
    void ready();
    void stopped();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
