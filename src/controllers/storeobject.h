#pragma once

#include "configuration/routetable.h"
#include "controllers/storerevision.h"
#include "controllers/upstreamregistry.h"
#include "core/enumnames.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/** Decoded objects of the platform's store, and how they are read. */
namespace Plantainweir {

/** Kinds of objects in the platform's store that gatewayd reads. */
enum class StoreObjectKind {
    Configuration,
    Upstreams,
    Evacuations, ///< Availability zones that operators want to be empty; read only if there is a bound for it.
    EntryVms,
};

/** Number of the kinds that entry VMs feed each other, which come first. */
constexpr std::size_t FedStoreKinds = 3;

constexpr std::array<EnumName<StoreObjectKind>, 4> enumNames(StoreObjectKind)
{
    return {{
        {StoreObjectKind::Configuration, "configuration"},
        {StoreObjectKind::Upstreams, "upstreams"},
        {StoreObjectKind::Evacuations, "evacuations"},
        {StoreObjectKind::EntryVms, "entry_vms"},
    }};
}
static_assert(isEnumTableOrdered<StoreObjectKind>());

/** An entry VM's registration in the store, where other entry VMs find its membership endpoint and the size of its fleet. */
struct EntryVmRecord {
    std::string name;
    Endpoint membershipEndpoint;
    std::size_t fleetSize = 0; ///< Largest number of entry VMs that are to be reckoned with; zero if not known.
    UnixMilliseconds fleetSizeValidUntil; ///< The record counts as old from then on.
    bool operator==(const EntryVmRecord &) const = default;
};

/** The operators' wish that no calls are sent to an availability zone. It holds as long as the object exists. */
struct EvacuationRecord {
    std::string availabilityZone;
    bool operator==(const EvacuationRecord &) const = default;
};

/**
 * Position of an object's state in the order in which its writer wrote them. It does not depend on the store's revisions, so that it holds
 * when the store returns from a copy. All members are zero if the writer gives none.
 */
struct WriterOrder {
    std::int64_t incarnation = 0; ///< UpstreamRecord::startedAtMs of an upstream.
    std::uint64_t sequence = 0; ///< RouteTable::version, or the number of an upstream's report since its start.
    auto operator<=>(const WriterOrder &) const = default;
};

/** A decoded object of the store. The value is std::monostate if the object is malformed or deleted. */
struct StoreObject {
    std::string name;
    StoreRevision revision;
    bool isDeleted = false;
    WriterOrder order; ///< Of a deleted object: of its last state.
    std::variant<std::monostate, RouteTable, UpstreamRecord, EntryVmRecord, EvacuationRecord> value;
    bool operator==(const StoreObject &) const = default;
};

/** How a list or watch request ended. */
enum class StoreReadOutcome {
    Page,
    RevisionGone, ///< The store has dropped the changes since the watched revision.
    Failed,
};

constexpr std::array<EnumName<StoreReadOutcome>, 3> enumNames(StoreReadOutcome)
{
    return {{
        {StoreReadOutcome::Page, "page"},
        {StoreReadOutcome::RevisionGone, "revision_gone"},
        {StoreReadOutcome::Failed, "failed"},
    }};
}
static_assert(isEnumTableOrdered<StoreReadOutcome>());

/** Whether a read of the store must show all changes that the store has acknowledged. */
enum class ReadConsistency {
    Consistent,
    Stale, ///< The answer may be seconds old; the read costs a tenth.
};

constexpr std::array<EnumName<ReadConsistency>, 2> enumNames(ReadConsistency)
{
    return {{
        {ReadConsistency::Consistent, "consistent"},
        {ReadConsistency::Stale, "stale"},
    }};
}
static_assert(isEnumTableOrdered<ReadConsistency>());

/** One page of a list, or the changes that a watch returned. */
struct StorePage {
    StoreRevision revision; ///< Of the store when it answered. The era is also set if the revision is gone.
    std::vector<StoreObject> objects;
    std::string lastName; ///< The last usable name; the next page starts after it.
    bool hasMore = false;
    std::size_t ignoredObjects = 0; ///< Objects without a usable name.
    bool isIncomplete = false; ///< Whether changes or entries of this page are missing, because they could not be read.
};

}
