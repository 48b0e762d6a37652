#pragma once

#include "configuration/routetable.h"
#include "controllers/storeobject.h"
#include "core/message.h"
#include "decision/proxying.h"
#include "filters/callreply.h"
#include "filters/routechain.h"
#include "http/httpserver.h"

#include <QMetaType>

#include <memory>
#include <optional>
#include <string>

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
    /**
     * Name of the client account, empty for a call that belongs to none. Not set if the configuration has no accounts: then
     * the upstream receives what the caller sent.
     */
    std::optional<std::string> account;
};

/** How an attempt ended, and the response if a complete one was received. */
struct ProxyAttemptResult {
    ProxyAttemptEnded ended;
    std::shared_ptr<const ResponseMessage> response;
};

}
