#pragma once

#include "configuration/configuration.h"
#include "rpc/controlmessages.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/**
 * Task of controld that serves the Control interface to the entryd of the same VM.
 *
 * Keeps what entryd shall know and sends it over each open stream: everything first, then changes only. Changes that
 * come while a write is under way are merged into the next one, so that a slow entryd costs no memory. Nothing is sent
 * before setConfigurationComplete(): a fresh controld shall not report an outdated configuration.
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

    /** Says that the configuration is known; streams receive their first update. */
    void setConfigurationComplete();
    void setRules(const Rules &rules);
    void setService(const Service &service);
    /** Sets the members; nothing is sent unless they changed. The same holds for setUpstreamStatuses(). */
    void setMembers(const std::vector<EntryMember> &members);
    void setUpstreamStatuses(const std::vector<UpstreamStatus> &statuses);

Q_SIGNALS:
    /** The connected entryd described itself. */
    void entryStateReceived(const EntryState &state);
    /** The last stream of an entryd has ended. */
    void entrydDisconnected();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
