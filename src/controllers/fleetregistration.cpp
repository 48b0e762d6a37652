#include "controllers/fleetregistration.h"

#include "decision/ownership.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

namespace Plantainweir {
namespace {

struct RegistrationContext {
    FleetRegistration &registration;
    TimePoint now;
    std::mt19937_64 &random;
    std::vector<RegistrationAction> actions;
};

std::size_t liveCount(const FleetRegistration &registration)
{
    return static_cast<std::size_t>(std::count_if(registration.members.begin(), registration.members.end(), [](const auto &entry) {
        return isLive(entry.second.state);
    }));
}

/** Returns the rank of this member among those that can register: those that reach the store first, and of each zone one before all second ones. */
std::size_t rankOfSelf(const FleetRegistration &registration)
{
    std::vector<std::pair<std::uint64_t, const RegistrationMember *>> order;
    for (const auto &[name, member] : registration.members) {
        if (name == registration.self || (member.state == MemberState::Alive && !member.isLeaving)) {
            order.emplace_back(rendezvousWeight(name, "registrar"), &member);
        }
    }
    std::sort(order.begin(), order.end(), std::greater{});
    std::set<std::string> zones;
    const auto otherZones = std::stable_partition(order.begin(), order.end(), [&](const auto &entry) {
        return !entry.second->isStoreUnreachable && zones.insert(entry.second->availabilityZone).second;
    });
    std::stable_partition(otherZones, order.end(), [](const auto &entry) {
        return !entry.second->isStoreUnreachable;
    });
    const auto found = std::find_if(order.begin(), order.end(), [&](const auto &entry) {
        return entry.second->name == registration.self;
    });
    return static_cast<std::size_t>(found - order.begin());
}

bool isRegistrar(const FleetRegistration &registration)
{
    return registration.dutySince.has_value();
}

/** Returns when this member is to register if it has not, or nothing if others are to. */
std::optional<TimePoint> registrationDue(const FleetRegistration &registration)
{
    const FleetRegistrationSettings &settings = registration.settings;
    if (registration.largestSize <= 1) {
        return registration.startedAt + settings.loneTime;
    }
    const TimePoint quietAt = registration.grownAt + settings.quietTime;
    if (registration.isCompared) {
        return isRegistrar(registration) ? std::optional(std::max(quietAt, *registration.dutySince + settings.takeoverTime)) : std::nullopt;
    }
    if (registration.rank >= settings.maximumRank) {
        return std::nullopt;
    }
    const std::size_t delays = isRegistrar(registration) ? 0 : registration.rank + 1 - settings.registrars;
    return quietAt + settings.rankDelay * delays;
}

/** Returns when the registration has to be brought up to date, or nothing if it is. */
std::optional<TimePoint> updateDue(const FleetRegistration &registration)
{
    if (!isRegistrar(registration)) {
        return std::nullopt;
    }
    const SeenFleetSize largest = largestFleetSize(registration.sizes);
    const SeenFleetSize &written = *registration.written;
    const bool isOutdated = largest.size != written.size || largest.validUntil > written.validUntil + registration.settings.refreshTime;
    return isOutdated ? std::optional(registration.grownAt + registration.settings.growthTime) : std::nullopt;
}

/** Returns when the next call to the store is due, or nothing if none is. */
std::optional<TimePoint> nextCall(const FleetRegistration &registration)
{
    if (registration.phase != RegistrationPhase::Idle || registration.isLeaving) {
        return std::nullopt;
    }
    std::optional<TimePoint> due;
    if (!registration.written) {
        due = registrationDue(registration);
    } else if (!registration.hasListed) {
        due = registration.retryAt;
    } else if (isRegistrar(registration)) {
        due = std::min(updateDue(registration).value_or(registration.nextListAt), registration.nextListAt);
    }
    return due ? std::optional(std::max(*due, registration.retryAt)) : std::nullopt;
}

bool isWriteDue(const FleetRegistration &registration, TimePoint now)
{
    return !registration.written || (registration.hasListed && updateDue(registration).value_or(TimePoint::max()) <= now);
}

/** Returns when the comparison, or a change of the fleet's size, is to be announced; nothing if there is nothing to announce. */
std::optional<TimePoint> announcementDue(const FleetRegistration &registration)
{
    if (!registration.hasListed || registration.announcedSize == largestFleetSize(registration.sizes).size) {
        return std::nullopt;
    }
    if (registration.announcedSize != 0) {
        return registration.grownAt + registration.settings.growthTime;
    }
    return registration.unknown.empty() ? TimePoint{} : registration.answersUntil;
}

void rememberSizes(FleetRegistration &registration, TimePoint now)
{
    forgetFleetSizes(registration.sizes, now);
    rememberFleetSize(registration.sizes, liveCount(registration), now + FleetSizeValidity);
}

void startCall(RegistrationContext &context)
{
    FleetRegistration &registration = context.registration;
    const auto due = nextCall(registration);
    if (!due || *due > context.now) {
        return;
    }
    if (isWriteDue(registration, context.now)) {
        registration.phase = RegistrationPhase::Writing;
        registration.writing = largestFleetSize(registration.sizes);
        context.actions.emplace_back(WriteRegistration{
            .fleetSize = registration.writing.size, .fleetSizeValidUntil = registration.writing.validUntil, .isUpdate = registration.isObjectKnown});
        return;
    }
    registration.phase = RegistrationPhase::Listing;
    // Only a consistent list shows all that registered before this member did.
    context.actions.emplace_back(ListRegistrations{registration.hasListed ? ReadConsistency::Stale : ReadConsistency::Consistent});
}

void announce(RegistrationContext &context)
{
    FleetRegistration &registration = context.registration;
    const auto due = announcementDue(registration);
    if (!due || *due > context.now) {
        return;
    }
    registration.announcedSize = largestFleetSize(registration.sizes).size;
    registration.isCompared = true;
    context.actions.emplace_back(AnnounceComparison{.fleetSize = registration.announcedSize, .unanswered = registration.unknown.size()});
}

void scheduleRetry(RegistrationContext &context)
{
    context.registration.retryAt = context.now + context.registration.settings.retryDelay;
}

/** Returns a period that differs between members, so that they do not list at the same time. */
Duration randomPeriod(RegistrationContext &context)
{
    const Duration::rep period = context.registration.settings.comparisonPeriod.count();
    return Duration(std::uniform_int_distribution<Duration::rep>(period * 9 / 10, period * 11 / 10)(context.random));
}

/** Registers anew if @p era is new: the store may lack this member's registration, and that of others. */
void noteEra(FleetRegistration &registration, std::uint64_t era)
{
    if (era <= registration.era) {
        return;
    }
    const bool isReturned = registration.era != 0;
    registration.era = era;
    if (isReturned) {
        registration.written.reset();
        registration.isObjectKnown = false;
        registration.hasListed = false;
    }
}

/** Returns whether an answer of @p era is of an earlier one than the newest; then the call is repeated. */
bool isOutdated(RegistrationContext &context, std::uint64_t era)
{
    FleetRegistration &registration = context.registration;
    noteEra(registration, era);
    if (era < registration.era && era == 0) {
        // Further answers may not tell their era either.
        scheduleRetry(context);
    }
    return era < registration.era;
}

void handle(RegistrationContext &context, const RegistrationMembersChanged &event)
{
    FleetRegistration &registration = context.registration;
    registration.members.clear();
    for (const RegistrationMember &member : event.members) {
        registration.members.emplace(member.name, member);
        registration.isCompared = registration.isCompared || (isLive(member.state) && member.comparedFleetSize > 0);
    }
    const std::size_t size = liveCount(registration);
    if (size > registration.largestSize) {
        registration.largestSize = size;
        registration.grownAt = context.now;
    }
    registration.rank = rankOfSelf(registration);
    if (registration.rank >= registration.settings.registrars) {
        registration.dutySince.reset();
    } else if (!registration.dutySince) {
        registration.dutySince = context.now;
        registration.nextListAt = context.now;
    }
    std::erase_if(registration.unknown, [&](const auto &entry) {
        return registration.members.contains(entry.first);
    });
}

void handle(RegistrationContext &context, const RegistrationWritten &event)
{
    FleetRegistration &registration = context.registration;
    registration.phase = RegistrationPhase::Idle;
    if (isOutdated(context, event.era)) {
        return;
    }
    switch (event.outcome) {
    case RegistrationWriteOutcome::Written:
        registration.written = registration.writing;
        registration.isObjectKnown = true;
        return;
    case RegistrationWriteOutcome::Exists:
        registration.isObjectKnown = true;
        return;
    case RegistrationWriteOutcome::Missing:
        registration.isObjectKnown = false;
        registration.written.reset();
        break;
    case RegistrationWriteOutcome::Failed:
        break;
    }
    scheduleRetry(context);
}

/** Reckons with the fleet size that @p record tells, as long as it is valid. */
void rememberRegisteredSize(RegistrationContext &context, const EntryVmRecord &record, UnixMilliseconds wallClock)
{
    const std::chrono::milliseconds validity = std::min<std::chrono::milliseconds>(FleetSizeValidity, record.fleetSizeValidUntil - wallClock);
    if (validity.count() > 0) {
        rememberFleetSize(context.registration.sizes, record.fleetSize, context.now + validity);
    }
}

/** Removes the registration of a member that is not live if it was not renewed for long. */
void removeIfOld(RegistrationContext &context, const EntryVmRecord &record, UnixMilliseconds wallClock)
{
    // After the first list, its member has not been pinged yet.
    if (context.registration.hasListed && record.fleetSizeValidUntil <= wallClock) {
        context.actions.emplace_back(RemoveRegistration{record.name});
    }
}

void handle(RegistrationContext &context, const RegistrationsListed &event)
{
    FleetRegistration &registration = context.registration;
    registration.phase = RegistrationPhase::Idle;
    if (isOutdated(context, event.era)) {
        return;
    }
    if (!event.records) {
        scheduleRetry(context);
        return;
    }
    bool isListed = false;
    PingRegistered ping;
    registration.unknown.clear();
    for (const EntryVmRecord &record : *event.records) {
        isListed = isListed || record.name == registration.self;
        rememberRegisteredSize(context, record, event.wallClock);
        const auto member = registration.members.find(record.name);
        if (member == registration.members.end()) {
            registration.unknown.emplace(record.name, record);
        } else if (isLive(member->second.state)) {
            continue;
        }
        removeIfOld(context, record, event.wallClock);
        // One that is known as dead may have started anew, at another address.
        ping.endpoints.push_back(record.membershipEndpoint);
    }
    if (!ping.endpoints.empty()) {
        context.actions.emplace_back(std::move(ping));
    }
    if (!registration.hasListed) {
        registration.answersUntil = context.now + registration.settings.answerTime;
    }
    // After the store's return, others may have looked for this member before it has registered again.
    registration.hasListed = isListed && registration.written;
    if (!isListed && registration.written) {
        // Another member took this one for gone, or the object cannot be read.
        registration.written.reset();
        registration.isObjectKnown = false;
        scheduleRetry(context);
    }
    registration.nextListAt = context.now + randomPeriod(context);
}

void handle(RegistrationContext &context, const RegistrationEraSeen &event)
{
    noteEra(context.registration, event.era);
}

void handle(RegistrationContext &, const RegistrationTimerFired &) {}

void handle(RegistrationContext &context, const RegistrationLeaveRequested &)
{
    FleetRegistration &registration = context.registration;
    registration.isLeaving = true;
    if (registration.isObjectKnown) {
        context.actions.emplace_back(RemoveRegistration{registration.self});
    }
}

}

FleetRegistration makeFleetRegistration(const std::string &self, const FleetRegistrationSettings &settings, TimePoint now)
{
    FleetRegistration registration{.settings = settings, .self = self};
    registration.startedAt = now;
    registration.grownAt = now;
    return registration;
}

std::vector<RegistrationAction> step(FleetRegistration &registration, const RegistrationEvent &event, TimePoint now, std::mt19937_64 &random)
{
    RegistrationContext context{registration, now, random, {}};
    rememberSizes(registration, now);
    std::visit(
        [&context](const auto &alternative) {
            handle(context, alternative);
        },
        event);
    rememberSizes(registration, now);
    announce(context);
    startCall(context);
    return std::move(context.actions);
}

std::optional<TimePoint> nextDeadline(const FleetRegistration &registration, TimePoint now)
{
    std::optional<TimePoint> next = nextCall(registration);
    if (const auto announcement = announcementDue(registration)) {
        next = std::min(next.value_or(*announcement), *announcement);
    }
    return next ? std::optional(std::max(*next, now)) : std::nullopt;
}

}
