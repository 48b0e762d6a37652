#include "controllers/membership.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Plantainweir {
namespace {

/** How this member received a record. */
enum class RecordSource {
    Datagram, ///< As an update in a datagram.
    Exchange, ///< From the records of another member, perhaps of another partition of the fleet.
};

struct StepContext {
    Membership &membership;
    MembershipActions &actions;
    TimePoint now;
    std::mt19937_64 &random;
};

constexpr std::size_t MaximumRelayedPings = 256;
/** Maximum random increase over the incarnation of an earlier run. */
constexpr std::uint64_t MaximumIncarnationJump = 65'536;

std::size_t randomIndex(std::size_t count, std::mt19937_64 &random)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

/** Returns a random duration from zero to @p limit. */
Duration randomDuration(Duration limit, std::mt19937_64 &random)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, limit.count())(random));
}

/** Returns the decimal logarithm of the number of members, rounded up, at least one. */
std::uint32_t fleetSizeLogarithm(const Membership &membership)
{
    const auto members = static_cast<double>(membership.probeOrder.size() + 2);
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::ceil(std::log10(members))));
}

std::uint32_t transmissionLimit(const Membership &membership)
{
    return membership.settings.transmissionFactor * fleetSizeLogarithm(membership);
}

Duration suspicionTimeout(const Membership &membership)
{
    return membership.settings.period * (membership.settings.suspicionPeriods * fleetSizeLogarithm(membership));
}

const MemberRecord *findRecord(const Membership &membership, const std::string &name)
{
    const auto found = membership.members.find(name);
    return found == membership.members.end() ? nullptr : &found->second.record;
}

bool isLiveMember(const Membership &membership, const std::string &name)
{
    const MemberRecord *record = findRecord(membership, name);
    return record != nullptr && isLive(record->state);
}

bool isInOwnZone(const Membership &membership, const MemberRecord &record)
{
    return record.availabilityZone == selfRecord(membership).availabilityZone;
}

/** Returns whether @p name is a live member of another zone, and this member's zone is large. */
bool isAcrossZones(const Membership &membership, const std::string &name)
{
    const MemberRecord *record = findRecord(membership, name);
    return membership.zoneRole.isLargeZone && record != nullptr && !isInOwnZone(membership, *record);
}

/** Returns the live members of each zone. */
std::map<std::string, std::vector<const MemberRecord *>> liveRecordsByZone(const Membership &membership)
{
    std::map<std::string, std::vector<const MemberRecord *>> zones;
    for (const auto &[name, member] : membership.members) {
        if (isLive(member.record.state)) {
            zones[member.record.availabilityZone].push_back(&member.record);
        }
    }
    return zones;
}

/** Reduces the members of one zone to its carriers: the most capable ones, chosen alike by all members that know them. */
void keepCarriers(const Membership &membership, std::vector<const MemberRecord *> &zone)
{
    const auto rankOf = [](const MemberRecord *record) {
        return std::pair(record->capacity, rendezvousWeight(record->name, "carriers"));
    };
    const std::size_t count = std::min(membership.settings.carriersPerZone, zone.size());
    std::partial_sort(zone.begin(), zone.begin() + static_cast<std::ptrdiff_t>(count), zone.end(), [&rankOf](const auto *left, const auto *right) {
        return rankOf(left) > rankOf(right);
    });
    zone.resize(count);
}

void updateZoneRole(Membership &membership)
{
    auto zones = liveRecordsByZone(membership);
    auto &zone = zones[selfRecord(membership).availabilityZone];
    membership.zoneRole.isLargeZone = zone.size() >= membership.settings.largeZoneMembers;
    keepCarriers(membership, zone);
    const bool isChosen = std::find(zone.begin(), zone.end(), &selfRecord(membership)) != zone.end();
    membership.zoneRole.isCarrier = membership.zoneRole.isLargeZone && isChosen;
}

void toggleDigest(Membership &membership, const MemberRecord &record)
{
    if (isLive(record.state)) {
        toggleItem(membership.digests, record.name, record.incarnation);
    }
}

