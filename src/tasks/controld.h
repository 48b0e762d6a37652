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
    std::chrono::milliseconds watcherHandOverDelay{std::chrono::seconds(30)}; ///< A watcher that cannot reach the platform for this long hands over.
    std::chrono::milliseconds watcherReturnDelay{std::chrono::minutes(10)}; ///< After handing over, this member is no candidate for this long.
};

/** A port that could not be opened. */
struct ListenFailure {
    std::string flag;
    Endpoint endpoint;
};

/**
 * Creates the tasks of controld and connects their signals.
 *
 * stop() announces this VM's entry as leaving. Once entryd has ended its stream, or a timeout is over, this member
 * announces that it leaves the fleet, and then emits stopped().
 */
class Controld : public QObject
{
    Q_OBJECT

public:
    Controld(const ControldSettings &settings, Metrics &metrics, QObject *parent = nullptr);
    ~Controld() override;

    /** Opens the ports and starts; returns the port that could not be opened, if any. */
    std::optional<ListenFailure> start();
    /** Announces that this VM leaves, as described above. */
    void stop();
    /** Returns the contents of `/status` as JSON. */
    std::string status() const;

Q_SIGNALS:
    /** The configuration is complete and is sent to entryd. */
    void ready();
    void stopped();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
