#pragma once

#include "controllers/storeobject.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/**
 * Copy of the store's objects of one kind, with the changes that other entry VMs may still have to learn.
 *
 * Revisions are the store's. A mirror at revision R contains all changes up to R, whoever it learned them from.
 *
 * When the store returns from a copy of itself, it lacks changes that were in force. Objects that the mirror knows from earlier
 * eras are then held in place of older states in the store, until they are written again or a time has passed; the
 * configuration is held without such a time (docs/design/store-eras.md).
 */
namespace Plantainweir {

/** All objects of one kind at a revision, or those that changed after an earlier one. */
struct StoreDelta {
    StoreObjectKind kind = StoreObjectKind::Configuration;
    bool isComplete = false; ///< Whether @ref objects are all objects of the kind; otherwise those that changed.
    StoreRevision revision; ///< All changes up to this revision are contained.
    /**
     * If set, @ref objects names each object that changed after this revision and still exists. One that changed then and
     * is not named has been deleted.
     */
    StoreRevision since;
    std::vector<StoreObject> objects; ///< Those of earlier eras are held by the sender.
    std::vector<StoreObject> stored; ///< What the store has instead of objects that the sender holds; those that it lacks are left out.
    bool operator==(const StoreDelta &) const = default;
};

/** An object, or the trace of a deleted one. */
struct MirroredObject {
    StoreObject object; ///< What is in force.
    StoreRevision changedAt; ///< Revision of the delta with which the object came or was deleted.
    std::uint64_t lateChange = 0; ///< Number of its last change among StoreMirror::lateChanges, zero if it was none of them.
    std::optional<StoreObject> stored; ///< What the store has instead, if the object is held.
};

/** A range of revisions, without both ends, in which objects that were created and deleted again are not known. */
struct UnknownRevisions {
    StoreRevision from;
    StoreRevision to;
};

/** How much of a mirror another entry VM has received. */
struct MirrorPosition {
    StoreRevision revision;
    std::uint64_t lateChanges = 0;
    bool operator==(const MirrorPosition &) const = default;
};

struct StoreMirror {
    StoreObjectKind kind = StoreObjectKind::Configuration;
    StoreRevision revision; ///< Not set until the first complete delta.
    std::map<std::string, MirroredObject, std::less<>> objects; ///< By name.
    StoreRevision forgottenUntil; ///< Deletions up to this revision are no longer kept.
    std::vector<UnknownRevisions> unknownRevisions; ///< After forgottenUntil, in order.
    std::uint64_t lateChanges = 0; ///< Number of changes of held objects, of which no revision tells whether another mirror has them.
    std::set<std::string> held; ///< Names of the objects that are held.
    TimePoint missingHeldUntil; ///< Until when objects are held that the store does not have.
    TimePoint outdatedHeldUntil; ///< Until when objects are held of which the store has an older state.
};

/**
 * Adopts @p delta and returns the objects that it changed, with those that are missing from a complete delta as deleted.
 * A delta that is older than the mirror is ignored, but for what its sender holds; one of an earlier era is ignored as a whole.
 * A delta with changes must follow from a revision that the mirror has reached; in a new era of the store, a mirror needs a
 * complete delta first. Objects that are held as of now are not among those that changed.
 * @param eraSince is a time at which the store was in the era of @p delta; the times to hold objects begin with it.
 */
std::vector<StoreObject> adopt(StoreMirror &mirror, const StoreDelta &delta, TimePoint eraSince = {});

/**
 * Replaces all that @p mirror holds by @p list, a complete list of an earlier revision of the same era, and returns the objects that this
 * changes, with those that are missing from the list as deleted.
 */
std::vector<StoreObject> replaceByEarlier(StoreMirror &mirror, const StoreDelta &list);

/** Puts into force what the store has in place of objects whose time to be held has ended; returns what changed. */
std::vector<StoreObject> releaseHeld(StoreMirror &mirror, TimePoint now);

/** Returns when releaseHeld() is due, or nothing if no object is held for a limited time. */
std::optional<TimePoint> nextRelease(const StoreMirror &mirror);

MirrorPosition positionOf(const StoreMirror &mirror);

/** Returns whether a mirror at @p position lacks something of @p mirror. */
bool hasNewsSince(const StoreMirror &mirror, const MirrorPosition &position);

/**
 * Returns what a mirror at @p position lacks. That mirror may also have objects with later revisions from others. The delta is
 * complete if the deletions of objects that it has up to the revision are not known.
 */
StoreDelta deltaSince(const StoreMirror &mirror, const MirrorPosition &position);

}