void queueRecord(Membership &membership, const std::string &name)
{
    membership.disseminationQueue.records[name] = transmissionLimit(membership);
    if (membership.zoneRole.isCarrier && isInOwnZone(membership, membership.members.at(name).record)) {
        membership.otherZonesQueue.records[name] = membership.settings.carrierRounds;
    }
}

void insertIntoProbeOrder(Membership &membership, const std::string &name, std::mt19937_64 &random)
{
    auto &order = membership.probeOrder;
    const std::size_t position = randomIndex(order.size() + 1, random);
    order.insert(order.begin() + static_cast<std::ptrdiff_t>(position), name);
}

TimePoint deadlineOf(const Membership &membership, MemberState state, TimePoint now)
{
    switch (state) {
    case MemberState::Alive:
        return TimePoint::max();
    case MemberState::Suspect:
        return now + suspicionTimeout(membership);
    case MemberState::Dead:
    case MemberState::Left:
        break;
    }
    return now + membership.settings.deadMemberRetention;
}

/** Stores @p record as the record of its member. All changes of records go through this function. */
void replaceRecord(const StepContext &context, const MemberRecord &record)
{
    Membership &membership = context.membership;
    const MemberRecord *known = findRecord(membership, record.name);
    const bool wasLive = known != nullptr && isLive(known->state);
    if (known != nullptr) {
        toggleDigest(membership, *known);
    }
    membership.members[record.name] = {.record = record, .deadline = deadlineOf(membership, record.state, context.now)};
    toggleDigest(membership, record);
    if (record.state == MemberState::Suspect) {
        membership.suspects.insert(record.name);
    } else {
        membership.suspects.erase(record.name);
    }
    if (!wasLive && isLive(record.state) && record.name != membership.self) {
        insertIntoProbeOrder(membership, record.name, context.random);
    }
    membership.lastChangeAt = context.now;
    context.actions.changes.push_back(record);
}

/** Announces a change of this member's own record at a higher incarnation. */
void announceSelf(const StepContext &context, MemberRecord record)
{
    ++record.incarnation;
    replaceRecord(context, record);
    queueRecord(context.membership, record.name);
}

void refuteIfContradicted(const StepContext &context, const MemberRecord &claim)
{
    MemberRecord record = selfRecord(context.membership);
    const bool isContradicted = std::tie(claim.incarnation, claim.state) > std::tie(record.incarnation, record.state);
    if (!isContradicted) {
        return;
    }
    const bool isFromEarlierRun = claim.incarnation > record.incarnation;
    if (isFromEarlierRun) {
        // The earlier run may have used higher incarnations than the claim's, which must not be used again.
        record.incarnation = claim.incarnation + randomIndex(MaximumIncarnationJump, context.random);
    }
    announceSelf(context, record);
    context.actions.isRefuted = true;
}

bool isAcceptable(const Membership &membership, const MemberRecord &record, RecordSource source)
{
    const MemberRecord *known = findRecord(membership, record.name);
    if (known != nullptr) {
        return std::tie(record.incarnation, record.state) > std::tie(known->incarnation, known->state);
    }
    // Accepting unknown dead members from exchanges would let their records circulate between members forever.
    const bool isRelevant = isLive(record.state) || source == RecordSource::Datagram;
    return isRelevant && membership.members.size() < membership.settings.maximumMembers;
}

void mergeRecord(const StepContext &context, MemberRecord record, RecordSource source)
{
    Membership &membership = context.membership;
    if (record.name == membership.self) {
        refuteIfContradicted(context, record);
        return;
    }
    // A member that is alive here may be dead in the other partition's records; suspecting it gives it time to refute.
    const bool isDowngraded = source == RecordSource::Exchange && record.state == MemberState::Dead && isLiveMember(membership, record.name);
    if (isDowngraded) {
        record.state = MemberState::Suspect;
    }
    if (!isAcceptable(membership, record, source)) {
        return;
    }
    replaceRecord(context, record);
    if (source == RecordSource::Datagram || isDowngraded) {
        queueRecord(membership, record.name);
    }
}

