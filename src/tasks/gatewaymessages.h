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

/** Messages between the tasks of gatewayd. */
namespace Plantainweir {

/** A call that the caller port received. */
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

/** How an attempt ended, and the response if a complete one was received. */
struct ProxyAttemptResult {
    ProxyAttemptEnded ended;
    std::shared_ptr<const ResponseMessage> response;
};

/** Kinds of objects in the platform's store that gatewayd reads. */
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

/** An entry VM's registration in the store, where other entry VMs find its membership endpoint. */
struct EntryVmRecord {
    std::string name;
    Endpoint membershipEndpoint;
};

/** A decoded object of the store. The value is std::monostate if the object is malformed. */
struct StoreObject {
    std::string name;
    std::uint64_t revision = 0;
    bool isDeleted = false;
    std::variant<std::monostate, RouteTable, UpstreamRecord, EntryVmRecord> value;
};

/** One page of a list, or the changes that a watch returned. */
struct StorePage {
    std::uint64_t revision = 0;
    std::vector<StoreObject> objects;
    std::string lastName; ///< Name of the last object; the next page starts after it.
    bool hasMore = false;
};

}
