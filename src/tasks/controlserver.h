#pragma once

#include "configuration/configuration.h"
#include "rpc/controlmessages.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/**
 * Task of controld that serves the Control interface to the entryd of the same VM.
 *
 * Stores the state that entryd needs and sends it on each open stream: first the complete state, then changes only.
 * Changes during a write are merged into the next update, so that a slow entryd costs no memory. Nothing is sent before
 * setConfigurationComplete(), so that a new controld does not send an outdated configuration.
 */
class ControlServer : public QObject
{
    Q_OBJECT

public:
    explicit ControlServer(QObject *parent = nullptr);
    ~ControlServer() override;

    /** Starts to listen on @p endpoint; port 0 picks a free one. Returns whether the port is open. */
    bool listen(const Endpoint &endpoint);
    /** Returns the port that the server listens on. */
    quint16 port() const;
    /** Returns whether an entryd is connected. */
    bool hasEntryd() const;

    /** Marks the configuration as complete and sends the first update on each open stream. */
    void setConfigurationComplete();
    void setRules(const Rules &rules);
    void setService(const Service &service);
    /** Sets the members; like setUpstreamStatuses(), sends nothing if there is no change. */
    void setMembers(const std::vector<EntryMember> &members);
    void setUpstreamStatuses(const std::vector<UpstreamStatus> &statuses);

Q_SIGNALS:
    /** entryd reported its state. */
    void entryStateReceived(const EntryState &state);
    /** The last stream of an entryd has ended. */
    void entrydDisconnected();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