/** Changes the state of a member at its known incarnation, and queues the record for dissemination. */
void declareState(const StepContext &context, const std::string &name, MemberState state)
{
    MemberRecord record = context.membership.members.at(name).record;
    record.state = state;
    replaceRecord(context, record);
    queueRecord(context.membership, name);
}

void addSender(const Membership &membership, MembershipDatagram &datagram)
{
    datagram.sender = membership.self;
    datagram.membersDigest = combine(membership.digests);
    datagram.objectsDigest = membership.objectsDigest;
}

/** Fills @p datagram with updates from @p queue. */
void addUpdates(const Membership &membership, DisseminationQueue &queue, MembershipDatagram &datagram)
{
    const auto recordOf = [&membership](const std::string &name) {
        return findRecord(membership, name);
    };
    addPendingUpdates(queue, recordOf, membership.settings.payloadBytes, datagram);
}

/** Adds the sender, the digests and, unless the receiver is in another zone, pending updates to @p datagram and sends it. */
void send(const StepContext &context, const Endpoint &to, MembershipDatagram datagram)
{
    Membership &membership = context.membership;
    addSender(membership, datagram);
    if (!isAcrossZones(membership, datagram.target)) {
        addUpdates(membership, membership.disseminationQueue, datagram);
    }
    context.actions.datagrams.push_back({to, std::move(datagram)});
}

/** Returns up to @p count distinct random live members, without @p excluded, and of this zone only if it is large. */
std::vector<std::string> pickPeers(const StepContext &context, std::size_t count, const std::string &excluded)
{
    std::vector<std::string> candidates;
    for (const std::string &name : context.membership.probeOrder) {
        if (name != excluded && isLiveMember(context.membership, name) && !isAcrossZones(context.membership, name)) {
            candidates.push_back(name);
        }
    }
    std::vector<std::string> peers;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(peers), count, context.random);
    return peers;
}

/** Returns one random live member of each other zone. A carrier chooses among the other carriers, which it feeds. */
std::vector<std::string> pickFromOtherZones(const StepContext &context)
{
    std::vector<std::string> peers;
    for (auto &[zone, records] : liveRecordsByZone(context.membership)) {
        if (zone == selfRecord(context.membership).availabilityZone) {
            continue;
        }
        if (context.membership.zoneRole.isCarrier) {
            keepCarriers(context.membership, records);
        }
        peers.push_back(records[randomIndex(records.size(), context.random)]->name);
    }
    return peers;
}

/** Adds the record of the receiver @p name if it is not alive in this member's view, so that it can refute the claim. */
void addClaimAbout(const Membership &membership, const std::string &name, MembershipDatagram &datagram)
{
    const MemberRecord *record = findRecord(membership, name);
    if (record != nullptr && record->state != MemberState::Alive) {
        datagram.records.push_back(*record);
    }
}

MembershipDatagram makePing(const StepContext &context, const std::string &target)
{
    MembershipDatagram ping;
    ping.kind = DatagramKind::Ping;
    ping.sequence = ++context.membership.lastSequence;
    ping.target = target;
    addClaimAbout(context.membership, target, ping);
    return ping;
}

/** Pings a member that may not know this one; the ping carries this member's own record. */
void sendIntroductoryPing(const StepContext &context, const std::string &target, const Endpoint &endpoint)
{
    MembershipDatagram ping = makePing(context, target);
    ping.records.push_back(selfRecord(context.membership));
    send(context, endpoint, std::move(ping));
}

/** Removes dead and left members whose retention has ended, and shuffles the live ones for the next round of probes. */
void startRound(const StepContext &context)
{
    Membership &membership = context.membership;
    std::erase_if(membership.members, [&context, &membership](const auto &row) {
        return !isLive(row.second.record.state) && row.first != membership.self && row.second.deadline <= context.now;
    });
    membership.probeOrder.clear();
    for (const auto &[name, member] : membership.members) {
        if (isLive(member.record.state) && name != membership.self) {
            membership.probeOrder.push_back(name);
        }
    }
    std::shuffle(membership.probeOrder.begin(), membership.probeOrder.end(), context.random);
    membership.nextProbe = 0;
}

