#include "rpc/routingmessages.h"

#include "rpc/controlmessages.h"

namespace Plantainweir {
namespace {

/** Decodes @p part and appends it to @p values, or counts it as malformed. */
template<typename Message, typename Value>
void appendPart(const Message &part, std::vector<Value> &values, int &malformedParts)
{
    auto value = fromMessage(part);
    if (!value) {
        ++malformedParts;
        return;
    }
    values.push_back(std::move(*value));
}

}

RoutingUpdate fromMessage(const plantainweir::control::v1::ControlUpdate &message, int &malformedParts)
{
    RoutingUpdate update;
    if (message.has_rules()) {
        update.rules = fromMessage(message.rules());
        malformedParts += update.rules ? 0 : 1;
    }
    for (const auto &service : message.services()) {
        appendPart(service, update.services, malformedParts);
    }
    if (message.members_changed()) {
        update.members.emplace();
        for (const auto &member : message.members()) {
            appendPart(member, *update.members, malformedParts);
        }
    }
    for (const auto &status : message.upstream_statuses()) {
        appendPart(status, update.upstreamStatuses, malformedParts);
    }
    return update;
}

}
