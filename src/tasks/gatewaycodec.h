#pragma once

#include "http/httpclient.h"
#include "http/httpmessage.h"
#include "tasks/gatewaymessages.h"

#include <optional>
#include <string>
#include <vector>

/**
 * Encoding of gatewayd's messages to callers, upstreams and the platform, as a table of functions.
 *
 * The tasks work with decoded values only. An adapter (platform/platformcodec.h) supplies the functions for one wire
 * format.
 */
namespace Plantainweir {

/** A caller's directory query: the host to resolve and the availability zone of the caller. */
struct DirectoryQuery {
    std::string host;
    std::string availabilityZone;
};

/** The outcome of an attempt according to the upstream's response, and the load report in it, if any. */
struct DecodedAttemptResponse {
    ProxyAttemptOutcome outcome = ProxyAttemptOutcome::ConnectionLost;
    std::optional<UpstreamLoad> load;
    UpstreamNotice notice;
};

/** The outcome of a probe and the load that the upstream reported. */
struct DecodedProbeResponse {
    ProbeOutcome outcome = ProbeOutcome::Unreachable;
    UpstreamLoad load;
    UpstreamNotice notice;
    Duration coldTime{}; ///< How long the upstream stays cold.
};

struct GatewayCodec {
    std::string correlationField; ///< Request field that upstreams copy to their response; a response with another value is dropped.

    RoutedCall (*decodeCall)(const HttpRequest &request, TimePoint now);
    HttpResponse (*encodeReply)(const CallReply &reply, const std::string &requestId, TimePoint now);

    HttpRequest (*encodeAttempt)(const OutgoingProxyAttempt &attempt, TimePoint now);
    DecodedAttemptResponse (*decodeAttemptResponse)(const HttpResponse &response);
    HttpRequest (*encodeProbe)(const std::string &healthPath);
    DecodedProbeResponse (*decodeProbeResponse)(const HttpResponse &response, const RegisteredUpstream &upstream);

    /** Returns an empty value if @p request is not a directory query. */
    std::optional<DirectoryQuery> (*decodeDirectoryQuery)(const HttpRequest &request);
    HttpResponse (*encodeDirectoryAnswer)(const std::vector<Endpoint> &entries, Duration timeToLive);
    bool (*isReadinessQuery)(const HttpRequest &request);

    HttpRequest (*encodeList)(StoreObjectKind kind, const std::string &after, ReadConsistency consistency);
    HttpRequest (*encodeWatch)(StoreObjectKind kind, std::uint64_t revision, Duration wait, ReadConsistency consistency);
    /** Decodes the answer to a list or watch request into @p page. */
    StoreReadOutcome (*decodePage)(StoreObjectKind kind, const HttpRequestResult &result, bool isWatch, StorePage &page);
    /** Returns the era in which the store gave @p response; zero if it does not tell. */
    std::uint64_t (*decodeStoreEra)(const HttpResponse &response);
    HttpRequest (*encodeRegistration)(const EntryVmRecord &record, bool isUpdate);
    HttpRequest (*encodeDeregistration)(const std::string &name);
};

}
