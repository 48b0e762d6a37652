#pragma once

#include "controllers/storeobject.h"

#include <map>
#include <string>
#include <vector>

/**
 * Copy of the store's objects of one kind, with the changes that other entry VMs may still have to learn.
 *
 * Revisions are the store's. A mirror at revision R contains all changes up to R, whoever it learned them from. The changes of
 * an era that the store has lost are none of them: the first complete delta of an era replaces what earlier ones left.
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
    std::vector<StoreObject> objects;
    bool operator==(const StoreDelta &) const = default;
};

/** An object, or the trace of a deleted one. */
struct MirroredObject {
    StoreObject object;
    StoreRevision changedAt; ///< Revision of the delta with which the object came or was deleted.
};

/** A range of revisions, without both ends, in which objects that were created and deleted again are not known. */
struct UnknownRevisions {
    StoreRevision from;
    StoreRevision to;
};

struct StoreMirror {
    StoreObjectKind kind = StoreObjectKind::Configuration;
    StoreRevision revision; ///< Not set until the first complete delta.
    std::map<std::string, MirroredObject, std::less<>> objects; ///< By name.
    StoreRevision forgottenUntil; ///< Deletions up to this revision are no longer kept.
    std::vector<UnknownRevisions> unknownRevisions; ///< After forgottenUntil, in order.
};

/**
 * Adopts @p delta and returns the objects that it changed, with those that are missing from a complete delta as deleted.
 * A delta that is older than the mirror is ignored. One with changes must follow from a revision that the mirror has reached; in
 * a new era of the store, a mirror needs a complete delta first.
 */
std::vector<StoreObject> adopt(StoreMirror &mirror, const StoreDelta &delta);

/**
 * Returns what a mirror at @p revision lacks. That mirror may also have objects with later revisions from others. The delta is
 * complete if the deletions of objects that it has up to @p revision are not known.
 */
StoreDelta deltaSince(const StoreMirror &mirror, const StoreRevision &revision);

}
