#include "rpc/storemessages.h"

#include "configuration/clientaccounts.h"
#include "rpc/controlmessages.h"

#include <algorithm>
#include <cmath>

namespace Plantainweir {
namespace {

// The functions of the same names below would hide these.
using Plantainweir::fromMessage;
using Plantainweir::toMessage;

/** Longer durations are malformed. */
constexpr std::chrono::hours MaximumDuration{24 * 365};
constexpr std::size_t MaximumSenderBytes = 64;

std::uint64_t microseconds(Duration duration)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::microseconds>(duration).count()));
}

std::optional<Duration> durationOf(std::uint64_t microseconds)
{
    constexpr auto Maximum = static_cast<std::uint64_t>(std::chrono::microseconds(MaximumDuration).count());
    return microseconds <= Maximum ? std::optional<Duration>(std::chrono::microseconds(microseconds)) : std::nullopt;
}

/** Returns the kind with @p number among the kinds that feeds carry. */
std::optional<StoreObjectKind> feedKind(std::uint32_t number)
{
    const auto kind = static_cast<StoreObjectKind>(number);
    const bool isFed = kind == StoreObjectKind::Configuration || kind == StoreObjectKind::Upstreams || kind == StoreObjectKind::Evacuations;
    return isFed ? std::optional(kind) : std::nullopt;
}

StoreProtocol::Route toMessage(const Route &route)
{
    StoreProtocol::Route message;
    message.set_name(route.name);
    message.set_host(route.host);
    message.set_path_prefix(route.pathPrefix);
    message.set_repeatability(std::string(nameOf(route.repeatability)));
    message.set_timeout_microseconds(microseconds(route.timeout));
    message.set_target_microseconds(microseconds(route.target));
    message.set_priority(route.priority);
    message.set_maximum_attempts(route.maximumAttempts);
    for (const RouteTarget &target : route.targets) {
        StoreProtocol::RouteTarget *row = message.add_targets();
        row->set_service(target.service);
        row->set_weight(target.weight);
    }
    message.set_is_public(route.isPublic);
    return message;
}

std::optional<Route> fromMessage(const StoreProtocol::Route &message)
{
    const auto repeatability = valueNamed<Repeatability>(message.repeatability());
    const auto timeout = durationOf(message.timeout_microseconds());
    const auto target = durationOf(message.target_microseconds());
    if (!repeatability || !timeout || !target || message.targets().empty()) {
        return std::nullopt;
    }
    Route route{.name = message.name(),
                .host = message.host(),
                .pathPrefix = message.path_prefix(),
                .repeatability = *repeatability,
                .timeout = *timeout,
                .target = *target,
                .priority = message.priority(),
                .maximumAttempts = std::max(1U, message.maximum_attempts()),
                .targets = {},
                .isPublic = message.is_public()};
    for (const StoreProtocol::RouteTarget &row : message.targets()) {
        route.targets.push_back({.service = row.service(), .weight = row.weight()});
    }
    return route;
}

StoreProtocol::ClientAccount toMessage(const ClientAccount &account)
{
    StoreProtocol::ClientAccount message;
    message.set_name(account.name);
    for (const KeyDigest &key : account.keys) {
        message.add_key_digests(key.data(), key.size());
    }
    if (account.priority) {
        message.set_priority(*account.priority);
    }
    message.set_calls_per_second(account.callsPerSecond);
    message.set_burst(account.burst);
    return message;
}

std::optional<ClientAccount> fromMessage(const StoreProtocol::ClientAccount &message)
{
    ClientAccount account{.name = message.name(), .callsPerSecond = message.calls_per_second(), .burst = message.burst()};
    for (const std::string &bytes : message.key_digests()) {
        KeyDigest &key = account.keys.emplace_back();
        if (bytes.size() != key.size()) {
            return std::nullopt;
        }
        std::copy(bytes.begin(), bytes.end(), key.begin());
    }
    if (message.has_priority()) {
        account.priority = message.priority();
    }
    return account;
}

StoreProtocol::RouteTable toMessage(const RouteTable &table)
{
    StoreProtocol::RouteTable message;
    message.set_version(table.version);
    for (const Route &route : table.routes) {
        *message.add_routes() = toMessage(route);
    }
    for (const auto &[name, service] : table.services) {
        StoreProtocol::RoutedService *row = message.add_services();
        row->set_name(service.name);
        row->set_health_path(service.healthPath);
        row->set_connection_limit(service.connectionLimit);
        row->set_cold_calls_per_second(service.coldCallsPerSecond);
    }
    for (const auto &[name, account] : table.accounts) {
        *message.add_accounts() = toMessage(account);
    }
    message.mutable_limits()->set_header_bytes(table.limits.headerBytes);
    message.mutable_limits()->set_body_bytes(table.limits.bodyBytes);
    message.mutable_limits()->set_header_timeout_microseconds(microseconds(table.limits.headerTimeout));
    message.mutable_limits()->set_idle_timeout_microseconds(microseconds(table.limits.idleTimeout));
    return message;
}

