#pragma once

#include "filters/callreply.h"
#include "filters/callrequest.h"
#include "http/httpmessage.h"

#include <optional>
#include <string>

/** The callers' interface in HTTP: `/call/SERVICE/REST` and `/directory/SERVICE`; see docs/CALLERS.md. */
namespace Plantainweir {

enum class CallerResource {
    Call,
    Directory,
    Other,
};

/** The parts of a target that the interface knows. */
struct CallerTarget {
    CallerResource resource = CallerResource::Other;
    std::string service;
    std::string rest; ///< With a leading slash; what the upstream gets.
};

/** Splits a request's target. */
CallerTarget parseCallerTarget(const std::string &target);

/** Reads a call from its headers; returns nothing if a header is malformed. */
std::optional<CallRequest> decodeCall(const HttpRequest &request, const CallerTarget &target, TimePoint now);

/** Returns @p request as the upstream gets it: with the rest of the target and without the interface's own headers. */
HttpRequest makeUpstreamRequest(HttpRequest request, const CallerTarget &target);

/** Writes what the caller is told. */
HttpResponse encodeReply(const CallReply &reply, TimePoint now);

/** Returns the status code that goes with @p reason. */
int statusCodeOf(RefusalReason reason);

}
