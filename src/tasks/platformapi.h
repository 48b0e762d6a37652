#pragma once

#include "configuration/virtualmachine.h"
#include "controllers/writeoutcome.h"
#include "core/result.h"
#include "http/httpclient.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/** Encoding of the platform's object API by HTTP and JSON; docs/PLATFORM.md describes it. */
namespace Plantainweir {

/** One object as the platform holds it. */
struct PlatformObject {
    std::string name;
    std::uint64_t version = 0; ///< Rises with each write of the object.
    std::string value; ///< JSON text.
};

/** Objects below a prefix, or those changed since a revision. */
struct PlatformObjects {
    std::uint64_t revision = 0; ///< A watch since this revision misses nothing.
    std::vector<PlatformObject> objects;
};

HttpRequest listRequest(const std::string &prefix);
/** A request that is answered when an object below @p prefix has changed since @p revision, or after @p wait. */
HttpRequest watchRequest(const std::string &prefix, std::uint64_t revision, std::chrono::milliseconds wait);
/** A write that takes effect only if the object has version @p base; zero stands for "does not exist". */
HttpRequest writeRequest(const std::string &name, const std::string &value, std::uint64_t base);
HttpRequest virtualMachineListRequest();

/** Returns whether @p result is an answer of a platform that works, be it a refusal. */
bool isPlatformAnswer(const HttpRequestResult &result);
/** Returns whether the platform forgot the revision that a watch named; a list must come first. */
bool isRevisionGone(const HttpRequestResult &result);

Result<PlatformObjects> decodeObjects(const HttpRequestResult &result);
Result<std::vector<VirtualMachine>> decodeVirtualMachines(const HttpRequestResult &result);
WriteResult decodeWriteResult(const HttpRequestResult &result);

}