std::optional<std::string> nextInRound(Membership &membership)
{
    while (membership.nextProbe < membership.probeOrder.size()) {
        const std::string &name = membership.probeOrder[membership.nextProbe++];
        if (isLiveMember(membership, name) && !isAcrossZones(membership, name)) {
            return name;
        }
    }
    return std::nullopt;
}

/** Returns the member of another zone to probe, if one is due. */
std::optional<std::string> nextInOtherZone(const StepContext &context)
{
    Membership &membership = context.membership;
    if (!membership.zoneRole.isLargeZone || membership.periodsUntilOtherZone-- > 0) {
        return std::nullopt;
    }
    membership.periodsUntilOtherZone = membership.zoneRole.isCarrier ? 1 : membership.settings.otherZoneProbePeriods - 1;
    const std::vector<std::string> peers = pickFromOtherZones(context);
    return peers.empty() ? std::nullopt : std::optional(peers[randomIndex(peers.size(), context.random)]);
}

void startProbe(const StepContext &context)
{
    Membership &membership = context.membership;
    membership.probe.reset();
    auto target = nextInOtherZone(context);
    if (!target) {
        target = nextInRound(membership);
    }
    if (!target) {
        startRound(context);
        target = nextInRound(membership);
    }
    if (!target) {
        return;
    }
    MembershipDatagram ping = makePing(context, *target);
    membership.probe = Probe{.target = *target, .sequence = ping.sequence, .isIndirect = false, .nextStepAt = context.now + membership.settings.ackTimeout};
    send(context, membership.members.at(*target).record.membershipEndpoint, std::move(ping));
}

void sendPingRequests(const StepContext &context, Probe &probe)
{
    Membership &membership = context.membership;
    probe.isIndirect = true;
    probe.nextStepAt = std::max(context.now, membership.nextPeriodAt);
    const Endpoint endpoint = membership.members.at(probe.target).record.membershipEndpoint;
    for (const std::string &peer : pickPeers(context, membership.settings.indirectPings, probe.target)) {
        MembershipDatagram request;
        request.kind = DatagramKind::PingRequest;
        request.sequence = probe.sequence;
        request.target = probe.target;
        request.targetEndpoint = endpoint;
        send(context, membership.members.at(peer).record.membershipEndpoint, std::move(request));
    }
}

void advanceProbe(const StepContext &context)
{
    auto &probe = context.membership.probe;
    if (!probe || context.now < probe->nextStepAt) {
        return;
    }
    const MemberRecord *target = findRecord(context.membership, probe->target);
    if (target == nullptr || !isLive(target->state)) {
        probe.reset();
        return;
    }
    if (!probe->isIndirect) {
        sendPingRequests(context, *probe);
        return;
    }
    if (target->state == MemberState::Alive) {
        declareState(context, probe->target, MemberState::Suspect);
    }
    probe.reset();
}

void declareOverdueSuspects(const StepContext &context)
{
    const std::set<std::string> suspects = context.membership.suspects;
    for (const std::string &name : suspects) {
        if (context.membership.members.at(name).deadline <= context.now) {
            declareState(context, name, MemberState::Dead);
        }
    }
}

/** Returns the seeds that are not endpoints of live members. */
std::vector<Endpoint> missingSeeds(const Membership &membership)
{
    std::vector<Endpoint> missing = membership.seeds;
    for (const auto &[name, member] : membership.members) {
        if (isLive(member.record.state)) {
            std::erase(missing, member.record.membershipEndpoint);
        }
    }
    return missing;
}

