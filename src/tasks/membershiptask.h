#pragma once

#include "controllers/membership.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

class Metrics;

/**
 * Task that runs the membership protocol (see membership.h) and owns its UDP socket.
 *
 * Datagrams that are too large or malformed are counted and dropped. Changes of the members in quick succession lead to
 * one signal.
 */
class MembershipTask : public QObject
{
    Q_OBJECT

public:
    /** @param self is the record of this member; the task listens on its membership endpoint. */
    MembershipTask(const MemberRecord &self, const MembershipSettings &settings, Metrics &metrics, QObject *parent = nullptr);
    ~MembershipTask() override;

    /** Opens the socket and starts the protocol; returns whether the port is open. */
    bool listen();
    /** Sets the seeds: membership endpoints that are pinged until a member answers there. */
    void setSeeds(const std::vector<Endpoint> &seeds);
    /** Publishes this VM's entry; an empty value means that it does not serve. */
    void setEntry(const std::optional<EntryMember> &entry);
    /** Publishes whether the platform is unreachable from this member. */
    void setPlatformUnreachable(bool isUnreachable);
    /** Publishes that this member has compared the fleet with the store; @p fleetSize is the number of members to reckon with. */
    void setComparedFleetSize(std::size_t fleetSize);
    /** Publishes the digest of the objects that this member has, and gossips the versions in @p announcedVersions. */
    void setObjects(std::uint64_t digest, const std::vector<ObjectVersion> &announcedVersions);
    /** Merges records that another member sent. */
    void mergeRecords(const std::vector<MemberRecord> &records);
    /** Announces that this member leaves; leaveAnnounced() is emitted later. */
    void leave();

    const Membership &membership() const;

Q_SIGNALS:
    /** The list of serving entry VMs, or the record of one, changed. */
    void entriesChanged(const std::vector<EntryMember> &entries);
    /** The list of members that may watch the platform changed. */
    void candidatesChanged(const std::vector<std::string> &names);
    /** Requests an anti-entropy comparison of member records with @p peer. */
    void memberComparisonRequested(const Endpoint &peer, const BucketDigests &digests, const std::string &availabilityZone);
    /** A member gossiped the digest and versions of its objects. */
    void peerDigestReceived(const PeerDigest &digest);
    /**
     * The announcement that this member leaves has been gossiped the required number of times, or there is no other
     * member.
     */
    void leaveAnnounced();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
