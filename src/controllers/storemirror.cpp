#include "controllers/storemirror.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Plantainweir {
namespace {

/** Deleted objects that are kept for other entry VMs that still have to learn of them. */
constexpr std::size_t MaximumDeletedObjects = 2048;
constexpr std::size_t MaximumUnknownRanges = 64;
/** Upstreams write their entries again within about two seconds of the store's return. */
constexpr std::chrono::milliseconds MissingHoldTime{2400};
/** The entry of an upstream that has left lapses after three heartbeats, 1.5 s each, and is read up to 2.5 s later. */
constexpr std::chrono::milliseconds OutdatedHoldTime{8000};

/** Returns the deletion of @p object, which is missing at @p revision. */
StoreObject deletionOf(const StoreObject &object, const StoreRevision &revision)
{
    return {.name = object.name, .revision = revision, .isDeleted = true, .order = object.order, .value = {}};
}

/** Returns whether @p object of an earlier era stays in force although the store has @p stored now. */
bool staysInForce(const StoreObject &object, const StoreObject &stored)
{
    if (stored.isDeleted) {
        return !object.isDeleted;
    }
    if (object.isDeleted) {
        // The last state of a deleted object came before its deletion.
        return object.order != WriterOrder{} && stored.order <= object.order;
    }
    return stored.order < object.order;
}

/** Keeps @p mirrored in force, although the store has @p stored now. */
void hold(StoreMirror &mirror, MirroredObject &mirrored, const StoreObject &stored)
{
    mirrored.stored = stored;
    mirrored.lateChange = mirrored.lateChange != 0 ? mirrored.lateChange : ++mirror.lateChanges;
    mirror.held.insert(mirrored.object.name);
}

/** Returns whether @p known is later than @p object of another era, which another mirror holds. */
bool isLaterThanHeld(const StoreObject &known, const StoreObject &object)
{
    if (known.revision.era > object.revision.era) {
        return known.isDeleted || !staysInForce(object, known);
    }
    return object.isDeleted ? known.order > object.order : staysInForce(known, object);
}

/** Replaces @p mirrored, and notes whether it is held from now on. */
void putInForce(StoreMirror &mirror, MirroredObject &mirrored, MirroredObject replacement)
{
    if (replacement.stored) {
        mirror.held.insert(replacement.object.name);
    } else {
        mirror.held.erase(replacement.object.name);
    }
    if (replacement.object.isDeleted) {
        // Who reports a deletion may not know the last state before it.
        replacement.object.order = std::max(replacement.object.order, mirrored.object.order);
    }
    mirrored = std::move(replacement);
}

/** Adopts @p object, whose era is not that of the known one; returns whether this changes what is in force. */
bool replaceAcrossEras(StoreMirror &mirror, MirroredObject &mirrored, const StoreObject &object, const StoreRevision &revision)
{
    const bool isStored = object.revision.era == revision.era; // Otherwise the sender holds it.
    const StoreObject known = mirrored.object;
    if (isStored ? staysInForce(known, object) : isLaterThanHeld(known, object)) {
        if (isStored) {
            hold(mirror, mirrored, object);
        }
        return false;
    }
    MirroredObject replacement{.object = object, .changedAt = std::max(revision, object.revision)};
    if (!isStored) {
        const StoreObject stored = known.revision.era == revision.era ? known : deletionOf(object, revision);
        replacement.lateChange = ++mirror.lateChanges;
        replacement.stored = mirrored.stored.value_or(stored);
    }
    putInForce(mirror, mirrored, std::move(replacement));
    return !(known.isDeleted && object.isDeleted);
}

/** Adopts @p object, which is not known; returns whether it exists. */
bool addObject(StoreMirror &mirror, const StoreObject &object, const StoreRevision &revision)
{
    MirroredObject added{.object = object, .changedAt = std::max(revision, object.revision)};
    if (object.revision.era < revision.era) {
        added.lateChange = ++mirror.lateChanges;
        if (!object.isDeleted) {
            added.stored = deletionOf(object, revision);
        }
    }
    putInForce(mirror, mirror.objects[object.name], std::move(added));
    return !object.isDeleted;
}

/** Adopts @p object of a delta at @p revision; returns whether this changes what is in force. */
bool replaceObject(StoreMirror &mirror, const StoreObject &object, const StoreRevision &revision)
{
    const auto found = mirror.objects.find(object.name);
    if (found == mirror.objects.end()) {
        // A follower may know an object that was created and deleted between two updates of this mirror.
        return addObject(mirror, object, revision);
    }
    MirroredObject &mirrored = found->second;
    const StoreObject &known = mirrored.object;
    if (object.revision.era != known.revision.era) {
        return replaceAcrossEras(mirror, mirrored, object, revision);
    }
    const bool isHeld = object.revision.era < revision.era;
    if (isHeld && !mirrored.stored && !known.isDeleted) {
        hold(mirror, mirrored, deletionOf(known, revision));
    }
    if (isHeld && mirrored.lateChange == 0) {
        // Deltas name objects that are held as deleted only if they are late changes.
        mirrored.lateChange = ++mirror.lateChanges;
    }
    const bool isOutdated = object.revision < known.revision;
    // Two mirrors that hold what they learned in different order must agree.
    const bool isDeletionKnown = isHeld && known.isDeleted && object.revision == known.revision;
    if (isOutdated || isDeletionKnown || known == object) {
        return false;
    }
    const bool wasDeleted = known.isDeleted;
    // A list that is read in pages may contain objects that are newer than its revision.
    MirroredObject replacement{.object = object, .changedAt = std::max(revision, object.revision)};
    if (isHeld) {
        replacement.lateChange = ++mirror.lateChanges;
        replacement.stored = mirrored.stored;
    }
    putInForce(mirror, mirrored, std::move(replacement));
    return !(wasDeleted && object.isDeleted);
}

/** Returns the known objects that do not exist any more at the revision of @p delta, although it does not name them as existing. */
std::vector<StoreObject> missingObjects(const StoreMirror &mirror, const StoreDelta &delta)
{
    std::set<std::string_view> present;
    for (const StoreObject &object : delta.objects) {
        if (!object.isDeleted && object.revision.era == delta.revision.era) {
            present.insert(object.name);
        }
    }
    for (const StoreObject &object : delta.stored) {
        present.insert(object.name);
    }
    std::vector<StoreObject> missing;
    for (const auto &[name, mirrored] : mirror.objects) {
        const StoreObject &stored = mirrored.stored ? *mirrored.stored : mirrored.object;
        const bool isInRange = delta.isComplete || stored.revision > delta.since;
        const bool isCovered = isInRange && !stored.isDeleted && stored.revision <= delta.revision;
        if (isCovered && !present.contains(name)) {
            missing.push_back(deletionOf(stored, delta.revision));
        }
    }
    return missing;
}

void forgetDeletions(StoreMirror &mirror)
{
    const auto isForgettable = [](const auto &row) {
        return row.second.object.isDeleted && !row.second.stored;
    };
    const auto deleted = std::count_if(mirror.objects.begin(), mirror.objects.end(), isForgettable);
    if (static_cast<std::size_t>(deleted) <= MaximumDeletedObjects) {
        return;
    }
    std::erase_if(mirror.objects, isForgettable);
    mirror.forgottenUntil = mirror.revision;
    mirror.unknownRevisions.clear();
}

/** Records that @p delta does not name the objects that were created and deleted since the last one. */
void noteUnknownRevisions(StoreMirror &mirror, const StoreDelta &delta)
{
    if (mirror.revision.era != delta.revision.era || !isSet(mirror.revision)) {
        mirror.forgottenUntil = delta.revision;
        mirror.unknownRevisions.clear();
        return;
    }
    if (delta.revision.number <= mirror.revision.number + 1) {
        return;
    }
    mirror.unknownRevisions.push_back({.from = mirror.revision, .to = delta.revision});
    if (mirror.unknownRevisions.size() > MaximumUnknownRanges) {
        mirror.forgottenUntil = mirror.unknownRevisions.front().to;
        mirror.unknownRevisions.erase(mirror.unknownRevisions.begin());
    }
}

bool areDeletionsKnownSince(const StoreMirror &mirror, const StoreRevision &revision)
{
    return revision >= mirror.forgottenUntil
           && std::none_of(mirror.unknownRevisions.begin(), mirror.unknownRevisions.end(), [&revision](const UnknownRevisions &range) {
                  return range.from < revision && revision < range.to;
              });
}

}

