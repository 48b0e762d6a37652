#pragma once

#include "http/httpclient.h"
#include "http/httpmessage.h"
#include "tasks/gatewaymessages.h"

#include <optional>
#include <string>
#include <vector>

/**
 * The encoding of gatewayd's messages towards callers, upstreams and the platform, as a table of functions.
 *
 * The tasks know the meaning of a message only; an adapter fills in how it looks on the wire.
 */
namespace Plantainweir {

/** Who asks the directory. */
struct DirectoryQuery {
    std::string host;
    std::string availabilityZone;
};

/** What an upstream answered to a call. */
struct DecodedAttemptResponse {
    ProxyAttemptOutcome outcome = ProxyAttemptOutcome::ConnectionLost;
    std::optional<UpstreamLoad> load;
};

struct DecodedProbeResponse {
    ProbeOutcome outcome = ProbeOutcome::Unreachable;
    UpstreamLoad load;
};

/** What became of a list or watch. */
enum class StoreReadOutcome {
    Page,
    RevisionGone,
    Failed,
};

struct GatewayCodec {
    std::string correlationField; ///< That upstreams echo from a request.

    RoutedCall (*decodeCall)(const HttpRequest &request, TimePoint now);
    HttpResponse (*encodeReply)(const CallReply &reply, const std::string &requestId, TimePoint now);

    HttpRequest (*encodeAttempt)(const HttpRequest &request, const RegisteredUpstream &upstream, Duration timeLeft);
    DecodedAttemptResponse (*decodeAttemptResponse)(const HttpResponse &response);
    HttpRequest (*encodeProbe)(const std::string &healthPath);
    DecodedProbeResponse (*decodeProbeResponse)(const HttpResponse &response, const RegisteredUpstream &upstream);

    /** Returns nothing for a request that is no directory query. */
    std::optional<DirectoryQuery> (*decodeDirectoryQuery)(const HttpRequest &request);
    HttpResponse (*encodeDirectoryAnswer)(const std::vector<Endpoint> &entries, Duration validity);
    bool (*isReadinessQuery)(const HttpRequest &request);

    HttpRequest (*encodeList)(StoreObjectKind kind, const std::string &after);
    HttpRequest (*encodeWatch)(StoreObjectKind kind, std::uint64_t revision, Duration wait);
    /** Decodes the answer of a list or a watch. */
    StoreReadOutcome (*decodePage)(StoreObjectKind kind, const HttpRequestResult &result, bool isWatch, StorePage &page);
    HttpRequest (*encodeRegistration)(const EntryVmRecord &record, bool isUpdate);
    /** A cheap read whose only purpose is an answer. */
    HttpRequest (*encodeHealthCheck)(const std::string &name);
    bool (*isHealthCheckPassed)(const HttpRequestResult &result);
    HttpRequest (*encodeDeregistration)(const std::string &name);
};

}
