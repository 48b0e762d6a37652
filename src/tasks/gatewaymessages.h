#pragma once

#include "configuration/routetable.h"
#include "controllers/upstreamregistry.h"
#include "core/message.h"
#include "decision/proxying.h"
#include "filters/callreply.h"
#include "filters/routechain.h"
#include "http/httpserver.h"

#include <QMetaType>

#include <memory>
#include <variant>

/** The values that the tasks of gatewayd send to each other. */
namespace Plantainweir {

/** A call as the caller port hands it in. */
struct IncomingProxyCall {
    HttpExchangeId exchange = 0;
    RoutedCall call;
    std::shared_ptr<const RequestMessage> message;
};

struct OutgoingProbe {
    ProbeId id = 0;
    RegisteredUpstream upstream;
    std::string healthPath;
    TimePoint deadline;
};

struct OutgoingProxyAttempt {
    ProxyAttemptId id = 0;
    RegisteredUpstream upstream;
    std::shared_ptr<const RequestMessage> message;
    TimePoint deadline;
};

/** How an attempt ended, with the response if a whole one came. */
struct ProxyAttemptResult {
    ProxyAttemptEnded ended;
    std::shared_ptr<const ResponseMessage> response;
};

/** Kinds of objects in the platform's store that gatewayd follows. */
enum class StoreObjectKind {
    Configuration,
    Upstreams,
    EntryVms,
};

constexpr std::array<EnumName<StoreObjectKind>, 3> enumNames(StoreObjectKind)
{
    return {{
        {StoreObjectKind::Configuration, "configuration"},
        {StoreObjectKind::Upstreams, "upstreams"},
        {StoreObjectKind::EntryVms, "entry_vms"},
    }};
}
static_assert(isEnumTableOrdered<StoreObjectKind>());

/** An entry VM that registered itself, so that others find it. */
struct EntryVmRecord {
    std::string name;
    Endpoint membershipEndpoint;
};

/** One object, decoded; the first alternative stands for one that cannot be used. */
struct StoreObject {
    std::string name;
    std::uint64_t revision = 0;
    bool isDeleted = false;
    std::variant<std::monostate, RouteTable, UpstreamRecord, EntryVmRecord> value;
};

/** One page of a list, or the changes that a watch brought. */
struct StorePage {
    std::uint64_t revision = 0;
    std::vector<StoreObject> objects;
    std::string lastName;
    bool hasMore = false;
};

}
