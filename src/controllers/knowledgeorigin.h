#pragma once

#include "controllers/storerevision.h"
#include "core/enumnames.h"

#include <string>

namespace Plantainweir {

/** How an entry VM learned the state of objects of the store. */
enum class KnowledgeSource {
    StoreWatch,
    StoreList,
    FirstRead, ///< The list of the first objects, of which only the configuration is read consistently.
    Feed, ///< From another entry VM.
    HoldEnded, ///< The objects were known before, and replace others that were held in force.
};

constexpr std::array<EnumName<KnowledgeSource>, 5> enumNames(KnowledgeSource)
{
    return {{
        {KnowledgeSource::StoreWatch, "store_watch"},
        {KnowledgeSource::StoreList, "store_list"},
        {KnowledgeSource::FirstRead, "first_read"},
        {KnowledgeSource::Feed, "feed"},
        {KnowledgeSource::HoldEnded, "hold_ended"},
    }};
}
static_assert(isEnumTableOrdered<KnowledgeSource>());

/** Where changed objects come from. */
struct KnowledgeOrigin {
    KnowledgeSource source = KnowledgeSource::StoreWatch;
    std::string member; ///< The entry VM that sent them; empty unless they came from a feed.
    StoreRevision revision; ///< Up to which the answer or update contains all changes.
    bool operator==(const KnowledgeOrigin &) const = default;
};

}