std::vector<StoreObject> adopt(StoreMirror &mirror, const StoreDelta &delta, TimePoint eraSince)
{
    const bool isFirstOfEra = !isSet(mirror.revision) || delta.revision.era > mirror.revision.era;
    if (delta.revision.era < mirror.revision.era || (isFirstOfEra && !delta.isComplete)) {
        return {};
    }
    if (delta.revision < mirror.revision) {
        // Revisions do not tell whether the mirror has what the sender holds.
        std::vector<StoreObject> objects = delta.objects;
        std::erase_if(objects, [&mirror, &delta](const StoreObject &object) {
            return object.revision.era == delta.revision.era || !replaceObject(mirror, object, mirror.revision);
        });
        return objects;
    }
    if (isFirstOfEra) {
        mirror.missingHeldUntil = eraSince + MissingHoldTime;
        mirror.outdatedHeldUntil = eraSince + OutdatedHoldTime;
    }
    // What is held replaces what the store has.
    std::vector<StoreObject> objects = delta.stored;
    objects.insert(objects.end(), delta.objects.begin(), delta.objects.end());
    const bool namesOnlyExisting = delta.isComplete || isSet(delta.since);
    if (namesOnlyExisting) {
        std::vector<StoreObject> missing = missingObjects(mirror, delta);
        objects.insert(objects.end(), missing.begin(), missing.end());
    }
    std::erase_if(objects, [&mirror, &delta](const StoreObject &object) {
        return !replaceObject(mirror, object, delta.revision);
    });
    if (namesOnlyExisting) {
        noteUnknownRevisions(mirror, delta);
    }
    mirror.revision = delta.revision;
    forgetDeletions(mirror);
    return objects;
}