/** Pings all missing seeds. VMs that start together and ping one seed each would know only the members of that seed. */
void pingMissingSeeds(const StepContext &context)
{
    Membership &membership = context.membership;
    if (context.now < membership.nextJoinAt || membership.nextJoinAt >= membership.joinUntil) {
        return;
    }
    membership.nextJoinAt = context.now + membership.settings.joinInterval;
    if (!isLive(selfRecord(membership).state)) {
        return;
    }
    for (const Endpoint &seed : missingSeeds(membership)) {
        sendIntroductoryPing(context, std::string(), seed);
    }
}

/** Pings a random dead member or missing seed, so that the partitions of a fleet merge again. */
void reconnect(const StepContext &context)
{
    const Membership &membership = context.membership;
    std::vector<std::pair<std::string, Endpoint>> targets;
    for (const auto &[name, member] : membership.members) {
        if (member.record.state == MemberState::Dead) {
            targets.emplace_back(name, member.record.membershipEndpoint);
        }
    }
    for (const Endpoint &seed : missingSeeds(membership)) {
        targets.emplace_back(std::string(), seed);
    }
    if (!targets.empty()) {
        const auto &[name, endpoint] = targets[randomIndex(targets.size(), context.random)];
        sendIntroductoryPing(context, name, endpoint);
    }
}

void startPeriod(const StepContext &context)
{
    Membership &membership = context.membership;
    if (context.now < membership.nextPeriodAt) {
        return;
    }
    membership.nextPeriodAt = context.now + membership.settings.period;
    updateZoneRole(membership);
    std::erase_if(membership.relays, [&context](const auto &row) {
        return row.second.expiresAt <= context.now;
    });
    if (!isLive(selfRecord(membership).state)) {
        return;
    }
    startProbe(context);
    const bool isAlone = !membership.probe;
    if (isAlone || membership.periodsUntilReconnect == 0) {
        membership.periodsUntilReconnect = membership.settings.reconnectPeriods;
        reconnect(context);
    }
    --membership.periodsUntilReconnect;
}

/** Sends the same updates to one member of each other zone. */
void sendGossipToOtherZones(const StepContext &context)
{
    Membership &membership = context.membership;
    if (!hasPendingUpdates(membership.otherZonesQueue)) {
        return;
    }
    MembershipDatagram datagram;
    addSender(membership, datagram);
    addUpdates(membership, membership.otherZonesQueue, datagram);
    for (const std::string &peer : pickFromOtherZones(context)) {
        datagram.target = peer;
        context.actions.datagrams.push_back({membership.members.at(peer).record.membershipEndpoint, datagram});
    }
}

void sendGossip(const StepContext &context)
{
    Membership &membership = context.membership;
    const bool isPending = hasPendingUpdates(membership.disseminationQueue) || hasPendingUpdates(membership.otherZonesQueue);
    if (!isPending || context.now < membership.nextGossipAt) {
        return;
    }
    membership.nextGossipAt = context.now + membership.settings.gossipInterval;
    sendGossipToOtherZones(context);
    if (!hasPendingUpdates(membership.disseminationQueue)) {
        return;
    }
    for (const std::string &peer : pickPeers(context, membership.settings.gossipFanout, std::string())) {
        MembershipDatagram datagram;
        datagram.target = peer;
        addClaimAbout(membership, peer, datagram);
        send(context, membership.members.at(peer).record.membershipEndpoint, std::move(datagram));
    }
}

/**
 * Detects a pause of this process. Resets its probe and restarts its suspicion timeouts, because acks that it could not
 * receive during the pause say nothing about the other members.
 */
void detectPause(const StepContext &context)
{
    Membership &membership = context.membership;
    if (context.now <= nextDeadline(membership) + membership.settings.period) {
        return;
    }
    membership.probe.reset();
    membership.nextPeriodAt = context.now;
    for (const std::string &name : membership.suspects) {
        membership.members.at(name).deadline = context.now + suspicionTimeout(membership);
    }
    context.actions.isResumed = true;
}

