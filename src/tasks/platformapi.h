#pragma once

#include "configuration/virtualmachine.h"
#include "controllers/writeoutcome.h"
#include "core/result.h"
#include "http/httpclient.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/** HTTP and JSON encoding of the platform's object API; see docs/PLATFORM.md. */
namespace Plantainweir {

/** One object of the configuration, as stored by the platform. */
struct PlatformObject {
    std::string name;
    std::uint64_t version = 0; ///< Increases with each write of the object.
    std::string value; ///< JSON text.
};

/** Objects below a prefix, or those changed since a revision. */
struct PlatformObjects {
    std::uint64_t revision = 0; ///< A watch from this revision on misses no change.
    std::vector<PlatformObject> objects;
};

HttpRequest listRequest(const std::string &prefix);
/** Long poll: the platform answers when an object below @p prefix has changed since @p revision, or after @p wait. */
HttpRequest watchRequest(const std::string &prefix, std::uint64_t revision, std::chrono::milliseconds wait);
/** Conditional write: takes effect only if the object has version @p base; 0 means that it must not exist. */
HttpRequest writeRequest(const std::string &name, const std::string &value, std::uint64_t base);
HttpRequest virtualMachineListRequest();

/** Returns whether the platform answered, with any status but a server error. */
bool isPlatformAnswer(const HttpRequestResult &result);
/**
 * Returns whether the platform no longer has the changes since the watched revision, so that the objects must be listed
 * again.
 */
bool isRevisionGone(const HttpRequestResult &result);

Result<PlatformObjects> decodeObjects(const HttpRequestResult &result);
Result<std::vector<VirtualMachine>> decodeVirtualMachines(const HttpRequestResult &result);
WriteResult decodeWriteResult(const HttpRequestResult &result);

}