std::optional<CallerLimits> fromMessage(const StoreProtocol::CallerLimits &message)
{
    const auto headerTimeout = durationOf(message.header_timeout_microseconds());
    const auto idleTimeout = durationOf(message.idle_timeout_microseconds());
    if (!headerTimeout || !idleTimeout) {
        return std::nullopt;
    }
    return CallerLimits{.headerBytes = message.header_bytes(), .bodyBytes = message.body_bytes(), .headerTimeout = *headerTimeout, .idleTimeout = *idleTimeout};
}

std::optional<RouteTable> fromMessage(const StoreProtocol::RouteTable &message)
{
    const auto limits = fromMessage(message.limits());
    if (!limits) {
        return std::nullopt;
    }
    RouteTable table{.version = message.version(), .routes = {}, .services = {}, .limits = *limits};
    for (const StoreProtocol::Route &row : message.routes()) {
        auto route = fromMessage(row);
        if (!route) {
            return std::nullopt;
        }
        table.routes.push_back(std::move(*route));
    }
    for (const StoreProtocol::RoutedService &row : message.services()) {
        if (!std::isfinite(row.cold_calls_per_second()) || row.cold_calls_per_second() < 0.0) {
            return std::nullopt;
        }
        table.services[row.name()] = {
            .name = row.name(), .healthPath = row.health_path(), .connectionLimit = row.connection_limit(), .coldCallsPerSecond = row.cold_calls_per_second()};
    }
    for (const StoreProtocol::ClientAccount &row : message.accounts()) {
        auto account = fromMessage(row);
        if (!account || !table.accounts.emplace(row.name(), std::move(*account)).second) {
            return std::nullopt;
        }
    }
    return hasValidAccounts(table) ? std::optional(std::move(table)) : std::nullopt;
}

StoreProtocol::Upstream toMessage(const UpstreamRecord &record)
{
    StoreProtocol::Upstream message;
    message.set_service(record.service);
    *message.mutable_endpoint() = toMessage(record.endpoint);
    message.set_availability_zone(record.availabilityZone);
    message.set_slots(record.slots);
    message.set_draining(record.isDraining);
    message.set_cold_microseconds(microseconds(record.coldTime));
    message.set_started_at_ms(record.startedAtMs);
    return message;
}

std::optional<UpstreamRecord> fromMessage(const std::string &id, const StoreProtocol::Upstream &message)
{
    const auto endpoint = fromMessage(message.endpoint());
    const auto coldTime = durationOf(message.cold_microseconds());
    if (!endpoint || !coldTime || message.slots() == 0) {
        return std::nullopt;
    }
    return UpstreamRecord{.id = id,
                          .service = message.service(),
                          .endpoint = *endpoint,
                          .availabilityZone = message.availability_zone(),
                          .slots = message.slots(),
                          .isDraining = message.draining(),
                          .coldTime = *coldTime,
                          .startedAtMs = message.started_at_ms()};
}

std::optional<StoreDelta> fromMessage(const StoreProtocol::Delta &message)
{
    const auto kind = feedKind(message.kind());
    if (!kind || message.revision() == 0) {
        return std::nullopt;
    }
    StoreDelta delta{.kind = *kind,
                     .isComplete = message.complete(),
                     .revision = {.era = message.era(), .number = message.revision()},
                     .since = message.since() == 0 ? StoreRevision{} : StoreRevision{.era = message.era(), .number = message.since()},
                     .objects = {}};
    for (const StoreProtocol::Object &row : message.objects()) {
        auto object = fromMessage(row);
        if (!object) {
            return std::nullopt;
        }
        delta.objects.push_back(std::move(*object));
    }
    for (const StoreProtocol::Object &row : message.stored()) {
        auto object = fromMessage(row);
        if (!object) {
            return std::nullopt;
        }
        delta.stored.push_back(std::move(*object));
    }
    return delta;
}

}

StoreProtocol::Object toMessage(const StoreObject &object)
{
    StoreProtocol::Object message;
    message.set_name(object.name);
    message.set_revision(object.revision.number);
    message.set_era(object.revision.era);
    message.set_deleted(object.isDeleted);
    message.set_writer_incarnation(object.order.incarnation);
    message.set_writer_sequence(object.order.sequence);
    if (const auto *table = std::get_if<RouteTable>(&object.value)) {
        *message.mutable_route_table() = toMessage(*table);
    } else if (const auto *upstream = std::get_if<UpstreamRecord>(&object.value)) {
        *message.mutable_upstream() = toMessage(*upstream);
    } else if (std::holds_alternative<EvacuationRecord>(object.value)) {
        message.mutable_evacuation();
    }
    return message;
}