void acknowledge(const StepContext &context, const Endpoint &to, const MembershipDatagram &ping)
{
    MembershipDatagram ack;
    ack.kind = DatagramKind::Ack;
    ack.sequence = ping.sequence;
    ack.target = ping.sender;
    addClaimAbout(context.membership, ping.sender, ack);
    const bool isUnknownSender = !isLiveMember(context.membership, ping.sender);
    const bool isClaimRefuted = std::any_of(ping.records.begin(), ping.records.end(), [&context](const MemberRecord &record) {
        return record.name == context.membership.self;
    });
    if (isUnknownSender || isClaimRefuted || ping.target.empty()) {
        ack.records.push_back(selfRecord(context.membership));
    }
    send(context, to, std::move(ack));
}

void relayPing(const StepContext &context, const Endpoint &from, const MembershipDatagram &request)
{
    Membership &membership = context.membership;
    if (membership.relays.size() >= MaximumRelayedPings) {
        return;
    }
    MembershipDatagram ping = makePing(context, request.target);
    membership.relays[ping.sequence] = {.requester = from, .requesterSequence = request.sequence, .expiresAt = context.now + membership.settings.period};
    send(context, request.targetEndpoint, std::move(ping));
}

void handleAck(const StepContext &context, std::uint64_t sequence)
{
    Membership &membership = context.membership;
    if (membership.probe && membership.probe->sequence == sequence) {
        membership.probe.reset();
        return;
    }
    const auto relay = membership.relays.find(sequence);
    if (relay == membership.relays.end()) {
        return;
    }
    MembershipDatagram ack;
    ack.kind = DatagramKind::Ack;
    ack.sequence = relay->second.requesterSequence;
    const Endpoint requester = relay->second.requester;
    membership.relays.erase(relay);
    send(context, requester, std::move(ack));
}

/** Requests an exchange of records if the sender's digest differs and the records here have been stable for a while. */
void maybeRequestExchange(const StepContext &context, const MembershipDatagram &datagram)
{
    Membership &membership = context.membership;
    const MembershipSettings &settings = membership.settings;
    const bool isEqual = datagram.membersDigest == combine(membership.digests);
    const bool isJoining = !membership.isSynchronized || context.now < membership.joinUntil;
    const bool areRecordsStable = isJoining || context.now >= membership.lastChangeAt + 2 * settings.period;
    if (isEqual || !areRecordsStable || context.now < membership.nextSynchronizeAt || !isLiveMember(membership, datagram.sender)) {
        return;
    }
    const bool isAcross = isAcrossZones(membership, datagram.sender);
    if (isAcross && !membership.zoneRole.isCarrier && context.now < membership.nextOtherZoneSynchronizeAt) {
        return;
    }
    const Duration wait = isJoining ? settings.joinInterval : settings.synchronizePeriod + randomDuration(settings.synchronizePeriod, context.random);
    membership.nextSynchronizeAt = context.now + wait;
    if (isAcross) {
        membership.nextOtherZoneSynchronizeAt
            = context.now + settings.otherZoneSynchronizePeriod + randomDuration(settings.otherZoneSynchronizePeriod, context.random);
    }
    const MemberRecord &peer = membership.members.at(datagram.sender).record;
    context.actions.synchronizeWith = peer.exchangeEndpoint;
    // The members of this zone, once known, send the records of the other zones at no price.
    const bool isZoneEnough = isJoining && !membership.zoneRole.isLargeZone && !isInOwnZone(membership, peer) && !membership.wantsAllZones;
    context.actions.synchronizedZone = isZoneEnough ? selfRecord(membership).availabilityZone : std::string();
}

void respond(const StepContext &context, const DatagramReceived &event)
{
    switch (event.datagram.kind) {
    case DatagramKind::Ping:
        acknowledge(context, event.from, event.datagram);
        return;
    case DatagramKind::PingRequest:
        relayPing(context, event.from, event.datagram);
        return;
    case DatagramKind::Ack:
        handleAck(context, event.datagram.sequence);
        return;
    case DatagramKind::Gossip:
        return;
    }
}

