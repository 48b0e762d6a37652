#include "rpc/peermessages.h"

#include <algorithm>

namespace Plantainweir {
namespace {

namespace PeerProtocol = plantainweir::peer::v1;

std::uint64_t remainingMicroseconds(TimePoint until, TimePoint now)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::microseconds>(until - now).count()));
}

template<typename Message>
void writeFields(Message &message, const MessageFields &fields)
{
    for (const MessageField &field : fields) {
        auto *header = message.add_headers();
        header->set_name(field.name);
        header->set_value(field.value);
    }
}

template<typename Message>
MessageFields readFields(const Message &message)
{
    MessageFields fields;
    for (const auto &header : message.headers()) {
        fields.push_back({.name = header.name(), .value = header.value()});
    }
    return fields;
}

}

PeerProtocol::LoadReport toMessage(const OwnerLoadReport &load)
{
    PeerProtocol::LoadReport message;
    message.set_service(load.service);
    message.set_sender(load.report.peer);
    message.mutable_open_slots()->Add(load.report.openSlots.begin(), load.report.openSlots.end());
    message.set_queued_calls(load.report.queuedCalls);
    message.set_hand_overs_received(load.report.handOversReceived);
    return message;
}

OwnerLoadReport fromMessage(const PeerProtocol::LoadReport &message)
{
    OpenSlots openSlots{};
    std::copy_n(message.open_slots().begin(), std::min<std::size_t>(openSlots.size(), message.open_slots_size()), openSlots.begin());
    return {
        .service = message.service(),
        .report = {
            .peer = message.sender(),
            .openSlots = openSlots,
            .queuedCalls = message.queued_calls(),
            .handOversReceived = message.hand_overs_received(),
        },
    };
}

PeerProtocol::ForwardRequest toMessage(const CallRequest &request, const RequestMessage &message, TimePoint now)
{
    PeerProtocol::ForwardRequest encoded;
    encoded.set_origin(std::string(nameOf(request.origin)));
    encoded.set_service(request.service);
    encoded.set_work_kind(request.workKind);
    encoded.set_remaining_microseconds(remainingMicroseconds(request.deadline.value_or(now), now));
    encoded.set_idempotency_key(request.idempotencyKey);
    encoded.set_key_owner(request.keyOwner);
    encoded.set_caller(request.caller);
    encoded.set_sender(request.sender);
    encoded.set_method(message.method);
    encoded.set_target(message.target);
    writeFields(encoded, message.fields);
    encoded.set_body(message.body);
    return encoded;
}

std::optional<ForwardedCall> fromMessage(const PeerProtocol::ForwardRequest &message, TimePoint now)
{
    const auto origin = valueNamed<CallOrigin>(message.origin());
    if (!origin || *origin == CallOrigin::Caller) {
        return std::nullopt;
    }
    ForwardedCall call;
    call.request.origin = *origin;
    call.request.service = message.service();
    call.request.workKind = message.work_kind();
    call.request.deadline = now + std::chrono::microseconds(message.remaining_microseconds());
    call.request.idempotencyKey = message.idempotency_key();
    call.request.keyOwner = message.key_owner();
    call.request.caller = message.caller();
    call.request.sender = message.sender();
    call.message.method = message.method();
    call.message.target = message.target();
    call.message.fields = readFields(message);
    call.message.body = message.body();
    return call;
}

PeerProtocol::ForwardReply toMessage(const CallReply &reply, TimePoint now)
{
    PeerProtocol::ForwardReply encoded;
    encoded.set_outcome(std::string(nameOf(reply.outcome)));
    switch (reply.outcome) {
    case CallOutcome::Answered:
        encoded.set_status(static_cast<std::uint32_t>(reply.answer->status));
        writeFields(encoded, reply.answer->fields);
        encoded.set_body(reply.answer->body);
        break;
    case CallOutcome::NotRun:
        encoded.set_reason(std::string(nameOf(reply.refusal)));
        encoded.set_retry_after_microseconds(remainingMicroseconds(reply.retryAt, now));
        encoded.set_key_owner(reply.keyOwner);
        break;
    case CallOutcome::Unknown:
        encoded.set_reason(std::string(nameOf(reply.unknown)));
        break;
    }
    return encoded;
}

std::optional<CallReply> fromMessage(const PeerProtocol::ForwardReply &message, TimePoint now)
{
    const auto outcome = valueNamed<CallOutcome>(message.outcome());
    if (!outcome) {
        return std::nullopt;
    }
    switch (*outcome) {
    case CallOutcome::Answered: {
        auto answer = std::make_shared<ResponseMessage>();
        answer->status = static_cast<int>(message.status());
        answer->fields = readFields(message);
        answer->body = message.body();
        return isWellFormedAnswer(*answer) ? std::optional(answeredReply(std::move(answer))) : std::nullopt;
    }
    case CallOutcome::NotRun: {
        const auto reason = valueNamed<RefusalReason>(message.reason());
        if (!reason) {
            return std::nullopt;
        }
        CallReply reply = refusedReply(*reason, now + std::chrono::microseconds(message.retry_after_microseconds()));
        reply.keyOwner = message.key_owner();
        return reply;
    }
    case CallOutcome::Unknown:
        break;
    }
    const auto reason = valueNamed<UnknownReason>(message.reason());
    return reason ? std::optional(unknownReply(*reason)) : std::nullopt;
}

}
