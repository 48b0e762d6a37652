#include "controlsteps.h"

#include "controllers/distribution.h"
#include "controllers/membership.h"

#include <QJsonObject>

#include <functional>

namespace Plantainweir {
namespace {

constexpr std::size_t TargetServices = 1200;
constexpr std::size_t TargetUpstreams = 8200;

/** Runs @p step @p count times and returns a row with the mean time of one. */
QJsonObject measureStep(const QString &name, std::size_t tableSize, std::size_t count, const std::function<void(std::size_t)> &step)
{
    const TimePoint start = Clock::now();
    for (std::size_t index = 0; index < count; ++index) {
        step(index);
    }
    const double microseconds = toMilliseconds(Clock::now() - start) * 1000.0 / static_cast<double>(count);
    return {{"step", name}, {"table_size", static_cast<double>(tableSize)}, {"microseconds", microseconds}};
}

MemberRecord makeRecord(std::size_t index, std::uint64_t incarnation)
{
    const Endpoint endpoint{"10.0.0.1", static_cast<std::uint16_t>(index)};
    return {.name = "member" + std::to_string(index),
            .incarnation = incarnation,
            .state = MemberState::Alive,
            .membershipEndpoint = endpoint,
            .exchangeEndpoint = endpoint,
            .availabilityZone = "regina",
            .entry = EntryMember{.name = "member" + std::to_string(index),
                                 .incarnation = "run",
                                 .callerEndpoint = endpoint,
                                 .peerEndpoint = endpoint,
                                 .availabilityZone = "regina"}};
}

void measureMembership(std::size_t members, QJsonArray &rows)
{
    std::mt19937_64 random(1);
    TimePoint now{std::chrono::hours(1)};
    Membership membership = makeMembership(makeRecord(0, 1), {}, now, random);
    std::vector<MemberRecord> records;
    records.reserve(members);
    for (std::size_t index = 1; index < members; ++index) {
        records.push_back(makeRecord(index, 1));
    }
    step(membership, RecordsReceived{records}, now, random);
    MembershipDatagram ping;
    ping.kind = DatagramKind::Ping;
    ping.sender = "member1";
    ping.membersDigest = combine(membership.digests);
    rows.append(measureStep("membership_ping_received", members, 20'000, [&](std::size_t) {
        step(membership, DatagramReceived{{"10.0.0.1", 1}, ping}, now, random);
    }));
    rows.append(measureStep("membership_period", members, 5'000, [&](std::size_t) {
        now += std::chrono::seconds(1);
        const MembershipActions actions = step(membership, MembershipTimerFired{}, now, random);
        MembershipDatagram ack;
        ack.kind = DatagramKind::Ack;
        ack.sender = "member1";
        ack.membersDigest = combine(membership.digests);
        ack.sequence = membership.probe ? membership.probe->sequence : 0;
        step(membership, DatagramReceived{{"10.0.0.1", 1}, ack}, now, random);
    }));
    rows.append(measureStep("membership_record_changed", members, 2'000, [&](std::size_t index) {
        MembershipDatagram update;
        update.sender = "member1";
        update.records = {makeRecord(1 + index % (members - 1), 2 + index)};
        step(membership, DatagramReceived{{"10.0.0.1", 1}, update}, now, random);
    }));
}

Service makeService(std::size_t index, std::uint64_t version, std::size_t services)
{
    Service service{.name = "service" + std::to_string(index), .version = version, .isRemoved = false, .upstreams = {}};
    const std::size_t upstreams = TargetUpstreams * services / TargetServices / services + 1;
    for (std::size_t upstream = 0; upstream < upstreams; ++upstream) {
        service.upstreams.push_back(
            {.name = "upstream" + std::to_string(upstream), .endpoint = {"10.0.0.1", 80}, .availabilityZone = "regina", .slots = 3, .connectionLimit = 200});
    }
    return service;
}

void measureDistribution(std::size_t services, QJsonArray &rows)
{
    std::mt19937_64 random(1);
    const TimePoint now{std::chrono::hours(1)};
    Distribution distribution{.settings = {}, .self = "a", .configuration = {}, .statuses = {}, .pendingObjects = {}, .missingVersions = {}};
    for (std::size_t index = 0; index < services; ++index) {
        step(distribution, ServiceReceived{makeService(index, 1, services)}, now, random);
    }
    step(distribution, PlatformSnapshotReceived{}, now, random);
    rows.append(measureStep("distribution_heartbeat_heard", services, 20'000, [&](std::size_t) {
        step(distribution, PeerDigestReceived{{"10.0.0.1", 1}, combine(distribution.digests), {}}, now, random);
    }));
    rows.append(measureStep("distribution_service_adopted", services, 5'000, [&](std::size_t index) {
        step(distribution, ServiceReceived{makeService(index % services, 2 + index, services)}, now, random);
    }));
    rows.append(measureStep("distribution_comparison_answered", services, 200, [&](std::size_t) {
        BucketDigests other = distribution.digests;
        other[0] = ~other[0];
        versionsInDifferingBuckets(distribution, other);
    }));
}

}

QJsonArray measureControlSteps()
{
    QJsonArray rows;
    for (const std::size_t members : {10U, 100U, 1000U}) {
        measureMembership(members, rows);
    }
    for (const std::size_t services : {12U, 120U, 1200U}) {
        measureDistribution(services, rows);
    }
    return rows;
}

}