void handle(const StepContext &context, const MembershipTimerFired &)
{
    advanceProbe(context);
    declareOverdueSuspects(context);
    startPeriod(context);
    pingMissingSeeds(context);
    sendGossip(context);
}

void handle(const StepContext &context, const DatagramReceived &event)
{
    Membership &membership = context.membership;
    const MembershipDatagram &datagram = event.datagram;
    const bool isForOtherMember = datagram.kind == DatagramKind::Ping && !datagram.target.empty() && datagram.target != membership.self;
    if (isForOtherMember || datagram.sender == membership.self) {
        return;
    }
    for (const MemberRecord &record : datagram.records) {
        mergeRecord(context, record, RecordSource::Datagram);
        const MemberRecord *known = findRecord(membership, record.name);
        const bool isFromEarlierRun = record.name == datagram.sender && known != nullptr && known->incarnation > record.incarnation;
        if (isFromEarlierRun) {
            // The sender restarted with a clock that was set back; the record of its earlier run makes it raise its incarnation.
            queueRecord(membership, record.name);
        }
    }
    respond(context, event);
    maybeRequestExchange(context, datagram);
    const MemberRecord *sender = findRecord(membership, datagram.sender);
    if (sender != nullptr && isLive(sender->state)) {
        context.actions.peerDigest = PeerDigest{sender->exchangeEndpoint, datagram.objectsDigest, datagram.announcedVersions};
    }
}

void handle(const StepContext &context, const EntryChanged &event)
{
    MemberRecord record = selfRecord(context.membership);
    std::optional<EntryMember> entry = event.entry;
    if (entry) {
        entry->name = record.name;
        entry->availabilityZone = record.availabilityZone;
    }
    if (record.entry == entry || record.state == MemberState::Left) {
        return;
    }
    record.entry = entry;
    announceSelf(context, record);
}

void handle(const StepContext &context, const PlatformReachabilityChanged &event)
{
    MemberRecord record = selfRecord(context.membership);
    if (record.isPlatformUnreachable == event.isUnreachable || record.state == MemberState::Left) {
        return;
    }
    record.isPlatformUnreachable = event.isUnreachable;
    announceSelf(context, record);
}

void handle(const StepContext &context, const FleetCompared &event)
{
    MemberRecord record = selfRecord(context.membership);
    if (record.comparedFleetSize == event.fleetSize || record.state == MemberState::Left) {
        return;
    }
    record.comparedFleetSize = event.fleetSize;
    announceSelf(context, record);
}

void handle(const StepContext &context, const LeaveRequested &)
{
    MemberRecord record = selfRecord(context.membership);
    if (record.state == MemberState::Left) {
        return;
    }
    record.state = MemberState::Left;
    record.entry.reset();
    announceSelf(context, record);
}

void handle(const StepContext &context, const SeedsChanged &event)
{
    Membership &membership = context.membership;
    const bool hasNewSeed = std::any_of(event.seeds.begin(), event.seeds.end(), [&membership](const Endpoint &seed) {
        return std::find(membership.seeds.begin(), membership.seeds.end(), seed) == membership.seeds.end();
    });
    membership.seeds = event.seeds;
    if (hasNewSeed) {
        membership.nextJoinAt = context.now;
        membership.joinUntil = context.now + membership.settings.joinDuration;
    }
}

void handle(const StepContext &context, const RecordsReceived &event)
{
    Membership &membership = context.membership;
    membership.isSynchronized = true;
    for (const MemberRecord &record : event.records) {
        mergeRecord(context, record, RecordSource::Exchange);
    }
    const bool hasZonePeer = std::any_of(membership.probeOrder.begin(), membership.probeOrder.end(), [&membership](const std::string &name) {
        return isLiveMember(membership, name) && isInOwnZone(membership, membership.members.at(name).record);
    });
    membership.wantsAllZones = !hasZonePeer;
    updateZoneRole(membership);
}

