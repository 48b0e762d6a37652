#pragma once

#include "filters/callreply.h"
#include "filters/callrequest.h"
#include "http/httpmessage.h"

#include <optional>
#include <string>

/** Encoding of the callers' HTTP interface, `/call/SERVICE/REST` and `/directory/SERVICE`; see docs/CALLERS.md. */
namespace Plantainweir {

enum class CallerResource {
    Call,
    Directory,
    Other,
};

/** A request target, split into its parts. */
struct CallerTarget {
    CallerResource resource = CallerResource::Other;
    std::string service;
    std::string rest; ///< Path and query with a leading slash; the target of the upstream's request.
};

/** Splits the target of a request. */
CallerTarget parseCallerTarget(const std::string &target);

/** Decodes the headers of a call; returns nothing if the timeout is malformed or out of range. */
std::optional<CallRequest> decodeCall(const HttpRequest &request, const CallerTarget &target, TimePoint now);

/** Returns the upstream's request: @p request with the rest of @p target and without the headers of the callers' interface. */
HttpRequest makeUpstreamRequest(HttpRequest request, const CallerTarget &target);

/** Encodes @p reply; Retry-After is relative to @p now. */
HttpResponse encodeReply(const CallReply &reply, TimePoint now);

/** Returns the HTTP status code for @p reason. */
int statusCodeOf(RefusalReason reason);

}
