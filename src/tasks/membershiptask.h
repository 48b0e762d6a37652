#pragma once

#include "controllers/membership.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

class Metrics;

/**
 * Task of controld that runs the membership (membership.h) and owns its UDP socket.
 *
 * Datagrams that are too large or do not parse are counted and dropped.
 */
class MembershipTask : public QObject
{
    Q_OBJECT

public:
    /** @param self this member's record; its endpoints are those that it listens on. */
    MembershipTask(const MemberRecord &self, const MembershipSettings &settings, Metrics &metrics, QObject *parent = nullptr);
    ~MembershipTask() override;

    /** Opens the socket on the endpoint of its own record and starts; returns whether the port is open. */
    bool listen();
    /** Sets where members may be found. */
    void setSeeds(const std::vector<Endpoint> &seeds);
    /** Publishes the state of this VM's entryd; without a value it does not serve. */
    void setEntry(const std::optional<EntryMember> &entry);
    /** Publishes whether this member can reach the platform. */
    void setPlatformUnreachable(bool isUnreachable);
    /** Publishes the digest of the objects that this member holds, and tells of new ones. */
    void setObjects(std::uint64_t digest, const std::vector<ObjectVersion> &rumours);
    /** Takes records that another member holds. */
    void mergeRecords(const std::vector<MemberRecord> &records);
    /** Announces this member's end; leaveAnnounced() follows. */
    void leave();

    const Membership &membership() const;

Q_SIGNALS:
    /** The entry VMs that serve, or what is known of them, changed. */
    void entriesChanged(const std::vector<EntryMember> &entries);
    /** The members that may watch the platform changed. */
    void candidatesChanged(const std::vector<std::string> &names);
    /** Records shall be exchanged with the member at @p peer. */
    void memberComparisonRequested(const Endpoint &peer, const BucketDigests &digests);
    /** A member told what objects it holds. */
    void objectNewsReceived(const PeerDigest &news);
    /** The news of this member's end has been sent as often as it is to be, or there is nobody to tell. */
    void leaveAnnounced();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