void handle(const StepContext &context, const ObjectsChanged &event)
{
    Membership &membership = context.membership;
    membership.objectsDigest = event.digest;
    for (const ObjectVersion &announced : event.announcedVersions) {
        membership.disseminationQueue.announcedVersions[announced.key] = {.version = announced.version, .transmissionsLeft = transmissionLimit(membership)};
        if (membership.zoneRole.isCarrier) {
            membership.otherZonesQueue.announcedVersions[announced.key]
                = {.version = announced.version, .transmissionsLeft = membership.settings.carrierRounds};
        }
    }
}

}

Membership makeMembership(const MemberRecord &self, const MembershipSettings &settings, TimePoint now, std::mt19937_64 &random)
{
    Membership membership;
    membership.settings = settings;
    membership.self = self.name;
    membership.lastSequence = random();
    membership.joinUntil = now + settings.joinDuration;
    membership.nextJoinAt = now;
    membership.nextPeriodAt = now;
    membership.nextGossipAt = now;
    membership.nextSynchronizeAt = now;
    MembershipActions actions;
    replaceRecord({membership, actions, now, random}, self);
    queueRecord(membership, self.name);
    return membership;
}

MembershipActions step(Membership &membership, const MembershipEvent &event, TimePoint now, std::mt19937_64 &random)
{
    MembershipActions actions;
    const StepContext context{membership, actions, now, random};
    detectPause(context);
    std::visit(
        [&context](const auto &alternative) {
            handle(context, alternative);
        },
        event);
    // The gossip deadline is inactive while no update is pending; passing it then is not a pause of the process.
    membership.nextGossipAt = std::max(membership.nextGossipAt, now);
    return actions;
}

TimePoint nextDeadline(const Membership &membership)
{
    TimePoint deadline = membership.nextPeriodAt;
    if (membership.nextJoinAt < membership.joinUntil) {
        deadline = std::min(deadline, membership.nextJoinAt);
    }
    if (membership.probe) {
        deadline = std::min(deadline, membership.probe->nextStepAt);
    }
    const bool isPending = hasPendingUpdates(membership.disseminationQueue) || hasPendingUpdates(membership.otherZonesQueue);
    if (isPending && !membership.probeOrder.empty()) {
        deadline = std::min(deadline, membership.nextGossipAt);
    }
    for (const std::string &name : membership.suspects) {
        deadline = std::min(deadline, membership.members.at(name).deadline);
    }
    return deadline;
}

const MemberRecord &selfRecord(const Membership &membership)
{
    return membership.members.at(membership.self).record;
}

bool isSelfRecordPending(const Membership &membership)
{
    return membership.disseminationQueue.records.contains(membership.self);
}

std::vector<EntryMember> servingEntries(const Membership &membership)
{
    std::vector<EntryMember> entries;
    for (const auto &[name, member] : membership.members) {
        if (isLive(member.record.state) && member.record.entry) {
            entries.push_back(*member.record.entry);
        }
    }
    return entries;
}

std::vector<std::string> liveMembers(const Membership &membership)
{
    std::vector<std::string> names;
    for (const auto &[name, member] : membership.members) {
        if (isLive(member.record.state)) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<std::string> watcherCandidates(const Membership &membership)
{
    std::vector<std::string> names;
    for (const auto &[name, member] : membership.members) {
        if (isLive(member.record.state) && !member.record.isPlatformUnreachable) {
            names.push_back(name);
        }
    }
    return names.empty() ? liveMembers(membership) : names;
}

std::vector<MemberRecord> recordsInDifferingBuckets(const Membership &membership, const BucketDigests &digests, const std::string &availabilityZone)
{
    std::vector<MemberRecord> records;
    for (const auto &[name, member] : membership.members) {
        const std::size_t bucket = bucketOf(name);
        const bool isWanted = availabilityZone.empty() || member.record.availabilityZone == availabilityZone;
        if (isWanted && membership.digests.at(bucket) != digests.at(bucket)) {
            records.push_back(member.record);
        }
    }
    return records;
}

}