std::vector<StoreObject> replaceByEarlier(StoreMirror &mirror, const StoreDelta &list)
{
    const StoreMirror before = std::exchange(mirror, {.kind = mirror.kind, .lateChanges = mirror.lateChanges});
    std::vector<StoreObject> changed = adopt(mirror, list);
    for (const auto &[name, mirrored] : before.objects) {
        if (!mirrored.object.isDeleted && !mirror.objects.contains(name)) {
            changed.push_back(deletionOf(mirrored.object, list.revision));
        }
    }
    return changed;
}

std::vector<StoreObject> releaseHeld(StoreMirror &mirror, TimePoint now)
{
    std::vector<StoreObject> released;
    if (mirror.kind == StoreObjectKind::Configuration) {
        return released;
    }
    const std::set<std::string> held = mirror.held;
    for (const std::string &name : held) {
        MirroredObject &mirrored = mirror.objects.at(name);
        const StoreObject stored = *mirrored.stored;
        if (now < (stored.isDeleted ? mirror.missingHeldUntil : mirror.outdatedHeldUntil)) {
            continue;
        }
        putInForce(mirror, mirrored, {.object = stored, .changedAt = stored.revision, .lateChange = ++mirror.lateChanges});
        released.push_back(stored);
    }
    return released;
}

std::optional<TimePoint> nextRelease(const StoreMirror &mirror)
{
    std::optional<TimePoint> next;
    if (mirror.kind == StoreObjectKind::Configuration) {
        return next;
    }
    for (const std::string &name : mirror.held) {
        const TimePoint until = mirror.objects.at(name).stored->isDeleted ? mirror.missingHeldUntil : mirror.outdatedHeldUntil;
        next = std::min(next.value_or(until), until);
    }
    return next;
}

MirrorPosition positionOf(const StoreMirror &mirror)
{
    return {.revision = mirror.revision, .lateChanges = mirror.lateChanges};
}

bool hasNewsSince(const StoreMirror &mirror, const MirrorPosition &position)
{
    return mirror.revision > position.revision || mirror.lateChanges > position.lateChanges;
}

StoreDelta deltaSince(const StoreMirror &mirror, const MirrorPosition &position)
{
    const StoreRevision &revision = position.revision;
    const bool isComplete = !isSet(revision) || !areDeletionsKnownSince(mirror, revision);
    StoreDelta delta{
        .kind = mirror.kind, .isComplete = isComplete, .revision = mirror.revision, .since = isComplete ? StoreRevision{} : revision, .objects = {}};
    for (const auto &[name, mirrored] : mirror.objects) {
        const bool isInCompleteDelta = !mirrored.object.isDeleted || mirrored.lateChange != 0;
        const bool isLate = mirrored.lateChange > position.lateChanges;
        const bool isIncluded = isLate || (delta.isComplete ? isInCompleteDelta : mirrored.changedAt > revision);
        if (isIncluded && mirrored.stored && !mirrored.stored->isDeleted) {
            delta.stored.push_back(*mirrored.stored);
        }
        if (isIncluded) {
            delta.objects.push_back(mirrored.object);
        }
    }
    return delta;
}

}
