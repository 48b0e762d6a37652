#include "controllers/storemirror.h"

#include <algorithm>
#include <set>

namespace Plantainweir {
namespace {

/** Deleted objects that are kept for other entry VMs that still have to learn of them. */
constexpr std::size_t MaximumDeletedObjects = 2048;
constexpr std::size_t MaximumUnknownRanges = 64;

/** Stores @p object if it differs from the known one; returns whether it does. */
bool replaceObject(StoreMirror &mirror, const StoreObject &object, const StoreRevision &revision)
{
    // A list that is read in pages may contain objects that are newer than its revision.
    const StoreRevision changedAt = std::max(revision, object.revision);
    const auto known = mirror.objects.find(object.name);
    if (known == mirror.objects.end()) {
        // A follower may know an object that was created and deleted between two updates of this mirror.
        mirror.objects.emplace(object.name, MirroredObject{.object = object, .changedAt = changedAt});
        return !object.isDeleted;
    }
    const bool isOutdated = !object.isDeleted && object.revision < known->second.object.revision;
    if (isOutdated || known->second.object == object) {
        return false;
    }
    const bool wasDeleted = known->second.object.isDeleted;
    known->second = {.object = object, .changedAt = changedAt};
    return !(wasDeleted && object.isDeleted);
}

/** Returns the deletion of @p object, which is missing at @p revision. */
StoreObject deletionOf(const StoreObject &object, const StoreRevision &revision)
{
    const bool isOfEra = object.revision.era == revision.era;
    return {.name = object.name, .revision = isOfEra ? object.revision : revision, .isDeleted = true, .value = {}};
}

/** Returns the known objects that do not exist any more at the revision of @p delta, although it does not name them. */
std::vector<StoreObject> missingObjects(const StoreMirror &mirror, const StoreDelta &delta)
{
    std::set<std::string_view> present;
    for (const StoreObject &object : delta.objects) {
        present.insert(object.name);
    }
    std::vector<StoreObject> missing;
    for (const auto &[name, mirrored] : mirror.objects) {
        const bool isInRange = delta.isComplete || mirrored.object.revision > delta.since;
        const bool isCovered = isInRange && !mirrored.object.isDeleted && mirrored.object.revision <= delta.revision;
        if (isCovered && !present.contains(name)) {
            missing.push_back(deletionOf(mirrored.object, delta.revision));
        }
    }
    return missing;
}

void forgetDeletions(StoreMirror &mirror)
{
    const auto deleted = std::count_if(mirror.objects.begin(), mirror.objects.end(), [](const auto &row) {
        return row.second.object.isDeleted;
    });
    if (static_cast<std::size_t>(deleted) <= MaximumDeletedObjects) {
        return;
    }
    std::erase_if(mirror.objects, [](const auto &row) {
        return row.second.object.isDeleted;
    });
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

std::vector<StoreObject> adopt(StoreMirror &mirror, const StoreDelta &delta)
{
    const bool isFirstOfEra = !isSet(mirror.revision) || delta.revision.era > mirror.revision.era;
    if (delta.revision < mirror.revision || (isFirstOfEra && !delta.isComplete)) {
        return {};
    }
    std::vector<StoreObject> objects = delta.objects;
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

StoreDelta deltaSince(const StoreMirror &mirror, const StoreRevision &revision)
{
    const bool isComplete = !isSet(revision) || !areDeletionsKnownSince(mirror, revision);
    StoreDelta delta{
        .kind = mirror.kind, .isComplete = isComplete, .revision = mirror.revision, .since = isComplete ? StoreRevision{} : revision, .objects = {}};
    for (const auto &[name, mirrored] : mirror.objects) {
        const bool isIncluded = delta.isComplete ? !mirrored.object.isDeleted : mirrored.changedAt > revision;
        if (isIncluded) {
            delta.objects.push_back(mirrored.object);
        }
    }
    return delta;
}

}