std::optional<StoreObject> fromMessage(const StoreProtocol::Object &message)
{
    if (message.name().empty()) {
        return std::nullopt;
    }
    StoreObject object{.name = message.name(),
                       .revision = {.era = message.era(), .number = message.revision()},
                       .isDeleted = message.deleted(),
                       .order = {.incarnation = message.writer_incarnation(), .sequence = message.writer_sequence()},
                       .value = {}};
    if (message.has_route_table()) {
        if (auto table = fromMessage(message.route_table())) {
            object.value = std::move(*table);
        }
    } else if (message.has_upstream()) {
        if (auto upstream = fromMessage(message.name(), message.upstream())) {
            object.value = std::move(*upstream);
        }
    } else if (message.has_evacuation()) {
        object.value = EvacuationRecord{message.name()};
    }
    return object;
}

StoreProtocol::Delta toMessage(const StoreDelta &delta)
{
    StoreProtocol::Delta message;
    message.set_kind(static_cast<std::uint32_t>(delta.kind));
    message.set_complete(delta.isComplete);
    message.set_revision(delta.revision.number);
    message.set_era(delta.revision.era);
    message.set_since(delta.since.number);
    for (const StoreObject &object : delta.objects) {
        *message.add_objects() = toMessage(object);
    }
    for (const StoreObject &object : delta.stored) {
        *message.add_stored() = toMessage(object);
    }
    return message;
}

StoreProtocol::FeedUpdate toMessage(const FeedUpdate &update)
{
    StoreProtocol::FeedUpdate message;
    message.set_outage_microseconds(microseconds(update.outage));
    for (const StoreDelta &delta : update.deltas) {
        *message.add_deltas() = toMessage(delta);
    }
    for (const StoreConfirmation &confirmation : update.confirmations) {
        StoreProtocol::Confirmation *row = message.add_confirmations();
        row->set_kind(static_cast<std::uint32_t>(confirmation.kind));
        row->set_era(confirmation.era);
        row->set_age_microseconds(microseconds(confirmation.age));
    }
    message.set_era_age_microseconds(microseconds(update.eraAge));
    message.set_reading(update.isSenderReading);
    message.set_echoed_microseconds(microseconds(update.echoedAt.time_since_epoch()));
    return message;
}

EncodedFeedUpdate encode(const FeedUpdate &update)
{
    return std::make_shared<const std::string>(toMessage(update).SerializeAsString());
}

std::optional<FeedUpdate> fromMessage(const StoreProtocol::FeedUpdate &message)
{
    const auto outage = durationOf(message.outage_microseconds());
    const auto echoed = durationOf(message.echoed_microseconds());
    const auto eraAge = durationOf(message.era_age_microseconds());
    if (!outage || !echoed || !eraAge) {
        return std::nullopt;
    }
    FeedUpdate update{
        .outage = *outage, .deltas = {}, .confirmations = {}, .eraAge = *eraAge, .isSenderReading = message.reading(), .echoedAt = TimePoint(*echoed)};
    for (const StoreProtocol::Delta &row : message.deltas()) {
        auto delta = fromMessage(row);
        if (!delta) {
            return std::nullopt;
        }
        update.deltas.push_back(std::move(*delta));
    }
    for (const StoreProtocol::Confirmation &row : message.confirmations()) {
        const auto kind = feedKind(row.kind());
        const auto age = durationOf(row.age_microseconds());
        if (!kind || !age) {
            return std::nullopt;
        }
        update.confirmations.push_back({.kind = *kind, .era = row.era(), .age = *age});
    }
    return update;
}

StoreProtocol::FollowRequest toMessage(const FeedRequest &request)
{
    StoreProtocol::FollowRequest message;
    message.set_sender(request.sender);
    for (const StoreRevision &revision : request.revisions) {
        StoreProtocol::Revision *row = message.add_revisions();
        row->set_era(revision.era);
        row->set_number(revision.number);
    }
    message.set_sent_at_microseconds(microseconds(request.sentAt.time_since_epoch()));
    return message;
}

std::optional<FeedRequest> fromMessage(const StoreProtocol::FollowRequest &message)
{
    const auto sentAt = durationOf(message.sent_at_microseconds());
    if (message.sender().empty() || message.sender().size() > MaximumSenderBytes || !sentAt) {
        return std::nullopt;
    }
    FeedRequest request{.sender = message.sender(), .revisions = {}, .sentAt = TimePoint(*sentAt)};
    const std::size_t count = std::min(request.revisions.size(), static_cast<std::size_t>(message.revisions_size()));
    for (std::size_t index = 0; index < count; ++index) {
        const StoreProtocol::Revision &row = message.revisions(static_cast<int>(index));
        request.revisions.at(index) = {.era = row.era(), .number = row.number()};
    }
    return request;
}

}
