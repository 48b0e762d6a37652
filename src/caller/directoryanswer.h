#pragma once

#include "core/endpoint.h"
#include "core/result.h"
#include "core/time.h"

#include <string>
#include <vector>

/** An answer of the directory, which names the entry VMs to use for a service; see docs/CALLERS.md. */
namespace Plantainweir {

/** One entry VM that a caller may connect to. */
struct DirectoryEntry {
    Endpoint address;
    std::string availabilityZone;
    std::string keyOwner; ///< Incarnation of this entry VM; owns the idempotency keys of calls that are first sent to it.
    bool operator==(const DirectoryEntry &) const = default;
};

/** The entry VMs for one service, in the order to try. */
struct DirectoryAnswer {
    std::string service;
    TimePoint expiresAt;
    std::vector<DirectoryEntry> entries;
};

/**
 * Parses the JSON text of a directory answer that was received at @p now; fails if it is malformed or names no entry
 * VM.
 */
Result<DirectoryAnswer> parseDirectoryAnswer(const std::string &text, TimePoint now);

}
